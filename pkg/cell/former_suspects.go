package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A job that ends without a final outcome, as its caller left or its deadline passed, may be submitted
// again. If executors were lost under one of its tasks, this owner remembers them: otherwise each
// submission of a task that crashes executors would crash several more.

// formerSuspects holds the tasks of such jobs, by their names.
type formerSuspects map[string]*task

// recordSuspects remembers the suspect tasks of a job that leaves.
func (c *Cell) recordSuspects(w *jobState) {
	if w.job.Kept {
		return // its coordinator has its progress
	}
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if t.isSuspect() && !t.done {
				c.formerSuspects[w.job.TaskName(t.key)] = t
			}
		}
	}
}

// resumeSuspects has the tasks of a job that is submitted again go on with the losses of the former
// submissions. Crashes that are not assessed yet count for the new tasks.
func (c *Cell) resumeSuspects(w *jobState) {
	if len(c.formerSuspects) == 0 || w.job.Kept {
		return
	}
	for _, tasks := range w.steps {
		for _, t := range tasks {
			name := w.job.TaskName(t.key)
			if former := c.formerSuspects[name]; former != nil {
				delete(c.formerSuspects, name)
				c.takeLosses(w, t, former)
			}
		}
	}
}

// takeLosses has a task replace the one of a former submission in all losses of executors.
func (c *Cell) takeLosses(w *jobState, t, former *task) {
	reported := t.losses // by the front, which may include those of this owner
	unassessed := c.unassessedCrashes(former)
	here, hereAt := former.losses.crashes+len(unassessed), slices.Concat(former.losses.crashedAt, unassessed)
	all, allAt := job.MergeCrashes(here, hereAt, reported.crashes, reported.crashedAt)
	t.losses = former.losses
	t.losses.crashes = all - len(unassessed)
	t.losses.crashedAt = slices.DeleteFunc(allAt, func(executor string) bool { return slices.Contains(unassessed, executor) })
	t.losses.evidence = max(t.losses.evidence, reported.evidence)
	t.losses.lastAt = max(t.losses.lastAt, reported.lastAt)
	for _, loss := range t.losses.executors {
		for i := range loss.tasks {
			if loss.tasks[i] == former {
				loss.tasks[i] = t
			}
		}
	}
	for i := range c.crashedRuns {
		c.crashedRuns[i].replaceTask(w, t, former)
	}
	for _, e := range c.sorted {
		for i := range e.lostRuns {
			e.lostRuns[i].replaceTask(w, t, former)
		}
	}
}

// replaceTask has a run count for a task, if it was one of a former task.
func (r *lostRun) replaceTask(w *jobState, t, former *task) {
	if r.task == former {
		r.job, r.task = w, t
	}
}

// crashProgress returns the crashes under the tasks of a job, for its later submissions.
func (c *Cell) crashProgress(w *jobState) []job.Progress {
	var progress []job.Progress
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if p := c.crashesUnder(t); p.Crashes > 0 {
				progress = append(progress, p)
			}
		}
	}
	return progress
}

// forgetOldSuspects removes the tasks under which no executor was lost for some time.
func (c *Cell) forgetOldSuspects(now time.Duration) {
	for name, t := range c.formerSuspects {
		if !t.isSuspect() || now > t.losses.lastAt+lossRetention {
			delete(c.formerSuspects, name)
		}
	}
}

// recordLeftRuns records the runs of a best-effort job that are known to go on as the job leaves.
func (c *Cell) recordLeftRuns(w *jobState) {
	if w.job.Kept {
		return
	}
	for _, r := range w.runs() {
		if r.hasStarted() && r.state != stopping {
			r.left = &lostRun{job: w, task: r.task, hadStarted: true, at: c.lastEventAt}
		}
	}
}

// leftRun returns a run at a lost executor whose job has left, as a run of the task that stands for it now, if
// the executor may have been lost before the job left: it has not answered since.
func (c *Cell) leftRun(e *executor, r *run) (lostRun, bool) {
	if r.left == nil || e.clock.readAt > r.left.at {
		return lostRun{}, false
	}
	lost := *r.left
	for _, w := range c.byParent[lost.job.job.WholeID()] {
		if t := w.task(lost.task.key); t != nil {
			lost.job, lost.task = w, t // the job has been submitted again
			return lost, true
		}
	}
	if former := c.formerSuspects[lost.job.job.TaskName(lost.task.key)]; former != nil {
		lost.task = former
	}
	return lost, true
}

// recordLateLoss records the loss of an executor under a task, which may belong to a job that has left.
func (c *Cell) recordLateLoss(e *executor, lost lostRun, now time.Duration) {
	lost.task.losses.unresolved++
	lost.task.losses.lastAt = now
	if e.loss != nil && !slices.Contains(e.loss.tasks, lost.task) {
		e.loss.tasks = append(e.loss.tasks, lost.task)
		lost.task.losses.executors = append(lost.task.losses.executors, e.loss)
	}
	if c.jobs[lost.job.job.ID] != lost.job {
		c.formerSuspects[lost.job.job.TaskName(lost.task.key)] = lost.task
	}
}

// CrashReport tells of the crashes under a task whose job has left, of which its front doesn't know.
type CrashReport struct {
	WholeID string
	Crashes []job.Progress // with key and crashes only
}

// reportCrash records that an executor has crashed under a task, if its job has left.
func (c *Cell) reportCrash(lost lostRun) {
	isKnown := func(other lostRun) bool { return other.task == lost.task }
	if c.jobs[lost.job.job.ID] != lost.job && !lost.job.job.Kept && !slices.ContainsFunc(c.crashedLate, isKnown) {
		c.crashedLate = append(c.crashedLate, lost)
	}
}

// TakeCrashReports returns the crashes that became known after their jobs had left, since the last call.
func (c *Cell) TakeCrashReports() []CrashReport {
	var reports []CrashReport
	for _, lost := range c.crashedLate {
		reports = append(reports, CrashReport{WholeID: lost.job.job.WholeID(), Crashes: []job.Progress{c.crashesUnder(lost.task)}})
	}
	c.crashedLate = nil
	return reports
}
