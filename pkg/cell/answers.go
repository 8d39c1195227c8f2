package cell

import (
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// refusedPause is how long an executor gets no starts after it has refused one for a reason that
// applies to others as well, such as a lack of capacity. It limits the rate of refused starts.
// Without it, an executor that could not be ejected got 1,000 starts a second of the same task
// at round trips of 1 ms, while another executor had capacity.
const refusedPause = 20 * time.Millisecond

// StartAnswered handles the answer to a start. clock is the executor's, or 0.
func (c *Cell) StartAnswered(incarnation catalog.Incarnation, name string, number int64, verdict Verdict, clock, now time.Duration) {
	c.handleStartAnswer(incarnation, name, number, verdict, false, clock, now)
}

// LateStartAnswered handles the outcome of a start that StartOverdue was called for.
func (c *Cell) LateStartAnswered(incarnation catalog.Incarnation, name string, number int64, verdict Verdict, clock, now time.Duration) {
	c.handleStartAnswer(incarnation, name, number, verdict, true, clock, now)
}

func (c *Cell) handleStartAnswer(incarnation catalog.Incarnation, name string, number int64, verdict Verdict, late bool, clock, now time.Duration) {
	// Tasks may have waited for the link.
	c.dirty = c.dirty || c.pacer.full()
	c.pacer.answered(name, number)
	c.removeFencedRun(incarnation, name, number, verdict)
	e := c.handleAnswer(incarnation, verdict, late, clock, now)
	if e == nil {
		return
	}
	if r := e.findRun(name, number); r != nil {
		c.applyStartAnswer(e, r, verdict, late, now)
	}
	c.advance(now)
}

// removeFencedRun removes a run whose start was fenced, before the cell is released for that.
func (c *Cell) removeFencedRun(incarnation catalog.Incarnation, name string, number int64, verdict Verdict) {
	e := c.executors[incarnation]
	if e == nil || c.fenced || verdict != Fenced {
		return
	}
	if r := e.findRun(name, number); r != nil && !r.confirmed && r.copies.answered(verdict) == startRefused {
		c.removeRun(r)
	}
}

// applyStartAnswer applies the answer to one copy of a start to its run.
func (c *Cell) applyStartAnswer(e *executor, r *run, verdict Verdict, late bool, now time.Duration) {
	if !late && verdict != Unanswered && r.copies.overtakes() {
		c.lossyUntil = now + lossyPeriod
	}
	if verdict == Unclear {
		c.resendStart(r, now) // the answer to the next copy decides
	}
	switch r.copies.answered(verdict) {
	case startAccepted:
		c.resolveStart(r, running, now)
	case startUnresolved:
		c.penalizeUnclear(e, r, verdict, now)
		c.resolveStart(r, unknown, now)
	case startRefused:
		c.handleRefusedStart(e, r, verdict, now)
	case startPending:
	}
}

// handleAnswer applies the answer to a start or stop to its executor. It returns nil when the
// answer must not be processed further.
func (c *Cell) handleAnswer(incarnation catalog.Incarnation, verdict Verdict, late bool, clock, now time.Duration) *executor {
	e := c.executors[incarnation]
	if e == nil || c.fenced {
		return nil
	}
	if c.handleVerdict(e, verdict, now) {
		return nil
	}
	c.observeClock(e, clock, now)
	c.assessAnswer(e, verdict, late, now)
	return e
}

// resolveStart records that a start was or may have been carried out. A stop that was requested
// meanwhile is sent now, so that it cannot overtake the start.
func (c *Cell) resolveStart(r *run, state runState, now time.Duration) {
	switch {
	case r.state == starting || r.state == unknown:
		r.state = state
		r.startResolvedAt = now
	case r.state == stopping && r.stopPending:
		r.stopPending = false
		c.sendStop(r, "withdrawn")
	}
}

// penalizeUnclear ejects an executor that answered all copies of a start without saying whether
// the start was carried out: each task that is started there would have to wait until the start's
// lease ends, 100 to 500 ms by default, before it can start elsewhere. If the executor cannot be
// ejected, the task prefers others. Without that, a task had 20 runs in 2 s at such an executor
// while another one had capacity. A start that no job waits for has no further copies, so its one
// answer does not count.
func (c *Cell) penalizeUnclear(e *executor, r *run, verdict Verdict, now time.Duration) {
	if verdict != Unclear || r.state != starting || r.task == nil || e.ended {
		return
	}
	r.task.unclearOn = append(r.task.unclearOn, e.incarnation)
	c.penalize(e, "unclear", r.name, now)
}

// handleRefusedStart handles a start that was refused.
func (c *Cell) handleRefusedStart(e *executor, r *run, verdict Verdict, now time.Duration) {
	t := c.removeRun(r)
	switch verdict {
	case NoRoom, Late:
		e.fullUntil = now + refusedPause
	case Unhealthy:
		e.fullUntil = now + refusedPause
		c.penalize(e, "unhealthy", r.name, now)
	case Rejected:
		if t != nil {
			t.failedOn = append(t.failedOn, e.incarnation)
		}
	}
}

// StopAnswered handles the answer to a stop. The end of the run is listed by a hold. A stop that
// may not have been carried out is sent again, as the run's lease is renewed with the others and
// its task may be running elsewhere. After a timeout it is sent at once; after a refusal only when
// a hold still lists the run, so that the executor is not flooded.
func (c *Cell) StopAnswered(incarnation catalog.Incarnation, name string, number int64, verdict Verdict, clock, now time.Duration) {
	e := c.handleAnswer(incarnation, verdict, false, clock, now)
	if e == nil {
		return
	}
	if r := e.findRun(name, number); r != nil && r.state == stopping {
		r.stopUnconfirmed = !verdict.isAccepted()
		c.recordStopOfNextIncarnation(r, now)
		if verdict == Unanswered && !e.unresponsive {
			c.resendStop(r)
		}
	}
	c.advance(now)
}

// resendStop sends a stop again if it may not have been carried out.
func (c *Cell) resendStop(r *run) {
	if r.stopUnconfirmed {
		r.stopUnconfirmed = false
		c.sendStop(r, "stop_lost")
	}
}

// assessAnswer updates the executor's state from the verdict on a start or stop. A single
// unresolved command does not make the executor unresponsive, which the holds decide; the
// executor gets no starts until its next answer.
func (c *Cell) assessAnswer(e *executor, verdict Verdict, late bool, now time.Duration) {
	if e.ended {
		return
	}
	switch verdict {
	case Unanswered, Unclear:
		// A late start already counted when it became overdue.
		e.unresolved = e.unresolved || !late
		c.lossyUntil = now + lossyPeriod
	case Unreached:
		c.markUnresponsive(e, now)
	default:
		c.clearUnresolved(e)
	}
}

// clearUnresolved lets an executor that has answered get starts again.
func (c *Cell) clearUnresolved(e *executor) {
	c.dirty = c.dirty || e.unresolved
	e.unresolved = false
}

func (c *Cell) markUnresponsive(e *executor, now time.Duration) {
	if !e.unresponsive {
		c.addNotice(Notice{Event: "executor_silent", Executor: e.info.ID, Age: now - e.clock.readAt})
	}
	e.unresponsive = true
	c.recordLoss(e, now)
	c.dirty = true
}

// observeClock records the clock in an answer.
func (c *Cell) observeClock(e *executor, clock, now time.Duration) {
	if clock == 0 || e.ended {
		return
	}
	c.dirty = c.dirty || e.clock.isStale(now) // starts may have waited for it
	e.clock.observe(clock, now)
}

// handleVerdict handles the verdicts that end the ownership or the executor's incarnation. It
// returns true when the ownership is over.
func (c *Cell) handleVerdict(e *executor, verdict Verdict, now time.Duration) bool {
	switch verdict {
	case Fenced:
		c.addNotice(Notice{Event: "owner_fenced", Executor: e.info.ID, Detail: strconv.FormatInt(c.token, 10)})
		c.Release("fenced")
		return true
	case WrongIncarnation, AcceptedByOther:
		c.endIncarnation(e, now)
	}
	return false
}
