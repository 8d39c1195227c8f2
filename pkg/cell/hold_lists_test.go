package cell

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// A run whose task is listed with another run number has ended. The task must not start again,
// as the other run continues it.
func TestATaskListedWithAnotherRunContinues(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	id := start.Executor.ID
	d.now += 5 * ms
	other := RunningTask{Task: start.Task, Run: start.Run + 5}
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{Clock: clockOf(d), Running: []RunningTask{other}}, d.now, d.now)
	d.takeActions()
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the task would run twice"))
	c.Assert(d.cell.executors[catalog.Incarnation(id)].runs[start.Task].number, qt.Equals, other.Run)
	d.now += 5 * ms
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{Clock: clockOf(d), Ended: []EndedTask{{Number: 1, Task: other.Task, Run: other.Run, Kind: EndDone}}}, d.now, d.now)
	d.takeActions()
	c.Assert(d.finished, qt.HasLen, 1)
}

// An executor whose only responses had unreadable runs may have runs until the former owner's
// last lease expires, even if it is no longer listed.
func TestAnExecutorWithUnreadableRunsIsNotForgottenBeforeItsLeasesExpire(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswered(1, HoldResponse{Clock: clockOf(d)}, d.now)
	d.tick(d.cell.params.LongestLease - 100*ms)
	answeredAt := d.now
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), UnreadableRuns: 1}, d.now)
	d.tick(unreadablePause)
	d.cell.SetExecutors([]catalog.Executor{testExecutor(1)}, d.now)
	d.holdUnanswered(executorID(0))
	d.tick(50 * ms)
	d.submit(testJob("a", 1, d.now), 2)
	for d.now < answeredAt+d.cell.params.LongestLease {
		c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("%s after the answer: the former owner's lease may still be in effect", d.now-answeredAt))
		d.tick(10 * ms)
	}
	d.tick(testJobLease)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
	c.Assert(d.cell.executors, qt.HasLen, 1)
}

// Every list of runs has the executor's clock. A response without one does not confirm that
// there are no runs.
func TestAnAcceptedHoldWithoutAClockIsNoList(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	d.holdAnswered(0, HoldResponse{}, d.now)
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("a run of the former owner may be alive"))
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse)
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), Running: []RunningTask{{Task: "a.0.0.0", Run: 1}}}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
}
