package cell

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pacedDriver returns a driver of a cell whose host has a link of the given bandwidth in bytes
// per second.
func pacedDriver(c *qt.C, executors int, rate float64) *driver {
	d := newAdoptedDriver(c, executors)
	d.cell.pacer = newPacer(rate)
	return d
}

func TestStartsArePacedByTheLink(t *testing.T) {
	type scenario struct {
		testName  string
		rate      float64 // bytes per second
		specBytes int     // size of the job's spec
		tasks     int
		want      int // starts that are sent at once
	}
	scenarios := []scenario{
		{testName: "unknown bandwidth", specBytes: 4000, tasks: 8, want: 8},
		{testName: "a fast link", rate: 125e6, specBytes: 4000, tasks: 8, want: 8},
		{testName: "a slow link, long specs", rate: 250e3, specBytes: 2400, tasks: 8, want: 4},
		{testName: "a slow link, short specs", rate: 250e3, specBytes: 300, tasks: 8, want: 8},
		{testName: "one start is always in flight", rate: 1, specBytes: 4000, tasks: 8, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := pacedDriver(c, 8, s.rate)
			j := testJob("a", s.tasks, d.now)
			j.Spec = strings.Repeat("x", s.specBytes)
			d.submit(j, 1)
			starts := d.takeCommands(Start)
			c.Assert(starts, qt.HasLen, s.want)
			if s.want == s.tasks {
				return
			}
			d.startAnswered(starts[0], Accepted)
			c.Assert(d.takeCommands(Start), qt.HasLen, 1, qt.Commentf("the next start is sent after an answer"))
		})
	}
}

// A start counts against the link's bandwidth until it is answered, even if its job has ended.
func TestStartsOfEndedJobsFreeTheLink(t *testing.T) {
	c := qt.New(t)
	d := pacedDriver(c, 8, 1)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.cell.Withdraw("a", "caller_left", d.now)
	d.takeActions()
	c.Assert(d.cell.pacer.full(), qt.IsTrue)
	d.startAnswered(start, Accepted)
	c.Assert(d.cell.pacer.full(), qt.IsFalse)
	c.Assert(d.cell.pacer.starts, qt.HasLen, 0)
}

func TestJobsBehindAFullLinkAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	d := pacedDriver(c, 8, 10e3) // 0.04 s for a start of 400 bytes
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		j := testJob(id, 8, d.now)
		j.Spec = strings.Repeat("x", 100)
		d.submit(j, 1)
	}
	d.tick(time.Millisecond)
	refused := 0
	for _, outcome := range d.finished {
		c.Assert(outcome.Reason, qt.Equals, "overloaded")
		c.Assert(outcome.RetryAfter > 0, qt.IsTrue)
		refused++
	}
	c.Assert(refused > 0 && refused < 8, qt.IsTrue, qt.Commentf("%d", refused))
}
