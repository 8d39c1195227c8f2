package common

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A time that doesn't fit must not overflow into a negative one or one that is too short.
func TestTimesOutOfRangeAreClamped(t *testing.T) {
	for _, n := range []int64{math.MaxInt64, math.MaxInt64 - 1<<10, 1 << 62, 20_000_000_000_000_000} {
		qt.Check(t, Milliseconds(n), qt.Equals, MaxTime)
		qt.Check(t, Milliseconds(-n), qt.Equals, -MaxTime)
		qt.Check(t, Microseconds(n), qt.Equals, MaxTime)
		qt.Check(t, Microseconds(-n), qt.Equals, -MaxTime)
	}
	qt.Check(t, Milliseconds(20_000_000_000_000), qt.Equals, MaxTime)
	qt.Check(t, Milliseconds(math.MinInt64), qt.Equals, -MaxTime)
	qt.Check(t, Microseconds(math.MinInt64), qt.Equals, -MaxTime)
	qt.Check(t, Milliseconds(1500), qt.Equals, 1500*time.Millisecond)
	qt.Check(t, Microseconds(-1500), qt.Equals, -1500*time.Microsecond)
}
