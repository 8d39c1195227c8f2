package cell

import (
	"slices"
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A task may crash every executor that runs it, and all other runs there end with the
// executor. When an executor is lost, it is unknown which of its runs caused that, if any.
// All of their tasks are therefore suspect: each one runs alone next, on an executor without
// runs if there is one, and nothing is started beside it. A task whose runs crash a second
// executor is given up, and its job fails.
//
// An unresponsive executor may have crashed or be unreachable. Its next answer, or its next
// incarnation, shows which. A task during whose runs two executors became unresponsive
// waits for that, so that it does not crash one executor after another meanwhile.

const (
	// maxCrashes is how many executors may crash while they run a task, before the task is
	// given up. Its runs are known to have started there.
	maxCrashes = 2
	// maxLikelyCrashes is the same limit when crashes during unanswered starts are included:
	// the executor may have crashed before the start.
	maxLikelyCrashes = 5
	// firstLossPause is how long a task waits for the state of executors that were lost while
	// they ran it. It doubles with each further one. It is longer than most restarts of a
	// crashed executor.
	firstLossPause = 3 * time.Second
	// maxLossDoublings limits how often firstLossPause doubles.
	maxLossDoublings = 4
	// restartCheckTime is how long an executor that is no longer listed is polled to find out
	// whether another incarnation has started at its address.
	restartCheckTime = 5 * time.Second
)

// losses counts the executors that were lost while they ran a task.
type losses struct {
	crashes       int           // crashed while a run was known to have started
	likelyCrashes int           // crashed while a start was unanswered
	unresolved    int           // unresponsive, not known to have crashed
	lastAt        time.Duration // when the last one was lost, on our clock
}

// lostRun is a run that was given up because its executor became unresponsive.
type lostRun struct {
	job        *jobState
	task       *task
	hadStarted bool // the run is known to have started
	at         time.Duration
}

func newLostRun(r *run, now time.Duration) lostRun {
	return lostRun{job: r.job, task: r.task, hadStarted: r.confirmed || r.state == running, at: now}
}

// isSuspect reports whether an executor was lost while it ran the task.
func (t *task) isSuspect() bool { return t.losses.total() > 0 }

func (l *losses) total() int { return l.crashes + l.likelyCrashes + l.unresolved }

// isPausedByLosses reports whether the task waits to learn the state of lost executors.
func (t *task) isPausedByLosses(now time.Duration) bool {
	if t.losses.unresolved == 0 || t.losses.total() < maxCrashes {
		return false
	}
	doublings := min(t.losses.total()-maxCrashes, maxLossDoublings)
	return now < t.losses.lastAt+firstLossPause<<doublings
}

// hasCrashedTooOften reports whether the task has to be given up.
func (t *task) hasCrashedTooOften() bool {
	return !t.done && (t.losses.crashes >= maxCrashes || t.losses.crashes+t.losses.likelyCrashes >= maxLikelyCrashes)
}

// recordLostRun records that a run is given up because its executor is unresponsive.
func (c *Cell) recordLostRun(e *executor, r *run, now time.Duration) {
	if r.task == nil || r.state == stopping {
		return
	}
	e.lostRuns = append(e.lostRuns, newLostRun(r, now))
	r.task.losses.unresolved++
	r.task.losses.lastAt = now
}

// clearLostRuns records that an unresponsive executor has answered, so that it did not crash
// during the runs that were given up.
func (c *Cell) clearLostRuns(e *executor) {
	for _, lost := range e.lostRuns {
		lost.task.losses.unresolved--
	}
	c.dirty = c.dirty || len(e.lostRuns) > 0
	e.lostRuns = nil
}

// awaitsRestartCheck reports whether the executor may still turn out to have crashed during runs
// that were given up recently.
func (e *executor) awaitsRestartCheck(now time.Duration) bool {
	return len(e.lostRuns) > 0 && !e.ended && now < e.lostRuns[len(e.lostRuns)-1].at+restartCheckTime
}

// recordCrash counts the end of an executor's incarnation as a crash for the tasks that it ran
// and those whose runs were given up since it became unresponsive. Starts in flight are resolved
// by their answers. The end of a draining executor is not a crash.
func (c *Cell) recordCrash(e *executor, now time.Duration) {
	lost := e.lostRuns
	c.clearLostRuns(e)
	if e.info.Draining {
		return
	}
	for _, r := range e.sortedRuns() {
		if r.task != nil && r.state != stopping && r.state != starting {
			lost = append(lost, newLostRun(r, now))
		}
	}
	for _, l := range lost {
		c.countCrash(e, l)
	}
}

func (c *Cell) countCrash(e *executor, lost lostRun) {
	t, w := lost.task, lost.job
	if lost.hadStarted {
		t.losses.crashes++
	} else {
		t.losses.likelyCrashes++
	}
	t.losses.lastAt = max(t.losses.lastAt, lost.at)
	c.addNotice(Notice{Event: "executor_crashed_under", Executor: string(e.incarnation), Job: w.job.ID, Task: w.job.TaskName(t.key), Detail: strconv.Itoa(t.losses.crashes)})
	if c.jobs[w.job.ID] == w && t.hasCrashedTooOften() {
		c.finish(w, job.Outcome{Kind: job.Failed, Reason: ReasonCrashes, Started: true})
	}
}

// ReasonCrashes marks a job that failed because executors crashed while they ran one of its tasks.
const ReasonCrashes = "executors_crashed_under_task"

// idleExecutors returns the executors that have no runs.
func idleExecutors(executors []*executor) []*executor {
	return slices.DeleteFunc(slices.Clone(executors), func(e *executor) bool { return len(e.runs) > 0 })
}
