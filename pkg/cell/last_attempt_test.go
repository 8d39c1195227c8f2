package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// newGPUDriver has executors that have answered, some of which have a GPU.
func newGPUDriver(c *qt.C, executors, withGPU int) *driver {
	var all []catalog.Executor
	for i := range executors {
		e := testExecutor(i)
		if i < withGPU {
			e.Capacity.GPU = 1
		}
		all = append(all, e)
	}
	d := newDriver(c, all...)
	for i := range all {
		d.holdAnswered(i, HoldResponse{Clock: time.Minute}, d.now)
	}
	d.tick(time.Second)
	return d
}

// gpuJob returns a kept job whose tasks need a GPU.
func gpuJob(tasks, attempts int, now time.Duration) *job.Job {
	j := keptJob("a", tasks, now)
	j.MaxAttempts = attempts
	j.Steps[0].Needs = job.Resources{CPU: 100, GPU: 1}
	return j
}

// failNext has the next start fail at once, and returns its executor.
func (d *driver) failNext(c *qt.C, number int64) string {
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 1)
	d.startAnswered(starts[0], Accepted)
	d.tick(10 * ms)
	d.cell.HoldAnswered(starts[0].Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(number, starts[0], EndFailed)}}, d.now, d.now)
	d.takeActions()
	d.tick(10 * ms)
	return starts[0].Executor.ID
}

// Guards against a kept task that has failed on all executors with room for it, and waits for good for others of its
// service that can never run it.
func TestAKeptTaskIsRetriedWhereOnlyExecutorsThatCannotRunItAreLeft(t *testing.T) {
	c := qt.New(t)
	d := newGPUDriver(c, 4, 1)
	d.submit(gpuJob(1, 5, d.now), 1)
	first := d.failNext(c, 1)
	d.runFor(100 * ms)
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Executor.ID, qt.Equals, first)
}

// Guards against kept jobs that fail by their last attempt at executors that fail all for a while, beside sound ones
// of other cells.
func TestTheLastAttemptOfAKeptTask(t *testing.T) {
	type scenario struct {
		testName string
		attempts int
		has      int // executors with GPUs
		returned bool
		retried  bool // at once
	}
	scenarios := []scenario{
		{testName: "it has failed on all that can run it", attempts: 3, has: 2, returned: true},
		{testName: "another one can run it", attempts: 3, has: 3, retried: true},
		{testName: "it has more attempts", attempts: 4, has: 2, retried: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newGPUDriver(c, 4, s.has)
			d.submit(gpuJob(1, s.attempts, d.now), 1)
			c.Assert(d.failNext(c, 1), qt.Not(qt.Equals), d.failNext(c, 1))
			d.runFor(100 * ms)
			c.Assert(len(d.takeCommands(Start)) == 1, qt.Equals, s.retried)
			outcome, ended := d.finished["a"]
			c.Assert(ended, qt.Equals, s.returned)
			if s.returned {
				c.Assert(outcome.Reason, qt.Equals, ReasonFailedOnAll)
				c.Assert(LeavesNoRuns(outcome.Reason), qt.IsTrue)
				c.Assert(outcome.Progress[0].Failures, qt.Equals, 2, qt.Commentf("the next cell counts them too"))
			}
		})
	}
}

// A job with other runs stays, and its task is tried again here after a pause.
func TestTheLastAttemptOfATaskBesideRunsOfItsJob(t *testing.T) {
	c := qt.New(t)
	d := newGPUDriver(c, 2, 1)
	j := gpuJob(1, 2, d.now)
	other := j.Steps[0]
	other.Needs.GPU = 0
	j.Steps = append(j.Steps, other)
	d.submit(j, 1)
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		d.startAnswered(start, Accepted)
	}
	d.tick(10 * ms)
	d.cell.HoldAnswered(starts[0].Executor.Incarnation(), HoldResponse{
		Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(1, starts[0], EndFailed)}, Running: runningAt(starts[0].Executor, starts[1]),
	}, d.now, d.now)
	d.takeActions()
	failedAt := d.now
	for len(d.takeCommands(Start)) == 0 {
		c.Assert(d.now < failedAt+LastAttemptPause+100*ms, qt.IsTrue, qt.Commentf("it is not tried again"))
		d.tick(50 * ms)
		for _, hold := range d.takeCommands(Hold) {
			d.cell.HoldAnswered(hold.Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Running: runningAt(hold.Executor, starts[1])}, d.now, d.now)
		}
		d.takeActions()
	}
	c.Assert(d.now >= failedAt+LastAttemptPause, qt.IsTrue)
	c.Assert(d.finished, qt.HasLen, 0)
}

// runningAt returns what an executor lists of a run.
func runningAt(executor catalog.Executor, start Command) []RunningTask {
	if start.Executor.ID != executor.ID {
		return nil
	}
	return []RunningTask{listedRun(start)}
}
