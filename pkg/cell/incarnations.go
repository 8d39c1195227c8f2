package cell

import (
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// An executor that crashes may restart under the same id, as another incarnation. Its former
// runs have ended, but commands name only the id, so the next incarnation may carry out
// starts that were sent to the former one. Answers to starts do not name the incarnation, and
// their clock does not identify it, as the clock of the next incarnation may start at any
// reading. Only a list of runs confirms that an incarnation has started a run, and even then
// another copy of the start may reach the next incarnation. The deadline of a start may be far
// ahead of the next incarnation's clock, so its run may last as long as the longest lease that
// executors grant. A task with a start that may reach the next incarnation waits until that
// incarnation has accepted a stop of the run: it then no longer starts the run, and a run that
// it has started ends within StopTime. Without an accepted stop, the task waits until the leases
// granted for the former incarnation's commands have expired and the next one does not list the
// run.

// stopResendPause is the time between two stops of a run that the next incarnation of its
// executor may start, while they fail.
const stopResendPause = 100 * time.Millisecond

// longestDelivery is the longest time between sending a command and its arrival.
const longestDelivery = 300 * time.Millisecond

// mayHaveReachedNextIncarnation reports whether the next incarnation of the run's executor may
// carry out a copy of the start. If the known incarnation has listed the run, this is possible only
// if several copies were sent and that incarnation has not answered a hold that was sent at least
// longestDelivery after the last of them.
func (r *run) mayHaveReachedNextIncarnation() bool {
	e := r.executor
	if e.info.StartedAt == 0 {
		return false
	}
	if !r.confirmed {
		return true
	}
	return r.copies.sent > 1 && e.listRequestedAt < r.copies.sentAt+longestDelivery
}

// hasUnlistedRun reports whether the executor has a run that it has not listed, so that its next
// incarnation may start the run. It is always false for executors without a start time, as
// mayHaveReachedNextIncarnation is.
func (e *executor) hasUnlistedRun() bool {
	if e.info.StartedAt == 0 {
		return false
	}
	for _, r := range e.runs {
		if !r.confirmed {
			return true
		}
	}
	return false
}

// nextIncarnationMayRun reports whether a run may be active in a next incarnation of its executor
// although the leases of the known one have expired. There is no minimum restart time: even an
// executor that answered just before the start was sent may have restarted since.
func (c *Cell) nextIncarnationMayRun(r *run, now time.Duration) bool {
	return r.mayHaveReachedNextIncarnation() && now < c.nextIncarnationLeaseEnd(r.executor)
}

// nextIncarnationLeaseEnd returns the time, on our clock, by which all leases have expired that the
// next incarnation of an executor may have granted for commands to the known one. The deadlines in
// these commands do not limit the leases, as they refer to the clock of the known incarnation.
func (c *Cell) nextIncarnationLeaseEnd(e *executor) time.Duration {
	return e.grantSentAt + longestDelivery + c.longestRunAfterGrant()
}

// longestRunAfterGrant returns how long, on our clock, a run can continue after its executor has
// granted it a lease of LeaseCap, including clock drift and StopTime.
func (c *Cell) longestRunAfterGrant() time.Duration {
	return withDrift(c.params.LeaseCap) + c.params.StopTime
}

// unlistedIncarnationsLeaseEnd returns the time, on our clock, by which all leases have expired that
// incarnations that are not listed yet may have granted to a former owner; 0 when there are none.
// These incarnations are known only by their answer to a hold for the listed one, and refuse
// commands of the former owner from that answer on.
func (c *Cell) unlistedIncarnationsLeaseEnd() time.Duration {
	end := time.Duration(0)
	for _, e := range c.sorted {
		if e.ended && c.mayHideFormerRuns(e) {
			end = max(end, e.endedAt+c.longestRunAfterGrant())
		}
	}
	return end
}

// withKnownIncarnation returns a listed executor as the incarnation that is known here if either
// of the two has no start time. Some writers of the list omit it, which does not indicate a new
// incarnation.
func (c *Cell) withKnownIncarnation(info catalog.Executor) catalog.Executor {
	if c.executors[info.Incarnation()] != nil {
		return info
	}
	for _, e := range c.sorted {
		isEitherUnknown := e.info.StartedAt == 0 || info.StartedAt == 0
		if e.info.ID == info.ID && !e.ended && isEitherUnknown {
			info.StartedAt = e.info.StartedAt
		}
	}
	return info
}

// endOtherIncarnations ends all known incarnations of an executor when another one is listed.
func (c *Cell) endOtherIncarnations(id string, now time.Duration) {
	for _, e := range c.sorted {
		if e.info.ID == id {
			c.endIncarnation(e, now)
		}
	}
}

// endIncarnation records that an incarnation of an executor has ended.
func (c *Cell) endIncarnation(e *executor, now time.Duration) {
	if e.ended {
		return
	}
	c.addNotice(Notice{Event: "executor_replaced", Executor: string(e.incarnation), Detail: e.clock.formatEstimate(now), Age: now - e.clock.readAt})
	if e.holdInFlight && e.acknowledgedEnd > 0 {
		c.addNotice(Notice{Event: "ends_may_be_forgotten", Executor: string(e.incarnation), Detail: strconv.FormatInt(e.acknowledgedEnd, 10)})
	}
	c.recordLoss(e, now)
	e.ended = true
	e.endedAt = now
	c.dirty = true
	if e.info.StartedAt == 0 && !c.isAnsweredAt(e.info.Address) {
		e.listed = false // the next incarnation may have the same id
	}
	c.recordCrash(e, now)
}

// resolveEndedIncarnation removes the runs of an ended incarnation. Those that the next
// incarnation may have started are stopped first.
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

// isOverWithIncarnation reports whether a run of an ended incarnation is not active in the next
// one either, and cannot start there any more.
func (c *Cell) isOverWithIncarnation(r *run, now time.Duration) bool {
	e := r.executor
	switch {
	case !r.mayHaveReachedNextIncarnation():
		return true
	case r.stopAcceptedAt > 0:
		return now >= r.stopAcceptedAt+c.params.StopTime
	}
	return now >= c.nextIncarnationLeaseEnd(e) && !c.isListedByNextIncarnation(r)
}

// isListedByNextIncarnation reports whether the next incarnation of a run's executor has listed the
// run, which has not been removed since. Holds to that incarnation renew the leases of its runs, so
// the run may still be active after nextIncarnationLeaseEnd.
func (c *Cell) isListedByNextIncarnation(r *run) bool {
	for _, e := range c.sorted {
		if e != r.executor && e.info.ID == r.executor.info.ID && e.findRun(r.name, r.number) != nil {
			return true
		}
	}
	return false
}

// recordStopOfNextIncarnation records that the next incarnation of an executor has accepted the
// stop of a run. A stop that was sent before the end of the former incarnation may have reached
// that one, and is sent again.
func (c *Cell) recordStopOfNextIncarnation(r *run, now time.Duration) {
	switch {
	case !r.executor.ended || r.stopUnconfirmed:
	case r.stopSentAt < r.executor.endedAt:
		r.stopUnconfirmed = true
	default:
		r.stopAcceptedAt = now
	}
}
