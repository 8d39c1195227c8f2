package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/traffic"
	qt "github.com/frankban/quicktest"
)

// pollAndStandStill has a node poll for a while and then not until a time, as a process that is stopped.
func pollAndStandStill(n *Node, clock *common.ManualClock, stall time.Duration) {
	for range 10 {
		clock.At += renewInterval
		n.renewJobs(clock.At)
	}
	clock.At += stall
}

// Guards against a second run beside a front that stood still: it receives a job up to a stall after
// its caller has sent it, and the caller counts from the sending until it sends the job again.
func TestAJobThatIsReceivedLateIsAnnouncedByItsSending(t *testing.T) {
	type scenario struct {
		testName    string
		stall       time.Duration
		isPolled    bool          // the poll after the stall comes before the request is handled
		announcedIn time.Duration // after the receipt
	}
	scenarios := []scenario{
		{testName: "no stall", announcedIn: 400 * time.Millisecond},
		{testName: "a stall of 0.3 s", stall: 300 * time.Millisecond, announcedIn: 175 * time.Millisecond},
		{testName: "a stall of 0.7 s", stall: 700 * time.Millisecond},
		{testName: "a stall of 0.7 s, polled before", stall: 700 * time.Millisecond, isPolled: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &common.ManualClock{At: time.Second}
			n.Clock = clock
			makeOwner(n, "z/1.0")
			pollAndStandStill(n, clock, s.stall)
			if s.isPolled {
				n.renewJobs(clock.At)
			}
			ctx, leave := context.WithCancel(context.Background())
			ended := make(chan job.Outcome, 1)
			go func() { ended <- n.Submit(ctx, submission(n)) }()
			var batch []openjobs.Announcement
			for wait := time.Now().Add(time.Second); len(batch) == 0 && time.Now().Before(wait); time.Sleep(time.Millisecond) {
				batch = n.openJobTable.nextBatch(clock.At + s.announcedIn)
			}
			c.Assert(batch, qt.HasLen, 1)
			leave()
			<-ended
		})
	}
}

// Guards against a job that nobody can know of before its caller may send it again, and against the
// false statement that nothing of it has run.
func TestAJobThatIsReceivedTooLateIsNotAccepted(t *testing.T) {
	type scenario struct {
		testName    string
		stall       time.Duration
		isAlone     bool // there is no other host
		deadline    time.Duration
		notAccepted bool
	}
	scenarios := []scenario{
		{testName: "in time", stall: time.Second, deadline: time.Minute},
		{testName: "too late", stall: 1200 * time.Millisecond, deadline: time.Minute, notAccepted: true},
		{testName: "too late, no other host", stall: 1200 * time.Millisecond, deadline: time.Minute, isAlone: true},
		{testName: "too late, but the caller doesn't wait for long enough to send it again", stall: 1200 * time.Millisecond, deadline: 1200 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &common.ManualClock{At: time.Second}
			n.Clock = clock
			makeOwner(n, "z/1.0")
			n.memberRows["a"] = Member{Name: "a", Domain: "z", PeerAddress: n.settings.PeerAddress}
			if !s.isAlone {
				n.memberRows["b"] = Member{Name: "b", Domain: "y", PeerAddress: "127.0.0.1:2"}
			}
			pollAndStandStill(n, clock, s.stall)
			j := submission(n)
			j.Deadline = j.Received + s.deadline
			ctx, leave := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer leave()
			outcome := n.Submit(ctx, j)
			c.Assert(outcome.Reason == "received_too_late", qt.Equals, s.notAccepted, qt.Commentf("%+v", outcome))
			c.Assert(outcome.Kind, qt.Not(qt.Equals), job.Refused, qt.Commentf("another host may run it"))
		})
	}
}

// Guards against keeping jobs that a domain hasn't confirmed, as if it had been cut off before they were
// sent, only because this process stood still and missed an earlier confirmation.
func TestADomainIsNotTakenForCutOffAfterAStall(t *testing.T) {
	type scenario struct {
		testName string
		stall    time.Duration
		want     bool
	}
	scenarios := []scenario{
		{testName: "no stall", want: true},
		{testName: "a stall", stall: time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &common.ManualClock{At: time.Second}
			n.Clock = clock
			pollAndStandStill(n, clock, 0)
			askedAt := clock.At
			pollAndStandStill(n, clock, s.stall)
			c.Assert(n.giveUpBefore("y", askedAt), qt.Equals, clock.At)
			c.Assert(len(n.openJobTable.confirmations.DueAgain(clock.At)) > 0, qt.Equals, s.want)
		})
	}
}

