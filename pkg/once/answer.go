package once

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// Outcome is how a submission ended. The four are never mixed.
type Outcome uint8

// The outcomes of a submission.
const (
	Complete Outcome = iota + 1 // every task's result is there
	Failed                      // no result; tasks may have run
	Refused                     // no task ran, and none will under this id
	Unknown                     // memory of the id is gone; tasks may have run
)

var outcomeNames = map[Outcome]string{Complete: "complete", Failed: "failed", Refused: "refused", Unknown: "unknown"}

// String returns the outcome's name in the caller interface.
func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome reads what String wrote; it returns 0 for other texts.
func ParseOutcome(s string) Outcome {
	for outcome, name := range outcomeNames {
		if name == s {
			return outcome
		}
	}
	return 0
}

// Answer is the whole answer to a submission.
type Answer struct {
	Outcome    Outcome
	Kind       errkind.Kind // why, for outcomes other than Complete
	Message    string
	Remedy     string
	RetryAfter time.Duration // when to come back, for refusals
	Results    [][]byte      // one a task, in order; only for Complete
}

// NewAnswer makes an answer without results from an error.
func NewAnswer(outcome Outcome, err *errkind.Error) *Answer {
	return &Answer{Outcome: outcome, Kind: err.Kind, Message: err.Message, Remedy: err.Remedy, RetryAfter: err.RetryAfter}
}

// Bytes returns the size of the results in bytes.
func (a *Answer) Bytes() int {
	size := 0
	for _, result := range a.Results {
		size += len(result)
	}
	return size
}

func refusedHomeClosed() *Answer {
	return NewAnswer(Refused, errkind.New(errkind.HomeClosed, "submit again under the home that comes with this answer", "the home of the id takes no new submissions"))
}

func unknownForgotten() *Answer {
	return NewAnswer(Unknown, errkind.New(errkind.Forgotten, "check at the service whether the job ran before you submit it under a new id", "the id is older than the memory of this host"))
}

func failedMayHaveRun() *Answer {
	return NewAnswer(Failed, errkind.New(errkind.MayHaveRun, "check at the service whether the job ran before you submit it under a new id", "the host that ran the job is gone"))
}

func unknownIDReused() *Answer {
	return NewAnswer(Unknown, errkind.New(errkind.IDReused, "use a new part for each job", "the id was used before with another body"))
}
