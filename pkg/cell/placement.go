package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// placeTasks starts waiting tasks where there is room, in the order of the jobs.
func (c *Cell) placeTasks(now time.Duration) {
	if !c.dirty {
		return
	}
	if c.closed || now < c.pausedUntil || c.placedRecently(now) || c.pacer.full() {
		return
	}
	c.dirty = false
	c.placedAt = now
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

// Ranking a long queue at every event would take all processor time just when
// there is most to do. The next event or tick places what waits.
const (
	longQueue  = 64 // jobs
	placePause = 3 * time.Millisecond
)

// placedRecently reports whether a long queue was gone through a moment ago.
func (c *Cell) placedRecently(now time.Duration) bool {
	return len(c.jobs) > longQueue && now < c.placedAt+placePause
}

// smallestNeed returns the least processor room that a job here asks for, and
// whether there is a job.
func (c *Cell) smallestNeed() (least int64, any bool) {
	for _, w := range c.jobs {
		if !any || w.leastCPU < least {
			least, any = w.leastCPU, true
		}
	}
	return least, any
}

// mostFreeCPU returns the largest free processor room among executors, or -1.
// Together with leastNeed it keeps a full cell from going through its queue.
func mostFreeCPU(executors []*executor) int64 {
	most := int64(-1)
	for _, e := range executors {
		most = max(most, e.info.Capacity.CPU-e.used.CPU)
	}
	return most
}

// placeJob starts what fits of a job.
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
			fullStep = t.key.Step // its other tasks want the same
		} else {
			c.retryAnywhere(w, t)
		}
	}
}

// candidateExecutors returns the executors that have room for something.
func (c *Cell) candidateExecutors(now time.Duration) []*executor {
	var candidates []*executor
	for _, e := range c.sorted {
		if e.usable(now) && now >= e.fullUntil && e.free().CPU > 0 && e.suspectRuns == 0 && c.mayLeaseStart(e, now) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

// chooseExecutor returns the executor for a task. One under which executors were lost runs alone
// where there is an executor without runs.
func (c *Cell) chooseExecutor(candidates []*executor, w *jobState, t *task, now time.Duration) *executor {
	if t.isSuspect() {
		if e := c.bestFit(idleExecutors(candidates), w, t, now); e != nil {
			return e
		}
	}
	return c.bestFit(candidates, w, t, now)
}

// bestFit returns the executor that a task fills best, so that no room is left that fits
// nothing.
func (c *Cell) bestFit(candidates []*executor, w *jobState, t *task, now time.Duration) *executor {
	step := &w.job.Steps[t.key.Step]
	var best *executor
	var bestCost float64
	for _, e := range candidates {
		if e.suspectRuns > 0 || !c.suits(e, w, t, step) || !c.leaseCovers(w, e, now) || !c.mayRetainEndsOf(e, w) {
			continue
		}
		cost := placementCost(e, step)
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
	if e.info.Service != w.job.Service || !e.free().Fits(step.Needs) {
		return false
	}
	if e.health.onProbation() && (len(e.runs) > 0 || t.failures > 0) {
		return false
	}
	if step.Constraint != "" && !e.info.HasLabel(step.Constraint) {
		return false
	}
	if t.hasFailedOn(e) {
		return false
	}
	return step.AntiAffinity == 0 || e.countRunsOfStep(w, t.key.Step) < step.AntiAffinity
}

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
	noAffinityCost    = 4.0 // for running far from the data
	milliCoresPerCore = 1000.0
	unclearCost       = 1e6 // more than any other, so that such an executor comes last
)

// placementCost is lower for a better fit: little room left over, a fast executor, and
// near the data.
func placementCost(e *executor, step *job.Step) float64 {
	left := e.free().Sub(step.Needs)
	cost := float64(left.CPU)/milliCoresPerCore + slowdownCost*e.slowdown.logFactor()
	if step.Affinity != "" && !e.info.HasLabel(step.Affinity) {
		cost += noAffinityCost
	}
	return cost
}
