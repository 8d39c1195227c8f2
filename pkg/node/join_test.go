package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/traffic"
	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
)

const (
	joinResubmit = 300 * time.Millisecond // so that news is told at once
	joinDeadline = 20 * time.Second
	joinID       = "00112233445566ff"
)

// peerNode is a node that only serves and calls peers.
func peerNode(t *testing.T, name, domain string, incarnation byte) *Node {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &settings.Node{
		Name: name, Domain: domain, PeerAddress: listener.Addr().String(), Heartbeat: 20 * time.Millisecond, SuspectAfter: 400 * time.Millisecond,
		Order: settings.DefaultOrder, LongestHold: time.Second, ResubmitAfter: joinResubmit, StopTime: 10 * time.Millisecond,
	}
	n, err := NewNode(common.NewTestCommon(), s, once.Incarnation{incarnation}, &fakeAdapter{store: &fakeStore{}}, traffic.NewMeter())
	c.Assert(err, qt.IsNil)
	n.peers = peer.NewServer(n.Common, listener, n, n, n.counters)
	go n.peers.Serve()
	t.Cleanup(func() { dies(n) })
	return n
}

// dies ends all that a node does for its peers.
func dies(n *Node) {
	n.links.Close()
	n.peers.Close()
}

// link has nodes hold links to each other.
func link(t *testing.T, nodes ...*Node) {
	for _, n := range nodes {
		var addresses []string
		for _, other := range nodes {
			if other != n {
				addresses = append(addresses, other.settings.PeerAddress)
			}
		}
		n.mu.Lock()
		n.members.AddAddresses(addresses, n.Clock.Now())
		n.mu.Unlock()
		n.refreshLinks()
	}
	for _, n := range nodes {
		eventually(qt.New(t), func() bool { return len(n.peersInSight()) >= len(nodes)-1 })
	}
}

// pairOf makes two nodes of a domain that are linked.
func pairOf(t *testing.T) (a, b *Node) {
	a, b = peerNode(t, "a", "z", 1), peerNode(t, "b", "z", 2)
	link(t, a, b)
	return a, b
}

func sending(n *Node) *job.Job {
	now := n.Clock.Now()
	return &job.Job{ID: joinID, Service: "s", Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + joinDeadline}
}

// hold has a node hold a job open, and tell others of it.
func hold(n *Node) *openJob {
	open, _ := n.front.enter(sending(n))
	n.openNews.opened(open.job)
	n.front.markCarried(open)
	n.tellOpenJobs(n.Clock.Now())
	return open
}

func knows(n *Node) bool { return len(n.openNews.find(joinID, n.Clock.Now())) > 0 }

func waiters(n *Node, open *openJob) int {
	n.front.mu.Lock()
	defer n.front.mu.Unlock()
	return open.waiters
}

// submitLater has a caller send the job to a node and returns where its answer comes.
func submitLater(ctx context.Context, n *Node) chan job.Outcome {
	answer := make(chan job.Outcome, 1)
	go func() { answer <- n.Submit(ctx, sending(n)) }()
	return answer
}

var completed = job.Outcome{Kind: job.Completed, Started: true}

func TestAJobThatComesAgainEndsWhereItIsOpen(t *testing.T) {
	type scenario struct {
		testName string
		nodes    func(t *testing.T) (holder, again *Node)
	}
	scenarios := []scenario{
		{testName: "at another front", nodes: pairOf},
		{testName: "at the same front", nodes: func(t *testing.T) (holder, again *Node) {
			a, _ := pairOf(t)
			return a, a
		}},
		{testName: "at a front of another domain that has no link to the first", nodes: func(t *testing.T) (holder, again *Node) {
			a, between, b := peerNode(t, "a", "y", 1), peerNode(t, "between", "z", 2), peerNode(t, "b", "z", 3)
			link(t, a, between)
			link(t, between, b)
			return a, b
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			holder, again := s.nodes(t)
			open := hold(holder)
			eventually(c, func() bool { return holder == again || knows(again) })
			answer := submitLater(context.Background(), again)
			eventually(c, func() bool { return waiters(holder, open) == 2 })
			holder.front.end(open, completed)
			c.Assert(<-answer, qt.DeepEquals, completed)
			c.Assert(again.openJobs(), qt.Equals, 0)
		})
	}
}

