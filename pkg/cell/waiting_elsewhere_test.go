package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// Guards against kept jobs that wait for long in a busy cell beside idle ones, and against moves of jobs that had better stay.
func TestKeptJobsThatWaitForLongAreReturnedIfAnotherCellHasRoom(t *testing.T) {
	type scenario struct {
		testName  string
		waits     time.Duration
		notKept   bool
		tasks     int // of each waiting job
		waiting   int // jobs
		hasRoom   int // for so many of them
		wantMoved int
	}
	scenarios := []scenario{
		{testName: "room for all", waits: longKeptWait + 100*ms, tasks: 8, waiting: 4, hasRoom: 9, wantMoved: 4},
		{testName: "room for some", waits: longKeptWait + 100*ms, tasks: 8, waiting: 4, hasRoom: 2, wantMoved: 2},
		{testName: "no room", waits: longKeptWait + 100*ms, tasks: 8, waiting: 4},
		{testName: "for a short time", waits: longKeptWait - 100*ms, tasks: 8, waiting: 4, hasRoom: 9},
		{testName: "jobs that aren't kept", waits: longKeptWait + 100*ms, tasks: 8, waiting: 4, hasRoom: 9, notKept: true},
		{testName: "a short queue", waits: longKeptWait + 100*ms, tasks: 1, waiting: 1, hasRoom: 9},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.tick(time.Second)
			first := keptJob("running", 2, d.now)
			d.submit(first, 1)
			var running []RunningTask
			for _, start := range d.takeCommands(Start) {
				d.startAnswered(start, Accepted)
				running = append(running, listedRun(start))
			}
			for i := range s.waiting {
				j := testJob("waiting-"+string(rune('a'+i)), s.tasks, d.now)
				j.Kept, j.Deadline = !s.notKept, time.Hour
				d.submit(j, 1)
			}
			d.runFor(s.waits, running...)
			room := s.hasRoom
			d.cell.ReturnWaiting(d.now, func(*job.Job) bool {
				room--
				return room >= 0
			})
			d.takeActions()
			moved := 0
			for id, outcome := range d.finished {
				c.Assert(id, qt.Not(qt.Equals), "running")
				if outcome.Reason == ReasonRoomElsewhere {
					moved++
					c.Assert(LeavesNoRuns(outcome.Reason), qt.IsTrue)
					c.Assert(outcome.Started, qt.IsFalse)
				}
			}
			c.Assert(moved, qt.Equals, s.wantMoved)
		})
	}
}
