package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A former owner's lease on an executor whose response has unreadable runs counts from that
// response. The takeover is not complete before it ends.
func TestATakeoverIsIncompleteWhileUnreadableRunsMayContinue(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	d.tick(d.cell.longestLease() - 10*ms) // the former owner may have reached it until now
	listedAt := d.now
	d.holdAnswered(0, HoldResponse{Clock: clockOf(d), UnreadableRuns: 1}, d.now)
	for d.now < listedAt+d.cell.params.LongestLease {
		c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse, qt.Commentf("%s after the answer", d.now-listedAt))
		d.tick(10 * ms)
	}
	d.tick(200 * ms)
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
}

// The start of a withdrawn job is not sent again, so its only unclear answer must not count as
// the last of all copies.
func TestOneUnclearStartOfAWithdrawnJobEjectsNoExecutor(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 4)
	d.submit(shortJob("a", d.now), 1)
	start := d.takeCommands(Start)[0]
	d.cell.Withdraw("a", "caller_gone", d.now)
	d.takeActions()
	d.now += ms
	d.startAnswered(start, Unclear)
	c.Assert(d.cell.executors[start.Executor.Incarnation()].health.onProbation(), qt.IsFalse)
}

// startsAtFirst has the first executor that gets a start answer each of its starts with a
// verdict, 1 ms after it was sent, and carry none out, while all holds are answered. It
// returns how many starts that executor got before one went elsewhere or the time was over.
func (d *driver) startsAtFirst(verdict Verdict, until time.Duration) (calls int, movedOn bool) {
	first := ""
	for d.now < until {
		starts, holds := d.takeCommands(Start), d.takeCommands(Hold)
		d.tick(ms)
		for _, start := range starts {
			if first == "" {
				first = start.Executor.ID
			}
			if start.Executor.ID != first {
				return calls, true
			}
			calls++
			d.startAnswered(start, verdict)
		}
		for _, hold := range holds {
			d.cell.HoldAnswered(hold.Executor.Incarnation(), HoldResponse{Clock: clockOf(d)}, d.now-ms, d.now)
			d.takeActions()
		}
	}
	return calls, false
}

// Of two executors none can be ejected, as this would exceed the share that may be. A task
// whose starts one of them does not carry out must move to the other, which has capacity.
func TestATaskMovesFromAnExecutorThatCannotBeEjected(t *testing.T) {
	for _, verdict := range []Verdict{Unclear, Unhealthy, Late, Rejected, NoRoom} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 2)
			d.submit(shortJob("a", d.now), 1)
			calls, movedOn := d.startsAtFirst(verdict, 2*time.Second)
			c.Logf("%d starts at the first executor", calls)
			c.Assert(movedOn, qt.IsTrue)
			c.Assert(calls <= maxStartCopies, qt.IsTrue, qt.Commentf("%d", calls))
		})
	}
}

// Starts to an executor that refuses all of them at once must be paced, even if it is the only
// one.
func TestTheOnlyExecutorIsNotFloodedByStartsThatItRefuses(t *testing.T) {
	for _, verdict := range []Verdict{Unclear, Unhealthy, Late, NoRoom} {
		t.Run(verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.submit(shortJob("a", d.now), 1)
			calls, _ := d.startsAtFirst(verdict, time.Second)
			c.Logf("%d starts in a second", calls)
			c.Assert(calls > 1, qt.IsTrue, qt.Commentf("the executor is tried again"))
			c.Assert(calls <= int(time.Second/refusedPause), qt.IsTrue, qt.Commentf("%d", calls))
		})
	}
}
