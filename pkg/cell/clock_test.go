package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// The list of executors is applied every 0.5 s with the clocks of its first reading. A
// repeated reading must not age the estimate or count as a new observation.
func TestARepeatedClockReadingDoesNotAgeTheEstimate(t *testing.T) {
	for _, idle := range []time.Duration{3 * time.Second, 4500 * ms, 6 * time.Second, 20 * time.Second, 60 * time.Second, 10 * time.Minute} {
		c := qt.New(t)
		d := newAdoptedDriver(c, 1)
		info := testExecutor(0)
		info.Clock = time.Minute                // of the first reading
		d.submit(testJob("keeps", 1, d.now), 1) // keeps the cell busy
		for until := d.now + idle; d.now < until; {
			d.now += 500 * ms
			d.cell.SetExecutors([]catalog.Executor{info}, d.now)
			d.takeActions()
		}
		e := d.cell.executors[testIncarnation(0)]
		lag := time.Minute + d.now - e.clock.estimate(d.now)
		t.Logf("idle for %s: the estimate is %s behind an exact clock", idle, lag)
		if lag > 60*ms {
			t.Errorf("idle for %s: the estimate is %s behind", idle, lag)
		}
	}
}

func TestAnIdleExecutorGetsHoldsForItsClock(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	infos := []catalog.Executor{testExecutor(0), testExecutor(1)}
	infos[0].Clock, infos[1].Clock = time.Minute, time.Minute
	// A job that fits on no executor keeps the cell busy.
	j := testJob("big", 1, d.now)
	j.Steps[0].Needs.CPU = 99000
	j.Deadline = time.Hour
	d.submit(j, 1)
	holds := 0
	for range 60 {
		d.tick(500 * ms)
		d.cell.SetExecutors(infos, d.now)
		d.takeActions()
		for _, h := range d.takeCommands(Hold) {
			holds++
			i := 0
			if h.Executor.ID == executorID(1) {
				i = 1
			}
			d.holdAnswered(i, HoldResponse{Clock: time.Minute + d.now}, d.now)
		}
	}
	lag := time.Minute + d.now - d.cell.executors[testIncarnation(0)].clock.estimate(d.now)
	t.Logf("30 s, 2 idle executors: %d holds for clocks, estimate %s behind", holds, lag)
	c.Assert(holds > 0, qt.IsTrue)
}

// After idle time with repeated clock readings, the deadline of a start must still be ahead of
// the executor's clock.
func TestAStartAfterIdleTimeIsNotLate(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	info := testExecutor(0)
	info.Clock = time.Minute
	for until := d.now + 20*time.Second; d.now < until; {
		d.now += 500 * ms
		d.cell.SetExecutors([]catalog.Executor{info}, d.now)
		d.takeActions()
	}
	d.submit(testJob("a", 1, d.now), 1)
	starts := d.takeCommands(Start)
	if len(starts) == 0 {
		t.Skip("the cell requests the clock first")
	}
	c.Assert(starts[0].Deadline > time.Minute+d.now, qt.IsTrue, qt.Commentf("the deadline passed %s ago", time.Minute+d.now-starts[0].Deadline))
}

// An executor whose responses have no clock must not get holds without pause.
func TestHoldsToAnExecutorWithoutAClockArePaced(t *testing.T) {
	for _, verdict := range []Verdict{Accepted, Unhealthy} {
		c := qt.New(t)
		d := newAdoptedDriver(c, 1)
		j := testJob("big", 1, d.now)
		j.Steps[0].Needs.CPU = 99000
		j.Deadline = time.Hour
		d.now += 4 * time.Second
		d.submit(j, 1)
		holds := 0
		for until := d.now + time.Second; d.now < until; {
			d.now += 2 * ms
			if len(d.takeCommands(Hold)) > 0 {
				holds++
				d.cell.HoldAnswered(testIncarnation(0), HoldResponse{Verdict: verdict}, d.now, d.now)
				d.takeActions()
			}
		}
		t.Logf("%s without a clock, 2 ms per round trip: %d holds in a second", verdict, holds)
		if holds > 12 {
			t.Errorf("%d holds in a second", holds)
		}
	}
}

