package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An answer that took longer than the best one so far tells nothing new of a clock
// that is as slow as it may be; the estimate then runs ahead by the drift for as long
// as no better answer comes: of leases that are set 0.8 s ahead and of starts.
func TestTheEstimateOfAClockStaysNearIt(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	clock := &remoteClock{}
	shows := func(now time.Duration) time.Duration { return time.Hour + time.Duration(float64(now)*(1-clockDrift)) }
	var furthest time.Duration
	for now := time.Second; now < 2*time.Minute; now += 100 * ms {
		way := 2*ms + time.Duration(random.ExpFloat64()*1.5*float64(ms))
		clock.observe(shows(now-way).Truncate(ms), now)
		c.Assert(clock.least(now) <= shows(now), qt.IsTrue)
		furthest = max(furthest, clock.at(now)-shows(now))
	}
	c.Assert(furthest < 5*ms, qt.IsTrue, qt.Commentf("it ran ahead by %s", furthest))
}
