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
	// keptUnasked is how long an owner goes on with a kept job that no keeper asks
	// for. A keeper that finds no owner of the job's cell waits for 10 s before it has
	// the job run elsewhere; stops, leases and what is on its way fit between.
	keptUnasked = 8 * time.Second
	// keptUnaskedStart is how long an owner starts further tasks of such a job: it may
	// have been cancelled by a keeper that died before it could say so. Another keeper
	// asks within about a second.
	keptUnaskedStart = 2 * time.Second
	// strandedTime is how long a kept job waits in a cell that has no usable executor
	// of its service: the users allow 3 s without a run where there is room, and an
	// executor that was silent or ejected is mostly back within a second.
	strandedTime = 3 * time.Second
)

// ReasonStranded marks a kept job that was handed back because no executor here can
// run it. Nothing of it runs, so that any other cell may have it at once.
const ReasonStranded = "no_usable_executor"

// NothingRuns reports whether a job that was given back for a reason runs nowhere in
// the cell, so that another one may have it.
func NothingRuns(reason string) bool { return reason == ReasonClosed || reason == ReasonStranded }

// endless stands for the last renewal of a job that has no lease. It leaves room for
// sums with times of both clocks.
const endless = time.Duration(1) << 61

// isFree reports whether a job has no lease: a kept one that was asked for since this
// process last stood still.
func (c *Cell) isFree(w *work) bool { return w.job.Kept && w.renewedAt > c.pausedTill }

// leasedFrom returns the renewal that a job's lease counts from.
func (c *Cell) leasedFrom(w *work) time.Duration {
	if c.isFree(w) {
		return endless
	}
	return w.renewedAt
}

// mayStartFor reports whether somebody still waits for a job, as far as is known.
func (c *Cell) mayStartFor(w *work, now time.Duration) bool {
	return !c.isFree(w) || now <= w.renewedAt+keptUnaskedStart
}

// lastRenewal returns the renewal that the leases of a job's runs count from once it
// isn't here any more.
func (c *Cell) lastRenewal(w *work) time.Duration {
	if c.isFree(w) {
		return c.latest
	}
	return w.renewedAt
}

// patience returns how long a job stays here after its last renewal.
func (c *Cell) patience(w *work) time.Duration {
	if c.isFree(w) {
		return keptUnasked
	}
	return c.params.JobLease - c.params.Lease/2
}

// seeUsable notes which services have an executor that could get work.
func (c *Cell) seeUsable(now time.Duration) {
	for _, e := range c.sorted {
		if e.usable(now) {
			c.usableAt[e.info.Service] = now
		}
	}
}

// handBackStranded gives back the kept jobs that no executor here could run for some
// time and of which nothing runs.
func (c *Cell) handBackStranded(now time.Duration) {
	for _, w := range c.stranded(now) {
		c.note(Notice{Event: "job_stranded", Job: w.job.ID, Age: now - c.usableAt[w.job.Service]})
		c.finish(w, w.givenBack(ReasonStranded))
	}
}

// stranded returns those jobs, sorted by id. Mostly there is none, so that nothing is
// sorted at an owner without kept jobs.
func (c *Cell) stranded(now time.Duration) []*work {
	var works []*work
	for _, w := range c.works {
		if c.isStranded(w, now) {
			works = append(works, w)
		}
	}
	sortByID(works)
	return works
}

func (c *Cell) isStranded(w *work, now time.Duration) bool {
	since := max(w.submittedAt, c.usableAt[w.job.Service])
	// Before settleAt runs may go on that this owner hasn't seen.
	return w.job.Kept && now >= since+strandedTime && now >= w.settleAt && !w.hasRuns()
}

// tryAnywhere lets a task of a kept job start again where it has failed, once it has
// failed on all executors that could run it but those on trial: no deadline ends its
// wait for another one.
func (c *Cell) tryAnywhere(w *work, t *task) {
	if !w.job.Kept {
		return
	}
	constraint := w.job.Steps[t.key.Step].Constraint
	for _, e := range c.sorted {
		fits := e.info.Service == w.job.Service && (constraint == "" || e.info.HasLabel(constraint))
		if fits && e.listed && !e.gone && !e.info.Draining && !e.health.onTrial() && !t.hasFailedOn(e) {
			return
		}
	}
	t.failedOn = nil
	c.dirty = true
}

// waits reports whether nothing of the job has started. Of a kept one that a former
// owner had, only what is known counts: it may have waited there all the while.
func (w *work) waits() bool {
	if w.job.Kept {
		return !w.begun
	}
	return !w.started
}

// keptRuns is where the numbers of the runs of kept jobs begin within an epoch. So an
// owner knows the ends of kept tasks at its first look at an executor, before their
// jobs are here. Other tasks would need as many runs at one owner to be taken for such.
const keptRuns = runsPerEpoch / 2

// isKeptRun reports whether a run with this number is one of a kept job.
func isKeptRun(number int64) bool { return number%runsPerEpoch >= keptRuns }

// keptNumber returns the first number of a kept job's run from next on.
func keptNumber(next int64) int64 {
	if isKeptRun(next) {
		return next
	}
	return next + keptRuns - next%runsPerEpoch
}

// formerTask is what executors list of a task of a kept job.
type formerTask struct {
	done     bool
	failures int
	lastRun  int64
}

// formerTasks are those of one job.
type formerTasks map[job.TaskKey]formerTask

// remember adds an end to what executors list of its task.
func (c *Cell) remember(id string, key job.TaskKey, end EndedTask) {
	tasks := c.former[id]
	if tasks == nil {
		tasks = formerTasks{}
		c.former[id] = tasks
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
	w, t := c.taskNamed(end.Task)
	if t == nil || !w.job.Kept {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	if former, ok := c.former[w.job.ID][t.key]; ok {
		c.applyFormer(w, t, former)
	}
	c.finishIfSpent(w)
	c.finishIfDone(w)
}

// adoptKept gives a kept job the ends that executors list.
func (c *Cell) adoptKept(w *work) {
	if !w.job.Kept {
		return
	}
	for key, former := range c.former[w.job.ID] {
		if t := w.task(key); t != nil {
			c.applyFormer(w, t, former)
		}
	}
	for _, u := range c.unnoted[w.job.ID] {
		u.until = 0
	}
	c.finishIfSpent(w)
}

// applyFormer takes what earlier runs of a task came to.
func (c *Cell) applyFormer(w *work, t *task, former formerTask) {
	w.started, w.begun = true, true
	t.lastRun = max(t.lastRun, former.lastRun)
	t.inherit(former.failures)
	if !former.done || t.done {
		return
	}
	t.done = true
	if t.current != nil {
		c.stopRun(t.current, "done_before")
	}
}

// inherit takes how many failures former owners had of the task. Owners and executors
// tell of the same ones.
func (t *task) inherit(failures int) {
	if failures > t.inherited {
		t.failures += failures - t.inherited
		t.inherited = failures
	}
}

// isSpent reports whether a task has failed as often as it may.
func (w *work) isSpent(t *task) bool { return !t.done && t.failures >= max(1, w.job.MaxAttempts) }

// finishIfSpent ends a job one of whose tasks has failed as often as it may, counted
// over owners.
func (c *Cell) finishIfSpent(w *work) {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if w.isSpent(t) {
				c.finish(w, job.Outcome{Kind: job.Failed, Reason: "task_failed", Started: true})
				return
			}
		}
	}
}
