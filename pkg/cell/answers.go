package cell

import (
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// refusedPause is how long an executor gets no start after it had no room, or has refused
// one so that the next may be refused as well. One that can't be ejected got 1,000 starts a
// second of one task without it, at round trips of 1 ms, while another one had room.
const refusedPause = 20 * time.Millisecond

// StartAnswered takes the answer to a start. clock is the executor's, or 0.
func (c *Cell) StartAnswered(life catalog.Incarnation, name string, number int64, verdict Verdict, clock, now time.Duration) {
	c.handleStartAnswer(life, name, number, verdict, false, clock, now)
}

// LateStartAnswered takes the end of a start that StartOverdue was called for.
func (c *Cell) LateStartAnswered(life catalog.Incarnation, name string, number int64, verdict Verdict, clock, now time.Duration) {
	c.handleStartAnswer(life, name, number, verdict, true, clock, now)
}

func (c *Cell) handleStartAnswer(life catalog.Incarnation, name string, number int64, verdict Verdict, late bool, clock, now time.Duration) {
	// A full link has kept tasks waiting.
	c.dirty = c.dirty || c.pacer.full()
	c.pacer.answered(name, number)
	var r *run
	if e := c.executors[life]; e != nil {
		r = e.findRun(name, number)
	}
	if r != nil && verdict == Accepted {
		r.confirmStart(clock, now)
	}
	e := c.handleAnswer(life, verdict, late, clock, now)
	if e == nil {
		return
	}
	if r != nil {
		c.applyStartAnswer(e, r, verdict, late, now)
	}
	c.advance(now)
}

// applyStartAnswer takes what the answer to one copy of a start tells of its run.
func (c *Cell) applyStartAnswer(e *executor, r *run, verdict Verdict, late bool, now time.Duration) {
	if !late && verdict != Unanswered && r.copies.overtakes() {
		c.lossyUntil = now + lossyPeriod
	}
	if verdict == Unclear {
		c.resendStart(r, now) // what the executor says of the next copy holds for the run
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

// handleAnswer takes what the answer to an order tells of its executor. It
// returns nil when the answer is of no more use.
func (c *Cell) handleAnswer(life catalog.Incarnation, verdict Verdict, late bool, clock, now time.Duration) *executor {
	e := c.executors[life]
	if e == nil || c.fenced {
		return nil
	}
	c.observeClock(e, clock, now)
	if c.handleVerdict(e, verdict, now) {
		return nil
	}
	c.assessAnswer(e, verdict, late, now)
	return e
}

// resolveStart takes a start that was carried out, or may have been. A stop
// that was asked for meanwhile goes out now, so that it can't overtake.
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

// penalizeUnclear takes an executor out that has answered a start, and all that could be sent
// again of it, by nothing that says whether it was carried out. Each task started there would
// wait for the end of its start's lease, 100 to 500 ms, before it can start elsewhere. Where
// so many are out that this one can't be, the task prefers others: it had 20 runs there in
// 2 s, one after the other, beside an executor with room. A start that nobody waits for isn't
// sent again, so that its one answer says little.
func (c *Cell) penalizeUnclear(e *executor, r *run, verdict Verdict, now time.Duration) {
	if verdict != Unclear || r.state != starting || r.task == nil || e.ended {
		return
	}
	r.task.unclearOn = append(r.task.unclearOn, e.incarnation)
	c.penalize(e, "unclear", r.name, now)
}

// handleRefusedStart takes a start that did nothing.
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

// StopAnswered takes the answer to a stop. The end itself comes with a hold. A
// stop that wasn't carried out, as far as is known, is ordered again: the run's lease is
// renewed with those of the others, and its job may run elsewhere by now. One that was
// lost has taken its time, and goes out again at once; one that was refused does when a
// hold still lists the run, at most every HoldWait, or its executor would be flooded.
func (c *Cell) StopAnswered(life catalog.Incarnation, name string, number int64, verdict Verdict, clock, now time.Duration) {
	e := c.handleAnswer(life, verdict, false, clock, now)
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

// resendStop orders a stop again that wasn't carried out.
func (c *Cell) resendStop(r *run) {
	if r.stopUnconfirmed {
		r.stopUnconfirmed = false
		c.sendStop(r, "stop_lost")
	}
}

// assessAnswer takes whether an order was answered, and by something that says what became
// of it. A single one that wasn't says little of the executor: the holds tell whether it is
// silent. Until the next answer it gets nothing more to start.
func (c *Cell) assessAnswer(e *executor, verdict Verdict, late bool, now time.Duration) {
	if e.ended {
		return
	}
	switch verdict {
	case Unanswered, Unclear:
		// A late one has had its second look.
		e.unresolved = e.unresolved || !late
		c.lossyUntil = now + lossyPeriod
	case Unreached:
		c.markUnresponsive(e, now)
	default:
		c.clearUnresolved(e)
	}
}

// clearUnresolved has an executor that has answered get starts again.
func (c *Cell) clearUnresolved(e *executor) {
	c.dirty = c.dirty || e.unresolved
	e.unresolved = false
}

// markUnresponsive takes that an executor doesn't answer at all.
func (c *Cell) markUnresponsive(e *executor, now time.Duration) {
	if !e.unresponsive {
		c.addNotice(Notice{Event: "executor_silent", Executor: e.info.ID, Age: now - e.clock.readAt})
	}
	e.unresponsive = true
	c.dirty = true
}

// observeClock takes the clock in an answer.
func (c *Cell) observeClock(e *executor, clock, now time.Duration) {
	if clock == 0 || e.ended {
		return
	}
	c.dirty = c.dirty || e.clock.isStale(now) // jobs have waited for it
	e.clock.observe(clock, now)
}

// handleVerdict handles the verdicts that concern the executor or the ownership
// as a whole. It reports whether the ownership is over.
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
