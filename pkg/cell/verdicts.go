package cell

import "time"

// Verdict is how a call to an executor went.
type Verdict uint8

// The verdicts.
const (
	Accepted         Verdict = iota
	Fenced                   // a higher token has been seen
	Outdated                 // the run isn't above one that ended or was stopped there
	Late                     // the deadline had passed when the order arrived
	NoRoom                   // it doesn't fit
	Unhealthy                // refused, and nothing was done
	WrongIncarnation         // another life of the executor answered: this one is over
	Unanswered               // it may have been done, or may be done yet
	Rejected                 // refused for another reason, and nothing was done
	Unreached                // no connection could be made, so nothing was done
	Unclear                  // answered, but by nothing that says whether it was done
	AcceptedByOther          // done, but by another life of the executor: this one is over
)

var verdictNames = [...]string{"accepted", "fenced", "outdated", "late", "no_room", "unhealthy", "wrong_life", "unanswered", "rejected", "unreached", "unclear", "other_life"}

// MayBeDone reports whether an order may have been carried out, or may be yet, for all
// that its verdict tells. A run that was ordered counts as alive then: only an answer of
// which the protocol says that nothing was done lets its task start elsewhere at once.
func (v Verdict) MayBeDone() bool { return v == Unanswered || v == Unclear }

// FromOtherIncarnation returns what a verdict means that another life of the executor has given,
// under the id that both have: the one that was meant is over, and nothing that it ran goes
// on. What the other one has done may go on there.
func (v Verdict) FromOtherIncarnation() Verdict {
	switch v {
	case Accepted, Outdated:
		return AcceptedByOther
	case Unanswered, Unclear, Unreached:
		return v
	}
	return WrongIncarnation
}

// isAccepted reports whether an order was carried out, by whichever life of its executor.
func (v Verdict) isAccepted() bool { return v == Accepted || v == AcceptedByOther }

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// EndKind is how a run ended.
type EndKind uint8

// The ends of runs.
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

// HoldResponse is an executor's answer to a hold.
type HoldResponse struct {
	Verdict        Verdict
	Clock          time.Duration // 0 when not told
	Message        string        // what an answer other than Accepted said, for logs
	Running        []RunningTask
	Ended          []EndedTask
	UnreadableRuns int // entries that can't be read and may each hide a run
	UnreadableEnds int // the same of the ends
}