// What is told of a wide job is its whole, and so its callers join the whole.
func TestAWideJobThatComesAgainIsJoinedAsAWhole(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
	a.mu.Lock()
	a.claims.SetClaims("far:1", []ownership.Claim{{Cell: "y", Token: 1, Load: load}})
	a.claims.SetClaims("near:1", []ownership.Claim{{Cell: "z", Token: 1, Load: load}})
	a.mu.Unlock()
	wide := sending(a)
	wide.Steps = []job.Step{{Count: 8, Needs: job.Resources{CPU: 100}}}
	first := make(chan job.Outcome, 1)
	go func() { first <- a.Submit(context.Background(), wide) }()
	eventually(c, func() bool { a.tellOpenJobs(a.Clock.Now()); return knows(b) })
	open, isCarried := a.front.joinable(joinID)
	c.Assert(isCarried, qt.IsTrue)
	c.Assert(open.wide, qt.IsTrue)
	a.front.leave(open)
	second := submitLater(context.Background(), b)
	eventually(c, func() bool { return waiters(a, open) == 2 })
	c.Assert(b.Cancel(joinID), qt.IsTrue)
	c.Assert((<-second).Reason, qt.Equals, errCancelled.Error())
	c.Assert((<-first).Reason, qt.Equals, errCancelled.Error(), qt.Commentf("who cancels a job cancels it everywhere"))
}

// The job ends with the last of those that wait, in whatever way they leave.
func TestAJobEndsWhenAllThatWaitHaveLeft(t *testing.T) {
	type scenario struct {
		testName string
		leaves   func(again *Node, leave context.CancelFunc)
	}
	scenarios := []scenario{
		{testName: "the caller leaves", leaves: func(_ *Node, leave context.CancelFunc) { leave() }},
		{testName: "its front dies", leaves: func(again *Node, _ context.CancelFunc) { dies(again) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			open := hold(a)
			eventually(c, func() bool { return knows(b) })
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			submitLater(ctx, b)
			eventually(c, func() bool { return waiters(a, open) == 2 })
			a.front.leave(open)
			c.Assert(open.ctx.Err(), qt.IsNil, qt.Commentf("the other one still waits"))
			s.leaves(b, leave)
			eventually(c, func() bool { return open.ctx.Err() != nil })
			a.front.end(open, abandoned(open.ctx, true))
		})
	}
}

// A front that doesn't hold the job open any more says how it has ended, or for how long
// runs of it may go on.
func TestAJobThatIsNotOpenAnyMore(t *testing.T) {
	lost := job.Outcome{Kind: job.Expired, Reason: "caller_left", Started: true}
	refused := job.Outcome{Kind: job.Refused, Reason: reasonNoOwner, RetryAfter: comeBack}
	type scenario struct {
		testName string
		end      job.Outcome
		want     job.Kind
		waits    bool // for runs that may go on
	}
	scenarios := []scenario{
		{testName: "completed: that is the answer", end: completed, want: job.Completed},
		{testName: "failed: too", end: job.Outcome{Kind: job.Failed, Started: true}, want: job.Failed},
		{testName: "given up: it starts when its runs are over", end: lost, want: job.Expired, waits: true},
		{testName: "refused untouched: it starts at once", end: refused, want: job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			open := hold(a)
			eventually(c, func() bool { return knows(b) })
			a.front.end(open, s.end)
			ended := time.Now()
			b.openNews.backAt = -time.Hour
			handedOn := startOf(b)
			answer := submitLater(context.Background(), b)
			if s.want == job.Expired {
				<-handedOn
				c.Assert(time.Since(ended) > a.settleTime()*9/10, qt.Equals, s.waits, qt.Commentf("after %s", time.Since(ended)))
				b.Cancel(joinID)
			}
			outcome := <-answer
			c.Assert(outcome.Kind, qt.Equals, s.want)
			c.Assert(outcome.Started, qt.IsTrue)
		})
	}
}

