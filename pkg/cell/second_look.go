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

// mostCopies is how often a start is sent, at 25 ms from each other within the shortest
// lease of a start. Of orders of which one in five gets no answer, four in a row don't in
// 0.2% of all cases, three in 0.8%, so that one in sixteen jobs of eight tasks would have
// such a start.
const mostCopies = 4

// startCopies counts the copies of a start.
type startCopies struct {
	sent   int
	open   int           // have neither been answered nor been given up
	lost   int           // may have been carried out, or be yet: given up, or answered unclearly
	done   bool          // one was carried out
	sentAt time.Duration // of the newest one, on our clock
}

// startStanding is what the copies of a start tell together.
type startStanding uint8

const (
	startOpen     startStanding = iota // nothing new: the other copies decide, or have decided
	startDone                          // it was carried out
	startDoubtful                      // it may have been carried out, or be carried out yet
	startRefused                       // nothing was done, nor will be
)

// answered takes the verdict on a copy.
func (s *startCopies) answered(verdict Verdict) startStanding {
	s.open--
	switch {
	case verdict == Accepted:
		s.done = true
		return startDone
	case verdict == Outdated && s.sent > 1:
		s.done = true // another copy was, and the run has ended: a hold tells how
		return startDone
	case verdict.MayBeDone() || verdict == AcceptedByOther:
		s.lost++
	}
	switch {
	case s.done || s.open > 0:
		return startOpen
	case s.lost > 0:
		return startDoubtful
	}
	return startRefused
}

// overtakes reports whether the answer to the newest copy comes ahead of that to
// another, which must be lost then.
func (s *startCopies) overtakes() bool { return s.open > 1 }

// StartOverdue takes that a start hasn't been answered within the round trips of late.
// Its end comes with LateStartAnswered.
func (c *Cell) StartOverdue(life catalog.Incarnation, name string, number int64, now time.Duration) {
	e := c.executors[life]
	if e == nil || c.fenced {
		return
	}
	e.doubtful = true
	if r := e.runOf(name, number); r != nil {
		c.startAgain(r, now)
	}
	c.advance(now)
}

// startAgain sends another copy of a start whose run hasn't been seen, unless its time
// would have passed when it arrives.
func (c *Cell) startAgain(r *run, now time.Duration) {
	e := r.executor
	if r.state != starting || r.work == nil || e.gone || r.copies.sent >= mostCopies || e.silent || e.clock.at(now) >= r.deadline {
		return
	}
	c.note(Notice{Event: "start_repeated", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Detail: strconv.Itoa(r.copies.sent), Age: now - r.copies.sentAt})
	r.copies.sent++
	r.copies.open++
	r.copies.sentAt = now
	c.orderStart(r)
}

// HoldOverdue takes that a hold that was sent at sentAt hasn't been answered in time. Its
// end comes with LateHoldAnswered. A single one says little of the executor, so the
// next follows at once, and tells.
func (c *Cell) HoldOverdue(life catalog.Incarnation, sentAt, now time.Duration) {
	e := c.executors[life]
	if e == nil || c.fenced {
		return
	}
	e.holding = false
	if e.blindFrom == 0 {
		e.blindFrom = sentAt
	}
	e.missed++
	if e.missed >= missedIsSilent {
		c.silence(e, now)
	}
	e.retryAt = now + silentPause(e.missed)
	c.advance(now)
}

// missedIsSilent is how many holds in a row have to be overdue, refused or answered unclearly
// for an executor to count as silent, when it gets no work and its leases aren't renewed.
// Where one call in five isn't answered, two in a row aren't in 4% of all cases and three in
// 0.8%. With three, and four copies of a start, callers got 0.76 of a day's worth, with two
// and three 0.74; an executor that is gone is found out 50 ms later.
const missedIsSilent = 3

// LateHoldAnswered takes the end of a hold that HoldOverdue was called for. Later holds
// may have told more since.
func (c *Cell) LateHoldAnswered(life catalog.Incarnation, answer HoldResponse, sentAt, now time.Duration) {
	e := c.executors[life]
	if e == nil || c.fenced {
		return
	}
	answer = answer.checked()
	c.latest = now
	if answer.Verdict == Unanswered {
		c.lossyTill = now + lossyTime
	}
	c.heard(e, answer.Clock, now)
	if c.takeVerdict(e, answer.Verdict, now) {
		return
	}
	if answer.Verdict == Accepted {
		c.takeList(e, answer, sentAt, now)
	}
	c.advance(now)
}
