package retry

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// Step is what a caller does next with a submission.
type Step uint8

// Steps of a caller.
const (
	GiveUp Step = iota + 1 // do not submit again
	SameID                 // submit again under the same id: the outcome is unknown
	NewID                  // submit under a new id: no task ran under this one, and none will
)

// lostAnswerPause is how long a caller waits before it submits again after a
// submission without an answer.
const lostAnswerPause = 50 * time.Millisecond

// AfterAnswer returns the next step after an answer, and how long to wait
// before it. left is the time until the job's deadline.
func AfterAnswer(outcome once.Outcome, kind errkind.Kind, retryAfter, left time.Duration) (Step, time.Duration) {
	step := stepFor(outcome, kind)
	if step != GiveUp && retryAfter >= left {
		return GiveUp, 0
	}
	return step, retryAfter
}

// AfterLostAnswer returns the next step after a submission without an answer,
// and how long to wait before it. The job may be running, so that only the same
// id is safe.
func AfterLostAnswer(left time.Duration) (Step, time.Duration) {
	if lostAnswerPause >= left {
		return GiveUp, 0
	}
	return SameID, lostAnswerPause
}

func stepFor(outcome once.Outcome, kind errkind.Kind) Step {
	switch outcome {
	case once.Refused:
		switch kind {
		case errkind.HomeClosed, errkind.Leaving, errkind.Overloaded, errkind.NoTarget, errkind.NotReady:
			return NewID
		}
	case once.Unknown:
		switch kind {
		case errkind.PeerDown, errkind.PlatformDown, errkind.PlatformMaybe:
			return SameID
		}
	}
	return GiveUp
}
