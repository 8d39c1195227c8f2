package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A former owner's lease at an executor whose answer hides runs counts from that answer on,
// for all that is said of runs there: also whether a moved job runs here.
func TestAnOwnerIsNotSettledWhileRunsThatAnAnswerHidMayGoOn(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	d.tick(d.cell.longestLease() - 10*ms) // the former owner may have reached it all the while
	listedAt := d.now
	d.holdAnswer(0, HoldResponse{Clock: minuteOn(d), UnreadableRuns: 1}, d.now)
	for d.now < listedAt+d.cell.params.LongestLease {
		c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse, qt.Commentf("%s after the answer", d.now-listedAt))
		d.tick(10 * ms)
	}
	d.tick(200 * ms)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
}

// A start that nobody waits for any more isn't sent again: its one unclear answer says no
// more of the executor than the first of four.
func TestOneUnclearStartOfAWithdrawnJobEjectsNoExecutor(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 4)
	d.submit(shortJob("a", d.now), 1)
	start := d.of(Start)[0]
	d.cell.Withdraw("a", "caller_gone", d.now)
	d.take()
	d.now += ms
	d.startAnswer(start, Unclear)
	c.Assert(d.cell.executors[start.Executor.Incarnation()].health.onProbation(), qt.IsFalse)
}

// startsAtFirst has the executor that a task goes to first answer each of its starts by a
// verdict, 1 ms after it was sent, and carry none out, while its holds are answered. It
// returns how many starts went there before one went elsewhere or the time was over.
func (d *driver) startsAtFirst(verdict Verdict, until time.Duration) (calls int, movedOn bool) {
	first := ""
	for d.now < until {
		starts, holds := d.of(Start), d.of(Hold)
		d.tick(ms)
		for _, start := range starts {
			if first == "" {
				first = start.Executor.ID
			}
			if start.Executor.ID != first {
				return calls, true
			}
			calls++
			d.startAnswer(start, verdict)
		}
		for _, hold := range holds {
			d.cell.HoldAnswered(hold.Executor.Incarnation(), HoldResponse{Clock: minuteOn(d)}, d.now-ms, d.now)
			d.take()
		}
	}
	return calls, false
}

// So few executors may be out at once that one of two never is. A task whose starts one of
// them doesn't carry out goes to the other, which has room.
func TestATaskLeavesAnExecutorThatCannotBeEjected(t *testing.T) {
	for _, verdict := range []Verdict{Unclear, Unhealthy, Late, Rejected, NoRoom} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 2)
			d.submit(shortJob("a", d.now), 1)
			calls, movedOn := d.startsAtFirst(verdict, 2*time.Second)
			c.Logf("%d starts at the first executor", calls)
			c.Assert(movedOn, qt.IsTrue)
			c.Assert(calls <= maxStartCopies, qt.IsTrue, qt.Commentf("%d", calls))
		})
	}
}

// An executor that refuses all starts at once isn't flooded, also where it is the only one.
func TestTheOnlyExecutorIsNotFloodedByStartsThatItRefuses(t *testing.T) {
	for _, verdict := range []Verdict{Unclear, Unhealthy, Late, NoRoom} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 1)
			d.submit(shortJob("a", d.now), 1)
			calls, _ := d.startsAtFirst(verdict, time.Second)
			c.Logf("%d starts in a second", calls)
			c.Assert(calls > 1, qt.IsTrue, qt.Commentf("it is tried again"))
			c.Assert(calls <= int(time.Second/refusedPause), qt.IsTrue, qt.Commentf("%d", calls))
		})
	}
}
