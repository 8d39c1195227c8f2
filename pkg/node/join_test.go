package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
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
	joinResubmit = 300 * time.Millisecond // short, so that open jobs are announced at once
	joinDeadline = 20 * time.Second
	joinID       = "00112233445566ff"
)

// peerNode starts a node that only serves and calls peers.
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
	t.Cleanup(func() { closeNode(n) })
	return n
}

// closeNode closes a node's links and its peer server.
func closeNode(n *Node) {
	n.links.Close()
	n.peers.Close()
}

// linkAll links nodes with each other, and waits until all links are up.
func linkAll(t *testing.T, nodes ...*Node) {
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
		eventually(qt.New(t), func() bool { return len(n.reachablePeers()) >= len(nodes)-1 })
		n.mu.Lock()
		n.reachesOthersSince = -time.Hour // announcements have arrived
		n.mu.Unlock()
	}
}

// pairOf starts two linked nodes of one domain.
func pairOf(t *testing.T) (a, b *Node) {
	a, b = peerNode(t, "a", "z", 1), peerNode(t, "b", "z", 2)
	linkAll(t, a, b)
	return a, b
}

func submission(n *Node) *job.Job {
	now := n.Clock.Now()
	return &job.Job{ID: joinID, Service: "s", Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + joinDeadline}
}

// openAndAnnounce opens a job at a node and announces it.
func openAndAnnounce(n *Node) *openJob { return openAndAnnounceFor(n, joinDeadline) }

// openAndAnnounceFor is openAndAnnounce of a job with another deadline.
func openAndAnnounceFor(n *Node, deadline time.Duration) *openJob {
	j := submission(n)
	j.Deadline = j.Received + deadline
	open, _ := n.front.enter(j)
	n.openJobTable.add(open.job)
	n.front.markFollowed(open)
	n.announceOpenJobs(n.Clock.Now())
	return open
}

func knowsOpenJob(n *Node) bool { return len(n.openJobTable.find(joinID, n.Clock.Now())) > 0 }

func waiters(n *Node, open *openJob) int {
	n.front.mu.Lock()
	defer n.front.mu.Unlock()
	return open.waiters
}

// submitLater submits the job to a node in the background and returns a channel for its outcome.
func submitLater(ctx context.Context, n *Node) chan job.Outcome {
	answer := make(chan job.Outcome, 1)
	go func() { answer <- n.Submit(ctx, submission(n)) }()
	return answer
}

var completed = job.Outcome{Kind: job.Completed, Started: true}

func TestAResubmittedJobJoinsTheOpenJob(t *testing.T) {
	type scenario struct {
		testName string
		nodes    func(t *testing.T) (holder, resubmittedTo *Node)
	}
	scenarios := []scenario{
		{testName: "at another front", nodes: pairOf},
		{testName: "at the same front", nodes: func(t *testing.T) (holder, resubmittedTo *Node) {
			a, _ := pairOf(t)
			return a, a
		}},
		{testName: "at a front of another domain that has no link to the first", nodes: func(t *testing.T) (holder, resubmittedTo *Node) {
			a, between, b := peerNode(t, "a", "y", 1), peerNode(t, "between", "z", 2), peerNode(t, "b", "z", 3)
			linkAll(t, a, between)
			linkAll(t, between, b)
			return a, b
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			holder, resubmittedTo := s.nodes(t)
			open := openAndAnnounce(holder)
			eventually(c, func() bool { return holder == resubmittedTo || knowsOpenJob(resubmittedTo) })
			answer := submitLater(context.Background(), resubmittedTo)
			eventually(c, func() bool { return waiters(holder, open) == 2 })
			holder.front.end(open, completed)
			c.Assert(<-answer, qt.DeepEquals, completed)
			c.Assert(resubmittedTo.openJobs(), qt.Equals, 0)
		})
	}
}

