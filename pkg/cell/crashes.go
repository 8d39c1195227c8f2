package cell

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A task may crash every executor that runs it, and all other runs there end with the
// executor. When an executor is lost, it is unknown which of its runs caused that, if any.
// All of their tasks are therefore suspect: each one runs alone next, on an executor without
// runs if there is one, and nothing is started beside it.
//
// A best-effort job fails if the crashes are evidence against one of its tasks (executor_losses.go).
// Without it, it ends after a few crashes as one that may have run in part. A kept job fails by
// the failed ends of a task only; it continues, with pauses between its task's starts.
//
// An unresponsive executor may have crashed or be unreachable. Its next answer, or its next
// incarnation, shows which. A task during whose runs two executors became unresponsive
// waits for that, so that it does not crash one executor after another meanwhile.

const (
	// maxEvidence is how many crashes that are evidence against a task end a best-effort job as
	// failed, and pause a kept one.
	maxEvidence = 2
	// maxCrashes is how many executors may crash while they run a task, before a best-effort job
	// ends and a kept one pauses. Its runs are known to have started there.
	maxCrashes = 3
	// maxLikelyCrashes is the same limit when crashes during unanswered starts are included:
	// the executor may have crashed before the start.
	maxLikelyCrashes = 5
	// maxUnresolvedLosses is how many executors may be lost under a task before it waits for the
	// state of those that may have crashed.
	maxUnresolvedLosses = 2
	// firstLossPause is how long a task waits for the state of executors that were lost while
	// they ran it. It doubles with each further one. It is longer than most restarts of a
	// crashed executor.
	firstLossPause = 2 * time.Second
	// firstCrashPause is how long a task of a kept job waits after maxCrashes crashes, or after
	// maxEvidence ones that are evidence against it. It doubles with each further one.
	firstCrashPause = 2 * time.Second
	// maxLoneWait is how long after the loss of an executor a task waits for one without runs.
	maxLoneWait = 2500 * time.Millisecond
	// maxPauseDoublings limits how often these pauses double.
	maxPauseDoublings = 4
	// restartCheckTime is how long an executor that is no longer listed is polled to find out
	// whether another incarnation has started at its address.
	restartCheckTime = 5 * time.Second
)

// losses counts the executors that were lost while they ran a task.
type losses struct {
	crashes       int             // crashed while a run was known to have started
	crashedAt     []string        // the incarnations of these, as far as they are known
	likelyCrashes int             // crashed while a start was unanswered
	unresolved    int             // unresponsive, not known to have crashed, or crashed and not assessed yet
	executors     []*executorLoss // those that were lost here while a run was there, crashed or not
	evidence      int             // crashes that are evidence against the task
	lastAt        time.Duration   // when the last one was lost, on our clock
}

// lostRun is a run that was given up because its executor became unresponsive.
type lostRun struct {
	job        *jobState
	task       *task
	hadStarted bool // the run is known to have started
	at         time.Duration
}

// crashedRun is a run whose executor has crashed, until it is assessed what the crash says about the task.
type crashedRun struct {
	lostRun
	executor *executor
	loss     *executorLoss
}

func newLostRun(r *run, now time.Duration) lostRun {
	return lostRun{job: r.job, task: r.task, hadStarted: r.hasStarted(), at: now}
}

// hasStarted reports whether the run is known to have started.
func (r *run) hasStarted() bool { return r.confirmed || r.state == running }

// isSuspect reports whether an executor was lost while it ran the task.
func (t *task) isSuspect() bool { return t.losses.total() > 0 }

func (l *losses) total() int { return l.crashes + l.likelyCrashes + l.unresolved }

// exceedsCrashLimit reports whether more executors have crashed under the task than one that is
// innocent is likely to meet.
func (l *losses) exceedsCrashLimit() bool {
	return l.crashes >= maxCrashes || l.crashes+l.likelyCrashes >= maxLikelyCrashes
}

// isPausedByLosses reports whether the task waits to learn the state of lost executors, or because
// several have crashed under it.
func (t *task) isPausedByLosses(now time.Duration) bool {
	l := &t.losses
	if l.unresolved > 0 && l.total() >= maxUnresolvedLosses && now < l.lastAt+doubled(firstLossPause, l.total()-maxUnresolvedLosses) {
		return true
	}
	return l.crashesToPauseFor() > 0 && now < l.lastAt+doubled(firstCrashPause, l.crashesToPauseFor()-1)
}

// crashesToPauseFor returns how many crashes there were from the one on at which the task is paused.
func (l *losses) crashesToPauseFor() int {
	switch {
	case l.evidence >= maxEvidence:
		return l.crashes + l.likelyCrashes - maxEvidence + 1
	case l.exceedsCrashLimit():
		return l.crashes + l.likelyCrashes - maxCrashes + 1
	}
	return 0
}

// doubled returns a pause that doubles a number of times, up to maxPauseDoublings.
func doubled(pause time.Duration, times int) time.Duration {
	return pause << min(max(times, 0), maxPauseDoublings)
}

// mustRunAlone reports whether the task may only start on an executor without runs. It doesn't wait
// for long for such an executor.
func (t *task) mustRunAlone(now time.Duration) bool {
	return t.losses.total() >= maxUnresolvedLosses && now < t.losses.lastAt+maxLoneWait
}

