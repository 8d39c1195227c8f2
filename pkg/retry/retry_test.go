package retry

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

func TestMayRetry(t *testing.T) {
	scenarios := []struct {
		testName string
		progress Progress
		expected bool
	}{
		{"not dialled", NotDialled, true},
		{"not written", NotWritten, true},
		{"refused", RefusedIdle, true},
		{"may have started", MayStarted, false},
		{"unknown", 0, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, s.progress.MayRetry(), qt.Equals, s.expected)
		})
	}
}

func TestMayWrite(t *testing.T) {
	qt.Assert(t, MayWrite(1, 2, false), qt.IsTrue)
	qt.Assert(t, MayWrite(2, 2, false), qt.IsFalse, qt.Commentf("a process that was suspended past the deadline"))
	qt.Assert(t, MayWrite(1, 2, true), qt.IsFalse, qt.Commentf("a job that ended"))
}

func TestBudget(t *testing.T) {
	b := NewBudget(0.1, 2)
	qt.Assert(t, []bool{b.Take(), b.Take(), b.Take()}, qt.DeepEquals, []bool{true, true, false})
	for range 11 {
		b.Attempt()
	}
	qt.Assert(t, []bool{b.Take(), b.Take()}, qt.DeepEquals, []bool{true, false})
}

func TestAfterAnswer(t *testing.T) {
	const left = time.Second
	scenarios := []struct {
		testName   string
		outcome    once.Outcome
		kind       errkind.Kind
		retryAfter time.Duration
		expected   Step
	}{
		{"complete", once.Complete, "", 0, GiveUp},
		{"may have run", once.Failed, errkind.MayHaveRun, 0, GiveUp},
		{"a task failed", once.Failed, errkind.TaskFailed, 0, GiveUp},
		{"home closed", once.Refused, errkind.HomeClosed, 0, NewID},
		{"overloaded, in time", once.Refused, errkind.Overloaded, left / 2, NewID},
		{"overloaded, too long", once.Refused, errkind.Overloaded, left, GiveUp},
		{"a bad request", once.Refused, errkind.BadRequest, 0, GiveUp},
		{"cancelled", once.Refused, errkind.Cancelled, 0, GiveUp},
		{"hosts cut off", once.Unknown, errkind.PeerDown, left / 2, SameID},
		{"the key could not be bound", once.Unknown, errkind.PlatformMaybe, left / 2, SameID},
		{"forgotten", once.Unknown, errkind.Forgotten, 0, GiveUp},
		{"id reused", once.Unknown, errkind.IDReused, 0, GiveUp},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			step, _ := AfterAnswer(s.outcome, s.kind, s.retryAfter, left)
			qt.Assert(t, step, qt.Equals, s.expected)
		})
	}
	step, _ := AfterLostAnswer(left)
	qt.Assert(t, step, qt.Equals, SameID)
	step, _ = AfterLostAnswer(time.Millisecond)
	qt.Assert(t, step, qt.Equals, GiveUp)
}
