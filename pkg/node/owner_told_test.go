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

func TestAnOwnerForsakesAMovedJobUnlessItRanThere(t *testing.T) {
	scenarios := []struct {
		testName string
		prepare  func(k *keptOwnerTest)
		goesOn   []string
		outcomes int  // that its keepers are told
		isNew    bool // runs of a former owner may be alive that this one hasn't seen
		unknown  bool // whether it runs here
	}{
		{testName: "it isn't here", prepare: func(*keptOwnerTest) {}},
		{testName: "it waits here", prepare: func(k *keptOwnerTest) { k.submit("a", true) }, outcomes: 1},
		{testName: "it isn't with a new owner", prepare: func(*keptOwnerTest) {}, isNew: true, unknown: true},
		{testName: "it waits at a new owner", prepare: func(k *keptOwnerTest) { k.submit("a", true) }, isNew: true, unknown: true},
		{testName: "an executor runs it for a former owner", prepare: func(k *keptOwnerTest) { k.list("a.0.0.0") }, goesOn: []string{"a"}},
		{testName: "an executor runs another job for a former owner", prepare: func(k *keptOwnerTest) { k.list("b.0.0.0") }},
		{testName: "it has ended here", prepare: func(k *keptOwnerTest) {
			k.submit("a", true)
			k.end("a", job.Completed)
		}, goesOn: []string{"a"}, outcomes: 1},
		{testName: "a task of it has run here", prepare: func(k *keptOwnerTest) {
			k.submit("a", true)
			k.owner.do(func(state *cell.Cell, now time.Duration) {
				state.Withdraw("a", "test", now)
				state.Submit(cell.Handover{
					Job:      &job.Job{ID: "a", Kept: true, MaxAttempts: 3, Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Hour},
					Epoch:    2,
					Progress: []job.Progress{{Failures: 1, Run: 1501}},
				}, now)
			})
		}, goesOn: []string{"a"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			if !s.isNew {
				n := k.owner.node
				k.owner = newOwner(n, "cell", 1, n.Clock.Now()-2*n.settings.LongestHold)
			}
			s.prepare(k)
			goesOn, known := k.owner.told(&peerpb.Noted{Ids: []string{"a"}, Moved: true})
			c.Assert(known, qt.Equals, !s.unknown)
			c.Assert(goesOn, qt.DeepEquals, s.goesOn)
			c.Assert(k.outcomes, qt.HasLen, s.outcomes)
		})
	}
}

// list has an executor of the cell list a run that a former owner ordered.
func (k *keptOwnerTest) list(task string) {
	o := k.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.node.Clock.Now()
	o.state.SetExecutors([]catalog.Executor{{ID: "i-1", Service: "s", Domain: "cell", Address: "127.0.0.1:1", Capacity: job.Resources{CPU: 1000}}}, now)
	o.state.HoldAnswered("i-1", cell.HoldResponse{Clock: time.Second, Running: []cell.RunningTask{{Task: task, Run: 1501}}}, now, now)
	o.state.TakeActions()
}
