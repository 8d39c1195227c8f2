// Package kept holds the decision logic for kept jobs: durable jobs that run to completion
// whether or not their callers wait. A job is written to the platform's tables before its
// caller gets the answer, runs to its end even if hosts fail, and can be queried at any
// host. The package does no I/O.
package kept

import "time"

// Verdict is the result of a call about a kept job.
type Verdict uint8

const (
	Accepted Verdict = iota + 1 // the job is stored; of a cancel: the cancellation is stored
	Refused                     // the job is not kept and no part of it runs
	Unknown                     // the job may have been kept; the caller may repeat the call
	NotFound                    // there is no such job
)

var verdictNames = [...]string{"none", "accepted", "refused", "unknown", "gone"}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "none"
}

// VerdictOf returns the verdict with a number that another host sent, and Unknown for numbers
// that this build does not know.
func VerdictOf(number uint32) Verdict {
	if number < uint32(Accepted) || number > uint32(NotFound) {
		return Unknown
	}
	return Verdict(number)
}

// State is the state of a kept job.
type State uint8

const (
	// Undetermined is the state of a job whose row shows that it has ended but not how. It
	// is never written to a row and never answered.
	Undetermined State = iota
	Queued
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"none", "queued", "running", "completed", "failed", "cancelled"}

// String returns the state as callers read it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// StateOf returns the state with a number that another host sent or stored, and Undetermined
// for numbers that this build does not know.
func StateOf(number uint32) State {
	if number > uint32(Cancelled) {
		return Undetermined
	}
	return State(number)
}

// Ended reports whether the state is a final one that this build knows.
func (s State) Ended() bool { return s >= Completed && s <= Cancelled }

// Answer is the answer to a call about a kept job.
type Answer struct {
	Verdict    Verdict
	State      State         // of the job, if known
	Reason     string        // of Refused and Unknown, for logs and callers
	RetryAfter time.Duration // of Refused and Unknown: when the caller may retry
}
