package cell

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// A run whose task an executor lists with another number is over. The task isn't: whoever
// ordered the other run, it goes on there.
func TestATaskThatIsListedWithAnotherRunGoesOn(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	id := start.Executor.ID
	d.now += 5 * ms
	other := RunningTask{Task: start.Task, Run: start.Run + 5}
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{Clock: minuteOn(d), Running: []RunningTask{other}}, d.now, d.now)
	d.take()
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("it would run twice"))
	c.Assert(d.cell.executors[catalog.Incarnation(id)].runs[start.Task].number, qt.Equals, other.Run)
	d.now += 5 * ms
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{Clock: minuteOn(d), Ended: []EndedTask{{Number: 1, Task: other.Task, Run: other.Run, Kind: EndDone}}}, d.now, d.now)
	d.take()
	c.Assert(d.finished, qt.HasLen, 1)
}

// An executor that has only given answers that hide runs may run something for as long as
// the former owner's last lease, though it isn't listed any more.
func TestAnExecutorThatHidRunsIsNotForgottenBeforeItsLeasesAreOver(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswer(1, HoldResponse{Clock: minuteOn(d)}, d.now)
	d.tick(d.cell.params.LongestLease - 100*ms)
	answeredAt := d.now
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), UnreadableRuns: 1}, d.now)
	d.tick(unreadablePause)
	d.cell.SetExecutors([]catalog.Executor{testExecutor(1)}, d.now)
	d.holdUnanswered(executorID(0))
	d.tick(50 * ms)
	d.submit(testJob("a", 1, d.now), 2)
	for d.now < answeredAt+d.cell.params.LongestLease {
		c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("%s after the answer: the former owner's lease may go on", d.now-answeredAt))
		d.tick(10 * ms)
	}
	d.tick(testJobLease)
	c.Assert(d.of(Start), qt.HasLen, 1)
	c.Assert(d.cell.executors, qt.HasLen, 1)
}

// Each list of runs comes with the executor's clock. An answer without one tells of no run,
// and not that there is none.
func TestAnAcceptedHoldWithoutAClockTellsNothing(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	d.holdAnswer(0, HoldResponse{}, d.now)
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("a former owner's run may go on"))
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse)
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), Running: []RunningTask{{Task: "a.0.0.0", Run: 1}}}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 0)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
}
