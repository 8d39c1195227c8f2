package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Tasks ran twice at once, by orders of one owner: executors carried starts out and
// answered them by something that the protocol doesn't name, as an error of their own.
// The owner took it that nothing had been done, dropped the run and started the task
// elsewhere at once. Of 400 plays of the explorer with such answers 378 had such a task.
// Here owners get answers that don't say whether an order was carried out, and refusals of
// orders that have to be carried out some time.

func TestAnUnclearStartIsSentAgainAtOnce(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 4)
	d.submit(shortJob("a", d.now), 1)
	first := d.of(Start)[0]
	for range maxStartCopies - 1 {
		d.now += ms
		d.startAnswer(first, Unclear)
		again := d.of(Start)
		c.Assert(again, qt.HasLen, 1)
		c.Assert(again[0], qt.DeepEquals, first, qt.Commentf("the executor must know it as the same start"))
	}
	d.now += ms
	d.startAnswer(first, Unclear)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("it may run"))
	e := d.cell.executors[first.Executor.Incarnation()]
	c.Assert(e.health.onProbation(), qt.IsTrue, qt.Commentf("an executor that misanswers all gets no more work"))
}

func TestOneUnclearStartEjectsNoExecutor(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 4)
	d.submit(shortJob("a", d.now), 1)
	start := d.of(Start)[0]
	e := d.cell.executors[start.Executor.Incarnation()]
	d.now += ms
	d.startAnswer(start, Unclear)
	c.Assert(e.usable(d.now), qt.IsFalse, qt.Commentf("it gets nothing more before it has said something"))
	d.now += ms
	d.startAnswer(start, Accepted)
	c.Assert(e.usable(d.now), qt.IsTrue)
	c.Assert(e.runs[start.Task].state, qt.Equals, running)
}

func TestWhenATaskWithAnUnclearStartStartsAgain(t *testing.T) {
	type scenario struct {
		testName string
		after    time.Duration // the start
		answer   func(start Command) HoldResponse
		want     int
	}
	none := func(Command) HoldResponse { return HoldResponse{} }
	scenarios := []scenario{
		{testName: "not listed, but it may start yet", after: 50 * ms, answer: none},
		{testName: "not listed after its deadline", after: shortestLease + 10*ms, answer: none, want: 1},
		{testName: "listed as running", after: shortestLease + 10*ms, answer: func(start Command) HoldResponse {
			return HoldResponse{Running: []RunningTask{{Task: start.Task, Run: start.Run}}}
		}},
		{testName: "listed as done", after: 50 * ms, answer: func(start Command) HoldResponse {
			return HoldResponse{Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}}}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 4)
			d.submit(shortJob("a", d.now), 1)
			start := d.of(Start)[0]
			sentAt := d.now
			d.unclear(start)
			c.Assert(d.of(Start), qt.HasLen, 0)
			d.now = sentAt + s.after
			answer := s.answer(start)
			answer.Clock = minuteOn(d)
			d.cell.HoldAnswered(start.Executor.Incarnation(), answer, d.now, d.now)
			d.take()
			again := d.of(Start)
			c.Assert(again, qt.HasLen, s.want)
			for _, other := range again {
				c.Assert(other.Run > start.Run, qt.IsTrue)
				c.Assert(other.Executor.ID, qt.Not(qt.Equals), start.Executor.ID, qt.Commentf("that one is out"))
			}
		})
	}
}

// unclear answers all copies of a start by nothing that says whether it was carried out.
func (d *driver) unclear(start Command) {
	for range maxStartCopies {
		d.now += ms
		d.startAnswer(start, Unclear)
		d.of(Start)
	}
}

// A stop that was asked for while its start was unclear must not be forgotten with it.
func TestAStopAfterAnUnclearStartIsOrdered(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 4)
	d.submit(shortJob("a", d.now), 1)
	start := d.of(Start)[0]
	d.cell.Withdraw("a", "caller_gone", d.now)
	d.take()
	c.Assert(d.of(Stop), qt.HasLen, 0, qt.Commentf("it could overtake the start"))
	d.now += ms
	d.startAnswer(start, Unclear)
	c.Assert(d.of(Start), qt.HasLen, 0)
	c.Assert(d.of(Stop), qt.HasLen, 1)
}

