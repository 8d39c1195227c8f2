package cell

import (
	"slices"
	"time"
)

// ReasonFailedOnAll marks a kept job that was returned to its front because a task with one attempt left has failed
// on all suitable executors here. It has no runs here either.
const ReasonFailedOnAll = "failed_on_all_targets"

// LastAttemptPause is how long a task that has failed on all suitable executors, of whichever cell, waits before its
// last attempt. These may fail all that they start for some seconds; users let a job stand still for 3 s.
const LastAttemptPause = 2 * time.Second

// retryAnywhere lets a task of a kept job start again where it has failed, once it has failed on all suitable
// executors except those on probation. A kept job has no deadline that would end its wait for another executor.
// The last attempt comes later than the others.
func (c *Cell) retryAnywhere(w *jobState, t *task, now time.Duration) {
	if !w.job.Kept {
		return
	}
	if c.anyExecutorFor(w.requirement(t.key.Step), func(e *executor) bool { return e.isOffProbation() && !t.hasFailedOn(e) }) {
		t.failedOnAllAt = 0
		return
	}
	if t.failedOnAllAt == 0 {
		t.failedOnAllAt = now
	}
	if w.isAtLastAttempt(t) && now < t.failedOnAllAt+LastAttemptPause {
		w.failedOnAll = true
		return
	}
	t.failedOn, t.failedOnAllAt = nil, 0
	c.dirty = true
}

// isAtLastAttempt reports whether another failure of a task would fail its job.
func (w *jobState) isAtLastAttempt(t *task) bool {
	return t.failures.count > 0 && t.failures.count+1 >= w.job.MaxAttempts
}

// returnFailedOnAll returns to their fronts the kept jobs without runs that have a task which has failed on all
// suitable executors here, and has one attempt left. Executors of another cell may be sound.
func (c *Cell) returnFailedOnAll(now time.Duration) {
	var jobs []*jobState
	for _, w := range c.jobs {
		w.failedOnAll = w.failedOnAll && w.hasFailedOnAll()
		if w.failedOnAll && !c.mayHaveUnknownRuns(w, now) && !w.hasRuns() {
			jobs = append(jobs, w)
		}
	}
	sortByID(jobs)
	for _, w := range jobs {
		c.addNotice(Notice{Event: "job_failed_on_all", Job: w.job.ID, Age: now - w.submittedAt})
		c.returnJob(w, ReasonFailedOnAll)
	}
}

// hasFailedOnAll reports whether a waiting task has failed on all suitable executors and has one attempt left.
func (w *jobState) hasFailedOnAll() bool {
	return slices.ContainsFunc(w.waitingTasks(), func(t *task) bool { return t.failedOnAllAt > 0 && w.isAtLastAttempt(t) })
}
