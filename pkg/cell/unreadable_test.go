package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// An executor whose row can't be read gets nothing new at once, and its runs go on.
func TestRunsOfAWithheldExecutorAreHeld(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.of(Start)[0]
	d.startAnswer(start, Accepted)

	d.cell.SetExecutors([]catalog.Executor{testExecutor(0).Withheld()}, d.now)
	d.submit(testJob("b", 1, d.now), 1)
	d.of(Hold)
	d.now += 100 * ms
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 0)
	c.Assert(d.of(Stop), qt.HasLen, 0)
	holds := d.of(Hold)
	c.Assert(holds, qt.HasLen, 1)
	c.Assert(holds[0].Deadline > 0, qt.IsTrue, qt.Commentf("the lease is renewed"))
	c.Assert(d.cell.Load(d.now).Ready, qt.IsFalse)

	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run}}}, d.now)
	c.Assert(d.finished, qt.HasLen, 1)
	c.Assert(d.of(Start), qt.HasLen, 0)

	d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
	d.take()
	c.Assert(d.of(Start), qt.HasLen, 1, qt.Commentf("its row can be read again"))
}

// The next owner finds the runs there, and a job that is handed over keeps them.
func TestTheNextOwnerAdoptsRunsOfAWithheldExecutor(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0).Withheld(), testExecutor(1))
	first := testJob("a", 1, d.now)
	name := first.TaskName(job.TaskKey{})
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), Running: []RunningTask{{Task: name, Run: 3}}}, d.now)
	d.holdAnswer(1, HoldResponse{Clock: minuteOn(d)}, d.now)
	d.submit(first, 2)
	d.submit(testJob("b", 3, d.now), 1)
	starts := d.of(Start)
	c.Assert(starts, qt.HasLen, 2, qt.Commentf("what has room on the other executor"))
	for _, start := range starts {
		c.Assert(start.Executor.ID, qt.Equals, executorID(1))
		c.Assert(start.Task, qt.Not(qt.Equals), name)
	}
}

// An entry that can't be read may be any run: none counts as absent, and nothing is
// started beside it.
func TestAnAnswerThatHidesRuns(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 2)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.of(Start)[0]
	d.startAnswer(start, Accepted)
	hiding := 0
	if start.Executor.ID == executorID(1) {
		hiding = 1
	}
	d.now += 10 * ms
	d.holdAnswer(hiding, HoldResponse{Clock: minuteOn(d), UnreadableRuns: 1}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("the run isn't listed, and may go on"))
	d.of(Hold)

	d.submit(testJob("b", 2, d.now), 1)
	for _, other := range d.of(Start) {
		c.Assert(other.Executor.ID, qt.Not(qt.Equals), start.Executor.ID)
	}
	d.tick(unreadablePause)
	c.Assert(holdsOf(d, start.Executor.ID), qt.Equals, 1, qt.Commentf("it is asked again after a pause"))

	d.holdAnswer(hiding, HoldResponse{Clock: minuteOn(d), UnreadableRuns: 1, Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run}}}, d.now)
	c.Assert(d.finished, qt.HasLen, 1, qt.Commentf("ends that can be read are taken in"))

	d.tick(unreadablePause)
	c.Assert(holdsOf(d, start.Executor.ID), qt.Equals, 1, qt.Commentf("it is asked though no run is known there"))
	d.submit(testJob("c", 4, d.now), 1)
	d.of(Start)
	d.holdAnswer(hiding, HoldResponse{Clock: minuteOn(d)}, d.now)
	c.Assert(len(d.of(Start)) > 0, qt.IsTrue, qt.Commentf("it tells all again"))
}

// A run that a takeover doesn't see may go on: the executor isn't adopted.
func TestATakeoverDoesNotTrustAnAnswerThatHidesRuns(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), UnreadableRuns: 1}, d.now)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.of(Start), qt.HasLen, 0)
	d.now += unreadablePause
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d)}, d.now)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
}

func minuteOn(d *driver) time.Duration { return time.Minute + d.now }

// holdsOf counts and forgets the holds of an executor.
func holdsOf(d *driver, id string) int {
	count := 0
	for _, hold := range d.of(Hold) {
		if hold.Executor.ID == id {
			count++
		}
	}
	return count
}
