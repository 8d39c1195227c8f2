package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

// A refusal says that nothing of the job has run and nothing will. A host that knows of
// an earlier sending of which tasks may have started doesn't say so, whoever refuses
// the one at hand.

var (
	refusedUntouched = job.Outcome{Kind: job.Refused, Reason: "overloaded", RetryAfter: comeBack}
	leftUntouched    = job.Outcome{Kind: job.Expired, Reason: "caller_left"}
	mayHaveRun       = job.Outcome{Kind: job.Expired, Reason: "caller_left", Started: true}
)

func TestAnotherFrontsRefusalOfAJobThatMayHaveRunHere(t *testing.T) {
	scenarios := []struct {
		testName string
		earlier  func(a *Node) // sending at the host that asks
		want     job.Kind
	}{
		{"it hasn't been here", func(*Node) {}, job.Refused},
		{"it was refused untouched here", func(a *Node) { a.front.end(hold(a), refusedUntouched) }, job.Refused},
		{"it was given up here", func(a *Node) { a.front.end(hold(a), mayHaveRun) }, job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			s.earlier(a)
			open := hold(b)
			eventually(c, func() bool { return knows(a) })
			answer := submitLater(context.Background(), a)
			eventually(c, func() bool { return waiters(b, open) == 2 })
			b.front.end(open, refusedUntouched)
			c.Assert((<-answer).Kind, qt.Equals, s.want)
		})
	}
}

// An owner gives a job back of which something may have run. Meanwhile it has come again
// to another front, which refuses it.
func TestAnotherFrontsRefusalOfAJobThatCameBack(t *testing.T) {
	scenarios := []struct {
		testName string
		epoch    int // above 1, a task may have started at an earlier owner
		started  bool
	}{
		{"nothing has run", 1, false},
		{"something may have run", 2, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			o := owns(a, "z")
			open := hold(b)
			eventually(c, func() bool { return knows(a) })
			answer := make(chan job.Outcome, 1)
			go func() {
				answer <- a.front.follow(context.Background(), sending(a), attempt{epoch: s.epoch})
			}()
			eventually(c, func() bool { return o.busy() })
			o.release("test")
			eventually(c, func() bool { return waiters(b, open) == 2 })
			b.front.end(open, refusedUntouched)
			c.Assert((<-answer).Started, qt.Equals, s.started)
		})
	}
}

// A job that comes again after its runs are over starts anew, and may be refused then.
func TestAJobThatStartsAnewIsNotRefusedAsUntouched(t *testing.T) {
	scenarios := []struct {
		testName string
		hold     func(n *Node) *openJob
		earlier  job.Outcome
		want     job.Kind
	}{
		{"it was refused untouched", hold, refusedUntouched, job.Refused},
		{"it may have run", hold, mayHaveRun, job.Expired},
		{"it may have run, and others weren't told", holdUntold, mayHaveRun, job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a := peerNode(t, "a", "z", 1)
			o := owns(a, "z")
			go func() {
				for o.tick(); t.Context().Err() == nil; o.tick() {
					time.Sleep(10 * time.Millisecond)
				}
			}()
			a.front.end(s.hold(a), s.earlier)
			time.Sleep(a.settleTime())
			again := sending(a)
			again.Steps[0].Estimate = time.Second
			again.Deadline = again.Received + 100*time.Millisecond // its owner refuses it
			c.Assert(a.Submit(context.Background(), again).Kind, qt.Equals, s.want)
		})
	}
}

func TestAStoppingFrontsRefusal(t *testing.T) {
	scenarios := []struct {
		testName string
		earlier  func(c *qt.C, a, b *Node)
		want     job.Kind
	}{
		{"it hasn't been here", func(*qt.C, *Node, *Node) {}, job.Refused},
		{"it was refused untouched here", func(_ *qt.C, a, _ *Node) { a.front.end(hold(a), refusedUntouched) }, job.Refused},
		{"it was given up here", func(_ *qt.C, a, _ *Node) { a.front.end(hold(a), mayHaveRun) }, job.Expired},
		{"it was given up here before others were told", func(_ *qt.C, a, _ *Node) { a.front.end(holdUntold(a), mayHaveRun) }, job.Expired},
		{"it was given up here before it began and others were told", func(_ *qt.C, a, _ *Node) { a.front.end(holdUntold(a), leftUntouched) }, job.Refused},
		{"it was refused untouched here before others were told", func(_ *qt.C, a, _ *Node) { a.front.end(holdUntold(a), refusedUntouched) }, job.Refused},
		{"it has ended here", func(_ *qt.C, a, _ *Node) { a.front.end(hold(a), completed) }, job.Completed},
		{"it is open elsewhere", func(c *qt.C, a, b *Node) {
			hold(b)
			eventually(c, func() bool { return knows(a) })
		}, job.Expired},
		{"it is open here", func(c *qt.C, a, _ *Node) {
			open := hold(a)
			go func() {
				for waiters(a, open) < 2 {
					time.Sleep(time.Millisecond)
				}
				a.front.end(open, completed)
			}()
		}, job.Completed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			s.earlier(c, a, b)
			a.front.stopsAt.Store(int64(a.Clock.Now()))
			c.Assert(a.Submit(context.Background(), sending(a)).Kind, qt.Equals, s.want)
		})
	}
}

// A stopping host gives its open jobs up. One that comes again just then ends as the earlier
// sending does: begun anew, it would be with an owner when this host is gone.
func TestAStoppingFrontBeginsNoJobAnew(t *testing.T) {
	scenarios := []struct {
		testName string
		started  bool // the earlier sending, which is being given up
		want     job.Kind
	}{
		{"it waited", false, job.Refused},
		{"it may have run", true, job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, _ := pairOf(t)
			o := owns(a, "z")
			open := hold(a)
			a.front.stopsAt.Store(int64(a.Clock.Now()))
			a.front.giveUpOpen()
			answer := submitLater(context.Background(), a)
			eventually(c, func() bool { return waiters(a, open) == 2 })
			a.front.end(open, abandoned(open.ctx, s.started))
			c.Assert((<-answer).Kind, qt.Equals, s.want)
			c.Assert(o.busy(), qt.IsFalse)
		})
	}
}

// holdUntold has a node hold a job open that is too young to tell others of it.
func holdUntold(n *Node) *openJob {
	open, _ := n.front.enter(sending(n))
	n.openNews.opened(open.job)
	n.front.markCarried(open)
	return open
}

// owns has a node own a cell.
func owns(n *Node, cellName string) *owner {
	o := newOwner(n, cellName, 1, n.Clock.Now())
	load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[cellName] = o
	n.claims.SetClaims(n.settings.PeerAddress, []ownership.Claim{{Cell: cellName, Token: 1, Owner: n.settings.PeerAddress, Load: load}})
	return o
}
