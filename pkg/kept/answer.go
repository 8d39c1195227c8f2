// Package kept decides for jobs that are kept: accepted once, written to the
// platform's tables before the caller is told so, run to their end whichever hosts
// die, and told at any host. It does no I/O.
package kept

import "time"

// Verdict is what became of a call about a kept job.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota + 1 // the job lasts; for a cancel: the cancelling lasts
	Refused                     // the job isn't kept and nothing of it runs
	Unknown                     // it may have been kept: the caller may send the call again
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

// State is how far a kept job is.
type State uint8

// The states of a job.
const (
	Queued State = iota + 1
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

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }

// Answer is the answer to a call about a kept job.
type Answer struct {
	Verdict    Verdict
	State      State         // of the job, when it is known
	Reason     string        // of Refused and Unknown, for logs and callers
	RetryAfter time.Duration // of Refused and Unknown: when to come back
}
