package cell

import (
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
	elsewhere := max(0, reported.crashes-c.crashCount(former))
	t.losses = former.losses
	t.losses.crashes += elsewhere
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
			if crashes := c.crashCount(t); crashes > 0 {
				progress = append(progress, job.Progress{Key: t.key, Crashes: crashes, CrashEvidence: t.losses.evidence})
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
