package cell

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// An executor that crashes may start again under the id that it had. Nothing that it ran
// before goes on, but orders for its former life may be carried out by the next one, as
// they name the id alone: starts that were under way, or got no answer that says which life
// has carried them out. Their deadlines are of the former clock, far in the future of the
// next one, so that they end with the longest lease that executors grant. A task whose start may have met this fate waits until the
// next life has taken a stop of the run: it doesn't start it any more then, and one that it
// has started ends within the time of a stop.

// stopResendPause is the time between two stops of a run that the next life of its executor
// may start, while they come to nothing.
const stopResendPause = 100 * time.Millisecond

const (
	// shortestRestart is the least time from the end of an executor's life to orders
	// that its next one takes.
	shortestRestart = time.Second
	// longestDelivery is how long after its owner sent it an order may arrive.
	longestDelivery = 300 * time.Millisecond
)

// nextIncarnationMayRun reports whether a run that nothing has shown may go on in a next life of its
// executor, though the leases are over that the known one was given. An executor that has
// answered a moment before the start went out can't have started again since.
func (c *Cell) nextIncarnationMayRun(r *run, now time.Duration) bool {
	if r.executor.info.StartedAt == 0 || r.confirmed {
		return false
	}
	mayBeNext := r.copies.sentAt+longestDelivery >= r.executor.answeredAt+shortestRestart
	return mayBeNext && now < r.copies.sentAt+c.params.LeaseCap+c.params.StopTime
}

// withKnownIncarnation returns a listed executor as the life that is known here, where one of the two
// doesn't tell when it began. Another writer's row may lack that: it is no word of a new life,
// and what the known one runs goes on.
func (c *Cell) withKnownIncarnation(info catalog.Executor) catalog.Executor {
	if c.executors[info.Incarnation()] != nil {
		return info
	}
	for _, e := range c.sorted {
		isEitherUntold := e.info.StartedAt == 0 || info.StartedAt == 0
		if e.info.ID == info.ID && !e.ended && isEitherUntold {
			info.StartedAt = e.info.StartedAt
		}
	}
	return info
}

// endOtherIncarnations takes that another life of an executor is listed.
func (c *Cell) endOtherIncarnations(id string, now time.Duration) {
	for _, e := range c.sorted {
		if e.info.ID == id {
			c.endIncarnation(e, now)
		}
	}
}

// endIncarnation takes that a life of an executor is over.
func (c *Cell) endIncarnation(e *executor, now time.Duration) {
	if e.ended {
		return
	}
	c.addNotice(Notice{Event: "executor_replaced", Executor: string(e.incarnation), Age: now - e.clock.readAt})
	e.ended = true
	e.endedAt = now
	c.dirty = true
	if e.info.StartedAt == 0 {
		e.listed = false
	}
	c.recordCrash(e, now)
}

// confirmStart takes that a start was carried out. Answers to starts don't say by which life,
// but the clock that they show does, where it goes on from what this life has shown before.
func (r *run) confirmStart(clock, now time.Duration) {
	if clock+clockResolution >= r.executor.clock.lowerBoundPast(r.firstSentAt) {
		r.confirmed = true
		r.executor.answeredAt = now
	}
}

// resolveEndedIncarnation frees the runs of an executor whose life is over, at once but for those
// that its next life may start yet.
func (c *Cell) resolveEndedIncarnation(e *executor, now time.Duration) {
	if !e.ended || len(e.runs) == 0 {
		return
	}
	for _, r := range e.sortedRuns() {
		switch {
		case c.isOverWithIncarnation(r, now):
			c.addNotice(Notice{Event: "lease_over", Executor: string(e.incarnation), Job: r.jobID(), Task: r.name, Age: now - e.endedAt})
			c.removeRun(r)
		case r.state == unknown || r.state == running:
			c.stopRun(r, "executor_replaced")
		case r.state == stopping && now >= r.stopSentAt+stopResendPause:
			c.resendStop(r)
		}
	}
}

// isOverWithIncarnation reports whether a run of an ended life doesn't go on in the next one
// either, and can't start there any more.
func (c *Cell) isOverWithIncarnation(r *run, now time.Duration) bool {
	e := r.executor
	switch {
	case r.confirmed || e.info.StartedAt == 0:
		return true
	case r.stopAcceptedAt > 0:
		return now >= r.stopAcceptedAt+c.params.StopTime
	}
	return now >= e.endedAt+c.params.LeaseCap+c.params.StopTime
}

// recordStopOfNextIncarnation notes that the next life of an executor has taken the stop of a run.
// One that was ordered before the end of the former life may have met that one.
func (c *Cell) recordStopOfNextIncarnation(r *run, now time.Duration) {
	switch {
	case !r.executor.ended || r.stopUnconfirmed:
	case r.stopSentAt < r.executor.endedAt:
		r.stopUnconfirmed = true
	default:
		r.stopAcceptedAt = now
	}
}
