package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// An executor lists its ends in order, and only so many of them at once. The end of a kept job's
// task that is not persisted yet keeps all later ends on the list, those of best-effort jobs
// included. While the store is down, the list of such an executor therefore fills up, and it gets
// further tasks only as long as their ends will be listed too. Executors without unpersisted ends
// are not limited: best-effort tasks prefer them, and kept tasks prefer the others.

const (
	// listedEnds is how many ends an executor lists at once, oldest first.
	listedEnds = 500
	// maxEndsToList limits the ends that an executor has to retain together with its runs. The
	// rest of the list is for starts that were given up and are carried out late.
	maxEndsToList = 480
	// maxEndsForBestEffort is the limit for best-effort tasks. It leaves room for the tasks of kept
	// jobs that already have ends there.
	maxEndsForBestEffort = 450
	// maxRetainedForNewJobs is the number of retained ends from which on an executor gets no
	// tasks of further kept jobs. The remaining tasks of jobs that already have ends there
	// need the rest.
	maxRetainedForNewJobs = 300
	// endsNearLimit is the number of retained ends from which on the progress of a job that
	// continues is persisted without waiting for its end.
	endsNearLimit = 150

	// retainedEndsCost is the placement cost of a full list for a best-effort task, in cores.
	retainedEndsCost = 200.0
	// startRetainingCost is the placement cost for a kept task, in cores, of an executor that has no other
	// ends to retain.
	startRetainingCost = 16.0

	// bestEffortPeriod is how long after the last best-effort job others are expected.
	bestEffortPeriod = 10 * time.Second

	// endRoomRetry is the retry advice to callers whose jobs no executor has room for.
	endRoomRetry = time.Second
)

// ReasonEndsNotPersisted marks a best-effort job that was refused because no executor can list
// the ends of further tasks until the store has taken those of kept jobs.
const ReasonEndsNotPersisted = "ends_not_persisted"

// retainedEnds returns how many ends an executor has to list.
func (e *executor) retainedEnds() int64 {
	if len(e.unpersisted) == 0 {
		return 0
	}
	return e.lastEndNumber - e.unpersisted[0].number + 1
}

// endsToList returns how many ends an executor will have to list once its runs have ended.
func (e *executor) endsToList() int64 { return e.retainedEnds() + int64(len(e.runs)) }

// mayRetainEnds reports whether an executor has to retain ends, or will have to when one of its
// runs ends.
func (e *executor) mayRetainEnds() bool { return len(e.unpersisted) > 0 || e.keptRuns > 0 }

// canList reports whether an executor can list the end of another task within a limit, which holds only
// where ends have to be retained.
func (e *executor) canList(limit int64) bool { return !e.mayRetainEnds() || e.endsToList() < limit }

// hasRoomForBestEffort reports whether an executor can list the end of another best-effort task.
func (e *executor) hasRoomForBestEffort() bool { return e.canList(maxEndsForBestEffort) }

// hasRoomForAnyEnd reports whether an executor can list the end of another task of at least some job.
func (e *executor) hasRoomForAnyEnd() bool { return e.canList(maxEndsToList) }

// hasRoomForEnds reports whether an executor can list the end of another task of a job.
func (c *Cell) hasRoomForEnds(e *executor, w *jobState, now time.Duration) bool {
	switch {
	case !w.job.Kept:
		return e.hasRoomForBestEffort()
	case e.endsToList() >= maxEndsToList:
		return false
	case len(c.unpersisted[w.job.ID]) == 0 && e.retainedEnds() >= maxRetainedForNewJobs:
		return false
	}
	return c.mayStartRetaining(e, now)
}

// SetStoreReachable tells whether this host reaches the store. Initially it counts as reachable.
func (c *Cell) SetStoreReachable(reachable bool) { c.storeUnreachable = !reachable }

// mayStartRetaining reports whether an executor may get a task of a kept job, whose end it will have to
// retain. While ends are not persisted and best-effort jobs come, at most half of the executors of a service
// do, so that the others can run best-effort tasks for as long as that lasts.
func (c *Cell) mayStartRetaining(e *executor, now time.Duration) bool {
	if e.mayRetainEnds() || !c.limitsRetaining {
		return true
	}
	retaining, all := 0, 0
	for _, other := range c.sorted {
		if other.info.Service != e.info.Service || !other.usable(now) {
			continue
		}
		all++
		if other.mayRetainEnds() {
			retaining++
		}
	}
	return retaining == 0 || 2*(retaining+1) <= all
}

// isPersistingOverdue reports whether ends have not been persisted within the usual time.
func (c *Cell) isPersistingOverdue(now time.Duration) bool {
	for _, e := range c.sorted {
		if len(e.unpersisted) > 0 && e.unpersisted[0].isOverdue(now) {
			return true
		}
	}
	return false
}

// endsCost is the part of the placement cost that separates executors that retain ends from those
// that are not limited by them.
func (e *executor) endsCost(w *jobState) float64 {
	if !w.job.Kept {
		return retainedEndsCost * float64(e.retainedEnds()) / maxEndsForBestEffort
	}
	if e.mayRetainEnds() {
		return 0
	}
	return startRetainingCost
}

// hidesEnds reports whether a response lists as many ends as an executor lists at once, so that there may
// be more. The end of a run that is missing from it may be one of these.
func (a HoldResponse) hidesEnds() bool { return len(a.Ended) >= listedEnds }

// refuseWithoutEndRoom refuses the best-effort jobs that have not started and whose service has no executor
// that can list their ends.
func (c *Cell) refuseWithoutEndRoom(now time.Duration) {
	if !slices.ContainsFunc(c.sorted, func(e *executor) bool { return !e.hasRoomForBestEffort() }) {
		return
	}
	lacksRoom := map[string]bool{} // by service
	for _, w := range c.sortedJobs() {
		if w.job.Kept || w.mayHaveStarted {
			continue
		}
		if _, known := lacksRoom[w.job.Service]; !known {
			lacksRoom[w.job.Service] = c.lacksEndRoom(w.job.Service, now)
		}
		if lacksRoom[w.job.Service] {
			c.finish(w, job.Outcome{Kind: job.Refused, Reason: ReasonEndsNotPersisted, RetryAfter: endRoomRetry})
		}
	}
}

// lacksEndRoom reports whether there are usable executors of a service, and none of them can list the end
// of another best-effort task.
func (c *Cell) lacksEndRoom(service string, now time.Duration) bool {
	lacks := false
	for _, e := range c.sorted {
		if e.info.Service != service || !e.usable(now) {
			continue
		}
		if e.hasRoomForBestEffort() {
			return false
		}
		lacks = true
	}
	return lacks
}
