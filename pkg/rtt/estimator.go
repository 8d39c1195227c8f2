// Package rtt computes from recent round-trip times how long to wait for a response, as TCP
// does (RFC 6298). On a saturated link responses are late but arrive, so with a fixed
// timeout all peers would seem to be dead.
package rtt

import (
	"sync/atomic"
	"time"
)

// Factors from RFC 6298: the weights of a new sample, and the margin of a timeout.
const (
	meanGainInverse      = 8 // alpha is 1/8
	deviationGainInverse = 4 // beta is 1/4
	deviations           = 4 // number of deviations by which a timeout exceeds the mean
)

// Estimator keeps the mean and the deviation of round-trip times. It is safe for concurrent
// use.
type Estimator struct {
	minTimeout time.Duration
	maxTimeout time.Duration
	state      atomic.Pointer[state]
}

type state struct {
	mean      time.Duration
	deviation time.Duration
}

// NewEstimator returns an estimator whose timeouts lie between minTimeout and maxTimeout.
// Before the first sample it returns minTimeout.
func NewEstimator(minTimeout, maxTimeout time.Duration) *Estimator {
	return &Estimator{minTimeout: minTimeout, maxTimeout: maxTimeout}
}

// Observe records the round-trip time of a call, also if it exceeds the timeout: otherwise
// the timeout could not grow when responses become slow. A call without a response has no
// round-trip time and must not be recorded, since a few lost messages would then raise the
// timeout far above the round-trip times of the link.
func (e *Estimator) Observe(trip time.Duration) {
	for {
		before := e.state.Load()
		if e.state.CompareAndSwap(before, before.after(trip)) {
			return
		}
	}
}

func (s *state) after(trip time.Duration) *state {
	if s == nil {
		return &state{mean: trip, deviation: trip / 2}
	}
	off := (trip - s.mean).Abs()
	return &state{
		mean:      s.mean + (trip-s.mean)/meanGainInverse,
		deviation: s.deviation + (off-s.deviation)/deviationGainInverse,
	}
}

// Timeout returns how long to wait for the next response.
func (e *Estimator) Timeout() time.Duration {
	s := e.state.Load()
	if s == nil {
		return e.minTimeout
	}
	return min(max(s.mean+deviations*s.deviation, e.minTimeout), e.maxTimeout)
}
