package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

func (d *driver) setClosed(closed bool) {
	d.cell.SetClosed(closed, d.now)
	d.take()
}

// end has the run of a start end at the first executor, where others go on.
func (d *driver) end(number int64, start Command, others ...Command) {
	d.now += ms
	answer := HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{{Number: number, Task: start.Task, Run: start.Run, Kind: EndDone}}}
	for _, other := range others {
		answer.Running = append(answer.Running, RunningTask{Task: other.Task, Run: other.Run})
	}
	d.holdAnswer(0, answer, d.now)
}

func TestAClosedCellStartsNothing(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 2)
	d.setClosed(true)
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.of(Start), qt.HasLen, 0)
	outcome := d.finished["a"]
	c.Assert(outcome.Kind, qt.Equals, job.Moved)
	c.Assert(outcome.Reason, qt.Equals, ReasonClosed)
	c.Assert(outcome.Started, qt.IsFalse)
	c.Assert(d.cell.Load(d.now).Ready, qt.IsFalse, qt.Commentf("fronts choose other cells"))

	d.setClosed(false)
	d.submit(testJob("b", 1, d.now), 1)
	c.Assert(d.of(Start), qt.HasLen, 1, qt.Commentf("it is opened again"))
	c.Assert(d.cell.Load(d.now).Ready, qt.IsTrue)
}

// What runs when a cell is closed ends there; the rest of its job goes elsewhere
// then, with word of what is done.
func TestAClosedCellLetsRunsEnd(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1) // room for two tasks
	d.submit(testJob("a", 3, d.now), 1)
	d.submit(testJob("waits", 1, d.now), 1)
	starts := d.of(Start)
	c.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		d.startAnswer(start, Accepted)
	}
	d.setClosed(true)
	c.Assert(d.finished["waits"].Kind, qt.Equals, job.Moved)
	c.Assert(d.finished, qt.HasLen, 1)

	d.end(1, starts[0], starts[1])
	c.Assert(d.of(Start), qt.HasLen, 0)
	c.Assert(d.finished, qt.HasLen, 1, qt.Commentf("a run of the job goes on"))
	c.Assert(d.of(Stop), qt.HasLen, 0)

	d.end(2, starts[1])
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
	c.Assert(d.of(Stop), qt.HasLen, 0)
}

func TestAClosedCellEndsJobsThatAreDone(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	d.setClosed(true)
	d.end(1, start)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}

// A job of a lost owner whose runs may go on unseen isn't handed to another cell
// while they may.
func TestAClosedCellKeepsJobsWhoseRunsMayGoOnUnseen(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0)) // hasn't answered yet
	d.setClosed(true)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.finished, qt.HasLen, 0)
	d.tick(max(d.cell.longestLease(), testJobLease) - ms)
	c.Assert(d.finished, qt.HasLen, 0)
	d.tick(ms)
	c.Assert(d.finished["a"].Reason, qt.Equals, ReasonClosed)
}
