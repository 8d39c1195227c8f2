package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An unclear answer does not say whether the start was carried out. If the task started
// elsewhere at once, it could run twice.
func TestAnUnclearStartIsResentAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 4)
	d.submit(shortJob("a", d.now), 1)
	first := d.takeCommands(Start)[0]
	for range maxStartCopies - 1 {
		d.now += ms
		d.startAnswered(first, Unclear)
		again := d.takeCommands(Start)
		c.Assert(again, qt.HasLen, 1)
		c.Assert(again[0], qt.DeepEquals, first, qt.Commentf("the executor must recognize it as the same start"))
	}
	d.now += ms
	d.startAnswered(first, Unclear)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the task may be running"))
	e := d.cell.executors[first.Executor.Incarnation()]
	c.Assert(e.health.onProbation(), qt.IsTrue, qt.Commentf("an executor whose answers are all unclear gets no more work"))
}

func TestOneUnclearStartEjectsNoExecutor(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 4)
	d.submit(shortJob("a", d.now), 1)
	start := d.takeCommands(Start)[0]
	e := d.cell.executors[start.Executor.Incarnation()]
	d.now += ms
	d.startAnswered(start, Unclear)
	c.Assert(e.usable(d.now), qt.IsFalse, qt.Commentf("it gets no start before a clear answer"))
	d.now += ms
	d.startAnswered(start, Accepted)
	c.Assert(e.usable(d.now), qt.IsTrue)
	c.Assert(e.runs[start.Task].state, qt.Equals, running)
}

func TestWhenATaskWithAnUnclearStartStartsAgain(t *testing.T) {
	type scenario struct {
		testName string
		after    time.Duration // the start
		response func(start Command) HoldResponse
		want     int
	}
	none := func(Command) HoldResponse { return HoldResponse{} }
	scenarios := []scenario{
		{testName: "not listed, but it may still start", after: 50 * ms, response: none},
		{testName: "not listed after its deadline", after: shortestLease + 10*ms, response: none, want: 1},
		{testName: "listed as running", after: shortestLease + 10*ms, response: func(start Command) HoldResponse {
			return HoldResponse{Running: []RunningTask{{Task: start.Task, Run: start.Run}}}
		}},
		{testName: "listed as done", after: 50 * ms, response: func(start Command) HoldResponse {
			return HoldResponse{Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}}}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 4)
			d.submit(shortJob("a", d.now), 1)
			start := d.takeCommands(Start)[0]
			sentAt := d.now
			d.answerUnclear(start)
			c.Assert(d.takeCommands(Start), qt.HasLen, 0)
			d.now = sentAt + s.after
			response := s.response(start)
			response.Clock = clockOf(d)
			d.cell.HoldAnswered(start.Executor.Incarnation(), response, d.now, d.now)
			d.takeActions()
			again := d.takeCommands(Start)
			c.Assert(again, qt.HasLen, s.want)
			for _, other := range again {
				c.Assert(other.Run > start.Run, qt.IsTrue)
				c.Assert(other.Executor.ID, qt.Not(qt.Equals), start.Executor.ID, qt.Commentf("the executor is ejected"))
			}
		})
	}
}

// answerUnclear gives an unclear answer to all copies of a start.
func (d *driver) answerUnclear(start Command) {
	for range maxStartCopies {
		d.now += ms
		d.startAnswered(start, Unclear)
		d.takeCommands(Start)
	}
}

// A stop that is requested while its start is unresolved must not be lost.
func TestAStopAfterAnUnclearStartIsSent(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 4)
	d.submit(shortJob("a", d.now), 1)
	start := d.takeCommands(Start)[0]
	d.cell.Withdraw("a", "caller_gone", d.now)
	d.takeActions()
	c.Assert(d.takeCommands(Stop), qt.HasLen, 0, qt.Commentf("it could overtake the start"))
	d.now += ms
	d.startAnswered(start, Unclear)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 1)
}

