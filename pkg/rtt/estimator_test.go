package rtt

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTimeoutFollowsRoundTrips(t *testing.T) {
	const ms = time.Millisecond
	repeated := func(trip time.Duration, times int) []time.Duration {
		var trips []time.Duration
		for range times {
			trips = append(trips, trip)
		}
		return trips
	}
	type scenario struct {
		testName string
		trips    []time.Duration
		atLeast  time.Duration
		atMost   time.Duration
	}
	scenarios := []scenario{
		{testName: "no sample", atLeast: 80 * ms, atMost: 80 * ms},
		{testName: "short round trips", trips: repeated(ms, 50), atLeast: 80 * ms, atMost: 80 * ms},
		{testName: "late responses on a saturated link", trips: repeated(120*ms, 20), atLeast: 120 * ms, atMost: 200 * ms},
		{testName: "responses later than the longest timeout", trips: repeated(300*ms, 20), atLeast: 300 * ms, atMost: 300 * ms},
		{testName: "short round trips again", trips: append(repeated(300*ms, 20), repeated(ms, 60)...), atLeast: 80 * ms, atMost: 80 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			e := NewEstimator(80*ms, 300*ms)
			for _, trip := range s.trips {
				e.Observe(trip)
			}
			c.Assert(e.Timeout() >= s.atLeast, qt.IsTrue, qt.Commentf("%s", e.Timeout()))
			c.Assert(e.Timeout() <= s.atMost, qt.IsTrue, qt.Commentf("%s", e.Timeout()))
		})
	}
}
