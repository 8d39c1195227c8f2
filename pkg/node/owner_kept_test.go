package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// keptOwnerTest is an owner without executors and what its waiters are told.
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
	w := waiter{front: "keeper:1", reply: func(outcome job.Outcome) { k.outcomes = append(k.outcomes, outcome) }}
	k.owner.submit(cell.Handover{Job: j, Epoch: 1, RenewedAt: now}, w)
}

// end ends a job at its owner as the cell does.
func (k *keptOwnerTest) end(id string, kind job.Kind) {
	o := k.owner
	o.mu.Lock()
	o.state.Withdraw(id, "test", o.node.Clock.Now())
	replies := o.settle([]cell.Finished{{ID: id, Outcome: job.Outcome{Kind: kind}}}, o.node.Clock.Now())
	o.mu.Unlock()
	for _, answer := range replies {
		answer()
	}
}

// pass has what the owner remembers get older.
func (k *keptOwnerTest) pass(d time.Duration) {
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

func TestAKeptJobGoesOnWithoutItsKeeper(t *testing.T) {
	type scenario struct {
		testName string
		kept     bool
		reason   string
		answers  int
	}
	scenarios := []scenario{
		{testName: "its keeper is gone", kept: true, reason: reasonFrontGone},
		{testName: "its keeper is silent", kept: true, reason: reasonFrontSilent, answers: 1},
		{testName: "a job that isn't kept", reason: reasonFrontGone},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			k.submit("a", s.kept)
			k.owner.frontGone("keeper:1", s.reason)
			c.Assert(k.outcomes, qt.HasLen, s.answers)
			c.Assert(k.owner.busy(), qt.Equals, s.kept)
			c.Assert(k.owner.fronts(), qt.HasLen, 0)
			k.end("a", job.Completed)
			k.submit("a", s.kept)
			c.Assert(k.outcomes, qt.HasLen, s.answers+1, qt.Commentf("the next keeper gets the outcome"))
			c.Assert(k.outcomes[s.answers].Kind, qt.Equals, job.Completed)
		})
	}
}

func TestHowLongTheOutcomeOfAJobStays(t *testing.T) {
	type scenario struct {
		testName string
		kept     bool
		noted    bool
		after    time.Duration
		stays    bool
	}
	const moment = 100 * time.Millisecond
	scenarios := []scenario{
		{testName: "a job that isn't kept", after: keepOutcomes - moment, stays: true},
		{testName: "a job that isn't kept, later", after: keepOutcomes + moment},
		{testName: "a kept one whose end may not last", kept: true, after: keepUnnoted - moment, stays: true},
		{testName: "a kept one of which no keeper has said a word", kept: true, after: keepUnnoted + moment},
		{testName: "a kept one whose end lasts", kept: true, noted: true, after: keepOutcomes - moment, stays: true},
		{testName: "a kept one whose end lasts, later", kept: true, noted: true, after: keepOutcomes + moment},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			k.submit("a", s.kept)
			k.end("a", job.Failed)
			c.Assert(k.outcomes, qt.HasLen, 1)
			if s.noted {
				k.owner.noted([]string{"a", "unknown"}, false)
			}
			k.pass(s.after)
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
		{testName: "is here", before: func(k *keptOwnerTest) { k.submit("a", true) }, waiters: 1},
		{testName: "has two keepers", before: func(k *keptOwnerTest) { k.submit("a", true); k.submit("a", true) }, waiters: 2},
		{testName: "comes later", before: func(*keptOwnerTest) {}},
		{testName: "has ended", before: func(k *keptOwnerTest) {
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
			k.owner.noted([]string{"a"}, true)
			c.Assert(k.outcomes, qt.HasLen, s.waiters)
			c.Assert(k.owner.state.Waiting()[""], qt.Equals, 0, qt.Commentf("it isn't in the cell"))
			k.submit("a", true)
			c.Assert(k.outcomes, qt.HasLen, s.waiters+1)
			for _, outcome := range k.outcomes {
				c.Assert(outcome.Kind, qt.Equals, job.Moved)
				c.Assert(outcome.Reason, qt.Equals, reasonKeptCancelled)
			}
			k.pass(keepCancelled)
			k.submit("a", true)
			c.Assert(k.outcomes, qt.HasLen, s.waiters+1, qt.Commentf("it is taken again"))
		})
	}
}

// What an owner remembers of kept jobs goes with them.
func TestAnOwnerForgetsKeptJobs(t *testing.T) {
	c := qt.New(t)
	k := newKeptOwnerTest(c)
	k.submit("a", true)
	k.submit("b", true)
	k.submit("c", true)
	k.end("a", job.Completed)
	k.end("b", job.Moved)
	k.owner.noted([]string{"c"}, true)
	k.pass(time.Hour)
	c.Assert(k.owner.kept.here, qt.HasLen, 0)
	c.Assert(k.owner.kept.cancelled, qt.HasLen, 0)
	c.Assert(k.owner.ended, qt.HasLen, 0)
	c.Assert(k.owner.waiters, qt.HasLen, 0)
}
