package cell

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// task is one task of a job.
type task struct {
	key               job.TaskKey
	done              bool
	failures          failures
	lastRun           int64
	current           *run // the run that may be active; nil when the task waits or is done
	failedOn          []catalog.Incarnation
	failedOnAllAt     time.Duration         // when it was found to have failed on all suitable executors; 0 if it hasn't
	unclearOn         []catalog.Incarnation // executors that answered a start of it without saying whether it was carried out
	stragglerRestarts int                   // runs that were stopped for being far behind
	losses            losses
}

// isWaiting reports whether the task is neither done nor started.
func (t *task) isWaiting() bool { return !t.done && t.current == nil }

// jobState is the owner's state of a job.
type jobState struct {
	job            *job.Job
	epoch          int
	submittedAt    time.Duration
	renewedAt      time.Duration // its caller was still waiting then
	leaseLimit     time.Duration // its lease ends by then, whatever is renewed; 0 for no limit
	notBefore      time.Duration // no starts before
	unadoptedUntil time.Duration // no starts before, unless the executors have answered this owner
	lostOwnerUntil time.Duration // the same for a kept job, as a lost owner may renew its runs until then
	runsNamed      bool          // former owners have named all runs that they may have left
	formerRuns     []formerRun   // runs of former owners, some of which may be unknown here
	steps          [][]*task
	stepTimes      []time.Duration // expected time of a task, by step
	chain          time.Duration   // expected time of the job with unlimited capacity
	leastCPU       int64           // smallest processor need of its tasks
	mayHaveStarted bool            // a task may have started, here or at a former owner
	knownStarted   bool            // a task is known to have started
	failedOnAll    bool            // as of the last check, see hasFailedOnAll
}

func newJobState(h Handover, times *taskTimes, now time.Duration) *jobState {
	j := h.Job
	w := &jobState{job: j, epoch: h.Epoch, submittedAt: now, renewedAt: h.RenewedAt, leaseLimit: h.LeaseLimit, notBefore: h.NotBefore, mayHaveStarted: h.Epoch > 1, runsNamed: h.NamesRuns}
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

// applyProgress applies the progress that a former owner reported.
func (w *jobState) applyProgress(progress []job.Progress, now time.Duration) {
	for _, p := range progress {
		if t := w.task(p.Key); t != nil {
			t.done = t.done || p.Done
			t.failures.merge(p.FailedRuns)
			t.failures.mergeCount(p.Failures, p.Run)
			t.lastRun = max(t.lastRun, p.Run)
			t.applyCrashes(p, now)
			w.knownStarted = w.knownStarted || p.Done || p.Failures > 0 || p.Run > 0
		}
	}
}

// progress returns the progress of a job's tasks, for its next owner.
func (c *Cell) progress(w *jobState) []job.Progress {
	var progress []job.Progress
	for _, tasks := range w.steps {
		for _, t := range tasks {
			at, left := c.activity(w, t, c.lastEventAt)
			if t.done || t.failures.count > 0 || t.lastRun > 0 || left > 0 {
				p := c.crashesUnder(t)
				p.Done, p.Failures, p.FailedRuns, p.Run = t.done, t.failures.count, slices.Clone(t.failures.runs), t.lastRun
				p.ActiveAt, p.ActiveFor = string(at), left
				progress = append(progress, p)
			}
		}
	}
	return progress
}

// returnJob returns a job to its front, which hands it to the next owner. Its runs may continue.
func (c *Cell) returnJob(w *jobState, reason string) {
	for _, r := range w.runs() {
		c.addNotice(Notice{Event: "run_returned", Executor: string(r.executor.incarnation), Job: w.job.ID, Task: r.name, Detail: strconv.FormatInt(r.number, 10)})
	}
	c.finish(w, job.Outcome{Kind: job.Moved, Reason: reason, Started: w.mayHaveStarted, Progress: c.progress(w), NamesRuns: !c.mayBeAtLostOwner(w, c.lastEventAt)})
}

// runs returns the runs of the job's tasks.
func (w *jobState) runs() []*run {
	var runs []*run
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if t.current != nil {
				runs = append(runs, t.current)
			}
		}
	}
	return runs
}

func (w *jobState) task(key job.TaskKey) *task {
	index := key.Index - w.job.Part.First
	if key.Step < 0 || key.Step >= len(w.steps) || index < 0 || index >= len(w.steps[key.Step]) {
		return nil
	}
	return w.steps[key.Step][index]
}

// runsPerEpoch separates the run numbers of consecutive owners, as an owner does not know how
// many the former one used.
const runsPerEpoch = 1000

// nextRunNumber returns a run number above all that were used for the task.
func (w *jobState) nextRunNumber(t *task) int64 {
	t.lastRun = max(t.lastRun, int64(w.epoch-1)*runsPerEpoch) + 1
	if w.job.Kept {
		t.lastRun = keptRunNumber(t.lastRun)
	}
	return t.lastRun
}

// stepReady reports whether the steps that it depends on are done.
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

// hasWaitingTask reports whether a task is neither done nor started, though steps before it may have to be done first.
func (w *jobState) hasWaitingTask() bool {
	return slices.ContainsFunc(w.steps, anyWaiting)
}

