package cell

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A kept job runs to its end whether or not anybody waits for it here. Its keeper, who
// follows it as a front follows its callers' jobs, may die: its runs then go on until
// another keeper asks. So a kept job has no lease, while its owner runs without a gap:
// no lease at an executor is bound by it. An owner whose process stood still may have
// been replaced; it holds a kept job like any other until it is asked for again.

const (
	// keptRenewalTimeout is how long an owner goes on with a kept job that no keeper asks
	// for. A keeper that finds no owner of the job's cell waits for 10 s before it has
	// the job run elsewhere; stops, leases and what is on its way fit between.
	keptRenewalTimeout = 8 * time.Second
	// keptStartTimeout is how long an owner starts further tasks of such a job: it may
	// have been cancelled by a keeper that died before it could say so. Another keeper
	// asks within about a second.
	keptStartTimeout = 2 * time.Second
	// noExecutorTimeout is how long a kept job waits in a cell that has no usable executor
	// of its service: the users allow 3 s without a run where there is room, and an
	// executor that was silent or ejected is mostly back within a second.
	noExecutorTimeout = 3 * time.Second
)

// ReasonStranded marks a kept job that was handed back because no executor here can
// run it. Nothing of it runs, so that any other cell may have it at once.
const ReasonStranded = "no_usable_executor"

// NothingRuns reports whether a job that was given back for a reason runs nowhere in
// the cell, so that another one may have it.
func NothingRuns(reason string) bool { return reason == ReasonClosed || reason == ReasonStranded }

// noExpiry stands for the last renewal of a job that has no lease. It leaves room for
// sums with times of both clocks.
const noExpiry = time.Duration(1) << 61

// hasNoLease reports whether a job has no lease: a kept one that was asked for since this
// process last stood still.
func (c *Cell) hasNoLease(w *jobState) bool { return w.job.Kept && w.renewedAt > c.pausedUntil }

// leaseRenewedAt returns the renewal that a job's lease counts from.
func (c *Cell) leaseRenewedAt(w *jobState) time.Duration {
	if c.hasNoLease(w) {
		return noExpiry
	}
	return w.renewedAt
}

// mayStartTasks reports whether somebody still waits for a job, as far as is known.
func (c *Cell) mayStartTasks(w *jobState, now time.Duration) bool {
	return !c.hasNoLease(w) || now <= w.renewedAt+keptStartTimeout
}

// lastRenewal returns the renewal that the leases of a job's runs count from once it
// isn't here any more.
func (c *Cell) lastRenewal(w *jobState) time.Duration {
	if c.hasNoLease(w) {
		return c.lastEventAt
	}
	return w.renewedAt
}

// renewalTimeout returns how long a job stays here after its last renewal.
func (c *Cell) renewalTimeout(w *jobState) time.Duration {
	if c.hasNoLease(w) {
		return keptRenewalTimeout
	}
	return c.params.JobLease - c.params.Lease/2
}

// recordUsable notes which services have an executor that could get work.
func (c *Cell) recordUsable(now time.Duration) {
	for _, e := range c.sorted {
		if e.usable(now) {
			c.usableAt[e.info.Service] = now
		}
	}
}

// returnWithoutExecutor gives back the kept jobs that no executor here could run for some
// time and of which nothing runs.
func (c *Cell) returnWithoutExecutor(now time.Duration) {
	for _, w := range c.jobsWithoutExecutor(now) {
		c.addNotice(Notice{Event: "job_stranded", Job: w.job.ID, Age: now - c.usableAt[w.job.Service]})
		c.finish(w, w.returnedOutcome(ReasonStranded))
	}
}

// jobsWithoutExecutor returns those jobs, sorted by id. Mostly there is none, so that nothing is
// sorted at an owner without kept jobs.
func (c *Cell) jobsWithoutExecutor(now time.Duration) []*jobState {
	var works []*jobState
	for _, w := range c.jobs {
		if c.lacksExecutor(w, now) {
			works = append(works, w)
		}
	}
	sortByID(works)
	return works
}

