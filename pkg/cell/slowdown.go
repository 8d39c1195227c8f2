package cell

import (
	"math"
	"time"
)

// Executors differ for good: the fastest of a deployment may be nearly three times as
// fast as its slowest. So each one's pace is learnt from the times of its runs, against
// what tasks with like estimates take in the cell. It lives with the owner; the next one
// learns it anew, from as many runs as an executor ends in 0.6 s of usual traffic.
const (
	minSlowdownRuns = 5   // runs before which the pace isn't used
	slowdownWindow  = 20  // runs that the pace looks back over, about two seconds of them
	maxLogRatio     = 1.5 // of the logarithm of a time to the expected one, taken in: a factor of 4.5
	// slowdownCost is how many cores left over a pace slower by a factor of e counts for in
	// placement. With executors of three speeds, preferring fast ones and expecting each
	// one's own times gave +0.010, -0.002 and +0.007 of worth on three days.
	slowdownCost = 40.0
)

// slowdown is how much longer than elsewhere tasks take at an executor.
type slowdown struct {
	count int
	mean  float64 // of the logarithm of the times to the expected ones
}

// observe takes the time of a run that ended well.
func (p *slowdown) observe(expected, took time.Duration) {
	off := logTime(took) - logTime(expected)
	off = min(max(off, -maxLogRatio), maxLogRatio)
	p.count = min(p.count+1, slowdownWindow)
	p.mean += (off - p.mean) / float64(p.count)
}

// logFactor returns the logarithm of the pace, above 0 for a slow executor; 0 when too little
// is known.
func (p *slowdown) logFactor() float64 {
	if p.count < minSlowdownRuns {
		return 0
	}
	return p.mean
}

// scale returns how long a task scale an expected time takes at the executor.
func (p *slowdown) scale(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * math.Exp(p.logFactor()))
}
