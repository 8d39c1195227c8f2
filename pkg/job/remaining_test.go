package job

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWhichStepsOfAJobRemain(t *testing.T) {
	j := &Job{Steps: []Step{{Count: 2}, {Count: 1, After: []int{0}}, {Count: 1}}}
	done := func(step, index int) Progress { return Progress{Key: TaskKey{Step: step, Index: index}, Done: true} }
	type scenario struct {
		testName  string
		progress  []Progress
		remaining []int
		ready     []int
	}
	scenarios := []scenario{
		{testName: "nothing is known", remaining: []int{0, 1, 2}, ready: []int{0, 2}},
		{testName: "a task of a step is done", progress: []Progress{done(0, 1)}, remaining: []int{0, 1, 2}, ready: []int{0, 2}},
		{testName: "a step is done", progress: []Progress{done(0, 0), done(0, 1)}, remaining: []int{1, 2}, ready: []int{1, 2}},
		{testName: "a task has failed", progress: []Progress{{Key: TaskKey{Step: 2}, Failures: 1}}, remaining: []int{0, 1, 2}, ready: []int{0, 2}},
		{testName: "a step that there isn't", progress: []Progress{done(7, 0)}, remaining: []int{0, 1, 2}, ready: []int{0, 2}},
		{testName: "all is done", progress: []Progress{done(0, 0), done(0, 1), done(1, 0), done(2, 0)}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			remaining, ready := j.RemainingSteps(s.progress)
			qt.Assert(t, remaining, qt.DeepEquals, s.remaining)
			qt.Assert(t, ready, qt.DeepEquals, s.ready)
		})
	}
}
