// Package rtt works out from the round trips of late how long to wait for an
// answer, as TCP does (RFC 6298). On a link that is full, answers are late but
// come; a fixed time would take all peers for dead.
package rtt

import (
	"sync/atomic"
	"time"
)

// Weights of a new round trip, from RFC 6298.
const (
	meanGain      = 8 // the mean moves by one part of so many
	deviationGain = 4
	deviations    = 4 // that a timeout lies above the mean
)

// Estimator keeps the mean and the deviation of round trips. It is safe for
// concurrent use.
type Estimator struct {
	shortest time.Duration // of a timeout
	longest  time.Duration
	state    atomic.Pointer[state]
}

type state struct {
	mean      time.Duration
	deviation time.Duration
}

// NewEstimator makes an estimator whose timeouts lie within bounds. Before the
// first round trip the timeout is the shortest.
func NewEstimator(shortest, longest time.Duration) *Estimator {
	return &Estimator{shortest: shortest, longest: longest}
}

// Observe takes a round trip, also one that took longer than the timeout: a call that
// stops listening there would never learn that answers have become late. A call without
// an answer has no round trip. If it counted with the time that was waited for it, then
// one order in five lost would drive a timeout of 80 ms to 270, on links that take 3.
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
		mean:      s.mean + (trip-s.mean)/meanGain,
		deviation: s.deviation + (off-s.deviation)/deviationGain,
	}
}

// Timeout returns how long to wait for the next answer.
func (e *Estimator) Timeout() time.Duration {
	s := e.state.Load()
	if s == nil {
		return e.shortest
	}
	return min(max(s.mean+deviations*s.deviation, e.shortest), e.longest)
}
