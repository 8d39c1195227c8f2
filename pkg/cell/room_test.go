package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// setRoom lists the only executor with another room, in thousandths of a core.
func (d *driver) setRoom(cpu int64) {
	info := testExecutor(0)
	info.Capacity.CPU = cpu
	d.cell.SetExecutors([]catalog.Executor{info}, d.now)
	d.take()
}

// An executor's room may shrink and grow while it runs. What it runs goes on; nothing is
// started that doesn't fit into what is left.
func TestARoomThatChanges(t *testing.T) {
	type scenario struct {
		testName string
		rooms    []int64 // one after the other; two of four tasks run before, 6,800 each
		ended    int     // of the two that run, after that
		starts   int
		free     int64
	}
	scenarios := []scenario{
		{testName: "it stays", rooms: nil, ended: 1, starts: 1, free: 16000 - 2*6800},
		{testName: "it shrinks below what runs", rooms: []int64{7000}, free: 0},
		{testName: "it shrinks, and there is room for one", rooms: []int64{7000}, ended: 1, free: 200},
		{testName: "it shrinks, and all that ran has ended", rooms: []int64{7000}, ended: 2, starts: 1, free: 200},
		{testName: "it is gone for a while", rooms: []int64{0}, ended: 2, free: 0},
		{testName: "it is back", rooms: []int64{0, 16000}, ended: 1, starts: 1, free: 16000 - 2*6800},
		{testName: "it has grown", rooms: []int64{21000}, starts: 1, free: 21000 - 3*6800},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 1)
			d.submit(testJob("job", 4, d.now), 1)
			first := d.of(Start)
			c.Assert(first, qt.HasLen, 2)
			for _, start := range first {
				d.startAnswer(start, Accepted)
			}
			for _, room := range s.rooms {
				d.setRoom(room)
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
			d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Ended: ended, Running: running}, d.now)
			c.Assert(d.of(Start), qt.HasLen, s.starts)
			c.Assert(d.of(Stop), qt.HasLen, 0)
			c.Assert(d.cell.Load(d.now).FreeCPU, qt.Equals, s.free)
		})
	}
}
