package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// These tests answer jobs whose estimates are off: on a day without any trouble of the
// executors, tasks of up to seven times their expected time ejected 12 healthy executors
// in 6 s, one of them three after the other, and began anew at each.

func TestWhenARunThatIsBehindIsItsExecutorsFault(t *testing.T) {
	type scenario struct {
		testName string
		percent  int // at 600 ms, and again at 900
		moved    int // at 900 ms
		inTime   bool
		rescued  bool // at another executor before
		want     bool
	}
	scenarios := []scenario{
		{testName: "nothing else is known of the executor", percent: 10, moved: 15, want: true},
		{testName: "another task has ended there in time meanwhile", percent: 10, moved: 15, inTime: true},
		{testName: "it was as slow at another executor", percent: 10, moved: 15, rescued: true},
		{testName: "it stands still, while others end in time", percent: 10, moved: 10, inTime: true, want: true},
		{testName: "it never began, while others end in time", percent: 0, moved: 0, inTime: true, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 6)
			d.now += ms
			d.submit(testJob("long", 1, d.now), 1)
			start := d.of(Start)[0]
			d.startAnswer(start, Accepted)
			e := d.cell.executors[start.Executor.Incarnation()]
			r := e.runs[start.Task]
			if s.rescued {
				r.task.stragglerRestarts = 1
			}
			if s.inTime {
				e.health.inTimeAt = d.now + 200*ms
			}
			r.percent, r.progressedAt = s.percent, d.now+500*ms
			d.now += 900 * ms
			d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{
				Clock: time.Minute + d.now, Running: []RunningTask{{Task: start.Task, Run: start.Run, Percent: s.moved}},
			}, d.now-2*ms, d.now)
			d.take()
			c.Assert(!e.health.allows(d.now), qt.Equals, s.want)
			c.Assert(len(d.of(Stop)) == 1, qt.Equals, s.want, qt.Commentf("and it is stopped only then"))
		})
	}
}
