package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// task is one task of a job.
type task struct {
	key       job.TaskKey
	done      bool
	failures  int
	inherited int // so many of the failures are known to be among those that executors list, or a former owner told
	lastRun   int64
	current   *run // what may be running; nil when the task waits or is done
	failedOn  []catalog.Incarnation
	unclearOn []catalog.Incarnation // executors that have said of a start of it only what says nothing
	rescues   int                   // runs stopped for being far behind
	losses    losses
}

// waits reports whether the task has neither ended nor been started.
func (t *task) waits() bool { return !t.done && t.current == nil }

// work is a job at its owner.
type work struct {
	job         *job.Job
	epoch       int
	submittedAt time.Duration
	renewedAt   time.Duration // its caller still waited then
	settleAt    time.Duration // no start before
	unseen      bool          // settleAt stands only for executors that haven't answered this owner
	steps       [][]*task
	times       []time.Duration // expected of a task, by step
	chain       time.Duration   // expected of the job with room for everything
	leastCPU    int64           // that a task of it asks for
	started     bool            // a task may have started, here or at a former owner
	begun       bool            // a task is known to have started
}

func newWork(h Handover, times *taskTimes, now time.Duration) *work {
	j := h.Job
	w := &work{job: j, epoch: h.Epoch, submittedAt: now, renewedAt: h.RenewedAt, settleAt: h.SettleAt, started: h.Epoch > 1}
	for stepIndex, step := range j.Steps {
		if stepIndex == 0 || step.Needs.CPU < w.leastCPU {
			w.leastCPU = step.Needs.CPU
		}
		tasks := make([]*task, step.Count)
		for i := range tasks {
			tasks[i] = &task{key: job.TaskKey{Step: stepIndex, Index: j.Part.First + i}}
		}
		w.steps = append(w.steps, tasks)
		w.times = append(w.times, times.expect(j.Route, step.TaskTime()))
	}
	w.chain = j.LongestChainOf(w.estimate)
	return w
}

// apply takes what a former owner knew.
func (w *work) apply(progress []job.Progress) {
	for _, p := range progress {
		if t := w.task(p.Key); t != nil {
			t.done = t.done || p.Done
			t.inherit(p.Failures)
			t.lastRun = max(t.lastRun, p.Run)
			t.losses.crashes = max(t.losses.crashes, p.Crashes)
			w.begun = true
		}
	}
}

// progress returns what the next owner should know.
func (w *work) progress() []job.Progress {
	var progress []job.Progress
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if t.done || t.failures > 0 || t.lastRun > 0 {
				progress = append(progress, job.Progress{Key: t.key, Done: t.done, Failures: t.failures, Run: t.lastRun, Crashes: t.losses.crashes})
			}
		}
	}
	return progress
}

// givenBack returns the end here of a job that goes back to its front.
func (w *work) givenBack(reason string) job.Outcome {
	return job.Outcome{Kind: job.Moved, Reason: reason, Started: w.started, Progress: w.progress()}
}

func (w *work) task(key job.TaskKey) *task {
	index := key.Index - w.job.Part.First
	if key.Step < 0 || key.Step >= len(w.steps) || index < 0 || index >= len(w.steps[key.Step]) {
		return nil
	}
	return w.steps[key.Step][index]
}

// runsPerEpoch separates the run numbers of one owner from those of the next,
// which can't know how many the former one used.
const runsPerEpoch = 1000

// nextRun returns a run number above all that were used for the task.
func (w *work) nextRun(t *task) int64 {
	t.lastRun = max(t.lastRun, int64(w.epoch-1)*runsPerEpoch) + 1
	if w.job.Kept {
		t.lastRun = keptNumber(t.lastRun)
	}
	return t.lastRun
}

