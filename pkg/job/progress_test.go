package job

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMergeEnds(t *testing.T) {
	key := func(index int) TaskKey { return TaskKey{Index: index} }
	type scenario struct {
		testName       string
		progress, ends []Progress
		want           []Progress
	}
	active := Progress{Key: key(1), Run: 500, ActiveAt: "i", ActiveFor: time.Second}
	scenarios := []scenario{
		{testName: "no ends", progress: []Progress{active}, want: []Progress{active}},
		{testName: "of a task without progress", progress: []Progress{active}, ends: []Progress{{Key: key(0), Done: true, Run: 501}},
			want: []Progress{{Key: key(0), Done: true, Run: 501}, active}},
		{testName: "the run that may be active has ended", progress: []Progress{active}, ends: []Progress{{Key: key(1), Done: true, Run: 500}},
			want: []Progress{{Key: key(1), Done: true, Run: 500}}},
		{testName: "a failure of an earlier run", progress: []Progress{{Key: key(1), Failures: 1, Run: 501, ActiveFor: time.Second}}, ends: []Progress{{Key: key(1), Failures: 1, Run: 500}},
			want: []Progress{{Key: key(1), Failures: 1, Run: 501, ActiveFor: time.Second}}},
		{testName: "failures of several runs, one of them known on both sides",
			progress: []Progress{{Key: key(1), Failures: 2, FailedRuns: []int64{500, 501}, Run: 501}},
			ends:     []Progress{{Key: key(1), Failures: 2, FailedRuns: []int64{500, 1500}, Run: 1500}},
			want:     []Progress{{Key: key(1), Failures: 3, FailedRuns: []int64{500, 501, 1500}, Run: 1500}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, MergeEnds(s.progress, s.ends), qt.DeepEquals, s.want)
		})
	}
}
