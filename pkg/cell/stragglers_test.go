package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Tasks that take longer than estimated must not eject healthy executors and start again on
// one after the other.
func TestWhenAStragglerEjectsItsExecutor(t *testing.T) {
	type scenario struct {
		testName     string
		percent      int // until 900 ms after the start
		percentLater int // in the list at 900 ms
		inTime       bool
		restarted    bool // the task was restarted as a straggler before
		want         bool
	}
	scenarios := []scenario{
		{testName: "no other run of the executor is known", percent: 10, percentLater: 15, want: true},
		{testName: "another task has ended there in time meanwhile", percent: 10, percentLater: 15, inTime: true},
		{testName: "it was as slow on another executor", percent: 10, percentLater: 15, restarted: true},
		{testName: "it is stalled, while others end in time", percent: 10, percentLater: 10, inTime: true, want: true},
		{testName: "it has made no progress, while others end in time", percent: 0, percentLater: 0, inTime: true, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 6)
			d.now += ms
			d.submit(testJob("long", 1, d.now), 1)
			start := d.takeCommands(Start)[0]
			d.startAnswered(start, Accepted)
			e := d.cell.executors[start.Executor.Incarnation()]
			r := e.runs[start.Task]
			if s.restarted {
				r.task.stragglerRestarts = 1
			}
			if s.inTime {
				e.health.inTimeAt = d.now + 200*ms
			}
			r.percent, r.progressedAt = s.percent, d.now+500*ms
			d.now += 900 * ms
			d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{
				Clock: time.Minute + d.now, Running: []RunningTask{{Task: start.Task, Run: start.Run, Percent: s.percentLater}},
			}, d.now-2*ms, d.now)
			d.takeActions()
			c.Assert(!e.health.allows(d.now), qt.Equals, s.want)
			c.Assert(len(d.takeCommands(Stop)) == 1, qt.Equals, s.want, qt.Commentf("the run is stopped only then"))
		})
	}
}
