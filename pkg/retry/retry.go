// Package retry decides whether a task may be sent to a target, whether a
// failed attempt may be retried, and whether a caller submits a job again. It
// does no I/O.
package retry

import "time"

// Progress is how far an attempt without a result got.
type Progress uint8

// Progress of an attempt.
const (
	NotDialled  Progress = iota + 1 // no connection was established
	NotWritten                      // connected, but no byte of the request was written
	RefusedIdle                     // the target refused the task without starting it
	MayStarted                      // the target may have started the task
)

// MayRetry reports whether the attempt is known not to have started the task,
// so that a retry cannot start it twice.
func (p Progress) MayRetry() bool {
	return p == NotDialled || p == NotWritten || p == RefusedIdle
}

// MayWrite reports whether a task may be sent now. It guards against a process
// that was suspended past the deadline, and against a job that has ended.
func MayWrite(now, deadline time.Duration, jobEnded bool) bool {
	return !jobEnded && now < deadline
}

// Budget limits retries to a share of the traffic. It is a token bucket that
// each first attempt refills by ratio. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget. ratio is the number of retries allowed per
// first attempt, and burst the size of the bucket.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Attempt records a first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Take takes a retry from the budget. It returns false if the budget is used
// up.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
