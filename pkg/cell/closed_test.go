package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

func (d *driver) setClosed(closed bool) {
	d.cell.SetClosed(closed, d.now)
	d.takeActions()
}

// endRun ends the run of a start on the first executor, where the others continue.
func (d *driver) endRun(number int64, start Command, others ...Command) {
	d.now += ms
	response := HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{{Number: number, Task: start.Task, Run: start.Run, Kind: EndDone}}}
	for _, other := range others {
		response.Running = append(response.Running, RunningTask{Task: other.Task, Run: other.Run})
	}
	d.holdAnswered(0, response, d.now)
}

func TestAClosedCellStartsNothing(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	d.setClosed(true)
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	outcome := d.finished["a"]
	c.Assert(outcome.Kind, qt.Equals, job.Moved)
	c.Assert(outcome.Reason, qt.Equals, ReasonClosed)
	c.Assert(outcome.Started, qt.IsFalse)
	c.Assert(d.cell.Load(d.now).Ready, qt.IsFalse, qt.Commentf("fronts choose other cells"))

	d.setClosed(false)
	d.submit(testJob("b", 1, d.now), 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1, qt.Commentf("the cell is open again"))
	c.Assert(d.cell.Load(d.now).Ready, qt.IsTrue)
}

// Runs of a closed cell complete there. The rest of their job then moves to another cell, with
// the progress so far.
func TestAClosedCellLetsRunsEnd(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1) // room for two tasks
	d.submit(testJob("a", 3, d.now), 1)
	d.submit(testJob("waits", 1, d.now), 1)
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		d.startAnswered(start, Accepted)
	}
	d.setClosed(true)
	c.Assert(d.finished["waits"].Kind, qt.Equals, job.Moved)
	c.Assert(d.finished, qt.HasLen, 1)

	d.endRun(1, starts[0], starts[1])
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	c.Assert(d.finished, qt.HasLen, 1, qt.Commentf("a run of the job continues"))
	c.Assert(d.takeCommands(Stop), qt.HasLen, 0)

	d.endRun(2, starts[1])
	outcome := d.finished["a"]
	c.Assert(outcome.Reason, qt.Equals, ReasonClosed)
	c.Assert(outcome.Started, qt.IsTrue)
	done := 0
	for _, p := range outcome.Progress {
		if p.Done {
			done++
		}
	}
	c.Assert(done, qt.Equals, 2)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 0)
}

func TestAClosedCellCompletesFinishedJobs(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	d.setClosed(true)
	d.endRun(1, start)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}

// A job of a lost owner must not move to another cell while runs of it that are not known here
// may be alive.
func TestAClosedCellRetainsJobsThatMayHaveUnknownRuns(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0)) // has not answered yet
	d.setClosed(true)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.finished, qt.HasLen, 0)
	d.tick(max(d.cell.longestLease(), testJobLease) - ms)
	c.Assert(d.finished, qt.HasLen, 0)
	d.tick(ms)
	c.Assert(d.finished["a"].Reason, qt.Equals, ReasonClosed)
}
