package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// startedOn makes a driver with a task that runs on the first of so many
// executors, and returns its start.
func startedOn(c *qt.C, executors int) (*driver, Command) {
	d := adopted(c, executors)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.of(Start)[0]
	d.now += ms
	d.startAnswer(start, Accepted)
	return d, start
}

func (d *driver) holdUnanswered(id string) {
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{Verdict: Unanswered}, d.now, d.now)
	d.take()
}

func TestLeasesOfASilentExecutorAreNotRenewed(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	d.of(Hold)
	d.now += 400 * ms
	d.holdUnanswered(start.Executor.ID)
	for range 20 {
		d.tick(50 * ms)
		for _, hold := range d.of(Hold) {
			if hold.Executor.ID != start.Executor.ID {
				continue // where the task runs again
			}
			c.Assert(hold.Deadline, qt.Equals, time.Duration(0))
			d.holdUnanswered(hold.Executor.ID)
		}
	}
	again := d.of(Start)
	c.Assert(again, qt.HasLen, 1, qt.Commentf("the lease is over, so the task runs elsewhere"))
	c.Assert(again[0].Executor.ID, qt.Not(qt.Equals), start.Executor.ID)
}

func TestALeaseIsOverOnlyByTheSlowestClock(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	hold := d.of(Hold)[0]
	d.holdUnanswered(start.Executor.ID)
	// The executor's clock showed a minute when ours stood at 1 ms, and the
	// hold may have been carried out.
	left := hold.Deadline - time.Minute
	d.now = left + ms
	d.tick(5 * ms)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("a clock 2%% slow has not reached the deadline yet"))
	d.now = left + left/45
	d.tick(5 * ms)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("the executor may be late to end what runs"))
	d.tick(50 * ms)
	c.Assert(d.of(Start), qt.HasLen, 1)
}

func TestAPausedCellStartsNothing(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.cell.PauseStarts(d.now + 300*ms)
	d.submit(testJob("a", 1, d.now), 1)
	d.tick(299 * ms)
	c.Assert(d.of(Start), qt.HasLen, 0)
	d.tick(ms)
	c.Assert(d.of(Start), qt.HasLen, 1)
}

func TestAFencedOwnerGivesItsJobsBack(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	d.submit(testJob("b", 1, d.now), 1)
	second := d.of(Start)[0]
	d.startAnswer(second, Fenced)
	c.Assert(d.cell.Fenced(), qt.IsTrue)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Moved)
	c.Assert(d.finished["a"].Started, qt.IsTrue)
	c.Assert(d.finished["a"].Progress, qt.DeepEquals, []job.Progress{{Run: start.Run}})
	d.commands = nil
	d.tick(time.Second)
	c.Assert(d.commands, qt.HasLen, 0, qt.Commentf("it orders nothing any more"))
}
