package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// placeTasks starts waiting tasks on executors that have capacity, in the order of their jobs.
func (c *Cell) placeTasks(now time.Duration) {
	if !c.dirty {
		return
	}
	if c.closed || now < c.pausedUntil || c.placedRecently(now) || c.pacer.full() {
		return
	}
	c.dirty = false
	c.placedAt = now
	c.limitsRetaining = now < c.bestEffortUntil && (c.storeUnreachable || c.isPersistingOverdue(now))
	candidates := c.candidateExecutors(now)
	least, waiting := c.smallestNeed()
	if !waiting || mostFreeCPU(candidates) < least {
		return
	}
	for _, w := range c.rankedJobs(now) {
		c.placeJob(candidates, w, now)
		if mostFreeCPU(candidates) < least || c.pacer.full() {
			return
		}
	}
}

// A long queue is not ranked at every event, which would take too much processor time under
// load. The next event or tick places the waiting tasks.
const (
	longQueue  = 64 // number of jobs
	placePause = 3 * time.Millisecond
)

// placedRecently reports whether the queue is long and was placed less than placePause ago.
func (c *Cell) placedRecently(now time.Duration) bool {
	return len(c.jobs) > longQueue && now < c.placedAt+placePause
}

// smallestNeed returns the smallest processor need of a task of any job here, and whether there
// is a job.
func (c *Cell) smallestNeed() (least int64, any bool) {
	for _, w := range c.jobs {
		if !any || w.leastCPU < least {
			least, any = w.leastCPU, true
		}
	}
	return least, any
}

// mostFreeCPU returns the largest free processor capacity among executors, or -1. With
// smallestNeed it avoids ranking the queue of a full cell.
func mostFreeCPU(executors []*executor) int64 {
	most := int64(-1)
	for _, e := range executors {
		most = max(most, e.info.Capacity.CPU-e.used.CPU)
	}
	return most
}

// placeJob starts the waiting tasks of a job that fit.
func (c *Cell) placeJob(candidates []*executor, w *jobState, now time.Duration) {
	fullStep := -1
	for _, t := range w.waitingTasks() {
		if t.key.Step == fullStep {
			continue
		}
		if c.pacer.full() {
			return
		}
		if t.isPausedByLosses(now) {
			continue
		}
		if e := c.chooseExecutor(candidates, w, t, now); e != nil {
			c.startTask(e, w, t, now)
		} else if len(t.failedOn) == 0 && !t.isSuspect() {
			fullStep = t.key.Step // the step's other tasks have the same needs
		} else {
			c.retryAnywhere(w, t, now)
		}
	}
}

// candidateExecutors returns the executors on which a task may start.
func (c *Cell) candidateExecutors(now time.Duration) []*executor {
	var candidates []*executor
	for _, e := range c.sorted {
		hasRoom := e.free().CPU > 0 && e.hasRoomForAnyEnd()
		if e.usable(now) && now >= e.fullUntil && hasRoom && e.suspectRuns == 0 && c.mayLeaseStart(e, now) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// chooseExecutor returns the executor for a task, or nil. A suspect task gets one without runs if
// there is any, and only such a one after several losses.
func (c *Cell) chooseExecutor(candidates []*executor, w *jobState, t *task, now time.Duration) *executor {
	if t.isSuspect() {
		if e := c.bestFit(idleExecutors(candidates), w, t, now); e != nil {
			return e
		}
	}
	if t.mustRunAlone(now) {
		return nil
	}
	return c.bestFit(candidates, w, t, now)
}

// bestFit returns the suitable executor with the lowest placement cost, or nil.
func (c *Cell) bestFit(candidates []*executor, w *jobState, t *task, now time.Duration) *executor {
	step := &w.job.Steps[t.key.Step]
	var best *executor
	var bestCost float64
	for _, e := range candidates {
		if e.suspectRuns > 0 || !c.suits(e, w, t, step) || !c.leaseCovers(w, e, now) || !c.hasRoomForEnds(e, w, now) {
			continue
		}
		cost := placementCost(e, step) + e.endsCost(w)
		if slices.Contains(t.unclearOn, e.incarnation) {
			cost += unclearCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// suits reports whether a task may run on an executor.
func (c *Cell) suits(e *executor, w *jobState, t *task, step *job.Step) bool {
	r := w.requirement(t.key.Step)
	if !e.info.Meets(r) || !e.free().Fits(step.Needs) {
		return false
	}
	if e.health.onProbation() && (len(e.runs) > 0 || t.failures.count > 0 && c.anyExecutorFor(r, (*executor).isOffProbation)) {
		return false
	}
	if t.hasFailedOn(e) {
		return false
	}
	return step.AntiAffinity == 0 || e.countRunsOfStep(w, t.key.Step) < step.AntiAffinity
}

// anyExecutorFor reports whether any listed executor that such a task may run on, now or later, matches.
func (c *Cell) anyExecutorFor(r catalog.Requirement, matches func(e *executor) bool) bool {
	return slices.ContainsFunc(c.sorted, func(e *executor) bool {
		return e.info.Meets(r) && e.listed && !e.ended && !e.info.Draining && matches(e)
	})
}

// isOffProbation reports whether the executor may run tasks that have failed before. Failures of these say little
// about the executor.
func (e *executor) isOffProbation() bool { return !e.health.onProbation() }

// hasFailedOn reports whether a run of the task has failed on an executor.
func (t *task) hasFailedOn(e *executor) bool { return slices.Contains(t.failedOn, e.incarnation) }

func (e *executor) countRunsOfStep(w *jobState, step int) int {
	count := 0
	for _, r := range e.runs {
		if r.job == w && r.task.key.Step == step {
			count++
		}
	}
	return count
}

const (
	noAffinityCost    = 4.0 // for an executor without the label that the step prefers
	milliCoresPerCore = 1000.0
	unclearCost       = 1e6 // higher than any other, so that such executors come last
)

// placementCost is lower for a better executor: little capacity left over, fast, and with the
// label that the step prefers.
func placementCost(e *executor, step *job.Step) float64 {
	left := e.free().Sub(step.Needs)
	cost := float64(left.CPU)/milliCoresPerCore + slowdownCost*e.slowdown.logFactor()
	if step.Affinity != "" && !e.info.HasLabel(step.Affinity) {
		cost += noAffinityCost
	}
	return cost
}
