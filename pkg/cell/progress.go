package cell

import (
	"strconv"
	"time"
)

// assessRunTime takes the time of a run that ended well.
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

// inTimeRatio is the time of a run to its estimate up to which the run shows that its
// executor is sound. Estimates are off by a factor of 1.7, and slow executors by 5.
const inTimeRatio = 2.0

// isLongTask reports whether a run that takes far more than its estimate does so by itself:
// another one has ended in time at its executor since it began, or it took as long at
// another executor before. Else each of the long tasks among short estimates would eject
// an executor after the other, and start anew as often.
func (c *Cell) isLongTask(e *executor, r *run) bool {
	long := e.health.inTimeAt > r.copies.sentAt || r.task != nil && r.task.stragglerRestarts > 0
	if long && !r.longReported {
		r.longReported = true
		c.addNotice(Notice{Event: "task_long", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Detail: strconv.Itoa(r.percent) + "%", Age: r.estimate})
	}
	return long
}

// minRunTime returns how long a run that has ended took at least: from the newest copy
// of its start to the moment from which on its end may have been missed. What an owner
// learns late would else count as the time of healthy executors.
func (e *executor) minRunTime(r *run, now time.Duration) time.Duration {
	if e.unansweredHoldAt > 0 {
		now = min(now, e.unansweredHoldAt)
	}
	return now - r.copies.sentAt
}

// learnTime takes the time of a run for the times to expect. Those of executors
// that are suspected tell of the executor.
func (c *Cell) learnTime(e *executor, r *run, took time.Duration) {
	if r.job != nil && !e.health.onProbation() {
		step := &r.job.job.Steps[r.task.key.Step]
		c.times.observe(r.job.job.Route, step.TaskTime(), took)
		e.slowdown.observe(r.job.estimate(r.task.key.Step), took)
	}
}

// isSlow reports whether a time is far above its estimate. The estimates of
// short tasks say little.
func isSlow(took, estimate time.Duration) bool {
	return took > time.Duration(slowRatio*float64(estimate))+slowMargin
}

// Limits of stopping a run that is far behind.
const (
	minJudgedTime        = 120 * time.Millisecond // nothing is judged sooner
	maxStragglerRestarts = 2
	stragglerFactor      = 2 // of the estimate that has to be left
)

// isStalled reports whether a run makes no progress, as a long task would: one that
// takes fifty times its estimate moves on by a percent in half of that.
func (r *run) isStalled(now time.Duration) bool {
	return r.percent == 0 || now > r.progressedAt+r.estimate/2
}

// checkProgress finds runs that stand still or crawl. Their executor gets no
// new work; the run itself is stopped when a new one would end far sooner.
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
