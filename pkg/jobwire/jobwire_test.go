package jobwire

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

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
