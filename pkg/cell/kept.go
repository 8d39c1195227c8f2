package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A kept job is a durable job that runs to completion whether or not its caller waits. Its
// coordinator renews it as a front renews its callers' jobs. When the coordinator dies, the
// runs continue until another one takes over. A kept job therefore has no lease of its own and does
// not limit the leases at executors. There are two exceptions. An owner that is cut off may be
// replaced, so all kept jobs there share a lease (kept_lease.go). And an owner whose process was
// suspended may have been replaced, so a kept job there has a lease like any other until its next
// renewal.

const (
	// keptRenewalTimeout is how long an owner keeps a kept job without a renewal by its
	// coordinator. A coordinator that finds no owner for the job's cell waits longer than
	// this, including stops and leases, before it has the job run elsewhere.
	keptRenewalTimeout = 8 * time.Second
	// keptStartTimeout is how long after its last renewal further tasks of a kept job are
	// started: its coordinator may have died before it could report that the job was
	// cancelled. It is longer than the takeover of a coordinator.
	keptStartTimeout = 2 * time.Second
	// keptRunsEndWithin is how long after the loss of an owner runs of its kept jobs may go on, if
	// it lives: a coordinator that is isolated with it renews them for 6 s (isolationTimeout in
	// pkg/keeping), and keptRenewalTimeout and a job lease follow.
	keptRunsEndWithin = 16 * time.Second
)

// LeavesNoRuns reports whether a job that was returned for a reason has no runs in the cell, so
// that another cell may start it.
func LeavesNoRuns(reason string) bool {
	switch reason {
	case ReasonClosed, ReasonNoUsableExecutor, ReasonFailedOnAll, ReasonRoomElsewhere:
		return true
	}
	return false
}

// noExpiry is used as the lease end of a job that has no lease. Adding durations and clock
// readings to it does not overflow.
const noExpiry = time.Duration(1) << 61

// hasNoLease reports whether a job is a kept one that was renewed since this process was last
// suspended.
func (c *Cell) hasNoLease(w *jobState) bool { return w.job.Kept && w.renewedAt > c.pausedUntil }

// mayStartTasks reports whether tasks of a job may start: a kept job without a lease has to have
// been renewed recently. For jobs with a lease, leaseCovers decides.
func (c *Cell) mayStartTasks(w *jobState, now time.Duration) bool {
	return !c.hasNoLease(w) || now <= w.renewedAt+keptStartTimeout
}

// finalLeaseEnd returns until when the leases of a job's runs are renewed at most once the job is no
// longer here; 0 when it is unknown.
func (c *Cell) finalLeaseEnd(w *jobState) time.Duration {
	if c.hasNoLease(w) {
		return min(c.renewalEnd(c.lastEventAt), c.keptLeaseEnd())
	}
	return c.leaseEnd(w)
}

// renewalTimeout returns how long a job stays here after its last renewal.
func (c *Cell) renewalTimeout(w *jobState) time.Duration {
	if c.hasNoLease(w) {
		return keptRenewalTimeout
	}
	return c.params.JobLease - c.params.Lease/2
}

// mayBeAtLostOwner reports whether a lost owner that lives may still renew runs of a kept job at
// executors that have not answered this one.
func (c *Cell) mayBeAtLostOwner(w *jobState, now time.Duration) bool {
	if c.ownerMayLive {
		return w.lostOwnerUntil > 0 && (!c.adoptedFor(w) || c.lacksAnswers())
	}
	return now < w.lostOwnerUntil && !c.adoptedFor(w)
}

// isWaiting reports whether no task of the job has started. A kept job that a former owner had
// counts as waiting unless a task is known to have started.
func (w *jobState) isWaiting() bool {
	if w.job.Kept {
		return !w.knownStarted
	}
	return !w.mayHaveStarted
}

// firstKeptRun is the first run number of kept jobs within an epoch. The owner recognizes the
// ends of kept tasks by it before their jobs are here. Tasks of other jobs have far fewer runs
// per epoch.
const firstKeptRun = runsPerEpoch / 2

// isKeptRun reports whether a run number belongs to a kept job.
func isKeptRun(number int64) bool { return number%runsPerEpoch >= firstKeptRun }

// keptRunNumber returns the lowest run number of kept jobs that is at least next.
func keptRunNumber(next int64) int64 {
	if isKeptRun(next) {
		return next
	}
	return next + firstKeptRun - next%runsPerEpoch
}

// taskHistory summarizes the listed ends of a kept job's task.
type taskHistory struct {
	done    bool
	failed  []int64 // run numbers
	lastRun int64
}

// jobHistory has the histories of one job's tasks.
type jobHistory map[job.TaskKey]taskHistory

// recordEnd adds a listed end to the history of its task.
func (c *Cell) recordEnd(id string, key job.TaskKey, end EndedTask) {
	tasks := c.histories[id]
	if tasks == nil {
		tasks = jobHistory{}
		c.histories[id] = tasks
	}
	known := tasks[key]
	known.lastRun = max(known.lastRun, end.Run)
	known.done = known.done || end.Kind == EndDone
	if end.Kind == EndFailed && !slices.Contains(known.failed, end.Run) {
		known.failed = append(known.failed, end.Run)
	}
	tasks[key] = known
}

// ListedEnds returns what the listed ends tell of the tasks of a kept job, sorted by task. The job
// need not be here.
func (c *Cell) ListedEnds(id string) []job.Progress {
	var ends []job.Progress
	for key, known := range c.histories[id] {
		ends = append(ends, job.Progress{Key: key, Done: known.done, Failures: len(known.failed), FailedRuns: slices.Clone(known.failed), Run: known.lastRun})
	}
	job.SortProgress(ends)
	return ends
}

// adoptEnd applies the end of a kept job's run that is not known here: one of a former owner, or
// one that this owner had given up.
func (c *Cell) adoptEnd(end EndedTask) {
	w, t := c.findTask(end.Task)
	if t == nil || !w.job.Kept {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	if former, ok := c.histories[w.job.ID][t.key]; ok {
		c.applyHistory(w, t, former)
	}
	c.finishIfExhausted(w)
	c.finishIfDone(w)
}

// applyHistories applies the ends that executors list to a kept job.
func (c *Cell) applyHistories(w *jobState) {
	if !w.job.Kept {
		return
	}
	for key, former := range c.histories[w.job.ID] {
		if t := w.task(key); t != nil {
			c.applyHistory(w, t, former)
		}
	}
	for _, u := range c.unpersisted[w.job.ID] {
		u.verifyAt = 0
	}
	c.finishIfExhausted(w)
}

// applyHistory applies the history of a task.
func (c *Cell) applyHistory(w *jobState, t *task, former taskHistory) {
	w.mayHaveStarted, w.knownStarted = true, true
	t.lastRun = max(t.lastRun, former.lastRun)
	t.failures.merge(former.failed)
	if !former.done || t.done {
		return
	}
	t.done = true
	if t.current != nil {
		c.stopRun(t.current, "done_before")
	}
}

// isExhausted reports whether a task has used up its attempts.
func (w *jobState) isExhausted(t *task) bool {
	return !t.done && t.failures.count >= max(1, w.job.MaxAttempts)
}

// finishIfExhausted fails a job one of whose tasks has used up its attempts, counted over all
// owners.
func (c *Cell) finishIfExhausted(w *jobState) {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if w.isExhausted(t) {
				c.finish(w, job.Outcome{Kind: job.Failed, Reason: "task_failed", Started: true})
				return
			}
		}
	}
}
