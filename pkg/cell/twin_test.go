package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// twinOf returns an executor that another writer lists at the address of executor 0. Calls for
// it reach executor 0, which answers that it is another one.
func twinOf(id string) catalog.Executor {
	twin := testExecutor(0)
	twin.ID = id
	return twin
}

// answerHolds answers the pending holds as the executor at the only address does.
func answerHolds(d *driver, response HoldResponse) (holds int) {
	for _, hold := range d.takeCommands(Hold) {
		answer := response
		answer.Clock = clockOf(d)
		if hold.Executor.ID != executorID(0) {
			answer = HoldResponse{Verdict: WrongIncarnation}
		}
		d.cell.HoldAnswered(hold.Executor.Incarnation(), answer, d.now, d.now)
		d.takeActions()
		holds++
	}
	return holds
}

// A second id at the address of an executor gets no work, and no capacity counts twice. The
// executor's runs go on, once.
func TestASecondIDAtAnAddressIsNotUsed(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.startAnswered(start, Accepted)
	running := HoldResponse{Running: []RunningTask{{Task: start.Task, Run: start.Run}}}
	for i := range 40 { // another id each time
		d.cell.SetExecutors([]catalog.Executor{testExecutor(0), twinOf("twin-" + string(rune('a'+i%26)))}, d.now)
		d.takeActions()
		d.tick(50 * ms)
		answerHolds(d, running)
		c.Assert(d.cell.Load(d.now).CapacityCPU, qt.Equals, int64(16000))
		c.Assert(len(d.cell.executors) <= 30, qt.IsTrue, qt.Commentf("%d executors are remembered", len(d.cell.executors)))
	}
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 0)

	d.submit(testJob("b", 2, d.now), 1)
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 1, qt.Commentf("one fits beside the run"))
	c.Assert(starts[0].Executor.ID, qt.Equals, executorID(0))
}

// A second id at the address of an executor that has answered hides no runs. If it did, each
// job that comes from another owner would wait for the longest lease as long as the row stands.
func TestASecondIDAtAnAddressDelaysNoTakeover(t *testing.T) {
	for _, startedAt := range []int64{0, 7} {
		c := qt.New(t)
		twin := twinOf("twin")
		twin.StartedAt = startedAt
		listed := []catalog.Executor{testExecutor(0), twin}
		d := newDriver(c, listed...)
		answerHolds(d, HoldResponse{})
		holds := 0
		for range 10 { // the row stands
			d.cell.SetExecutors(listed, d.now)
			d.takeActions()
			holds += answerHolds(d, HoldResponse{})
		}
		c.Assert(holds <= 1, qt.IsTrue, qt.Commentf("%d holds, so that each list brings calls and log lines", holds))
		c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
		c.Assert(d.cell.KnowsKeptRuns(d.now), qt.IsTrue)
		d.submit(testJob("a", 1, d.now), 2)
		c.Assert(d.takeCommands(Start), qt.HasLen, 1)
	}
}

// An incarnation that has ended may still be followed by another one at its own address.
func TestAnEndedExecutorWithoutAnotherAtItsAddressMayHideRuns(t *testing.T) {
	type scenario struct {
		testName string
		other    func() catalog.Executor
		answers  bool // the other executor has answered
	}
	elsewhere := func() catalog.Executor { return testExecutor(1) }
	atAddress := func() catalog.Executor {
		other := testExecutor(1)
		other.Address = testExecutor(0).Address
		return other
	}
	for _, s := range []scenario{
		{testName: "one at another address", other: elsewhere, answers: true},
		{testName: "one at its address that has not answered", other: atAddress},
	} {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, testExecutor(0), s.other())
			d.holdAnswered(0, HoldResponse{Verdict: WrongIncarnation}, d.now)
			if s.answers {
				d.holdAnswered(1, HoldResponse{Clock: clockOf(d)}, d.now)
			}
			// Its row stays, as that of the next incarnation under the same id is not written yet.
			d.cell.SetExecutors([]catalog.Executor{testExecutor(0), s.other()}, d.now)
			c.Assert(d.cell.allAdopted(), qt.IsFalse)
			d.now += 10 * ms
			c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse)
			d.now += time.Minute
			c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue, qt.Commentf("all leases are over"))
		})
	}
}
