// Package retry decides whether a task attempt may be written to a target and
// whether a failed one may be tried again. It does no I/O.
package retry

import "time"

// Progress is how far an attempt got when it ended without a result.
type Progress uint8

// How far an attempt got.
const (
	NotDialled  Progress = iota + 1 // no connection was made
	NotWritten                      // a connection, but no byte of the request
	RefusedIdle                     // the target said that it did not start the task
	MayStarted                      // the target may have started the task
)

// MayRetry reports whether the task provably did not start, so that another
// attempt cannot start it twice.
func (p Progress) MayRetry() bool {
	return p == NotDialled || p == NotWritten || p == RefusedIdle
}

// MayWrite reports whether a task may be written now. A process that slept
// through the deadline, or whose job ended, must start nothing more.
func MayWrite(now, deadline time.Duration, jobEnded bool) bool {
	return !jobEnded && now < deadline
}

// Budget limits retries to a share of the traffic, by a token bucket that
// each first attempt fills. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget makes a full budget. ratio is the retries allowed a first attempt
// and burst the retries that may come at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Attempt counts a first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Take takes a retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
