package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// setCapacity lists the only executor with another CPU capacity, in thousandths of a core.
func (d *driver) setCapacity(cpu int64) {
	info := testExecutor(0)
	info.Capacity.CPU = cpu
	d.cell.SetExecutors([]catalog.Executor{info}, d.now)
	d.takeActions()
}

// The capacity of an executor may change while tasks run there. The runs continue, and only
// tasks that fit into the rest are started.
func TestCapacityChanges(t *testing.T) {
	type scenario struct {
		testName   string
		capacities []int64 // in this order; two of four tasks run before, which need 6,800 each
		ended      int     // of the two runs, after the changes
		starts     int
		free       int64
	}
	scenarios := []scenario{
		{testName: "it does not change", capacities: nil, ended: 1, starts: 1, free: 16000 - 2*6800},
		{testName: "it shrinks below the needs of the runs", capacities: []int64{7000}, free: 0},
		{testName: "it shrinks, and one run has ended", capacities: []int64{7000}, ended: 1, free: 200},
		{testName: "it shrinks, and both runs have ended", capacities: []int64{7000}, ended: 2, starts: 1, free: 200},
		{testName: "it drops to zero, and both runs have ended", capacities: []int64{0}, ended: 2, free: 0},
		{testName: "it drops to zero and recovers", capacities: []int64{0, 16000}, ended: 1, starts: 1, free: 16000 - 2*6800},
		{testName: "it grows", capacities: []int64{21000}, starts: 1, free: 21000 - 3*6800},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.submit(testJob("job", 4, d.now), 1)
			first := d.takeCommands(Start)
			c.Assert(first, qt.HasLen, 2)
			for _, start := range first {
				d.startAnswered(start, Accepted)
			}
			for _, capacity := range s.capacities {
				d.setCapacity(capacity)
			}
			var ended []EndedTask
			for i := range s.ended {
				ended = append(ended, EndedTask{Number: int64(i + 1), Task: first[i].Task, Run: first[i].Run, Kind: EndDone})
			}
			var running []RunningTask
			for _, start := range first[s.ended:] {
				running = append(running, RunningTask{Task: start.Task, Run: start.Run, Percent: 50})
			}
			d.now += 10 * ms
			d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Ended: ended, Running: running}, d.now)
			c.Assert(d.takeCommands(Start), qt.HasLen, s.starts)
			c.Assert(d.takeCommands(Stop), qt.HasLen, 0)
			c.Assert(d.cell.Load(d.now).FreeCPU, qt.Equals, s.free)
		})
	}
}

// Jobs whose work is out of range must not make the cell seem idle: all fronts would choose it.
func TestLoadOfJobsWithHugeFigures(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	for i := range 10 {
		j := testJob(fmt.Sprint("huge-", i), 1000, d.now)
		j.Steps[0].Needs.CPU, j.Steps[0].Estimate = job.MaxFigure, job.MaxFigure*ms
		j.Kept = true
		d.submit(j, 1)
		d.submit(testJob(fmt.Sprint("small-", i), 1, d.now), 1)
		c.Assert(d.cell.Load(d.now).QueuedWork > 0, qt.IsTrue, qt.Commentf("%d", d.cell.Load(d.now).QueuedWork))
	}
}