// A run continues if its stop was not carried out, and the task of a stopped straggler waits
// for its end.
func TestAStopThatWasNotCarriedOutIsRepeated(t *testing.T) {
	for _, verdict := range []Verdict{Unhealthy, Rejected, Unclear, NoRoom, Late, Outdated} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			d, start := startedOn(c, 2)
			d.cell.Withdraw("a", "front_gone", d.now)
			d.takeActions()
			stop := d.takeCommands(Stop)[0]
			for range 3 {
				d.now += ms
				d.cell.StopAnswered(stop.Executor.Incarnation(), stop.Task, stop.Run, verdict, 0, d.now)
				d.takeActions()
				c.Assert(d.takeCommands(Stop), qt.HasLen, 0, qt.Commentf("an executor that refuses at once is not flooded"))
				d.now += 5 * ms
				d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: clockOf(d), Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now, d.now)
				d.takeActions()
				again := d.takeCommands(Stop)
				c.Assert(again, qt.HasLen, 1, qt.Commentf("the run continues"))
				c.Assert(again[0].Run, qt.Equals, start.Run)
			}
			d.now += ms
			d.cell.StopAnswered(stop.Executor.Incarnation(), stop.Task, stop.Run, Accepted, 0, d.now)
			d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: clockOf(d), Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now, d.now)
			d.takeActions()
			c.Assert(d.takeCommands(Stop), qt.HasLen, 0, qt.Commentf("the stop was carried out"))
		})
	}
}

// Holds that are not carried out renew no lease, whatever their verdict. The runs count as
// ended when their leases have expired, and not before.
func TestRunsEndWithTheirLeasesWhenHoldsAreNotCarriedOut(t *testing.T) {
	for _, verdict := range []Verdict{Unhealthy, Rejected, Unclear, Unanswered} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			d, start := startedOn(c, 2)
			e := d.cell.executors[start.Executor.Incarnation()]
			over := e.grantedUntil + d.cell.params.StopTime
			var again []Command
			for d.now < 2*time.Second && len(again) == 0 {
				d.tick(5 * ms)
				for _, hold := range d.takeCommands(Hold) {
					if hold.Executor.ID == start.Executor.ID {
						c.Assert(hold.Deadline <= e.grantedUntil, qt.IsTrue)
						d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Verdict: verdict}, d.now, d.now)
						d.takeActions()
					}
				}
				again = d.takeCommands(Start)
			}
			c.Assert(again, qt.HasLen, 1)
			c.Assert(again[0].Run > start.Run, qt.IsTrue)
			c.Assert(again[0].Executor.ID, qt.Not(qt.Equals), start.Executor.ID, qt.Commentf("leases there could not be renewed"))
			c.Assert(e.clock.lowerBound(d.now) > over, qt.IsTrue, qt.Commentf("not before its leases have expired"))
			c.Logf("the task starts again %s after its first start", d.now)
		})
	}
}

func TestOneUnclearHoldDoesNotMakeAnExecutorUnresponsive(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	e := d.cell.executors[start.Executor.Incarnation()]
	for missed := 1; missed < maxMissedHolds; missed++ {
		d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Verdict: Unclear}, d.now, d.now)
		c.Assert(e.unresponsive, qt.IsFalse)
	}
	d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Verdict: Unclear}, d.now, d.now)
	c.Assert(e.unresponsive, qt.IsTrue)
}

// An executor whose response has unreadable runs is not adopted, and the runs that it lists
// may have leases of the former owner.
func TestRunsBesideUnreadableOnesMayLastAsLongAsTheFormerOwnersLeases(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswered(1, HoldResponse{Clock: clockOf(d)}, d.now)
	d.submit(testJob("a", 1, d.now), 2)
	d.tick(testJobLease - 10*ms) // the former owner may have reached the other executor meanwhile
	listedAt := d.now
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), Running: []RunningTask{{Task: "a.0.0.0", Run: 1}}, UnreadableRuns: 1}, d.now)
	d.cell.HoldAnswered(testIncarnation(0), HoldResponse{Verdict: Unanswered}, d.now, d.now)
	d.takeActions()
	for d.now < listedAt+d.cell.params.LongestLease {
		c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("%s after the list: the former owner's lease may still be in effect", d.now-listedAt))
		d.tick(10 * ms)
	}
	d.tick(100 * ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

// An executor whose state is unknown after its last command gets a hold, although no run is
// known there.
func TestAnExecutorInAnUnknownStateGetsAHoldWithoutRuns(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	d.takeCommands(Hold)
	d.now += 5 * ms
	d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{
		Clock: clockOf(d), Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}},
	}, d.now, d.now)
	d.takeActions()
	c.Assert(d.takeCommands(Hold), qt.HasLen, 0)
	d.now += 25 * ms
	d.markOverdue(start, 0) // a copy of the start
	c.Assert(d.takeCommands(Hold), qt.HasLen, 1)
}
