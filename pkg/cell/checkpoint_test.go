package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// If an executor forgot an end that no persisted checkpoint covers, the task could run again
// after a takeover.
func TestEndsAreRetainedUntilACheckpointIsPersisted(t *testing.T) {
	c := qt.New(t)
	now := time.Second
	state := New(DefaultParams(time.Second, testJobLease, 50*ms), 1, now)
	j := &job.Job{ID: "a", Service: "s", Kept: true, MaxAttempts: 3, Received: now, Deadline: now + time.Hour,
		Steps: []job.Step{{Count: 3, Needs: job.Resources{CPU: 10}}}}
	state.Submit(Handover{Job: j, Epoch: 1, RenewedAt: now}, now)
	e := newExecutor(testExecutor(0))
	end := func(number int64, index int, kind EndKind) {
		ended := EndedTask{Number: number, Task: j.TaskName(job.TaskKey{Index: index}), Run: firstKeptRun, Kind: kind}
		e.lastEndNumber = number
		state.retainEnd(e, ended, now)
		state.adoptEnd(ended)
	}
	end(1, 0, EndDone)
	c.Assert(state.Checkpoints(now), qt.HasLen, 0, qt.Commentf("the job may end soon"))
	c.Assert(state.releaseForgettable(e, now), qt.Equals, int64(0))

	now += checkpointAfter
	due := state.Checkpoints(now)
	c.Assert(due, qt.HasLen, 1)
	c.Assert(CountEnds(due[0].Progress), qt.Equals, 1)
	end(2, 1, EndDone)
	c.Assert(state.Checkpoints(now+ms), qt.HasLen, 0, qt.Commentf("a checkpoint was reported a moment ago"))
	c.Assert(state.releaseForgettable(e, now), qt.Equals, int64(0), qt.Commentf("the checkpoint is not persisted yet"))

	state.CheckpointPersisted("a", 1, now)
	c.Assert(state.releaseForgettable(e, now), qt.Equals, int64(1), qt.Commentf("the checkpoint does not cover the later end"))
	now += checkpointAfter
	due = state.Checkpoints(now)
	c.Assert(due, qt.HasLen, 1)
	c.Assert(CountEnds(due[0].Progress), qt.Equals, 2)
	c.Assert(state.Checkpoints(now+checkpointRetry), qt.HasLen, 1, qt.Commentf("the report may have been lost"))
	state.CheckpointPersisted("a", 2, now)
	c.Assert(state.releaseForgettable(e, now), qt.Equals, int64(2))
}
