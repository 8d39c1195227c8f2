package entry

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
)

// The deadline and the attempt that it interrupts both end a job. Guards against
// reporting a lost target to the caller when the deadline was the cause.
func TestWhyAJobEnded(t *testing.T) {
	type scenario struct {
		testName string
		passed   bool // whether the deadline has passed
		attempt  errkind.Kind
		want     errkind.Kind
	}
	scenarios := []scenario{
		{testName: "the target was lost", attempt: errkind.TargetLost, want: errkind.TargetLost},
		{testName: "the deadline interrupted the attempt", passed: true, attempt: errkind.TargetLost, want: errkind.DeadlinePassed},
		{testName: "the task failed at its target", passed: true, attempt: errkind.TaskFailed, want: errkind.TaskFailed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			end := time.Now().Add(time.Hour)
			if s.passed {
				end = time.Now().Add(-time.Hour)
			}
			ctx, cancel := context.WithDeadline(context.Background(), end)
			defer cancel()
			j := &job{ctx: ctx}
			qt.Assert(t, j.whyEnded(errkind.New(s.attempt, "", "broke off")).Kind, qt.Equals, s.want)
		})
	}
}
