package once

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// Outcome is how a submission ended.
type Outcome uint8

// Outcomes of a submission.
const (
	Complete Outcome = iota + 1 // the results of all tasks are available
	Failed                      // no result; tasks may have run
	Refused                     // no task ran, and none will run under this id
	Unknown                     // the id's record is unavailable; tasks may have run
)

var outcomeNames = map[Outcome]string{Complete: "complete", Failed: "failed", Refused: "refused", Unknown: "unknown"}

// String returns the outcome's name in the API.
func (o Outcome) String() string { return outcomeNames[o] }

// ParseOutcome parses the result of String. It returns 0 for other texts.
func ParseOutcome(s string) Outcome {
	for outcome, name := range outcomeNames {
		if name == s {
			return outcome
		}
	}
	return 0
}

// Answer is the answer to a submission.
type Answer struct {
	Outcome    Outcome
	Kind       errkind.Kind // the reason, for outcomes other than Complete
	Message    string
	Remedy     string
	RetryAfter time.Duration // how long to wait before a retry, for refusals
	Results    [][]byte      // one per task, in order; only for Complete
}

// NewAnswer returns an answer without results for an error.
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

func homeClosedAnswer() *Answer {
	return NewAnswer(Refused, errkind.New(errkind.HomeClosed, "submit again under the home that comes with this answer", "the home of the id takes no new submissions"))
}

func forgottenAnswer() *Answer {
	return NewAnswer(Unknown, errkind.New(errkind.Forgotten, "check at the service whether the job ran before you submit it under a new id", "this host no longer keeps a record of the id"))
}

func mayHaveRunAnswer() *Answer {
	return NewAnswer(Failed, errkind.New(errkind.MayHaveRun, "check at the service whether the job ran before you submit it under a new id", "the host that ran the job is unreachable or has ended"))
}

func idReusedAnswer() *Answer {
	return NewAnswer(Unknown, errkind.New(errkind.IDReused, "use a new part for each job", "the id was used before with another body"))
}
