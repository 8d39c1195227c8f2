package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// near asserts that a time is within a tenth of another.
func near(c *qt.C, got, want time.Duration) {
	c.Helper()
	c.Assert(got > want*9/10 && got < want*11/10, qt.IsTrue, qt.Commentf("got %s, want about %s", got, want))
}

func TestExpectedTaskTimes(t *testing.T) {
	type scenario struct {
		testName string
		runs     int
		took     func(i int, estimate time.Duration) time.Duration
		estimate time.Duration
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "no run yet: as estimated", runs: 0, estimate: 50 * ms, want: 50 * ms},
		{testName: "few runs: as estimated", runs: minSamples - 1, took: func(int, time.Duration) time.Duration { return 400 * ms }, estimate: 50 * ms, want: 50 * ms},
		{testName: "good estimates", runs: 200, took: func(_ int, estimate time.Duration) time.Duration { return estimate }, estimate: 50 * ms, want: 50 * ms},
		{testName: "estimates that are half of the time", runs: 200, took: func(_ int, estimate time.Duration) time.Duration { return 2 * estimate }, estimate: 50 * ms, want: 100 * ms},
		{testName: "estimates unrelated to the run times", runs: 200, took: func(int, time.Duration) time.Duration { return 70 * ms }, estimate: 300 * ms, want: 70 * ms},
		{testName: "one in ten tasks hangs", runs: 400, took: func(i int, estimate time.Duration) time.Duration {
			if i > minSamples && i%10 == 0 {
				return time.Minute
			}
			return estimate
		}, estimate: 50 * ms, want: 54 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			times := newTaskTimes()
			for i := range s.runs {
				estimate := time.Duration(20+random.IntN(300)) * ms
				times.observe("r", estimate, s.took(i, estimate))
			}
			near(qt.New(t), times.expect("r", s.estimate), s.want)
		})
	}
}

func TestTaskTimesOfARouteWithoutEstimates(t *testing.T) {
	times := newTaskTimes()
	for range 100 {
		times.observe("r", 200*ms, 30*ms)
	}
	near(qt.New(t), times.expect("r", 200*ms), 30*ms)
}

func TestTaskTimesFollowAChange(t *testing.T) {
	times := newTaskTimes()
	for _, took := range []time.Duration{50 * ms, 100 * ms} {
		for range 3 * sampleWindow {
			times.observe("r", 200*ms, took)
		}
	}
	near(qt.New(t), times.expect("r", 200*ms), 100*ms)
}

func TestTaskTimesKeepABoundedNumberOfRoutes(t *testing.T) {
	times := newTaskTimes()
	for i := range 3 * maxRoutes {
		times.observe("route"+time.Duration(i).String(), 200*ms, 30*ms)
	}
	qt.Assert(t, len(times.routes) <= maxRoutes, qt.IsTrue)
}

// A job whose estimate is far too low must still rank as one that can meet its objective.
func TestAJobIsRankedByItsExpectedTaskTimes(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	for range 100 {
		d.cell.times.observe("route", 20*ms, 200*ms)
		d.cell.times.observe("route", 200*ms, 200*ms)
	}
	j := testJob("low", 1, d.now)
	j.Steps[0].Estimate = 20 * ms
	d.submit(j, 1)
	// By its estimate, 210 of its 220 ms would be over.
	c.Assert(d.cell.jobs["low"].candidate(d.now+190*ms).Tier, qt.Equals, tierOnTime)
	near(c, d.cell.jobs["low"].chain, 200*ms)
}
