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

// Guards against crashes that a build of before their assessment has counted being taken for evidence
// against a task, and against such a build failing a job because of crashes without evidence.
func TestCrashesOfATask(t *testing.T) {
	type scenario struct {
		testName string
		message  *peerpb.TaskProgress
		progress job.Progress
		sent     bool // by this build
	}
	scenarios := []scenario{
		{testName: "of an earlier build", message: &peerpb.TaskProgress{Crashes: 2}, progress: job.Progress{Crashes: 2}},
		{testName: "without evidence", message: &peerpb.TaskProgress{AllCrashes: 2}, progress: job.Progress{Crashes: 2}, sent: true},
		{testName: "with evidence", message: &peerpb.TaskProgress{Crashes: 1, AllCrashes: 2}, progress: job.Progress{Crashes: 2, CrashEvidence: 1}, sent: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(FromProgress([]*peerpb.TaskProgress{s.message}), qt.DeepEquals, []job.Progress{s.progress})
			if s.sent {
				sent := ToProgress([]job.Progress{s.progress})[0]
				c.Assert(sent.Crashes, qt.Equals, s.message.Crashes)
				c.Assert(sent.AllCrashes, qt.Equals, s.message.AllCrashes)
			}
		})
	}
}
