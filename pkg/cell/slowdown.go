package cell

import (
	"math"
	"time"
)

// Executors differ in speed: the fastest of a deployment may be nearly three times as fast as the
// slowest. The slowdown of each one is learned from the times of its runs, relative to the
// expected times in the cell. It is not handed over to the next owner, which learns it again
// from the runs of about 0.6 s of usual traffic.
const (
	minSlowdownRuns = 5   // with fewer runs the slowdown is not used
	slowdownWindow  = 20  // number of runs that the slowdown covers
	maxLogRatio     = 1.5 // limit of the logarithm of a run's time relative to the expected one
	// slowdownCost is the placement cost of an executor that is slower by a factor of e, in
	// cores left over.
	slowdownCost = 40.0
)

// slowdown is the factor by which tasks take longer at an executor than expected in the cell.
type slowdown struct {
	count int
	mean  float64 // of the logarithms of the factors
}

// observe records the time of a completed run.
func (p *slowdown) observe(expected, took time.Duration) {
	off := logTime(took) - logTime(expected)
	off = min(max(off, -maxLogRatio), maxLogRatio)
	p.count = min(p.count+1, slowdownWindow)
	p.mean += (off - p.mean) / float64(p.count)
}

// logFactor returns the logarithm of the slowdown, above 0 for a slow executor; 0 when there are
// too few runs.
func (p *slowdown) logFactor() float64 {
	if p.count < minSlowdownRuns {
		return 0
	}
	return p.mean
}

// scale returns how long a task with an expected time takes at the executor.
func (p *slowdown) scale(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * math.Exp(p.logFactor()))
}
