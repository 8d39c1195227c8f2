package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against leases of idle executors with slow clocks that are longer than a hold's: the next owner
// of the cell counts on that.
func TestNoLeaseIsLongerThanThatOfAHold(t *testing.T) {
	type scenario struct {
		testName string
		idle     time.Duration // since the clock was last read
		kept     bool
		starts   bool // without another reading
	}
	scenarios := []scenario{
		{testName: "read lately", idle: 100 * ms, starts: true},
		{testName: "idle for a while", idle: 8 * time.Second, starts: true},
		{testName: "idle for long", idle: 25 * time.Second, starts: true},
		{testName: "idle for long, kept job", idle: 25 * time.Second, kept: true, starts: true},
		{testName: "idle for very long, kept job", idle: 5 * time.Minute, kept: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.now += s.idle
			trueClock := time.Minute + time.Duration(float64(d.now)*(1-maxClockDrift))
			j := testJob("a", 1, d.now)
			j.Kept = s.kept
			j.Steps[0].Estimate = time.Minute
			d.submit(j, 1)
			starts := d.takeCommands(Start)
			c.Assert(len(starts) == 1, qt.Equals, s.starts)
			if !s.starts {
				d.holdAnswered(0, HoldResponse{Clock: trueClock}, d.now)
				starts = d.takeCommands(Start)
				c.Assert(starts, qt.HasLen, 1)
			}
			lease := starts[0].Deadline - trueClock
			c.Assert(lease <= d.cell.params.Lease, qt.IsTrue, qt.Commentf("%s", lease))
			c.Assert(lease >= shortestLease, qt.IsTrue, qt.Commentf("%s", lease))
			for _, hold := range d.takeCommands(Hold) {
				c.Assert(hold.Deadline-trueClock <= d.cell.params.Lease, qt.IsTrue, qt.Commentf("%s", hold.Deadline-trueClock))
			}
		})
	}
}
