package cell

import (
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// A call is overdue when it has not been answered within the recent round-trip times. It may
// be delayed or lost. The owner keeps waiting for its answer, and meanwhile retries on another
// connection: a start is sent again with the same run number and deadline, and a hold is
// followed by one that does not wait. An executor answers a second copy of a start like the
// first one, and refuses it after the run's end or deadline, so that delayed copies have no
// effect.

// maxStartCopies is how often a start is sent. All copies, 25 ms apart on a fast link, fit within
// the shortest lease of a start. If one call in five is lost, four in a row are lost in 0.2% of
// all cases. Three are lost in 0.8%, which would affect one in sixteen jobs of eight tasks.
const maxStartCopies = 4

// startCopies counts the copies of a start.
type startCopies struct {
	sent       int
	pending    int           // neither answered nor timed out
	unresolved int           // timed out or answered unclearly: may have been carried out, or may be later
	accepted   bool          // a copy was carried out
	sentAt     time.Duration // when the newest one was sent, on our clock
}

// startOutcome is the combined outcome of a start's copies.
type startOutcome uint8

const (
	startPending    startOutcome = iota // nothing new: the other copies decide, or have decided
	startAccepted                       // it was carried out
	startUnresolved                     // it may have been carried out, or may be later
	startRefused                        // it was not carried out, and will not be
)

// answered applies the verdict on a copy.
func (s *startCopies) answered(verdict Verdict) startOutcome {
	s.pending--
	switch {
	case verdict == Accepted:
		s.accepted = true
		return startAccepted
	case verdict == Outdated && s.sent > 1:
		s.accepted = true // another copy was, and the run has ended: a hold lists how
		return startAccepted
	case verdict.IsUnresolved() || verdict == AcceptedByOther:
		s.unresolved++
	}
	switch {
	case s.accepted || s.pending > 0:
		return startPending
	case s.unresolved > 0:
		return startUnresolved
	}
	return startRefused
}

// overtakes reports whether an answer has arrived before that to another copy, which is then
// lost or delayed.
func (s *startCopies) overtakes() bool { return s.pending > 1 }

// StartOverdue handles a start that is overdue. LateStartAnswered follows with its outcome.
func (c *Cell) StartOverdue(incarnation catalog.Incarnation, name string, number int64, now time.Duration) {
	e := c.executors[incarnation]
	if e == nil || c.fenced {
		return
	}
	e.unresolved = true
	if r := e.findRun(name, number); r != nil {
		c.resendStart(r, now)
	}
	c.advance(now)
}

// resendStart sends another copy of a start that is unresolved, unless its deadline has passed.
func (c *Cell) resendStart(r *run, now time.Duration) {
	e := r.executor
	if r.state != starting || r.job == nil || e.ended || r.copies.sent >= maxStartCopies || e.unresponsive || e.clock.estimate(now) >= r.deadline {
		return
	}
	c.addNotice(Notice{Event: "start_repeated", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Detail: strconv.Itoa(r.copies.sent), Age: now - r.copies.sentAt})
	r.copies.sent++
	r.copies.pending++
	r.copies.sentAt = now
	e.grantSentAt = now
	c.sendStart(r)
}

// HoldOverdue handles a hold that was sent at sentAt and is overdue. LateHoldAnswered follows with
// its outcome. A single overdue hold is retried at once.
func (c *Cell) HoldOverdue(incarnation catalog.Incarnation, sentAt, now time.Duration) {
	e := c.executors[incarnation]
	if e == nil || c.fenced {
		return
	}
	e.holdInFlight = false
	if e.unansweredHoldAt == 0 {
		e.unansweredHoldAt = sentAt
	}
	e.missedHolds++
	if e.missedHolds >= maxMissedHolds {
		c.markUnresponsive(e, now)
	}
	e.nextHoldAt = now + holdRetryPause(e.missedHolds)
	c.advance(now)
}

// maxMissedHolds is the number of consecutive holds that have to be overdue, refused or answered
// unclearly for an executor to count as unresponsive. It then gets no starts, and its leases are
// not renewed. A higher number tolerates more lost calls, but delays the detection of failed
// executors. If one call in five is lost, two in a row are lost in 4% of all cases and three in
// 0.8%; the third delays the detection by some 50 ms.
const maxMissedHolds = 3

// LateHoldAnswered handles the outcome of a hold that HoldOverdue was called for. Later holds may
// have been answered before it.
func (c *Cell) LateHoldAnswered(incarnation catalog.Incarnation, response HoldResponse, sentAt, now time.Duration) {
	e := c.executors[incarnation]
	if e == nil || c.fenced {
		return
	}
	response = response.validated()
	c.lastEventAt = now
	if response.Verdict == Unanswered {
		c.lossyUntil = now + lossyPeriod
	}
	if c.handleVerdict(e, response.Verdict, now) {
		return
	}
	c.observeClock(e, response.Clock, now)
	if response.Verdict == Accepted {
		c.applyList(e, response, sentAt, now)
	}
	c.advance(now)
}
