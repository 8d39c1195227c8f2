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
	key               job.TaskKey
	done              bool
	failures          int
	mergedFailures    int // so many of the failures are known to be among those that executors list, or a former owner told
	lastRun           int64
	current           *run // what may be running; nil when the task waits or is done
	failedOn          []catalog.Incarnation
	unclearOn         []catalog.Incarnation // executors that have said of a start of it only what says nothing
	stragglerRestarts int                   // runs stopped for being far behind
	losses            losses
}

// isWaiting reports whether the task has neither ended nor been started.
func (t *task) isWaiting() bool { return !t.done && t.current == nil }

// jobState is a job at its owner.
type jobState struct {
	job            *job.Job
	epoch          int
	submittedAt    time.Duration
	renewedAt      time.Duration // its caller still waited then
	notBefore      time.Duration // no start before
	untilAdopted   bool          // settleAt stands only for executors that haven't answered this owner
	steps          [][]*task
	stepTimes      []time.Duration // expected of a task, by step
	chain          time.Duration   // expected of the job with room for everything
	leastCPU       int64           // that a task of it asks for
	mayHaveStarted bool            // a task may have started, here or at a former owner
	knownStarted   bool            // a task is known to have started
}

func newJobState(h Handover, times *taskTimes, now time.Duration) *jobState {
	j := h.Job
	w := &jobState{job: j, epoch: h.Epoch, submittedAt: now, renewedAt: h.RenewedAt, notBefore: h.SettleAt, mayHaveStarted: h.Epoch > 1}
	for stepIndex, step := range j.Steps {
		if stepIndex == 0 || step.Needs.CPU < w.leastCPU {
			w.leastCPU = step.Needs.CPU
		}
		tasks := make([]*task, step.Count)
		for i := range tasks {
			tasks[i] = &task{key: job.TaskKey{Step: stepIndex, Index: j.Part.First + i}}
		}
		w.steps = append(w.steps, tasks)
		w.stepTimes = append(w.stepTimes, times.expect(j.Route, step.TaskTime()))
	}
	w.chain = j.LongestChainOf(w.estimate)
	return w
}

// applyProgress takes what a former owner knew.
func (w *jobState) applyProgress(progress []job.Progress) {
	for _, p := range progress {
		if t := w.task(p.Key); t != nil {
			t.done = t.done || p.Done
			t.mergeFailures(p.Failures)
			t.lastRun = max(t.lastRun, p.Run)
			t.losses.crashes = max(t.losses.crashes, p.Crashes)
			w.knownStarted = true
		}
	}
}