// Guards against counting from the receipt of a request that waited at the machine for longer than one
// stall of this process: it may stop again before it reads the request.
func TestWhenARequestArrived(t *testing.T) {
	type scenario struct {
		testName string
		waits    time.Duration // before the process accepts its connection
	}
	scenarios := []scenario{
		{testName: "read at once"},
		{testName: "read late", waits: 300 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			arrived := make(chan time.Duration, 1)
			server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { arrived <- n.arrivalOf(r.Context()).at })}
			n.configureFront(server)
			defer server.Close()
			time.Sleep(time.Millisecond) // no request arrives at time 0
			time.AfterFunc(s.waits, func() { _ = server.Serve(n.meter.Of(traffic.Callers).Listener(listener)) })
			sent := n.Clock.Now()
			response, err := http.Post("http://"+listener.Addr().String(), "application/json", strings.NewReader("{}"))
			c.Assert(err, qt.IsNil)
			_ = response.Body.Close()
			at := <-arrived
			c.Assert(at > 0, qt.IsTrue)
			delay := at - sent
			c.Assert(delay > -20*time.Millisecond && delay < 150*time.Millisecond, qt.IsTrue, qt.Commentf("arrived %s after its sending", delay))
		})
	}
}

// sharedClock is a clock that a test advances while a node reads it.
type sharedClock struct{ at atomic.Int64 }

// Now implements common.Clock.
func (c *sharedClock) Now() time.Duration { return time.Duration(c.at.Load()) }

// Guards against jobs that are lost at a front that stands still again and again: it held them until their
// deadlines, and other fronts waited for it, though no owner could run them for it.
func TestAFrontThatStandsStillOftenGivesUpJobsThatItsOwnerReturns(t *testing.T) {
	type scenario struct {
		testName string
		stalls   int
		started  bool
		want     job.Kind
	}
	scenarios := []scenario{
		{testName: "one stall: handed on", stalls: 1, started: true},
		{testName: "often, a task may have started", stalls: 2, started: true, want: job.Expired},
		{testName: "often, nothing has started", stalls: 2, want: job.Refused},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &sharedClock{}
			clock.at.Store(int64(time.Second))
			n.Clock = clock
			o := makeOwner(n, "z/1.0")
			ended := submitLater(context.Background(), n)
			isDispatched := func() bool {
				o.mu.Lock()
				defer o.mu.Unlock()
				return len(o.waiters[joinID]) > 0
			}
			eventually(c, isDispatched)
			for range s.stalls {
				for _, step := range []time.Duration{renewInterval, renewInterval, 500 * time.Millisecond} {
					n.renewals.poll(time.Duration(clock.at.Add(int64(step))))
				}
			}
			taken, _ := o.removeWaiters(joinID, n.settings.PeerAddress, false)
			taken[0].reply(job.Outcome{Kind: job.Moved, Reason: reasonFrontUnresponsive, Started: s.started})
			if s.want == 0 {
				eventually(c, isDispatched)
				n.front.openJob(joinID).cancel(errCancelled)
				<-ended
				return
			}
			outcome := <-ended
			c.Assert(outcome.Kind, qt.Equals, s.want)
			c.Assert(outcome.Reason, qt.Equals, "stands_still")
			c.Assert(outcome.Started, qt.Equals, s.started)
		})
	}
}

// Guards against jobs that wait until their deadlines at an owner that stands still again and again, and
// starts nothing for some time after each stall.
func TestAHostThatStandsStillOftenGivesUpJobsThatItsOwnCellHasNotStarted(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	clock := &sharedClock{}
	clock.at.Store(int64(time.Second))
	n.Clock = clock
	o := makeOwner(n, "z/1.0")
	ended := submitLater(context.Background(), n)
	eventually(c, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.waiters[joinID]) > 0
	})
	for range 2 {
		for _, step := range []time.Duration{renewInterval, renewInterval, 450 * time.Millisecond} {
			select {
			case outcome := <-ended:
				c.Fatalf("ended after one stall: %+v", outcome)
			default:
			}
			n.renewJobs(time.Duration(clock.at.Add(int64(step))))
		}
	}
	select {
	case outcome := <-ended:
		c.Assert(outcome.Kind, qt.Equals, job.Refused)
		c.Assert(outcome.Reason, qt.Equals, "stands_still")
	case <-time.After(5 * time.Second):
		c.Fatal("the job still waits")
	}
}

