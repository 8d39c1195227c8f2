package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// startedOn returns a driver with a number of executors, one of which runs a task, and the
// start of the task.
func startedOn(c *qt.C, executors int) (*driver, Command) {
	d := newAdoptedDriver(c, executors)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.now += ms
	d.startAnswered(start, Accepted)
	return d, start
}

func (d *driver) holdUnanswered(id string) {
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{Verdict: Unanswered}, d.now, d.now)
	d.takeActions()
}

func TestLeasesOfAnUnresponsiveExecutorAreNotRenewed(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	d.takeCommands(Hold)
	d.now += 400 * ms
	d.holdUnanswered(start.Executor.ID)
	for range 20 {
		d.tick(50 * ms)
		for _, hold := range d.takeCommands(Hold) {
			if hold.Executor.ID != start.Executor.ID {
				continue // the one where the task runs again
			}
			c.Assert(hold.Deadline, qt.Equals, time.Duration(0))
			d.holdUnanswered(hold.Executor.ID)
		}
	}
	again := d.takeCommands(Start)
	c.Assert(again, qt.HasLen, 1, qt.Commentf("the lease has expired, so the task runs elsewhere"))
	c.Assert(again[0].Executor.ID, qt.Not(qt.Equals), start.Executor.ID)
}

func TestALeaseExpiresByTheSlowestClock(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	hold := d.takeCommands(Hold)[0]
	d.holdUnanswered(start.Executor.ID)
	// The executor's clock is one minute ahead, and the hold may have been carried out.
	leaseEnd := hold.Deadline - time.Minute
	d.now = leaseEnd + ms
	d.tick(5 * ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("a clock that is 2%% slow has not reached the deadline yet"))
	d.now = leaseEnd + leaseEnd/45
	d.tick(5 * ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the executor takes up to StopTime to end the run"))
	d.tick(50 * ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

func TestAPausedCellStartsNothing(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.cell.PauseStarts(d.now + 300*ms)
	d.submit(testJob("a", 1, d.now), 1)
	d.tick(299 * ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	d.tick(ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

func TestAFencedOwnerReturnsItsJobs(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 2)
	d.submit(testJob("b", 1, d.now), 1)
	second := d.takeCommands(Start)[0]
	d.startAnswered(second, Fenced)
	c.Assert(d.cell.Fenced(), qt.IsTrue)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Moved)
	c.Assert(d.finished["a"].Started, qt.IsTrue)
	progress := d.finished["a"].Progress
	c.Assert(progress, qt.HasLen, 1)
	activeFor, leaseLeft := progress[0].ActiveFor, d.cell.params.Lease+d.cell.params.StopTime
	c.Assert(progress, qt.DeepEquals, []job.Progress{{Run: start.Run, ActiveAt: start.Executor.ID, ActiveFor: activeFor}})
	c.Assert(activeFor >= leaseLeft && activeFor <= withDrift(leaseLeft), qt.IsTrue, qt.Commentf("%s for leases of %s", activeFor, leaseLeft))
	d.commands = nil
	d.tick(time.Second)
	c.Assert(d.commands, qt.HasLen, 0, qt.Commentf("a fenced owner sends no commands"))
}
