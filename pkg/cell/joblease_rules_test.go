package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// What an orphan takes isn't known. It still takes it while it is being stopped.
func TestNothingStartsBesideAnOrphanThatIsBeingStopped(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	left := RunningTask{Task: "left.0.0.0", Run: 1}
	d.answerHolds(left)
	d.tick(d.cell.params.OrphanGrace + ms)
	c.Assert(d.of(Stop), qt.HasLen, 1)
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.of(Start), qt.HasLen, 0)
	d.answerHolds(left)
	d.answerHolds(left)
	c.Assert(d.of(Start), qt.HasLen, 0)
}

// Leases are set by the least that an executor's clock can show, so that a slow clock
// doesn't make them longer.
func TestLeasesEndInTimeOnASlowClock(t *testing.T) {
	c := qt.New(t)
	shows := func(now time.Duration) time.Duration { return time.Hour + time.Duration(float64(now)*(1-clockDrift)) }
	clock := &remoteClock{}
	clock.observe(shows(time.Second), time.Second)
	for _, age := range []time.Duration{0, 100 * ms, 5 * time.Second} {
		now := time.Second + age
		for _, left := range []time.Duration{-time.Second, 0, ms, testJobLease} {
			c.Assert(clock.notAfter(now+left, now) <= shows(now+left), qt.IsTrue, qt.Commentf("%s after the answer, %s ahead", age, left))
		}
	}
}

func TestRenewalsOnlyProlong(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.now = 2 * time.Second
	j := testJob("a", 1, d.now)
	d.cell.Submit(Handover{Job: j, Epoch: 1, RenewedAt: d.now - 100*ms}, d.now)
	d.cell.Renew([]string{"a"}, d.now-500*ms, d.now)
	c.Assert(d.cell.works["a"].renewedAt, qt.Equals, d.now-100*ms, qt.Commentf("one that came late"))
	d.cell.Submit(Handover{Job: j, Epoch: 2, RenewedAt: d.now - 50*ms}, d.now)
	c.Assert(d.cell.works["a"].renewedAt, qt.Equals, d.now-50*ms, qt.Commentf("it came again"))
	d.cell.Submit(Handover{Job: j, Epoch: 3}, d.now)
	c.Assert(d.cell.works["a"].renewedAt, qt.Equals, d.now-50*ms, qt.Commentf("by a front that knows no time of this owner"))
}