// Guards against a refusal of a job that another front has started later at the same owner.
func TestAHostThatStandsStillOftenDoesNotRefuseAJobOfAnotherFront(t *testing.T) {
	scenarios := []struct {
		testName string
		isShared bool // another front waits for the job too
	}{
		{testName: "its own front alone"},
		{testName: "another front too", isShared: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			o := makeOwner(n, "z/1.0")
			answer := make(chan job.Outcome, 1)
			o.submit(cell.Handover{Job: submission(n), Epoch: 1}, waiter{front: n.settings.PeerAddress, namesAsked: true, reply: func(outcome job.Outcome) { answer <- outcome }})
			if s.isShared {
				asked := openjobs.Asked{n.asFront(): n.Clock.Now()}
				o.submitAsked("second:1", submission(n), 1, asked)
			}
			for _, id := range append(o.ownUnstarted(), joinID) {
				o.refuseUnstarted(id, errStandsStill.Error())
			}
			c.Assert(o.has(joinID), qt.Equals, s.isShared)
			if s.isShared {
				c.Assert(answer, qt.HasLen, 0)
				return
			}
			c.Assert((<-answer).Kind, qt.Equals, job.Refused)
		})
	}
}

// Guards against a slow host that gives up all of its jobs while a domain is out of reach: it runs 60 of 310 ms.
func TestASlowHostRecordsADomainThatDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	clock := &common.ManualClock{At: time.Second}
	n.Clock = clock
	run := func(d time.Duration) {
		for end := clock.At + d; clock.At < end; {
			for range 2 {
				clock.At += 30 * time.Millisecond
				n.renewJobs(clock.At)
			}
			clock.At += 250 * time.Millisecond
		}
	}
	run(2 * time.Second)
	givenUp := 0
	for range 20 { // a job each 1.5 s, announced 0.4 s after its sending
		sent := clock.At
		run(400 * time.Millisecond)
		asked := clock.At
		run(700 * time.Millisecond)
		if sent < n.giveUpBefore("y", asked) {
			givenUp++
		}
		run(400 * time.Millisecond)
	}
	c.Assert(givenUp, qt.Equals, 1)
}

// Guards against a second run by a host that has just stood still: others had lost their links to it, and
// the announcements that it missed arrive later than the second sending.
func TestAHostThatHasStoodStillAwaitsTheAnnouncementsThatItMissed(t *testing.T) {
	const pollEach = 50 * time.Millisecond
	type scenario struct {
		testName string
		stall    time.Duration
		polls    int  // after the stall, before the job is received
		isAlone  bool // there is no other host
		waits    bool
	}
	scenarios := []scenario{
		{testName: "no stall"},
		{testName: "a weak host's stall", stall: 290 * time.Millisecond},
		{testName: "a stall after which others may have lost it", stall: 700 * time.Millisecond, waits: true},
		{testName: "the same, polled before", stall: 700 * time.Millisecond, polls: 1, waits: true},
		{testName: "a while later", stall: 700 * time.Millisecond, polls: 8, waits: true},
		{testName: "later", stall: 700 * time.Millisecond, polls: 9},
		{testName: "no other host", stall: 700 * time.Millisecond, isAlone: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &sharedClock{}
			clock.at.Store(int64(time.Second))
			n.Clock = clock
			o := makeOwner(n, "z/1.0")
			if !s.isAlone {
				n.memberRows["b"] = Member{Name: "b", Domain: "z", PeerAddress: "127.0.0.1:2"}
			}
			for range 3 {
				n.renewals.poll(time.Duration(clock.at.Add(int64(pollEach))))
			}
			clock.at.Add(int64(s.stall))
			for range s.polls {
				n.renewals.poll(n.Clock.Now())
				clock.at.Add(int64(pollEach))
			}
			ended := submitLater(context.Background(), n)
			isAccepted := func() bool {
				o.mu.Lock()
				defer o.mu.Unlock()
				return len(o.waiters[joinID]) > 0
			}
			if s.waits {
				time.Sleep(30 * time.Millisecond)
				c.Assert(isAccepted(), qt.IsFalse)
			} else {
				eventually(c, isAccepted)
			}
			n.front.openJob(joinID).cancel(errCancelled)
			<-ended
		})
	}
}