// stepReady reports whether the steps that come before are done.
func (w *work) stepReady(step int) bool {
	for _, earlier := range w.job.Steps[step].After {
		for _, t := range w.steps[earlier] {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// waitingTasks returns the tasks that may start now.
func (w *work) waitingTasks() []*task {
	var waiting []*task
	for step, tasks := range w.steps {
		if !w.stepReady(step) {
			continue
		}
		for _, t := range tasks {
			if t.waits() {
				waiting = append(waiting, t)
			}
		}
	}
	return waiting
}

func (w *work) allDone() bool {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// estimate returns the expected time of a task of a step.
func (w *work) estimate(step int) time.Duration { return w.times[step] }

// waitingWork returns the estimated work that hasn't started, in thousandths
// of a core x milliseconds.
func (w *work) waitingWork() int64 {
	var total int64
	for step, tasks := range w.steps {
		each := w.job.Steps[step].Needs.CPU * w.estimate(step).Milliseconds()
		for _, t := range tasks {
			if t.waits() {
				total += each
			}
		}
	}
	return total
}

// leastTime returns the longest estimate among tasks that haven't started.
func (w *work) leastTime() time.Duration {
	var longest time.Duration
	for step, tasks := range w.steps {
		for _, t := range tasks {
			if t.waits() {
				longest = max(longest, w.estimate(step))
				break
			}
		}
	}
	return longest
}

// finishIfDone ends a job whose tasks are all done.
func (c *Cell) finishIfDone(w *work) {
	if w.allDone() {
		c.finish(w, job.Outcome{Kind: job.Completed, Started: true})
	}
}

// finish ends a job and reports it.
func (c *Cell) finish(w *work, outcome job.Outcome) {
	outcome.Chain = w.chain
	c.finished = append(c.finished, Finished{ID: w.job.ID, Outcome: outcome})
	c.keepEnds(w, outcome.Kind)
	if outcome.Kind == job.Moved {
		c.forget(w)
		return
	}
	c.remove(w, outcome.Kind.String())
}

// forget takes a job off the lists of those that are here.
func (c *Cell) forget(w *work) {
	delete(c.works, w.job.ID)
	whole := w.job.WholeID()
	parts := slices.DeleteFunc(c.byWhole[whole], func(other *work) bool { return other == w })
	if len(parts) == 0 {
		delete(c.byWhole, whole)
		return
	}
	c.byWhole[whole] = parts
}

// remove forgets a job and stops what may run of it.
func (c *Cell) remove(w *work, reason string) {
	c.forget(w)
	c.stopRuns(w, reason)
}

// detachRuns takes the runs of a job from it and returns them. From now on they are
// leased as if the job had been renewed last at a time.
func (w *work) detachRuns(renewedAt time.Duration) []*run {
	var runs []*run
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if r := t.current; r != nil {
				r.work, r.task, t.current = nil, nil, nil
				r.renewedAt = renewedAt
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// refuseHopeless refuses the jobs of which nothing has started and whose
// answers, with the work that comes before them, would come too late to be worth
// anything. Their callers can try elsewhere sooner.
func (c *Cell) refuseHopeless(now time.Duration) {
	var capacity, running int64
	for _, e := range c.sorted {
		if e.usable(now) {
			capacity += e.info.Capacity.CPU
			running += e.used.CPU
		}
	}
	if capacity == 0 || 2*running < capacity && !c.pacer.full() {
		return
	}
	var ahead, bytesAhead int64
	for _, w := range c.ranked(now) {
		wait := time.Duration(float64(ahead)/float64(capacity)) * time.Millisecond
		wait = max(wait, c.pacer.timeOf(bytesAhead))
		ahead += w.waitingWork()
		bytesAhead += w.waitingBytes()
		if !w.started && !w.job.Kept && now+wait+w.leastTime() > w.job.UsefulUntil(w.chain) {
			c.finish(w, job.Outcome{Kind: job.Refused, Reason: "overloaded", RetryAfter: wait})
		}
	}
}

// expireWorks ends the jobs whose deadlines can't be met any more: at once
// when nothing of them has started, at the deadline otherwise.
func (c *Cell) expireWorks(now time.Duration) {
	for _, w := range c.hopeless(now) {
		if w.started {
			c.finish(w, job.Outcome{Kind: job.Expired, Reason: "deadline_passed", Started: true})
			continue
		}
		c.finish(w, job.Outcome{Kind: job.Refused, Reason: "deadline_too_short"})
	}
}

// hopeless returns the jobs that can't meet their deadlines, sorted by id.
func (c *Cell) hopeless(now time.Duration) []*work {
	var works []*work
	for _, w := range c.works {
		if w.job.Kept {
			continue // it has none
		}
		if now > w.job.Deadline || (!w.started && now+w.leastTime() > w.job.Deadline) {
			works = append(works, w)
		}
	}
	sortByID(works)
	return works
}

func sortByID(works []*work) {
	slices.SortFunc(works, func(a, b *work) int { return strings.Compare(a.job.ID, b.job.ID) })
}