// An answer that took longer than the best one so far does not improve the estimate of a clock
// that runs at the slowest allowed rate. The estimate must not drift ahead meanwhile, as
// leases and starts depend on it.
func TestTheClockEstimateStaysCloseToTheClock(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	clock := &remoteClock{}
	reading := func(now time.Duration) time.Duration {
		return time.Hour + time.Duration(float64(now)*(1-maxClockDrift))
	}
	var furthest time.Duration
	for now := time.Second; now < 2*time.Minute; now += 100 * ms {
		delay := 2*ms + time.Duration(random.ExpFloat64()*1.5*float64(ms))
		clock.observe(reading(now-delay).Truncate(ms), now)
		c.Assert(clock.lowerBound(now) <= reading(now), qt.IsTrue)
		furthest = max(furthest, clock.estimate(now)-reading(now))
	}
	c.Assert(furthest < 5*ms, qt.IsTrue, qt.Commentf("the estimate ran ahead by %s", furthest))
}

// Lease deadlines are computed from the lower bound of an executor's clock, so that a slow
// clock does not extend them.
func TestLeasesEndInTimeOnASlowClock(t *testing.T) {
	c := qt.New(t)
	reading := func(now time.Duration) time.Duration {
		return time.Hour + time.Duration(float64(now)*(1-maxClockDrift))
	}
	clock := &remoteClock{}
	clock.observe(reading(time.Second), time.Second)
	for _, age := range []time.Duration{0, 100 * ms, 5 * time.Second} {
		now := time.Second + age
		for _, remaining := range []time.Duration{-time.Second, 0, ms, testJobLease} {
			c.Assert(clock.lowerBoundFuture(now+remaining, now) <= reading(now+remaining), qt.IsTrue, qt.Commentf("%s after the answer, deadline %s ahead", age, remaining))
		}
	}
}

// Another writer's row with a clock far ahead must not move the estimate for good: leases
// would be granted up to the executor's limit, and lapse years later for this owner.
func TestAnOddClockInTheListIsCorrected(t *testing.T) {
	type scenario struct {
		testName string
		before   bool // the row comes before the executor's first answer
		lead     time.Duration
	}
	scenarios := []scenario{
		{testName: "an hour ahead, before any answer", before: true, lead: time.Hour},
		{testName: "an hour ahead, after an answer", lead: time.Hour},
		{testName: "90 years ahead, before any answer", before: true, lead: 90 * 365 * 24 * time.Hour},
		{testName: "90 years ahead, after an answer", lead: 90 * 365 * 24 * time.Hour},
		{testName: "half a second ahead again and again", lead: 490 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			var d *driver
			odd := testExecutor(0)
			if s.before {
				odd.Clock = time.Minute + s.lead
				d = newDriver(c, odd, testExecutor(1))
			} else {
				d = newAdoptedDriver(c, 2)
			}
			for range 20 {
				d.now += 100 * ms
				odd.Clock = d.cell.executors[testIncarnation(0)].clock.estimate(d.now) + s.lead
				d.cell.SetExecutors([]catalog.Executor{odd, testExecutor(1)}, d.now)
			}
			for i := range 2 {
				d.holdAnswered(i, HoldResponse{Clock: clockOf(d)}, d.now)
			}
			c.Assert(d.cell.executors[testIncarnation(0)].clock.estimate(d.now), qt.Equals, clockOf(d))

			d.submit(testJob("a", 4, d.now), 1)
			starts := d.takeCommands(Start)
			c.Assert(len(starts) > 0, qt.IsTrue)
			for _, start := range starts {
				c.Assert(start.Deadline <= clockOf(d)+time.Second, qt.IsTrue, qt.Commentf("the lease ends at %s, %s", start.Deadline, start.Executor.ID))
			}
		})
	}
}
