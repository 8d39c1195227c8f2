package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// An owner that returns a job reports which of its runs may still be active, and for how long. The
// next owner may not know their executors: its list lacks those whose rows have left the store,
// while the former owner keeps them as long as they run tasks. The next owner therefore starts
// none of the job's tasks before each of these runs has ended or its executor has listed its runs
// to it.

// formerRun is a run that a former owner of a job reported as possibly active.
type formerRun struct {
	task     job.TaskKey
	executor catalog.Incarnation // empty when unknown
	endsBy   time.Duration       // when it can't be active any more, on our clock
	arrived  time.Duration       // when its start has arrived, on our clock, if it ever does
}

// runEndsBy returns the time, on our clock, by which a run can't be active any more unless its
// leases are renewed.
func (c *Cell) runEndsBy(r *run, now time.Duration) time.Duration {
	e := r.executor
	left := c.longestRunAfterGrant()
	if e.clock.known {
		left = withDrift(max(0, e.grantedUntil+c.params.StopTime-e.clock.lowerBound(now)))
	}
	if c.nextIncarnationMayRun(r, now) {
		return max(now+left, c.nextIncarnationLeaseEnd(e))
	}
	return now + left
}

// activity returns where a task may be running, and for how long from now at most; 0 if it isn't.
func (c *Cell) activity(w *jobState, t *task, now time.Duration) (at catalog.Incarnation, left time.Duration) {
	if r := t.current; r != nil {
		return r.executor.incarnation, c.runEndsBy(r, now) - now
	}
	if t.done {
		return "", 0
	}
	left = max(0, c.unnamedRunsEndBy(w)-now)
	for _, r := range w.formerRuns {
		if r.task == t.key && c.mayBeActive(w, r, now) && r.endsBy-now > left {
			at, left = r.executor, r.endsBy-now
		}
	}
	return at, left
}

// recordFormerRuns records the runs that the progress of a job names and that may be active without
// being known here.
func (c *Cell) recordFormerRuns(w *jobState, progress []job.Progress, now time.Duration) {
	for _, p := range progress {
		r := formerRun{task: p.Key, executor: catalog.Incarnation(p.ActiveAt), endsBy: now + p.ActiveFor, arrived: now + longestDelivery}
		if p.Done || w.task(p.Key) == nil || !c.mayBeActive(w, r, now) {
			continue
		}
		w.formerRuns = append(w.formerRuns, r)
		if e := c.executors[r.executor]; e != nil {
			e.listNeededAt = max(e.listNeededAt, r.arrived)
		}
	}
}

// mayBeActive reports whether a former owner's run may be active without being known here. Runs at
// executors that have listed their runs to this owner are known. If the executor may restart under
// its id, the next incarnation obeys the former owner until it has answered this one, so a list is
// needed from the time when the start has arrived.
func (c *Cell) mayBeActive(w *jobState, r formerRun, now time.Duration) bool {
	if now >= r.endsBy {
		return false
	}
	e := c.executors[r.executor]
	if e == nil || !e.adopted {
		return true
	}
	t := w.task(r.task)
	isKnown := t.done || t.current != nil && t.current.executor == e
	return e.info.StartedAt > 0 && !isKnown && e.listRequestedAt < r.arrived
}

// mayHaveUnknownRuns reports whether a job may have runs that this owner does not know.
func (c *Cell) mayHaveUnknownRuns(w *jobState, now time.Duration) bool {
	return now < c.unnamedRunsEndBy(w) || c.mayBeAtLostOwner(w, now) || c.awaitsFormerRuns(w, now)
}

// unnamedRunsEndBy returns the time by which no run of a job can be active that is neither known
// here nor named by a former owner.
func (c *Cell) unnamedRunsEndBy(w *jobState) time.Duration {
	if w.unadoptedUntil > w.notBefore && !c.adoptedFor(w) {
		return w.unadoptedUntil
	}
	return w.notBefore
}

// awaitsFormerRuns reports whether a job waits for runs of its former owner that are not known
// here. Runs that it need not wait for are removed, as their executors may be forgotten later.
func (c *Cell) awaitsFormerRuns(w *jobState, now time.Duration) bool {
	w.formerRuns = slices.DeleteFunc(w.formerRuns, func(r formerRun) bool { return !c.mayBeActive(w, r, now) })
	return len(w.formerRuns) > 0
}