// startOf returns a channel that is closed once a node follows the job itself.
func startOf(n *Node) chan struct{} {
	started := make(chan struct{})
	go func() {
		defer close(started)
		for end := time.Now().Add(joinDeadline); time.Now().Before(end); time.Sleep(time.Millisecond) {
			n.front.mu.Lock()
			open := n.front.open[joinID]
			isCarried := open != nil && open.isCarried
			n.front.mu.Unlock()
			if isCarried {
				return
			}
		}
	}()
	return started
}

// A front that dies while another one waits for it has vouched until then. One of its
// domain goes on when the leases are over; for a host of another domain it may live on.
func TestAFrontThatDiesWhileAnotherWaits(t *testing.T) {
	type scenario struct {
		testName string
		domain   string
		goesOn   bool
	}
	scenarios := []scenario{
		{testName: "of the same domain", domain: "z", goesOn: true},
		{testName: "of another one, of which nobody is in sight", domain: "y"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b, mate := peerNode(t, "a", s.domain, 1), peerNode(t, "b", "z", 2), peerNode(t, "mate", "z", 3)
			link(t, a, b, mate)
			open := hold(a)
			eventually(c, func() bool { return knows(b) })
			handedOn := startOf(b)
			answer := submitLater(context.Background(), b)
			eventually(c, func() bool { return waiters(a, open) == 2 })
			died := time.Now()
			dies(a)
			select {
			case <-handedOn:
				c.Assert(s.goesOn, qt.IsTrue)
				c.Assert(time.Since(died) > a.settleTime()*9/10, qt.IsTrue)
			case <-time.After(3 * time.Second):
				c.Assert(s.goesOn, qt.IsFalse)
			}
			b.Cancel(joinID)
			c.Assert((<-answer).Started, qt.IsTrue)
		})
	}
}

// What the front of a stopping node gives up others go on with.
func TestAStoppingFrontHandsItsWaitersOn(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	open := hold(a)
	eventually(c, func() bool { return knows(b) })
	handedOn := startOf(b)
	answer := submitLater(context.Background(), b)
	eventually(c, func() bool { return waiters(a, open) == 2 })
	a.front.giveUpOpen()
	a.front.end(open, abandoned(open.ctx, true))
	<-handedOn
	b.Cancel(joinID)
	c.Assert((<-answer).Reason, qt.Equals, errCancelled.Error())
}

// A host that comes back, or that is new, is told of what is open.
func TestAHostThatMayNotHaveHeardIsToldAgain(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	hold(a)
	eventually(c, func() bool { return knows(b) })
	late := peerNode(t, "late", "z", 3)
	link(t, a, late)
	eventually(c, func() bool { return knows(late) })
}

// A caller that gives up and sends the job again to the same front, which stood still
// meanwhile, may come there before its leaving does, or after.
func TestAJobThatComesTwiceToAFrontThatStoodStill(t *testing.T) {
	type scenario struct {
		testName   string
		leftBefore bool
	}
	scenarios := []scenario{
		{testName: "the second sending is read first: it joins"},
		{testName: "the leaving is read first: it starts anew after the former has ended", leftBefore: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.claims.SetClaims("far:1", []ownership.Claim{{Cell: "y", Token: 1, Load: ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}}})
			ctx, leave := context.WithCancel(context.Background())
			first := submitLater(ctx, n)
			eventually(c, func() bool { return n.openJobs() == 1 })
			n.front.mu.Lock()
			former := n.front.open[joinID]
			n.front.mu.Unlock()
			if s.leftBefore {
				leave()
				c.Assert((<-first).Reason, qt.Equals, errLeft.Error())
			}
			second := submitLater(context.Background(), n)
			eventually(c, func() bool {
				open, isCarried := n.front.joinable(joinID)
				if isCarried { // else this look doesn't count among those that wait
					n.front.leave(open)
				}
				return open != nil && (s.leftBefore || waiters(n, open) == 2)
			})
			leave()
			time.Sleep(50 * time.Millisecond)
			c.Assert(second, qt.HasLen, 0, qt.Commentf("it still waits"))
			c.Assert(former.ctx.Err() != nil, qt.Equals, s.leftBefore)
			c.Assert(n.Cancel(joinID), qt.IsTrue)
			c.Assert((<-second).Reason, qt.Equals, errCancelled.Error())
		})
	}
}

