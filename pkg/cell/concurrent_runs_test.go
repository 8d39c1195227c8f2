package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Two runs of a task at once went unnoticed by the owner that read both lists.
func TestAnOwnerReportsTwoListedRunsOfATask(t *testing.T) {
	type scenario struct {
		testName string
		other    func(d *driver, start Command) // before the second executor lists a run of the task
		want     *RunAt
	}
	list := func(d *driver, executor string, response HoldResponse) {
		for i := range 2 {
			if executorID(i) == executor {
				response.Clock = clockOf(d)
				d.holdAnswered(i, response, d.now)
			}
		}
	}
	scenarios := []scenario{
		{testName: "accepted", other: func(d *driver, start Command) {
			d.startAnswered(start, Accepted)
		}, want: &RunAt{Number: 1, IsOwn: true, SeenAgo: 30 * ms}},
		{testName: "listed", other: func(d *driver, start Command) {
			list(d, start.Executor.ID, HoldResponse{Running: []RunningTask{{Task: start.Task, Run: start.Run}}})
		}, want: &RunAt{Number: 1, IsOwn: true, SeenAgo: 10 * ms}},
		{testName: "unanswered", other: func(d *driver, start Command) {
			d.startAnswered(start, Unanswered)
		}},
		{testName: "refused", other: func(d *driver, start Command) {
			d.startAnswered(start, NoRoom)
		}},
		{testName: "ended", other: func(d *driver, start Command) {
			d.startAnswered(start, Accepted)
			list(d, start.Executor.ID, HoldResponse{Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndFailed}}})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 2)
			d.now += 10 * ms
			d.submit(testJob("a", 1, d.now), 1)
			start := d.takeCommands(Start)[0]
			d.now += 10 * ms
			s.other(d, start)
			d.now += 10 * ms
			second := 1
			if start.Executor.ID == executorID(1) {
				second = 0
			}
			d.cell.HoldAnswered(testIncarnation(second), HoldResponse{Clock: clockOf(d), Running: []RunningTask{{Task: start.Task, Run: 1001}}}, d.now, d.now)
			_, _, notices := d.cell.TakeActions()
			var got *RunAt
			for _, n := range notices {
				if n.Event == EventConcurrentRuns {
					got = n.Other
					c.Assert(n.Run, qt.Equals, int64(1001))
					c.Assert(n.Executor, qt.Equals, executorID(second))
				}
			}
			if s.want != nil {
				s.want.Executor = start.Executor.ID
			}
			c.Assert(got, qt.DeepEquals, s.want)
		})
	}
}
