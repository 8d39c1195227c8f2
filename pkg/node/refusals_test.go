package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

// A refusal states that no task of the job has run or will run. A host that knows of an
// earlier submission of which tasks may have started must not return one, whichever owner
// or front refuses the current submission.

var (
	refusedUnstarted = job.Outcome{Kind: job.Refused, Reason: "overloaded", RetryAfter: refusalRetryAfter}
	leftUnstarted    = job.Outcome{Kind: job.Expired, Reason: "caller_left"}
	mayHaveRun       = job.Outcome{Kind: job.Expired, Reason: "caller_left", Started: true}
)

func TestAnotherFrontsRefusalOfAJobThatMayHaveRunHere(t *testing.T) {
	scenarios := []struct {
		testName string
		earlier  func(a *Node) // submission at the host that asks
		want     job.Kind
	}{
		{"not submitted here", func(*Node) {}, job.Refused},
		{"refused here, nothing started", func(a *Node) { a.front.end(openAndAnnounce(a), refusedUnstarted) }, job.Refused},
		{"abandoned here, may have run", func(a *Node) { a.front.end(openAndAnnounce(a), mayHaveRun) }, job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			s.earlier(a)
			open := openAndAnnounce(b)
			eventually(c, func() bool { return knowsOpenJob(a) })
			answer := submitLater(context.Background(), a)
			eventually(c, func() bool { return waiters(b, open) == 2 })
			b.front.end(open, refusedUnstarted)
			c.Assert((<-answer).Kind, qt.Equals, s.want)
		})
	}
}

// An owner returns a job that may have run. Meanwhile the job was submitted again to
// another front, which refuses it.
func TestAnotherFrontsRefusalOfAReturnedJob(t *testing.T) {
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
			o := makeOwner(a, "z")
			answer := make(chan job.Outcome, 1)
			go func() {
				answer <- a.front.follow(context.Background(), submission(a), attempt{epoch: s.epoch})
			}()
			eventually(c, func() bool { return o.has(joinID) })
			open := openAndAnnounce(b)
			eventually(c, func() bool { return knowsOpenJob(a) })
			o.release("test")
			eventually(c, func() bool { return waiters(b, open) == 2 })
			b.front.end(open, refusedUnstarted)
			c.Assert((<-answer).Started, qt.Equals, s.started)
		})
	}
}

// A job that is resubmitted after its earlier runs have ended is dispatched again, and its
// owner may refuse it. Its caller must not get a refusal if a task may have run before.
func TestAResubmittedJobIsNotRefusedIfItMayHaveRun(t *testing.T) {
	scenarios := []struct {
		testName string
		hold     func(n *Node) *openJob
		earlier  job.Outcome
		want     job.Kind
	}{
		{"refused, nothing started", openAndAnnounce, refusedUnstarted, job.Refused},
		{"may have run", openAndAnnounce, mayHaveRun, job.Expired},
		{"may have run, not announced to peers", openUnannounced, mayHaveRun, job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a := peerNode(t, "a", "z", 1)
			o := makeOwner(a, "z")
			go func() {
				for o.tick(); t.Context().Err() == nil; o.tick() {
					time.Sleep(10 * time.Millisecond)
				}
			}()
			a.front.end(s.hold(a), s.earlier)
			time.Sleep(a.settleTime())
			again := submission(a)
			again.Steps[0].Estimate = time.Second
			again.Deadline = again.Received + 100*time.Millisecond // too short, so that its owner refuses it
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
		{"not submitted here", func(*qt.C, *Node, *Node) {}, job.Refused},
		{"refused here, nothing started", func(_ *qt.C, a, _ *Node) { a.front.end(openAndAnnounce(a), refusedUnstarted) }, job.Refused},
		{"abandoned here, may have run", func(_ *qt.C, a, _ *Node) { a.front.end(openAndAnnounce(a), mayHaveRun) }, job.Expired},
		{"abandoned here before it was announced, may have run", func(_ *qt.C, a, _ *Node) { a.front.end(openUnannounced(a), mayHaveRun) }, job.Expired},
		{"abandoned here before it was announced, nothing started", func(_ *qt.C, a, _ *Node) { a.front.end(openUnannounced(a), leftUnstarted) }, job.Refused},
		{"refused here before it was announced, nothing started", func(_ *qt.C, a, _ *Node) { a.front.end(openUnannounced(a), refusedUnstarted) }, job.Refused},
		{"has ended here", func(_ *qt.C, a, _ *Node) { a.front.end(openAndAnnounce(a), completed) }, job.Completed},
		{"open elsewhere", func(c *qt.C, a, b *Node) {
			openAndAnnounce(b)
			eventually(c, func() bool { return knowsOpenJob(a) })
		}, job.Expired},
		{"open here", func(c *qt.C, a, _ *Node) {
			open := openAndAnnounce(a)
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
			c.Assert(a.Submit(context.Background(), submission(a)).Kind, qt.Equals, s.want)
		})
	}
}

// A stopping host abandons its open jobs. A job that is submitted again at that time must
// end with the earlier submission: dispatched again, it would outlive this host.
func TestAStoppingFrontDoesNotRestartAJob(t *testing.T) {
	scenarios := []struct {
		testName string
		started  bool // the earlier submission, which is being abandoned
		want     job.Kind
	}{
		{"was queued", false, job.Refused},
		{"may have run", true, job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, _ := pairOf(t)
			o := makeOwner(a, "z")
			open := openAndAnnounce(a)
			a.front.stopsAt.Store(int64(a.Clock.Now()))
			a.front.abandonOpenJobs()
			answer := submitLater(context.Background(), a)
			eventually(c, func() bool { return waiters(a, open) == 2 })
			a.front.end(open, abandoned(open.ctx, s.started))
			c.Assert((<-answer).Kind, qt.Equals, s.want)
			c.Assert(o.busy(), qt.IsFalse)
		})
	}
}

// openUnannounced makes a node hold a job open that is too recent to be announced to peers.
func openUnannounced(n *Node) *openJob {
	open, _ := n.front.enter(submission(n))
	n.openJobTable.add(open.job)
	n.front.markFollowed(open)
	return open
}

// makeOwner makes a node the owner of a cell.
func makeOwner(n *Node, cellName string) *owner {
	o := newOwner(n, cellName, 1, n.Clock.Now())
	load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[cellName] = o
	n.claims.SetClaims(n.settings.PeerAddress, []ownership.Claim{{Cell: cellName, Token: 1, Owner: n.settings.PeerAddress, Load: load}})
	return o
}
