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
	trustedPaces = 5   // runs before which the pace isn't used
	pacesOver    = 20  // runs that the pace looks back over, about two seconds of them
	widestPace   = 1.5 // of the logarithm of a time to the expected one, taken in: a factor of 4.5
	// paceCost is how many cores left over a pace slower by a factor of e counts for in
	// placement. With executors of three speeds, preferring fast ones and expecting each
	// one's own times gave +0.010, -0.002 and +0.007 of worth on three days.
	paceCost = 40.0
)

// pace is how much longer than elsewhere tasks take at an executor.
type pace struct {
	count int
	mean  float64 // of the logarithm of the times to the expected ones
}

// observe takes the time of a run that ended well.
func (p *pace) observe(expected, took time.Duration) {
	off := logTime(took) - logTime(expected)
	off = min(max(off, -widestPace), widestPace)
	p.count = min(p.count+1, pacesOver)
	p.mean += (off - p.mean) / float64(p.count)
}

// log returns the logarithm of the pace, above 0 for a slow executor; 0 when too little
// is known.
func (p *pace) log() float64 {
	if p.count < trustedPaces {
		return 0
	}
	return p.mean
}

// of returns how long a task of an expected time takes at the executor.
func (p *pace) of(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * math.Exp(p.log()))
}