// The run of a stop that wasn't carried out goes on, and a task that was stopped for being
// behind waits for its end.
func TestAStopThatWasNotCarriedOutIsRepeated(t *testing.T) {
	for _, verdict := range []Verdict{Unhealthy, Rejected, Unclear, NoRoom, Late, Outdated} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			d, start := startedOn(c, 2)
			d.cell.Withdraw("a", "front_gone", d.now)
			d.take()
			stop := d.of(Stop)[0]
			for range 3 {
				d.now += ms
				d.cell.StopAnswered(stop.Executor.Incarnation(), stop.Task, stop.Run, verdict, 0, d.now)
				d.take()
				c.Assert(d.of(Stop), qt.HasLen, 0, qt.Commentf("one that refuses at once isn't flooded"))
				d.now += 5 * ms
				d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: minuteOn(d), Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now, d.now)
				d.take()
				again := d.of(Stop)
				c.Assert(again, qt.HasLen, 1, qt.Commentf("the run still goes on"))
				c.Assert(again[0].Run, qt.Equals, start.Run)
			}
			d.now += ms
			d.cell.StopAnswered(stop.Executor.Incarnation(), stop.Task, stop.Run, Accepted, 0, d.now)
			d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: minuteOn(d), Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now, d.now)
			d.take()
			c.Assert(d.of(Stop), qt.HasLen, 0, qt.Commentf("it was carried out"))
		})
	}
}

// Holds that aren't carried out renew no lease, whatever they are answered by. The runs
// are over with their leases, and no sooner.
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
				for _, hold := range d.of(Hold) {
					if hold.Executor.ID == start.Executor.ID {
						c.Assert(hold.Deadline <= e.grantedUntil, qt.IsTrue)
						d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Verdict: verdict}, d.now, d.now)
						d.take()
					}
				}
				again = d.of(Start)
			}
			c.Assert(again, qt.HasLen, 1)
			c.Assert(again[0].Run > start.Run, qt.IsTrue)
			c.Assert(again[0].Executor.ID, qt.Not(qt.Equals), start.Executor.ID, qt.Commentf("a lease there couldn't be renewed"))
			c.Assert(e.clock.lowerBound(d.now) > over, qt.IsTrue, qt.Commentf("not before its leases are over"))
			c.Logf("it starts again %s after its first start", d.now)
		})
	}
}

func TestOneUnclearHoldIsNoSilentExecutor(t *testing.T) {
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

// An executor whose answer hides runs isn't adopted, and runs that it lists may have leases
// of the former owner's.
func TestRunsOfAnExecutorThatHidOthersLastAsLongAsTheFormerOwnersLeases(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswer(1, HoldResponse{Clock: minuteOn(d)}, d.now)
	d.submit(testJob("a", 1, d.now), 2)
	d.tick(testJobLease - 10*ms) // the former owner may have reached the other one meanwhile
	listedAt := d.now
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), Running: []RunningTask{{Task: "a.0.0.0", Run: 1}}, UnreadableRuns: 1}, d.now)
	d.cell.HoldAnswered(testLife(0), HoldResponse{Verdict: Unanswered}, d.now, d.now)
	d.take()
	for d.now < listedAt+d.cell.params.LongestLease {
		c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("%s after the list: the former owner's lease may go on", d.now-listedAt))
		d.tick(10 * ms)
	}
	d.tick(100 * ms)
	c.Assert(d.of(Start), qt.HasLen, 1)
}

// One that has said nothing of use to its last order is asked, though nothing runs there.
func TestADoubtfulExecutorIsAskedThoughNothingRunsThere(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	d.of(Hold)
	d.now += 5 * ms
	d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{
		Clock: minuteOn(d), Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}},
	}, d.now, d.now)
	d.take()
	c.Assert(d.of(Hold), qt.HasLen, 0)
	d.now += 25 * ms
	d.overdue(start, 0) // a copy
	c.Assert(d.of(Hold), qt.HasLen, 1)
}
