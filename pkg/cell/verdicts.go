package cell

import "time"

// Verdict is the result of a call to an executor.
type Verdict uint8

const (
	Accepted         Verdict = iota
	Fenced                   // the executor has seen a higher token
	Outdated                 // the run number is not above one that ended or was stopped there
	Late                     // the deadline had passed when the command arrived
	NoRoom                   // not enough capacity
	Unhealthy                // refused; nothing was done
	WrongIncarnation         // another incarnation answered and did nothing: the one that was called has ended
	Unanswered               // no answer: it may have been done, or may be done later
	Rejected                 // refused for another reason; nothing was done
	Unreached                // no connection could be made; nothing was done
	Unclear                  // the answer does not say whether it was done
	AcceptedByOther          // done by another incarnation: the one that was called has ended
)

var verdictNames = [...]string{"accepted", "fenced", "outdated", "late", "no_room", "unhealthy", "wrong_life", "unanswered", "rejected", "unreached", "unclear", "other_life"}

// IsUnresolved reports whether a command may have been carried out, or may be later. Its run then
// counts as alive: a task may start elsewhere at once only after an answer that the protocol
// defines as "nothing was done".
func (v Verdict) IsUnresolved() bool { return v == Unanswered || v == Unclear }

// FromOtherIncarnation returns the meaning of a verdict that was given by another incarnation of
// the executor, under the same id. The incarnation that was called has ended with all its runs;
// what the other one has accepted may be running there.
func (v Verdict) FromOtherIncarnation() Verdict {
	switch v {
	case Accepted, Outdated:
		return AcceptedByOther
	case Unanswered, Unclear, Unreached:
		return v
	}
	return WrongIncarnation
}

// isAccepted reports whether a command was carried out, by whichever incarnation.
func (v Verdict) isAccepted() bool { return v == Accepted || v == AcceptedByOther }

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// EndKind is how a run ended.
type EndKind uint8

const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLapsed
	EndOther
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "other"}

// String returns the name of the end in logs.
func (k EndKind) String() string { return endNames[k] }

// RunningTask is a run that an executor lists.
type RunningTask struct {
	Task    string
	Run     int64
	Percent int
}

// EndedTask is an end that an executor lists.
type EndedTask struct {
	Number int64
	Task   string
	Run    int64
	Kind   EndKind
}

// HoldResponse is an executor's response to a hold request.
type HoldResponse struct {
	Verdict        Verdict
	Clock          time.Duration // executor's clock; 0 when missing
	Message        string        // message of a response other than Accepted, for logs
	Running        []RunningTask
	Ended          []EndedTask
	UnreadableRuns int // entries that cannot be read, each of which may hide a run
	UnreadableEnds int // the same for ends
}
