package cell

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// startNames returns the task names of the pending starts.
func (d *driver) startNames() []string {
	var names []string
	for _, start := range d.takeCommands(Start) {
		names = append(names, start.Task)
	}
	return names
}

func TestAPartRunsItsOwnTasks(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	parts := testJob("a", 4, d.now).Split([]int{2, 2})
	d.submit(parts[1], 1)
	c.Assert(d.startNames(), qt.DeepEquals, []string{"a.0.0.2", "a.0.0.3"})
	c.Assert(d.cell.Progress(parts[1].ID)[0].Key.Index, qt.Equals, 2)
	c.Assert(d.cell.Progress("a"), qt.HasLen, 0)
}

// A part is refused like a job. If other parts of the job have run, its front submits it as
// one that has started, which expires and is not reported as not run.
func TestWhichPartsAreRefused(t *testing.T) {
	type scenario struct {
		testName string
		epoch    int
		want     job.Kind
	}
	scenarios := []scenario{
		{testName: "for the first time", epoch: 1, want: job.Refused},
		{testName: "again, after others have run", epoch: 2, want: job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.fillExecutor(c)
			part := testJob("a", 4, d.now).Split([]int{2, 2})[1]
			d.submit(part, s.epoch)
			d.tick(part.Deadline - d.now + ms)
			c.Assert(d.finished[part.ID].Kind, qt.Equals, s.want)
			c.Assert(d.finished[part.ID].Started, qt.Equals, s.want == job.Expired)
		})
	}
}

func TestRunsOfAPartAreAdopted(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	part := testJob("a", 4, d.now).Split([]int{2, 2})[1]
	d.submit(part, 2)
	d.holdAnswered(0, HoldResponse{Clock: d.now, Running: []RunningTask{{Task: "a.0.0.3", Run: 1}}}, d.now)
	w := d.cell.jobs[part.ID]
	c.Assert(w.task(job.TaskKey{Index: 3}).current, qt.IsNotNil)
	c.Assert(w.task(job.TaskKey{Index: 0}), qt.IsNil)
}

// After the death of a front, its caller may resubmit the job to one that splits it
// differently. The new parts take over the runs, and no task starts twice.
func TestPartsOfADifferentSplitTakeOverRuns(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 4)
	old := testJob("a", 4, d.now).Split([]int{3, 1})
	for _, part := range old {
		d.submit(part, 1)
	}
	for _, start := range d.takeCommands(Start) {
		d.startAnswered(start, Accepted)
	}
	c.Assert(d.cell.jobs, qt.HasLen, 2)
	d.commands = nil
	fresh := testJob("a", 4, d.now).Split([]int{1, 3})
	for _, part := range fresh {
		d.submit(part, 1)
	}
	c.Assert(d.startNames(), qt.HasLen, 0)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 0)
	c.Assert(d.finished[old[0].ID].Reason, qt.Equals, "superseded")
	for index := range 4 {
		w, task := d.cell.findTask(job.TaskName("a", job.TaskKey{Index: index}))
		c.Assert(w, qt.IsNotNil)
		c.Assert(task.current, qt.IsNotNil)
		c.Assert(w.job.ID == fresh[0].ID || w.job.ID == fresh[1].ID, qt.IsTrue)
	}
}

func TestAPartThatTakesOverAStartedOneIsNotRefused(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.fillExecutor(c)
	j := testJob("a", 4, d.now)
	d.submit(j.Split([]int{3, 1})[0], 2)
	fresh := j.Split([]int{2, 2})[0]
	d.submit(fresh, 1)
	d.tick(j.Deadline - d.now + ms)
	c.Assert(d.finished[fresh.ID].Kind, qt.Equals, job.Expired)
}