// anyWaiting reports whether any of some tasks is neither done nor started.
func anyWaiting(tasks []*task) bool { return slices.ContainsFunc(tasks, (*task).isWaiting) }

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

// waitingWork returns the estimated work of the waiting tasks, in millicores x milliseconds.
func (w *jobState) waitingWork() int64 {
	var total int64
	for step, tasks := range w.steps {
		each := w.job.Steps[step].Needs.CPU * w.estimate(step).Milliseconds()
		for _, t := range tasks {
			if t.isWaiting() {
				total = min(total+each, job.MaxWork)
			}
		}
	}
	return total
}

// minRemainingTime returns a lower bound of the time that the job still takes: the longest
// estimate among its waiting tasks.
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

// finishIfDone completes a job whose tasks are all done.
func (c *Cell) finishIfDone(w *jobState) {
	if w.allDone() {
		c.finish(w, job.Outcome{Kind: job.Completed, Started: true})
	}
}

// finish ends a job and reports it.
func (c *Cell) finish(w *jobState, outcome job.Outcome) {
	outcome.Chain = w.chain
	if outcome.Kind == job.Expired {
		outcome.Progress = c.crashProgress(w)
	}
	c.finished = append(c.finished, Finished{ID: w.job.ID, Outcome: outcome})
	c.expectPersisted(w)
	if outcome.Kind == job.Moved {
		c.forgetJob(w)
		return
	}
	c.removeJob(w, outcome.Kind.String())
}

// forgetJob removes a job from the jobs that are here.
func (c *Cell) forgetJob(w *jobState) {
	if c.jobs[w.job.ID] == w && w.job.Kept {
		c.keptJobs--
	}
	delete(c.jobs, w.job.ID)
	parent := w.job.WholeID()
	parts := slices.DeleteFunc(c.byParent[parent], func(other *jobState) bool { return other == w })
	if len(parts) == 0 {
		delete(c.byParent, parent)
		return
	}
	c.byParent[parent] = parts
}

// removeJob forgets a job and stops its runs.
func (c *Cell) removeJob(w *jobState, reason string) {
	c.recordSuspects(w)
	c.forgetJob(w)
	c.stopRuns(w, reason)
}

// detachRuns detaches the runs of a job and returns them. Their leases are renewed until leaseEnd at
// most.
func (w *jobState) detachRuns(leaseEnd time.Duration) []*run {
	runs := w.runs()
	for _, r := range runs {
		r.task.current = nil
		r.job, r.task = nil, nil
		r.leaseEnd = leaseEnd
	}
	return runs
}

// refuseUnmeetable refuses the jobs that have not started and whose answers would have no value
// any more after the work queued ahead of them, so that their callers can retry elsewhere.
func (c *Cell) refuseUnmeetable(now time.Duration) {
	c.refuseWithoutEndRoom(now)
	var capacity, running int64
	for _, e := range c.sorted {
		if e.usable(now) && e.hasRoomForBestEffort() {
			capacity += e.info.Capacity.CPU
			running += e.used.CPU
		}
	}
	if capacity == 0 || 2*running < capacity && !c.pacer.full() {
		return
	}
	var ahead, bytesAhead int64
	for _, w := range c.rankedJobs(now) {
		wait := common.Milliseconds(int64(float64(ahead) / float64(capacity)))
		wait = max(wait, c.pacer.transferTime(bytesAhead))
		ahead += w.waitingWork()
		bytesAhead += w.waitingBytes()
		if !w.mayHaveStarted && !w.job.Kept && now+wait+w.minRemainingTime() > w.job.UsefulUntil(w.chain) {
			c.finish(w, job.Outcome{Kind: job.Refused, Reason: "overloaded", RetryAfter: wait})
		}
	}
}

// expireJobs ends the jobs that cannot meet their deadlines: at once when nothing has started, at
// the deadline otherwise.
func (c *Cell) expireJobs(now time.Duration) {
	for _, w := range c.unmeetable(now) {
		c.expire(w)
	}
}

// expire ends a job that cannot meet its deadline.
func (c *Cell) expire(w *jobState) {
	if w.mayHaveStarted {
		c.addNotice(Notice{Event: "job_expired", Job: w.job.ID, Age: c.lastEventAt - w.job.Received})
		c.finish(w, job.Outcome{Kind: job.Expired, Reason: "deadline_passed", Started: true})
		return
	}
	c.finish(w, job.Outcome{Kind: job.Refused, Reason: "deadline_too_short"})
}

// unmeetable returns the jobs that cannot meet their deadlines, sorted by id.
func (c *Cell) unmeetable(now time.Duration) []*jobState {
	var jobs []*jobState
	for _, w := range c.jobs {
		if w.job.Kept {
			continue // it has no deadline
		}
		if now > w.job.Deadline || (!w.mayHaveStarted && now+w.minRemainingTime() > w.job.Deadline) {
			jobs = append(jobs, w)
		}
	}
	sortByID(jobs)
	return jobs
}

func sortByID(jobs []*jobState) {
	slices.SortFunc(jobs, func(a, b *jobState) int { return strings.Compare(a.job.ID, b.job.ID) })
}
