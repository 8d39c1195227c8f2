package openjobs

import "time"

const (
	// MaxPollGap is the time between two polls beyond which a process stood still in between. An
	// idle process polls every 100 ms.
	MaxPollGap = 150 * time.Millisecond
	// maxReadDelay is how long after a stall requests that came during it may still be read.
	maxReadDelay = 100 * time.Millisecond
	// longStall is how long a process stands still that can't follow jobs if it does so again and again:
	// owners lose it, and it renews no lease.
	longStall = 400 * time.Millisecond
	// stallsPeriod is the time within which two long stalls show that.
	stallsPeriod = 2 * time.Second
)

// Stalls bounds when the requests that a process reads were sent. A process that stood still reads a
// request up to a stall later than its caller sent it, and the caller counts from the sending until
// it sends the job again.
//
// The process polls while it runs. What was sent before a poll counts as read at the poll after the
// next one. A process that stands still again and again may read it later: the time at which the
// request arrived at the machine tells that. That time alone would miss that the whole machine stood
// still. It is not safe for concurrent use.
type Stalls struct {
	polledAt   time.Duration // the last poll
	previousAt time.Duration // the poll before it

	endedAt    time.Duration // end of the last stall; 0 before the first one
	readBefore time.Duration // what was sent before it had been read when that stall began

	longEndedAt, formerLongEndedAt time.Duration // ends of the last two long stalls; 0 before
}

// Poll records that the process runs now.
func (s *Stalls) Poll(now time.Duration) {
	if s.hasGap(now, MaxPollGap) {
		s.endedAt, s.readBefore = now, s.previousAt
	}
	if s.hasGap(now, longStall) {
		s.longEndedAt, s.formerLongEndedAt = now, s.longEndedAt
	}
	s.previousAt, s.polledAt = s.polledAt, now
}

// hasGap reports whether the last poll was longer than most ago. There is no gap before the first one.
func (s *Stalls) hasGap(now, most time.Duration) bool { return s.polledAt > 0 && now > s.polledAt+most }

// EndedSince reports whether the process has stood still and run on at a time or later, by its polls
// up to now.
func (s *Stalls) EndedSince(since, now time.Duration) bool {
	return s.hasGap(now, MaxPollGap) || s.endedAt > 0 && s.endedAt >= since
}

// LongEndedSince is EndedSince for long stalls. A slow host has short ones all the time, and reads
// replies in between.
func (s *Stalls) LongEndedSince(since, now time.Duration) bool {
	return s.hasGap(now, longStall) || s.longEndedAt > 0 && s.longEndedAt >= since
}

// LongEndedAt returns when the last long stall ended, which is now if none of the polls has noticed it
// yet. It returns false if there was none.
func (s *Stalls) LongEndedAt(now time.Duration) (at time.Duration, stalled bool) {
	if s.hasGap(now, longStall) {
		return now, true
	}
	return s.longEndedAt, s.longEndedAt > 0
}

// StandsStillOften reports whether the process stands still again and again for so long that it can't
// follow jobs.
func (s *Stalls) StandsStillOften(now time.Duration) bool {
	former := s.formerLongEndedAt
	if s.hasGap(now, longStall) { // a long stall ends now
		former = s.longEndedAt
	}
	return former > 0 && now < former+stallsPeriod
}

// EarliestSending returns a lower bound of when a request was sent that the process has read at received
// and that arrived at its machine at arrived, or at an unknown time if that is 0. The bound allows for
// maxReceiptDelay, as do the times that are counted from it. Without a delay it is received itself.
func (s *Stalls) EarliestSending(received, arrived time.Duration) time.Duration {
	sent := received
	switch {
	case s.hasGap(received, MaxPollGap): // a stall ends now
		sent = s.previousAt
	case s.endedAt > 0 && received <= s.endedAt+maxReadDelay:
		sent = s.readBefore
	}
	if arrived > 0 {
		sent = min(sent, arrived)
	}
	return min(received, sent+maxReceiptDelay)
}