// A split job is announced as its parent job, so a resubmission joins the parent job.
func TestAResubmittedSplitJobJoinsTheParentJob(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
	a.mu.Lock()
	a.claims.SetClaims("far:1", []ownership.Claim{{Cell: "y", Token: 1, Load: load}})
	a.claims.SetClaims("near:1", []ownership.Claim{{Cell: "z", Token: 1, Load: load}})
	a.mu.Unlock()
	splitJob := submission(a)
	splitJob.Steps = []job.Step{{Count: 8, Needs: job.Resources{CPU: 100}}}
	first := make(chan job.Outcome, 1)
	go func() { first <- a.Submit(context.Background(), splitJob) }()
	eventually(c, func() bool { a.announceOpenJobs(a.Clock.Now()); return knowsOpenJob(b) })
	open, isFollowed := a.front.joinable(context.Background(), joinID)
	c.Assert(isFollowed, qt.IsTrue)
	c.Assert(open.isSplit, qt.IsTrue)
	a.front.leave(open)
	second := submitLater(context.Background(), b)
	eventually(c, func() bool { return waiters(a, open) == 2 })
	c.Assert(b.Cancel(joinID), qt.IsTrue)
	c.Assert((<-second).Reason, qt.Equals, errCancelled.Error())
	c.Assert((<-first).Reason, qt.Equals, errCancelled.Error(), qt.Commentf("a cancellation applies to all submissions of the job"))
}

// A job is abandoned when its last waiter has left, in whatever way it leaves.
func TestAJobIsAbandonedWhenTheLastWaiterLeaves(t *testing.T) {
	type scenario struct {
		testName string
		leaves   func(joined *Node, leave context.CancelFunc)
	}
	scenarios := []scenario{
		{testName: "the caller leaves", leaves: func(_ *Node, leave context.CancelFunc) { leave() }},
		{testName: "its front dies", leaves: func(joined *Node, _ context.CancelFunc) { closeNode(joined) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			open := openAndAnnounce(a)
			eventually(c, func() bool { return knowsOpenJob(b) })
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			submitLater(ctx, b)
			eventually(c, func() bool { return waiters(a, open) == 2 })
			a.front.leave(open)
			c.Assert(open.ctx.Err(), qt.IsNil, qt.Commentf("the other front still waits"))
			s.leaves(b, leave)
			eventually(c, func() bool { return open.ctx.Err() != nil })
			a.front.end(open, abandoned(open.ctx, true))
		})
	}
}

// Guards against a second start of a job while runs of it are alive: a front where the job has
// ended replies with its outcome, or with the time after which no run of it is alive.
func TestAResubmittedJobThatIsNoLongerOpen(t *testing.T) {
	lost := job.Outcome{Kind: job.Expired, Reason: "caller_left", Started: true}
	refused := job.Outcome{Kind: job.Refused, Reason: reasonNoOwner, RetryAfter: refusalRetryAfter}
	type scenario struct {
		testName string
		end      job.Outcome
		want     job.Kind
		waits    bool // until no run of it can be alive
		replays  bool // its outcome is the answer, though it says that the job may have run in part
	}
	crashed := job.Outcome{Kind: job.Expired, Reason: cell.ReasonCrashes, Started: true}
	scenarios := []scenario{
		{testName: "executors crashed under it: its outcome is the answer", end: crashed, want: job.Expired, replays: true},
		{testName: "completed: its outcome is the answer", end: completed, want: job.Completed},
		{testName: "failed: its outcome is the answer", end: job.Outcome{Kind: job.Failed, Started: true}, want: job.Failed},
		{testName: "abandoned: it starts when its runs have ended", end: lost, want: job.Expired, waits: true},
		{testName: "refused untouched: it starts at once", end: refused, want: job.Expired},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			open := openAndAnnounce(a)
			eventually(c, func() bool { return knowsOpenJob(b) })
			a.front.end(open, s.end)
			ended := time.Now()
			b.openJobTable.resumedAt = -time.Hour
			followed := awaitFollowed(b)
			answer := submitLater(context.Background(), b)
			if s.want == job.Expired && !s.replays {
				<-followed
				c.Assert(time.Since(ended) > a.settleTime()*9/10, qt.Equals, s.waits, qt.Commentf("after %s", time.Since(ended)))
				b.Cancel(joinID)
			}
			outcome := <-answer
			c.Assert(outcome.Kind, qt.Equals, s.want)
			c.Assert(outcome.Started, qt.IsTrue)
			if s.replays {
				c.Assert(outcome.Reason, qt.Equals, s.end.Reason)
			}
		})
	}
}

