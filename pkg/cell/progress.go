package cell

import (
	"strconv"
	"time"
)

// assessRunTime updates the executor's health and the time statistics from a completed run.
func (c *Cell) assessRunTime(e *executor, r *run, now time.Duration) {
	if r.firstSentAt == 0 || r.estimate == 0 {
		return
	}
	if r.copies.sent == 1 && e.unansweredHoldAt == 0 {
		c.learnTime(e, r, now-r.firstSentAt)
	}
	took := e.minRunTime(r, now)
	if isSlow(took, r.estimate) {
		if !c.isLongTask(e, r) {
			c.penalize(e, "slow", r.name, now)
		}
		return
	}
	if took <= time.Duration(inTimeRatio*float64(r.estimate)) {
		e.health.inTimeAt = now
	}
	e.health.succeeded()
}

// inTimeRatio is the ratio of a run's time to its estimate up to which the run shows that its
// executor is healthy. It is above the usual error of estimates, a factor of 1.7, and below the
// ratio of runs on slow executors, which is 5.
const inTimeRatio = 2.0

// isLongTask reports whether a run takes far longer than its estimate because of its task: another
// run has ended in time at its executor since it started, or its task was as slow at another
// executor. Otherwise long tasks with short estimates would eject one executor after another, and
// be restarted each time.
func (c *Cell) isLongTask(e *executor, r *run) bool {
	long := e.health.inTimeAt > r.copies.sentAt || r.task != nil && r.task.stragglerRestarts > 0
	if long && !r.longReported {
		r.longReported = true
		c.addNotice(Notice{Event: "task_long", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Detail: strconv.Itoa(r.percent) + "%", Age: r.estimate})
	}
	return long
}

// minRunTime returns the least time that a completed run can have taken: from the newest copy of
// its start to the first hold that went unanswered, if any, as its end may have been missed since.
// This keeps lost calls from counting as slowness of the executor.
func (e *executor) minRunTime(r *run, now time.Duration) time.Duration {
	if e.unansweredHoldAt > 0 {
		now = min(now, e.unansweredHoldAt)
	}
	return now - r.copies.sentAt
}

// learnTime adds the time of a run to the statistics. Times at executors on probation are left
// out, as they show the executor's state rather than the task's time.
func (c *Cell) learnTime(e *executor, r *run, took time.Duration) {
	if r.job != nil && !e.health.onProbation() {
		step := &r.job.job.Steps[r.task.key.Step]
		c.times.observe(r.job.job.Route, step.TaskTime(), took)
		e.slowdown.observe(r.job.estimate(r.task.key.Step), took)
	}
}

// isSlow reports whether a time is far above its estimate. slowMargin is added because the
// estimates of short tasks are unreliable.
func isSlow(took, estimate time.Duration) bool {
	return took > time.Duration(slowRatio*float64(estimate))+slowMargin
}

// Limits for stopping runs that are far behind.
const (
	minJudgedTime        = 120 * time.Millisecond // runs are not checked sooner
	maxStragglerRestarts = 2
	stragglerFactor      = 2 // multiple of the estimate that has to be left
)

// isStalled reports whether a run has stopped making progress. A task that takes up to 50 times its
// estimate still advances by a percent within half the estimate.
func (r *run) isStalled(now time.Duration) bool {
	return r.percent == 0 || now > r.progressedAt+r.estimate/2
}

// checkProgress penalizes the executor of a run that is stalled or far behind its estimate, and
// stops the run when a restarted one would end much sooner.
func (c *Cell) checkProgress(e *executor, r *run, now time.Duration) {
	elapsed := now - max(r.copies.sentAt, r.attachedAt)
	if elapsed < minJudgedTime {
		return
	}
	projected := elapsed * 100 / time.Duration(max(r.percent, 1))
	if !isSlow(projected, r.estimate) || (r.percent == 0 && elapsed < 3*r.estimate/4) {
		return
	}
	if !r.isStalled(now) && c.isLongTask(e, r) {
		return
	}
	c.penalize(e, "behind", r.name, now)
	left := projected - elapsed
	if r.task.stragglerRestarts >= maxStragglerRestarts || left < stragglerFactor*r.estimate+2*c.params.StopTime {
		return
	}
	r.task.stragglerRestarts++
	r.task.failedOn = append(r.task.failedOn, e.incarnation)
	c.addNotice(Notice{Event: "run_behind", Executor: e.info.ID, Job: r.job.job.ID, Task: r.name, Detail: strconv.Itoa(r.percent) + "%", Age: elapsed})
	c.stopRun(r, "behind")
}
