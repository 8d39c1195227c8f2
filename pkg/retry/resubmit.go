package retry

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// Step is what a caller does next about a submission.
type Step uint8

// The steps of a caller.
const (
	GiveUp Step = iota + 1 // the answer is final
	SameID                 // submit the same id again; nothing is known yet
	NewID                  // submit under a new id; nothing ran and nothing will
)

const lostAnswerPause = 50 * time.Millisecond

// AfterAnswer decides on the next step after an answer, and how long to wait
// before it. left is the time to the job's deadline.
func AfterAnswer(outcome once.Outcome, kind errkind.Kind, retryAfter, left time.Duration) (Step, time.Duration) {
	step := stepFor(outcome, kind)
	if step != GiveUp && retryAfter >= left {
		return GiveUp, 0
	}
	return step, retryAfter
}

// AfterLostAnswer decides on the next step when no answer came: the job may
// be under way, so only the same id is safe.
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
