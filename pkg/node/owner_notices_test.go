package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// A moved job must not be released where a task of it has run, or may be running: its new
// cell would run the task a second time.
func TestAnOwnerReleasesAMovedJobUnlessItRanThere(t *testing.T) {
	scenarios := []struct {
		testName  string
		prepare   func(k *keptOwnerTest)
		continues []string
		outcomes  int           // that its coordinators get
		ownedFor  time.Duration // no executor has answered since: unknown runs of a former owner may be alive; a minute if 0
		unknown   bool          // the owner cannot tell yet whether the job runs here
	}{
		{testName: "not here", prepare: func(*keptOwnerTest) {}},
		{testName: "queued here", prepare: func(k *keptOwnerTest) { k.submit("a", true) }, outcomes: 1},
		{testName: "not here, new owner", prepare: func(*keptOwnerTest) {}, ownedFor: time.Millisecond, unknown: true},
		{testName: "queued here, new owner", prepare: func(k *keptOwnerTest) { k.submit("a", true) }, ownedFor: time.Millisecond, unknown: true},
		{testName: "not here, owner for two leases: an isolated former owner may go on with it", prepare: func(*keptOwnerTest) {}, ownedFor: 2 * time.Second, unknown: true},
		{testName: "runs on an executor for a former owner", prepare: func(k *keptOwnerTest) { k.listRun("a.0.0.0") }, continues: []string{"a"}},
		{testName: "another job runs on an executor for a former owner", prepare: func(k *keptOwnerTest) { k.listRun("b.0.0.0") }},
		{testName: "has ended here", prepare: func(k *keptOwnerTest) {
			k.submit("a", true)
			k.end("a", job.Completed)
		}, continues: []string{"a"}, outcomes: 1},
		{testName: "a task has run here", prepare: func(k *keptOwnerTest) {
			k.submit("a", true)
			k.owner.do(func(state *cell.Cell, now time.Duration) {
				state.Withdraw("a", "test", now)
				state.Submit(cell.Handover{
					Job:      &job.Job{ID: "a", Kept: true, MaxAttempts: 3, Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Hour},
					Epoch:    2,
					Progress: []job.Progress{{Failures: 1, Run: 1501}},
				}, now)
			})
		}, continues: []string{"a"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			if s.ownedFor == 0 {
				s.ownedFor = time.Minute
			}
			n := k.owner.node
			k.owner = newOwner(n, "cell", 1, n.Clock.Now()-s.ownedFor)
			s.prepare(k)
			continues, known := k.owner.handleNotice(&peerpb.Noted{Ids: []string{"a"}, Moved: true})
			c.Assert(known, qt.Equals, !s.unknown)
			c.Assert(continues, qt.DeepEquals, s.continues)
			c.Assert(k.outcomes, qt.HasLen, s.outcomes)
		})
	}
}

// listRun makes an executor of the cell list a run that a former owner started.
func (k *keptOwnerTest) listRun(task string) {
	o := k.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.node.Clock.Now()
	o.state.SetExecutors([]catalog.Executor{{ID: "i-1", Service: "s", Domain: "cell", Address: "127.0.0.1:1", Capacity: job.Resources{CPU: 1000}}}, now)
	o.state.HoldAnswered("i-1", cell.HoldResponse{Clock: time.Second, Running: []cell.RunningTask{{Task: task, Run: 1501}}}, now, now)
	o.state.TakeActions()
}