// awaitFollowed returns a channel that is closed once a node follows the job itself, or after
// joinDeadline.
func awaitFollowed(n *Node) chan struct{} {
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		for end := time.Now().Add(joinDeadline); time.Now().Before(end); time.Sleep(time.Millisecond) {
			n.front.mu.Lock()
			open := n.front.open[joinID]
			isFollowed := open != nil && open.isFollowed
			n.front.mu.Unlock()
			if isFollowed {
				return
			}
		}
	}()
	return followed
}

// Guards against a second start of a job whose front has lost its links, but goes on renewing it: a
// front that can't reach it starts the job only when the announced time is over. Hosts of its own
// domain can't tell either whether a front is dead.
func TestAFrontThatIsLostWhileAnotherWaits(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	type scenario struct {
		testName string
		domain   string
	}
	scenarios := []scenario{
		{testName: "of the same domain", domain: "z"},
		{testName: "of another domain, of which no host is reachable", domain: "y"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b, third := peerNode(t, "a", s.domain, 1), peerNode(t, "b", "z", 2), peerNode(t, "third", "z", 3)
			linkAll(t, a, b, third)
			received := time.Now()
			open := openAndAnnounceFor(a, deadline)
			eventually(c, func() bool { return knowsOpenJob(b) })
			followed := awaitFollowed(b)
			answer := submitLater(context.Background(), b)
			eventually(c, func() bool { return waiters(a, open) == 2 })
			closeNode(a)
			<-followed
			c.Assert(time.Since(received) >= deadline+a.settleTime(), qt.IsTrue, qt.Commentf("after %s", time.Since(received)))
			b.Cancel(joinID)
			c.Assert((<-answer).Started, qt.IsTrue)
		})
	}
}

// A job that a front abandons for reasons of its own is continued by the front that joined it, once
// its runs have ended.
func TestWaitersContinueAJobThatItsFrontAbandons(t *testing.T) {
	type scenario struct {
		testName   string
		notStarted bool
		abandon    func(a *Node, open *openJob)
	}
	scenarios := []scenario{
		{testName: "a domain has not confirmed the job, of which nothing has run", notStarted: true, abandon: func(*Node, *openJob) {}},
		{testName: "it stops", abandon: func(a *Node, _ *openJob) { a.front.abandonOpenJobs() }},
		{testName: "a domain has not confirmed the job", abandon: func(_ *Node, open *openJob) { open.cancel(errUnconfirmed) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, b := pairOf(t)
			open := openAndAnnounce(a)
			eventually(c, func() bool { return knowsOpenJob(b) })
			b.openJobTable.resumedAt = -time.Hour
			followed := awaitFollowed(b)
			answer := submitLater(context.Background(), b)
			eventually(c, func() bool { return waiters(a, open) == 2 })
			confirmAll(b) // the job, as its announcement would have been by now
			s.abandon(a, open)
			ended := time.Now()
			outcome := abandoned(open.ctx, true)
			if s.notStarted {
				outcome = job.Outcome{Kind: job.Refused, Reason: errUnconfirmed.Error()}
			}
			a.front.end(open, outcome)
			select {
			case <-followed:
			case outcome := <-answer:
				c.Fatalf("the caller got %v", outcome)
			}
			c.Assert(time.Since(ended) > a.settleTime()*9/10, qt.Equals, !s.notStarted, qt.Commentf("after %s", time.Since(ended)))
			b.Cancel(joinID)
			c.Assert((<-answer).Reason, qt.Equals, errCancelled.Error())
		})
	}
}

