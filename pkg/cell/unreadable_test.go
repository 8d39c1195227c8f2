package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// An executor whose row cannot be read gets no starts, and its runs continue.
func TestRunsOfAWithheldExecutorAreRenewed(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.startAnswered(start, Accepted)

	d.cell.SetExecutors([]catalog.Executor{testExecutor(0).Withheld()}, d.now)
	d.submit(testJob("b", 1, d.now), 1)
	d.takeCommands(Hold)
	d.now += 100 * ms
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 0)
	holds := d.takeCommands(Hold)
	c.Assert(holds, qt.HasLen, 1)
	c.Assert(holds[0].Deadline > 0, qt.IsTrue, qt.Commentf("the lease is renewed"))
	c.Assert(d.cell.Load(d.now).Ready, qt.IsFalse)

	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run}}}, d.now)
	c.Assert(d.finished, qt.HasLen, 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)

	d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
	d.takeActions()
	c.Assert(d.takeCommands(Start), qt.HasLen, 1, qt.Commentf("its row can be read again"))
}

// A new owner adopts the runs of a withheld executor, and a job that is handed over keeps
// them.
func TestTheNextOwnerAdoptsRunsOfAWithheldExecutor(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0).Withheld(), testExecutor(1))
	first := testJob("a", 1, d.now)
	name := first.TaskName(job.TaskKey{})
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), Running: []RunningTask{{Task: name, Run: 3}}}, d.now)
	d.holdAnswered(1, HoldResponse{Clock: clockOf(d)}, d.now)
	d.submit(first, 2)
	d.submit(testJob("b", 3, d.now), 1)
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 2, qt.Commentf("as many as fit on the other executor"))
	for _, start := range starts {
		c.Assert(start.Executor.ID, qt.Equals, executorID(1))
		c.Assert(start.Task, qt.Not(qt.Equals), name)
	}
}

// An unreadable entry may be any run. No run counts as absent, and nothing is started beside
// it.
func TestAResponseWithUnreadableRuns(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.startAnswered(start, Accepted)
	index := 0
	if start.Executor.ID == executorID(1) {
		index = 1
	}
	d.now += 10 * ms
	d.holdAnswered(index, HoldResponse{Clock: clockOf(d), UnreadableRuns: 1}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the run is not listed, but may continue"))
	d.takeCommands(Hold)

	d.submit(testJob("b", 2, d.now), 1)
	for _, other := range d.takeCommands(Start) {
		c.Assert(other.Executor.ID, qt.Not(qt.Equals), start.Executor.ID)
	}
	d.tick(unreadablePause)
	c.Assert(takeHoldsFor(d, start.Executor.ID), qt.Equals, 1, qt.Commentf("it gets another hold after a pause"))

	d.holdAnswered(index, HoldResponse{Clock: clockOf(d), UnreadableRuns: 1, Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run}}}, d.now)
	c.Assert(d.finished, qt.HasLen, 1, qt.Commentf("readable ends are applied"))

	d.tick(unreadablePause)
	c.Assert(takeHoldsFor(d, start.Executor.ID), qt.Equals, 1, qt.Commentf("it gets a hold though no run is known there"))
	d.submit(testJob("c", 4, d.now), 1)
	d.takeCommands(Start)
	d.holdAnswered(index, HoldResponse{Clock: clockOf(d)}, d.now)
	c.Assert(len(d.takeCommands(Start)) > 0, qt.IsTrue, qt.Commentf("all its runs are readable again"))
}

// An unreadable run may be one of the former owner, so the executor is not adopted.
func TestAResponseWithUnreadableRunsAdoptsNoExecutor(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), UnreadableRuns: 1}, d.now)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	d.now += unreadablePause
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d)}, d.now)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
}

// clockOf returns what the executors' clocks show.
func clockOf(d *driver) time.Duration { return time.Minute + d.now }

// takeHoldsFor removes the pending holds and returns how many of them were for an executor.
func takeHoldsFor(d *driver, id string) int {
	count := 0
	for _, hold := range d.takeCommands(Hold) {
		if hold.Executor.ID == id {
			count++
		}
	}
	return count
}
