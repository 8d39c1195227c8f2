package cell

import (
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// An order is overdue when it hasn't been answered within the round trips of late. It
// may be late or lost, and which of the two only time can tell. So its owner goes on
// listening, and looks a second time meanwhile, on another connection: the start is sent
// again as it was, with its run number and its deadline, and a hold is followed by one
// that doesn't wait. An executor answers a second copy of a start as the first, and
// refuses one that comes after the run's end or its deadline, so that copies that are
// carried out late do no harm.

// maxStartCopies is how often a start is sent, at 25 ms from each other within the shortest
// lease of a start. Of orders of which one in five gets no answer, four in a row don't in
// 0.2% of all cases, three in 0.8%, so that one in sixteen jobs of eight tasks would have
// such a start.
const maxStartCopies = 4

// startCopies counts the copies of a start.
type startCopies struct {
	sent       int
	pending    int           // have neither been answered nor been given up
	unresolved int           // may have been carried out, or be yet: given up, or answered unclearly
	accepted   bool          // one was carried out
	sentAt     time.Duration // of the newest one, on our clock
}

// startOutcome is what the copies of a start tell together.
type startOutcome uint8

const (
	startPending    startOutcome = iota // nothing new: the other copies decide, or have decided
	startAccepted                       // it was carried out
	startUnresolved                     // it may have been carried out, or be carried out yet
	startRefused                        // nothing was done, nor will be
)

// answered takes the verdict on a copy.
func (s *startCopies) answered(verdict Verdict) startOutcome {
	s.pending--
	switch {
	case verdict == Accepted:
		s.accepted = true
		return startAccepted
	case verdict == Outdated && s.sent > 1:
		s.accepted = true // another copy was, and the run has ended: a hold tells how
		return startAccepted
	case verdict.MayBeDone() || verdict == AcceptedByOther:
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

// overtakes reports whether the answer to the newest copy comes ahead of that to
// another, which must be lost then.
func (s *startCopies) overtakes() bool { return s.pending > 1 }

// StartOverdue takes that a start hasn't been answered within the round trips of late.
// Its end comes with LateStartAnswered.
func (c *Cell) StartOverdue(life catalog.Incarnation, name string, number int64, now time.Duration) {
	e := c.executors[life]
	if e == nil || c.fenced {
		return
	}
	e.unresolved = true
	if r := e.findRun(name, number); r != nil {
		c.resendStart(r, now)
	}
	c.advance(now)
}

// resendStart sends another copy of a start whose run hasn't been seen, unless its time
// would have passed when it arrives.
func (c *Cell) resendStart(r *run, now time.Duration) {
	e := r.executor
	if r.state != starting || r.job == nil || e.ended || r.copies.sent >= maxStartCopies || e.unresponsive || e.clock.estimate(now) >= r.deadline {
		return
	}
	c.addNotice(Notice{Event: "start_repeated", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Detail: strconv.Itoa(r.copies.sent), Age: now - r.copies.sentAt})
	r.copies.sent++
	r.copies.pending++
	r.copies.sentAt = now
	c.sendStart(r)
}

// HoldOverdue takes that a hold that was sent at sentAt hasn't been answered in time. Its
// end comes with LateHoldAnswered. A single one says little of the executor, so the
// next follows at once, and tells.
func (c *Cell) HoldOverdue(life catalog.Incarnation, sentAt, now time.Duration) {
	e := c.executors[life]
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

// maxMissedHolds is how many holds in a row have to be overdue, refused or answered unclearly
// for an executor to count as silent, when it gets no work and its leases aren't renewed.
// Where one call in five isn't answered, two in a row aren't in 4% of all cases and three in
// 0.8%. With three, and four copies of a start, callers got 0.76 of a day's worth, with two
// and three 0.74; an executor that is gone is found out 50 ms later.
const maxMissedHolds = 3

// LateHoldAnswered takes the end of a hold that HoldOverdue was called for. Later holds
// may have told more since.
func (c *Cell) LateHoldAnswered(life catalog.Incarnation, answer HoldResponse, sentAt, now time.Duration) {
	e := c.executors[life]
	if e == nil || c.fenced {
		return
	}
	answer = answer.validated()
	c.lastEventAt = now
	if answer.Verdict == Unanswered {
		c.lossyUntil = now + lossyPeriod
	}
	c.observeClock(e, answer.Clock, now)
	if c.handleVerdict(e, answer.Verdict, now) {
		return
	}
	if answer.Verdict == Accepted {
		c.applyList(e, answer, sentAt, now)
	}
	c.advance(now)
}
