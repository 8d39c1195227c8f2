package jobwire

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
)

func TestProgressRoundTrip(t *testing.T) {
	scenarios := []struct {
		testName string
		progress job.Progress
	}{
		{"nothing", job.Progress{}},
		{"done", job.Progress{Key: job.TaskKey{Step: 1, Index: 2}, Done: true, Run: 3}},
		{"failed", job.Progress{Failures: 2, Run: 1002, FailedRuns: []int64{1, 1002}}},
		{"failed, as earlier builds report it", job.Progress{Failures: 2, Run: 1002}},
		{"active", job.Progress{Run: 4, Crashes: 1, ActiveAt: "e", ActiveFor: time.Second}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			data, err := proto.Marshal(&peerpb.Dispatch{Progress: ToProgress([]job.Progress{s.progress})})
			c.Assert(err, qt.IsNil)
			m := &peerpb.Dispatch{}
			c.Assert(proto.Unmarshal(data, m), qt.IsNil)
			c.Assert(FromProgress(m.Progress), qt.DeepEquals, []job.Progress{s.progress})
		})
	}
}
