package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// A kept job has no deadline, so it must not wait in a cell that has no executor for it.

const (
	// noExecutorTimeout is how long a kept job waits in a cell without a usable executor of
	// its service. It is longer than most interruptions of all executors, as by a takeover.
	noExecutorTimeout = 3 * time.Second
	// noFittingExecutorTimeout is the same while others are usable, but none can run the job's
	// next tasks. It is longer than most ejections, and shorter than the time for which users let
	// a job stand still beside idle executors, 3 s.
	noFittingExecutorTimeout = 1500 * time.Millisecond
)

// ReasonNoUsableExecutor marks a kept job that was returned to its front because no executor here
// can run it. It has no runs here, so any other cell may start it at once.
const ReasonNoUsableExecutor = "no_usable_executor"

// recordUsable records which tasks of the kept jobs here have a usable executor, by what they require, and which
// of their services have any.
func (c *Cell) recordUsable(now time.Duration) {
	usableAt := make(map[catalog.Requirement]time.Duration, len(c.usableAt))
	record := func(r catalog.Requirement) {
		if _, recorded := usableAt[r]; recorded {
			return
		}
		usableAt[r] = c.usableAt[r]
		if slices.ContainsFunc(c.sorted, func(e *executor) bool { return e.usable(now) && e.info.Meets(r) }) {
			usableAt[r] = now
		}
	}
	for _, w := range c.jobs {
		if !w.job.Kept {
			continue
		}
		record(w.anyOfService())
		for step, tasks := range w.steps {
			if anyWaiting(tasks) {
				record(w.requirement(step))
			}
		}
	}
	c.usableAt = usableAt
}

// anyOfService returns the requirement that all executors of the job's service meet.
func (w *jobState) anyOfService() catalog.Requirement {
	return catalog.Requirement{Service: w.job.Service}
}

// requirement returns what a task of a step needs of an executor.
func (w *jobState) requirement(step int) catalog.Requirement {
	return catalog.RequirementOf(w.job, step)
}

// returnWithoutExecutor returns to their fronts the kept jobs without runs for whose next tasks there has been
// no usable executor for too long.
func (c *Cell) returnWithoutExecutor(now time.Duration) {
	for _, w := range c.jobsWithoutExecutor(now) {
		c.addNotice(Notice{Event: "job_stranded", Job: w.job.ID, Age: now - c.executorSeenAt(w)})
		c.returnJob(w, ReasonNoUsableExecutor)
	}
}

// jobsWithoutExecutor lists these jobs, sorted by id.
func (c *Cell) jobsWithoutExecutor(now time.Duration) []*jobState {
	var jobs []*jobState
	for _, w := range c.jobs {
		if c.lacksExecutor(w, now) {
			jobs = append(jobs, w)
		}
	}
	sortByID(jobs)
	return jobs
}

func (c *Cell) lacksExecutor(w *jobState, now time.Duration) bool {
	if !w.job.Kept || now < w.submittedAt+noFittingExecutorTimeout {
		return false
	}
	timeout := noExecutorTimeout
	if c.usableAt[w.anyOfService()] == now {
		timeout = noFittingExecutorTimeout
	}
	return now >= c.executorSeenAt(w)+timeout && !c.mayHaveUnknownRuns(w, now) && !w.hasRuns()
}

// executorSeenAt returns when an executor was last usable for a task of a job that may start now, at the earliest
// when the job came.
func (c *Cell) executorSeenAt(w *jobState) time.Duration {
	seenAt := w.submittedAt
	for step, tasks := range w.steps {
		if w.stepReady(step) && anyWaiting(tasks) {
			seenAt = max(seenAt, c.usableAt[w.requirement(step)])
		}
	}
	return seenAt
}
