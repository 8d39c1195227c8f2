package cell

import (
	"strconv"
	"time"
)

// judgeTime takes the time of a run that ended well.
func (c *Cell) judgeTime(e *executor, r *run, now time.Duration) {
	if r.orderAt == 0 || r.estimate == 0 {
		return
	}
	took := now - r.orderAt
	c.learnTime(e, r, took)
	if isSlow(took, r.estimate) {
		c.blame(e, "slow", r.name, now)
		return
	}
	e.health.succeeded()
}

// learnTime takes the time of a run for the times to expect. Those of executors
// that are suspected tell of the executor.
func (c *Cell) learnTime(e *executor, r *run, took time.Duration) {
	if r.work != nil && !e.health.onTrial() {
		step := &r.work.job.Steps[r.task.key.Step]
		c.times.observe(r.work.job.Route, step.TaskTime(), took)
	}
}

// isSlow reports whether a time is far above its estimate. The estimates of
// short tasks say little.
func isSlow(took, estimate time.Duration) bool {
	return took > time.Duration(slowRatio*float64(estimate))+slowestJudged
}

// Limits of stopping a run that is far behind.
const (
	behindFloor  = 120 * time.Millisecond // nothing is judged sooner
	maxRescues   = 2
	rescueFactor = 2 // of the estimate that has to be left
)

// judgeProgress finds runs that stand still or crawl. Their executor gets no
// new work; the run itself is stopped when a new one would end far sooner.
func (c *Cell) judgeProgress(e *executor, r *run, now time.Duration) {
	elapsed := now - max(r.orderAt, r.claimedAt)
	if elapsed < behindFloor {
		return
	}
	projected := elapsed * 100 / time.Duration(max(r.percent, 1))
	if !isSlow(projected, r.estimate) || (r.percent == 0 && elapsed < 3*r.estimate/4) {
		return
	}
	c.blame(e, "behind", r.name, now)
	left := projected - elapsed
	if r.task.rescues >= maxRescues || left < rescueFactor*r.estimate+2*c.params.StopTime {
		return
	}
	r.task.rescues++
	r.task.failedOn = append(r.task.failedOn, e.info.ID)
	c.note(Notice{Event: "run_behind", Executor: e.info.ID, Job: r.work.job.ID, Task: r.name, Detail: strconv.Itoa(r.percent) + "%", Age: elapsed})
	c.stopRun(r, "behind")
}