// progress returns what the next owner should know.
func (w *jobState) progress() []job.Progress {
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

// returnedOutcome returns the end here of a job that goes back to its front.
func (w *jobState) returnedOutcome(reason string) job.Outcome {
	return job.Outcome{Kind: job.Moved, Reason: reason, Started: w.mayHaveStarted, Progress: w.progress()}
}

func (w *jobState) task(key job.TaskKey) *task {
	index := key.Index - w.job.Part.First
	if key.Step < 0 || key.Step >= len(w.steps) || index < 0 || index >= len(w.steps[key.Step]) {
		return nil
	}
	return w.steps[key.Step][index]
}

// runsPerEpoch separates the run numbers of one owner from those of the next,
// which can't know how many the former one used.
const runsPerEpoch = 1000

// nextRunNumber returns a run number above all that were used for the task.
func (w *jobState) nextRunNumber(t *task) int64 {
	t.lastRun = max(t.lastRun, int64(w.epoch-1)*runsPerEpoch) + 1
	if w.job.Kept {
		t.lastRun = keptRunNumber(t.lastRun)
	}
	return t.lastRun
}

// stepReady reports whether the steps that come before are done.
func (w *jobState) stepReady(step int) bool {
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
func (w *jobState) waitingTasks() []*task {
	var waiting []*task
	for step, tasks := range w.steps {
		if !w.stepReady(step) {
			continue
		}
		for _, t := range tasks {
			if t.isWaiting() {
				waiting = append(waiting, t)
			}
		}
	}
	return waiting
}

func (w *jobState) allDone() bool {
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
func (w *jobState) estimate(step int) time.Duration { return w.stepTimes[step] }

// waitingWork returns the estimated work that hasn't started, in thousandths
// of a core x milliseconds.
func (w *jobState) waitingWork() int64 {
	var total int64
	for step, tasks := range w.steps {
		each := w.job.Steps[step].Needs.CPU * w.estimate(step).Milliseconds()
		for _, t := range tasks {
			if t.isWaiting() {
				total += each
			}
		}
	}
	return total
}

// minRemainingTime returns the longest estimate among tasks that haven't started.
func (w *jobState) minRemainingTime() time.Duration {
	var longest time.Duration
	for step, tasks := range w.steps {
		for _, t := range tasks {
			if t.isWaiting() {
				longest = max(longest, w.estimate(step))
				break
			}
		}
	}
	return longest
}

// finishIfDone ends a job whose tasks are all done.
func (c *Cell) finishIfDone(w *jobState) {
	if w.allDone() {
		c.finish(w, job.Outcome{Kind: job.Completed, Started: true})
	}
}

// finish ends a job and reports it.
func (c *Cell) finish(w *jobState, outcome job.Outcome) {
	outcome.Chain = w.chain
	c.finished = append(c.finished, Finished{ID: w.job.ID, Outcome: outcome})
	c.limitRetention(w, outcome.Kind)
	if outcome.Kind == job.Moved {
		c.forgetJob(w)
		return
	}
	c.removeJob(w, outcome.Kind.String())
}

// forgetJob takes a job off the lists of those that are here.
func (c *Cell) forgetJob(w *jobState) {
	delete(c.jobs, w.job.ID)
	whole := w.job.WholeID()
	parts := slices.DeleteFunc(c.byParent[whole], func(other *jobState) bool { return other == w })
	if len(parts) == 0 {
		delete(c.byParent, whole)
		return
	}
	c.byParent[whole] = parts
}

// removeJob forgets a job and stops what may run of it.
func (c *Cell) removeJob(w *jobState, reason string) {
	c.forgetJob(w)
	c.stopRuns(w, reason)
}

// detachRuns takes the runs of a job from it and returns them. From now on they are
// leased as if the job had been renewed last at a time.
func (w *jobState) detachRuns(renewedAt time.Duration) []*run {
	var runs []*run
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if r := t.current; r != nil {
				r.job, r.task, t.current = nil, nil, nil
				r.renewedAt = renewedAt
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// refuseUnmeetable refuses the jobs of which nothing has started and whose
// answers, with the work that comes before them, would come too late to be worth
// anything. Their callers can try elsewhere sooner.
func (c *Cell) refuseUnmeetable(now time.Duration) {
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
	for _, w := range c.rankedJobs(now) {
		wait := time.Duration(float64(ahead)/float64(capacity)) * time.Millisecond
		wait = max(wait, c.pacer.transferTime(bytesAhead))
		ahead += w.waitingWork()
		bytesAhead += w.waitingBytes()
		if !w.mayHaveStarted && !w.job.Kept && now+wait+w.minRemainingTime() > w.job.UsefulUntil(w.chain) {
			c.finish(w, job.Outcome{Kind: job.Refused, Reason: "overloaded", RetryAfter: wait})
		}
	}
}

// expireJobs ends the jobs whose deadlines can't be met any more: at once
// when nothing of them has started, at the deadline otherwise.
func (c *Cell) expireJobs(now time.Duration) {
	for _, w := range c.unmeetable(now) {
		if w.mayHaveStarted {
			c.finish(w, job.Outcome{Kind: job.Expired, Reason: "deadline_passed", Started: true})
			continue
		}
		c.finish(w, job.Outcome{Kind: job.Refused, Reason: "deadline_too_short"})
	}
}

// unmeetable returns the jobs that can't meet their deadlines, sorted by id.
func (c *Cell) unmeetable(now time.Duration) []*jobState {
	var works []*jobState
	for _, w := range c.jobs {
		if w.job.Kept {
			continue // it has none
		}
		if now > w.job.Deadline || (!w.mayHaveStarted && now+w.minRemainingTime() > w.job.Deadline) {
			works = append(works, w)
		}
	}
	sortByID(works)
	return works
}

func sortByID(works []*jobState) {
	slices.SortFunc(works, func(a, b *jobState) int { return strings.Compare(a.job.ID, b.job.ID) })
}
