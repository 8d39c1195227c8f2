package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// keptOwnerTest is an owner without executors, and the outcomes that its waiters got.
type keptOwnerTest struct {
	owner    *owner
	outcomes []job.Outcome
}

func newKeptOwnerTest(c *qt.C) *keptOwnerTest {
	n := newTestNode(c, &fakeStore{})
	return &keptOwnerTest{owner: newOwner(n, "cell", 1, n.Clock.Now())}
}

func (k *keptOwnerTest) submit(id string, kept bool) {
	now := k.owner.node.Clock.Now()
	j := &job.Job{ID: id, Service: "s", Kept: kept, Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Hour}
	w := waiter{front: "coordinator:1", reply: func(outcome job.Outcome) { k.outcomes = append(k.outcomes, outcome) }}
	k.owner.submit(cell.Handover{Job: j, Epoch: 1, RenewedAt: now}, w)
}

// end ends a job as if the cell had reported its outcome.
func (k *keptOwnerTest) end(id string, kind job.Kind) {
	o := k.owner
	o.mu.Lock()
	o.state.Withdraw(id, "test", o.node.Clock.Now())
	replies := o.recordOutcomes([]cell.Finished{{ID: id, Outcome: job.Outcome{Kind: kind}}}, o.node.Clock.Now())
	o.mu.Unlock()
	for _, answer := range replies {
		answer()
	}
}

// age makes the outcomes and cancellations that the owner stores older by d.
func (k *keptOwnerTest) age(d time.Duration) {
	o := k.owner
	o.mu.Lock()
	for id, e := range o.ended {
		e.until -= d
		o.ended[id] = e
	}
	for id := range o.kept.cancelled {
		o.kept.cancelled[id] -= d
	}
	o.mu.Unlock()
	o.tick()
}

// A kept job must continue at its owner when its coordinator fails, and the next
// coordinator must get its outcome.
func TestAKeptJobContinuesWithoutItsCoordinator(t *testing.T) {
	type scenario struct {
		testName string
		kept     bool
		reason   string
		answers  int
	}
	scenarios := []scenario{
		{testName: "its coordinator is disconnected", kept: true, reason: reasonFrontDisconnected},
		{testName: "its coordinator is unresponsive", kept: true, reason: reasonFrontUnresponsive, answers: 1},
		{testName: "not a kept job", reason: reasonFrontDisconnected},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			k.submit("a", s.kept)
			k.owner.withdrawFront("coordinator:1", s.reason)
			c.Assert(k.outcomes, qt.HasLen, s.answers)
			c.Assert(k.owner.busy(), qt.Equals, s.kept)
			c.Assert(k.owner.fronts(), qt.HasLen, 0)
			k.end("a", job.Completed)
			k.submit("a", s.kept)
			c.Assert(k.outcomes, qt.HasLen, s.answers+1, qt.Commentf("the next coordinator gets the outcome"))
			c.Assert(k.outcomes[s.answers].Kind, qt.Equals, job.Completed)
		})
	}
}

func TestRetentionOfOutcomes(t *testing.T) {
	type scenario struct {
		testName  string
		kept      bool
		persisted bool
		after     time.Duration
		stays     bool
	}
	const margin = 100 * time.Millisecond
	scenarios := []scenario{
		{testName: "not a kept job, just before the limit", after: outcomeRetention - margin, stays: true},
		{testName: "not a kept job, just after the limit", after: outcomeRetention + margin},
		{testName: "kept, end not persisted, just before the limit", kept: true, after: unpersistedOutcomeRetention - margin, stays: true},
		{testName: "kept, end not persisted, just after the limit", kept: true, after: unpersistedOutcomeRetention + margin},
		{testName: "kept, end persisted, just before the limit", kept: true, persisted: true, after: outcomeRetention - margin, stays: true},
		{testName: "kept, end persisted, just after the limit", kept: true, persisted: true, after: outcomeRetention + margin},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			k.submit("a", s.kept)
			k.end("a", job.Failed)
			c.Assert(k.outcomes, qt.HasLen, 1)
			if s.persisted {
				k.owner.recordPersisted([]string{"a", "unknown"}, false)
			}
			k.age(s.after)
			k.submit("a", s.kept)
			c.Assert(len(k.outcomes) == 2, qt.Equals, s.stays)
		})
	}
}

func TestACancelledKeptJob(t *testing.T) {
	type scenario struct {
		testName string
		before   func(k *keptOwnerTest)
		waiters  int
	}
	scenarios := []scenario{
		{testName: "queued here", before: func(k *keptOwnerTest) { k.submit("a", true) }, waiters: 1},
		{testName: "submitted by two coordinators", before: func(k *keptOwnerTest) { k.submit("a", true); k.submit("a", true) }, waiters: 2},
		{testName: "submitted after the cancellation", before: func(*keptOwnerTest) {}},
		{testName: "has ended here", before: func(k *keptOwnerTest) {
			k.submit("a", true)
			k.end("a", job.Completed)
			k.outcomes = nil
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			s.before(k)
			k.owner.recordPersisted([]string{"a"}, true)
			c.Assert(k.outcomes, qt.HasLen, s.waiters)
			c.Assert(k.owner.state.Waiting()[""], qt.Equals, 0, qt.Commentf("the job is not in the cell"))
			k.submit("a", true)
			c.Assert(k.outcomes, qt.HasLen, s.waiters+1)
			for _, outcome := range k.outcomes {
				c.Assert(outcome.Kind, qt.Equals, job.Moved)
				c.Assert(outcome.Reason, qt.Equals, reasonKeptCancelled)
			}
			k.age(cancellationRetention)
			k.submit("a", true)
			c.Assert(k.outcomes, qt.HasLen, s.waiters+1, qt.Commentf("the job is accepted again"))
		})
	}
}

// An owner must not accumulate state of kept jobs that have ended.
func TestAnOwnerForgetsKeptJobs(t *testing.T) {
	c := qt.New(t)
	k := newKeptOwnerTest(c)
	k.submit("a", true)
	k.submit("b", true)
	k.submit("c", true)
	k.end("a", job.Completed)
	k.end("b", job.Moved)
	k.owner.recordPersisted([]string{"c"}, true)
	k.age(time.Hour)
	c.Assert(k.owner.kept.inCell, qt.HasLen, 0)
	c.Assert(k.owner.kept.cancelled, qt.HasLen, 0)
	c.Assert(k.owner.ended, qt.HasLen, 0)
	c.Assert(k.owner.waiters, qt.HasLen, 0)
}