// recordLostRun records that a run is given up because its executor is unresponsive.
func (c *Cell) recordLostRun(e *executor, r *run, now time.Duration) {
	if lost, ok := c.leftRun(e, r); ok {
		e.lostRuns = append(e.lostRuns, lost)
		c.recordLateLoss(e, lost, now)
		return
	}
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

// recordCrash records the end of an executor's incarnation as a crash during the runs that it had and
// those that were given up since it became unresponsive. Starts in flight are resolved by their
// answers. The end of an executor that was draining, or that had left the list before it was lost,
// is not a crash.
func (c *Cell) recordCrash(e *executor, now time.Duration) {
	e.loss.recordEnd(now)
	if e.info.Draining || !e.loss.listed {
		c.clearLostRuns(e)
		return
	}
	for _, lost := range e.lostRuns {
		c.crashedRuns = append(c.crashedRuns, crashedRun{lostRun: lost, executor: e, loss: e.loss})
		c.reportCrash(lost)
	}
	e.lostRuns = nil
	for _, r := range e.sortedRuns() {
		if lost, ok := c.leftRun(e, r); ok {
			c.crashedRuns = append(c.crashedRuns, crashedRun{lostRun: lost, executor: e, loss: e.loss})
			c.recordLateLoss(e, lost, now)
			c.reportCrash(lost)
			continue
		}
		if r.task != nil && r.state != stopping && r.state != starting {
			r.task.losses.unresolved++
			r.task.losses.lastAt = now
			c.crashedRuns = append(c.crashedRuns, crashedRun{lostRun: newLostRun(r, now), executor: e, loss: e.loss})
		}
	}
}

// assessCrashes assesses the crashes that ended a while ago, so that other losses of the same time
// are known.
func (c *Cell) assessCrashes(now time.Duration) {
	var due []crashedRun
	c.crashedRuns = slices.DeleteFunc(c.crashedRuns, func(r crashedRun) bool {
		isDue := now >= max(r.loss.at+lossReviewDelay, r.loss.goneBy+endReviewDelay)
		if isDue {
			due = append(due, r)
		}
		return isDue
	})
	for _, r := range due {
		c.countCrash(r)
	}
	for _, r := range due {
		c.endIfCrashing(r.job, r.task)
	}
}

// crashesUnder returns the crashes under a task, for another owner of its job, with those that are not
// assessed yet.
func (c *Cell) crashesUnder(t *task) job.Progress {
	l := &t.losses
	p := job.Progress{Key: t.key, CrashEvidence: l.evidence}
	unassessed := c.unassessedCrashes(t)
	p.Crashes, p.CrashedAt = job.MergeCrashes(l.crashes+len(unassessed), l.crashedAt, 0, unassessed)
	return p
}

// unassessedCrashes returns the executors that have crashed under a task and don't count yet.
func (c *Cell) unassessedCrashes(t *task) []string {
	var executors []string
	for _, r := range c.crashedRuns {
		if name := string(r.executor.incarnation); r.task == t && r.hadStarted && !slices.Contains(t.losses.crashedAt, name) {
			executors = append(executors, name)
		}
	}
	return executors
}

// countCrash counts a crash for the task of a run.
func (c *Cell) countCrash(r crashedRun) {
	t := r.task
	c.dirty = true
	t.losses.unresolved--
	if r.hadStarted {
		t.losses.addCrash(string(r.executor.incarnation))
	} else {
		t.losses.likelyCrashes++
	}
	t.losses.lastAt = max(t.losses.lastAt, r.at)
	beside := c.unexplainedBeside(r.loss, t)
	if r.hadStarted && r.loss.wasAlone() && beside == 0 {
		t.losses.evidence++
	}
	name := r.job.job.TaskName(t.key)
	c.addNotice(Notice{Event: "executor_crashed_under", Executor: string(r.executor.incarnation), Job: r.job.job.ID, Task: name, Detail: strconv.Itoa(t.losses.crashes)})
	c.addNotice(Notice{
		Event: "crash_assessed", Executor: string(r.executor.incarnation), Job: r.job.job.ID, Task: name,
		Detail: fmt.Sprintf("%d runs there, %d other executors lost", r.loss.runs, beside),
	})
}

// endIfCrashing ends a best-effort job if there is enough evidence that its task crashes the executors
// that run it, or if many have crashed without such evidence.
func (c *Cell) endIfCrashing(w *jobState, t *task) {
	if c.jobs[w.job.ID] != w || t.done || w.job.Kept {
		return
	}
	switch {
	case t.losses.evidence >= maxEvidence:
		c.finish(w, job.Outcome{Kind: job.Failed, Reason: ReasonCrashes, Started: true})
	case t.losses.exceedsCrashLimit():
		c.finish(w, job.Outcome{Kind: job.Expired, Reason: ReasonCrashes, Started: true})
	}
}

// endIfTasksCrash is endIfCrashing for all tasks of a job.
func (c *Cell) endIfTasksCrash(w *jobState) {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			c.endIfCrashing(w, t)
		}
	}
}

// addCrash counts the crash of an executor, unless another owner has reported it.
func (l *losses) addCrash(incarnation string) {
	if !slices.Contains(l.crashedAt, incarnation) {
		l.crashes, l.crashedAt = job.MergeCrashes(l.crashes+1, l.crashedAt, 0, []string{incarnation})
	}
}

// applyCrashes applies the crashes that former owners reported.
func (t *task) applyCrashes(p job.Progress, now time.Duration) {
	l := &t.losses
	if known := l.crashes; p.Crashes > 0 {
		if l.crashes, l.crashedAt = job.MergeCrashes(l.crashes, l.crashedAt, p.Crashes, p.CrashedAt); l.crashes > known {
			l.lastAt = now
		}
	}
	l.evidence = max(l.evidence, p.CrashEvidence)
}

// ReasonCrashes marks a job that ended because executors crashed while they ran one of its tasks.
const ReasonCrashes = "executors_crashed_under_task"

// idleExecutors returns the executors that have no runs.
func idleExecutors(executors []*executor) []*executor {
	return slices.DeleteFunc(slices.Clone(executors), func(e *executor) bool { return len(e.runs) > 0 })
}