// A former sending that was given up a moment ago stays with its owner, who knows which
// of its runs are being stopped.
func TestHowAJobBeginsAfterAFormerSending(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	former := newOpenJob(sending(n))
	c.Assert(n.front.afterFormer(context.Background(), former), qt.CmpEquals(cmp.AllowUnexported(attempt{})), attempt{epoch: 1}, qt.Commentf("it hasn't been anywhere"))
	former.started, former.cell, former.epoch = true, "y", 2
	state := n.front.afterFormer(context.Background(), former)
	c.Assert(state.epoch, qt.Equals, 3)
	c.Assert(state.started, qt.IsTrue)
	c.Assert(state.lostCell, qt.Equals, "y")
	c.Assert(state.settleAt >= n.settleTime(), qt.IsTrue)
}

// Answers to a front that asks, where the job can't be joined.
func TestWhatAFrontThatAsksIsTold(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.Clock = &common.ManualClock{At: 500 * time.Millisecond}
	ask := func(front string, process []byte) *peerpb.Message {
		return n.answerJoin(context.Background(), &peerpb.Join{Id: joinID, Front: front, Process: process, Asker: "asker:1"})
	}
	unknown := ask(n.settings.PeerAddress, n.inc[:]).GetOutcome()
	c.Assert(unknown.Reason, qt.Equals, reasonNotOpen)
	c.Assert(unknown.RetryAfterUs, qt.Equals, int64(0))
	former := ask(n.settings.PeerAddress, []byte("former")).GetOutcome()
	c.Assert(former.Reason, qt.Equals, reasonNotOpen)
	c.Assert(microseconds(former.RetryAfterUs), qt.Equals, n.settleTime()-500*time.Millisecond, qt.Commentf("that process had ended when this one started"))
	c.Assert(ask("far:1", nil).GetFailure(), qt.IsNotNil, qt.Commentf("nothing is known of it"))
	searching, _ := n.front.enter(sending(n))
	c.Assert(ask(n.settings.PeerAddress, n.inc[:]).GetOutcome().Reason, qt.Equals, reasonBusy)
	n.front.markCarried(searching)
	searching.cancel(errLeft)
	c.Assert(ask(n.settings.PeerAddress, n.inc[:]).GetOutcome().Reason, qt.Equals, reasonNotOpen, qt.Commentf("it ends"))
}

// A front that was cut off waits until it has heard the others before it hands a job on,
// and has it end where it has come again.
func TestAFrontThatWasOutOfSightJoinsTheJobThatCameAgain(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	open := hold(b)
	eventually(c, func() bool { return knows(a) })
	a.openNews.back(a.Clock.Now())
	began := time.Now()
	j := sending(a)
	answer := make(chan job.Outcome, 1)
	go func() {
		outcome, ended := a.front.rejoin(context.Background(), j)
		c.Check(ended, qt.IsTrue)
		answer <- outcome
	}()
	eventually(c, func() bool { return waiters(b, open) == 2 })
	c.Assert(time.Since(began) > openjobs.ResyncDelay*9/10, qt.IsTrue)
	b.front.end(open, completed)
	c.Assert(<-answer, qt.DeepEquals, completed)
}