func (c *Cell) lacksExecutor(w *jobState, now time.Duration) bool {
	since := max(w.submittedAt, c.usableAt[w.job.Service])
	// Before settleAt runs may go on that this owner hasn't seen.
	return w.job.Kept && now >= since+noExecutorTimeout && now >= w.notBefore && !w.hasRuns()
}

// retryAnywhere lets a task of a kept job start again where it has failed, once it has
// failed on all executors that could run it but those on trial: no deadline ends its
// wait for another one.
func (c *Cell) retryAnywhere(w *jobState, t *task) {
	if !w.job.Kept {
		return
	}
	constraint := w.job.Steps[t.key.Step].Constraint
	for _, e := range c.sorted {
		fits := e.info.Service == w.job.Service && (constraint == "" || e.info.HasLabel(constraint))
		if fits && e.listed && !e.ended && !e.info.Draining && !e.health.onProbation() && !t.hasFailedOn(e) {
			return
		}
	}
	t.failedOn = nil
	c.dirty = true
}

// isWaiting reports whether nothing of the job has started. Of a kept one that a former
// owner had, only what is known counts: it may have waited there all the while.
func (w *jobState) isWaiting() bool {
	if w.job.Kept {
		return !w.knownStarted
	}
	return !w.mayHaveStarted
}

// firstKeptRun is where the numbers of the runs of kept jobs begin within an epoch. So an
// owner knows the ends of kept tasks at its first look at an executor, before their
// jobs are here. Other tasks would need as many runs at one owner to be taken for such.
const firstKeptRun = runsPerEpoch / 2

// isKeptRun reports whether a run with this number is one of a kept job.
func isKeptRun(number int64) bool { return number%runsPerEpoch >= firstKeptRun }

// keptRunNumber returns the first number of a kept job's run from next on.
func keptRunNumber(next int64) int64 {
	if isKeptRun(next) {
		return next
	}
	return next + firstKeptRun - next%runsPerEpoch
}

// taskHistory is what executors list of a task of a kept job.
type taskHistory struct {
	done     bool
	failures int
	lastRun  int64
}

// jobHistory are those of one job.
type jobHistory map[job.TaskKey]taskHistory

// recordEnd adds an end to what executors list of its task.
func (c *Cell) recordEnd(id string, key job.TaskKey, end EndedTask) {
	tasks := c.histories[id]
	if tasks == nil {
		tasks = jobHistory{}
		c.histories[id] = tasks
	}
	known := tasks[key]
	known.lastRun = max(known.lastRun, end.Run)
	known.done = known.done || end.Kind == EndDone
	if end.Kind == EndFailed {
		known.failures++
	}
	tasks[key] = known
}

// adoptEnd takes the end of a run of a kept job that isn't known here: of a former
// owner, or one that this owner took for gone.
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

// applyHistories gives a kept job the ends that executors list.
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
		u.retainUntil = 0
	}
	c.finishIfExhausted(w)
}

// applyHistory takes what earlier runs of a task came to.
func (c *Cell) applyHistory(w *jobState, t *task, former taskHistory) {
	w.mayHaveStarted, w.knownStarted = true, true
	t.lastRun = max(t.lastRun, former.lastRun)
	t.mergeFailures(former.failures)
	if !former.done || t.done {
		return
	}
	t.done = true
	if t.current != nil {
		c.stopRun(t.current, "done_before")
	}
}

// mergeFailures takes how many failures former owners had of the task. Owners and executors
// tell of the same ones.
func (t *task) mergeFailures(failures int) {
	if failures > t.mergedFailures {
		t.failures += failures - t.mergedFailures
		t.mergedFailures = failures
	}
}

// isExhausted reports whether a task has failed as often as it may.
func (w *jobState) isExhausted(t *task) bool {
	return !t.done && t.failures >= max(1, w.job.MaxAttempts)
}

// finishIfExhausted ends a job one of whose tasks has failed as often as it may, counted
// over owners.
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