// Guards against a second start at a host that missed the first announcement of an open job.
func TestANewHostReceivesAnnouncementsOfOpenJobs(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	openAndAnnounce(a)
	eventually(c, func() bool { return knowsOpenJob(b) })
	newcomer := peerNode(t, "late", "z", 3)
	linkAll(t, a, newcomer)
	eventually(c, func() bool { return knowsOpenJob(newcomer) })
}

// A caller that leaves and resubmits the job to the same front, which was paused meanwhile: the
// front may read the resubmission before the closing of the first connection, or after it.
func TestAResubmissionToAPausedFront(t *testing.T) {
	type scenario struct {
		testName   string
		leftBefore bool
	}
	scenarios := []scenario{
		{testName: "the resubmission is read first: it joins"},
		{testName: "the closing is read first: it starts again after the first has ended", leftBefore: true},
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
				open, isFollowed := n.front.joinable(context.Background(), joinID)
				if isFollowed { // joinable has added a waiter
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

// A job whose earlier submission was just abandoned goes to the same cell, whose owner knows
// the runs that are being stopped.
func TestAttemptAfterAnAbandonedSubmission(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	former := newOpenJob(submission(n))
	c.Assert(n.front.attemptAfter(context.Background(), former), qt.CmpEquals(cmp.AllowUnexported(attempt{})), attempt{epoch: 1, namesRuns: true}, qt.Commentf("it was never dispatched"))
	former.started, former.cell, former.epoch = true, "y", 2
	state := n.front.attemptAfter(context.Background(), former)
	c.Assert(state.epoch, qt.Equals, 3)
	c.Assert(state.started, qt.IsTrue)
	c.Assert(state.formerCell, qt.Equals, "y")
	c.Assert(state.namesRuns, qt.IsFalse, qt.Commentf("nobody has named the runs"))
	c.Assert(state.notBefore >= n.settleTime(), qt.IsTrue)
}

// Replies to join requests for jobs that aren't followed here.
func TestRepliesToJoinRequests(t *testing.T) {
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
	c.Assert(common.Microseconds(former.RetryAfterUs), qt.Equals, n.settleTime()-500*time.Millisecond, qt.Commentf("that process had ended when this one started"))
	c.Assert(ask("far:1", nil).GetFailure(), qt.IsNotNil, qt.Commentf("the front is unknown"))
	searching, _ := n.front.enter(submission(n))
	c.Assert(ask(n.settings.PeerAddress, n.inc[:]).GetOutcome().Reason, qt.Equals, reasonBusy)
	n.front.markFollowed(searching)
	searching.cancel(errLeft)
	time.AfterFunc(20*time.Millisecond, func() { n.front.end(searching, job.Outcome{Kind: job.Expired, Reason: "caller_left", Started: true}) })
	abandoned := ask(n.settings.PeerAddress, n.inc[:]).GetOutcome()
	c.Assert(abandoned.Reason, qt.Equals, reasonNotOpen, qt.Commentf("it was abandoned, and has ended"))
	c.Assert(common.Microseconds(abandoned.RetryAfterUs), qt.Equals, n.settleTime())
}

// A front that was cut off waits for the announcements of the others before it dispatches a
// returned job again, and joins the front to which the job was resubmitted.
func TestAResumedFrontJoinsTheResubmittedJob(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	open := openAndAnnounce(b)
	eventually(c, func() bool { return knowsOpenJob(a) })
	a.openJobTable.markResumed(a.Clock.Now())
	began := time.Now()
	j := submission(a)
	answer := make(chan job.Outcome, 1)
	go func() {
		outcome, ended := a.front.rejoin(context.Background(), j, &attempt{})
		c.Check(ended, qt.IsTrue)
		answer <- outcome
	}()
	eventually(c, func() bool { return waiters(b, open) == 2 })
	c.Assert(time.Since(began) > openjobs.ResyncDelay*9/10, qt.IsTrue)
	b.front.end(open, completed)
	c.Assert(<-answer, qt.DeepEquals, completed)
}

// Guards against a second start of a job whose front has given it up but not withdrawn it yet:
// the front replies to join requests once the job has ended, with the end of its leases.
func TestAJobThatIsBeingAbandonedIsNotReportedAsEnded(t *testing.T) {
	type scenario struct {
		testName    string
		isAnnounced bool
		end         job.Outcome
		wantKind    job.Kind
		wantSettles bool
	}
	lost := job.Outcome{Kind: job.Expired, Reason: "caller_left", Started: true}
	scenarios := []scenario{
		{testName: "announced", isAnnounced: true, end: lost, wantKind: job.Moved, wantSettles: true},
		{testName: "not announced by its front", end: lost, wantKind: job.Moved, wantSettles: true},
		{testName: "completed meanwhile", isAnnounced: true, end: completed, wantKind: job.Completed},
		{testName: "nothing of it has started", end: job.Outcome{Kind: job.Expired, Reason: "caller_left"}, wantKind: job.Moved},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &common.ManualClock{At: 10 * time.Second}
			n.Clock = clock
			open, _ := n.front.enter(submission(n))
			if s.isAnnounced {
				n.openJobTable.add(open.job)
				clock.At += n.settings.ResubmitAfter
				n.openJobTable.nextBatch(clock.At)
			}
			n.front.markFollowed(open)
			open.cancel(errLeft)
			answer := make(chan *peerpb.Outcome, 1)
			go func() {
				m := &peerpb.Join{Id: joinID, Front: n.settings.PeerAddress, Process: n.inc[:], Asker: "asker:1"}
				answer <- n.answerJoin(context.Background(), m).GetOutcome()
			}()
			select {
			case early := <-answer:
				c.Fatalf("answered before the job had ended: %v", early)
			case <-time.After(50 * time.Millisecond):
			}
			n.front.end(open, s.end)
			got := fromOutcome(<-answer)
			c.Assert(got.Kind, qt.Equals, s.wantKind)
			c.Assert(got.RetryAfter == n.settleTime(), qt.Equals, s.wantSettles, qt.Commentf("%s", got.RetryAfter))
		})
	}
}

// Guards against a second start beside the runs of a job that was given up before it was announced:
// another front may know of the job by the announcement of an earlier submission.
func TestAJobThatEndedUnannouncedIsReportedWithItsLeases(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	clock := &common.ManualClock{At: 10 * time.Second}
	n.Clock = clock
	open, _ := n.front.enter(submission(n))
	n.front.markFollowed(open)
	n.front.end(open, job.Outcome{Kind: job.Expired, Reason: "caller_left", Started: true})
	clock.At += 200 * time.Millisecond
	m := &peerpb.Join{Id: joinID, Front: n.settings.PeerAddress, Process: n.inc[:], Asker: "asker:1"}
	got := fromOutcome(n.answerJoin(context.Background(), m).GetOutcome())
	c.Assert(got.Reason, qt.Equals, reasonNotOpen)
	c.Assert(got.RetryAfter, qt.Equals, n.settleTime()-200*time.Millisecond)
}

// Guards against a caller that is never answered: its front waits for another one without a time limit.
func TestARejoinEndsWithTheDeadline(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	openAndAnnounce(b)
	eventually(c, func() bool { return knowsOpenJob(a) })
	a.openJobTable.resumedAt = -time.Hour
	j := submission(a)
	j.Deadline = a.Clock.Now() + 200*time.Millisecond
	outcome, ended := a.front.rejoin(context.Background(), j, &attempt{epoch: 2})
	c.Assert(ended, qt.IsTrue)
	c.Assert(outcome.Kind, qt.Equals, job.Expired)
	c.Assert(outcome.Reason, qt.Equals, reasonDeadline)
}
