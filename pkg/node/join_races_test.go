package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// The withdrawal of a join request may be handled before the request itself: each has a goroutine of
// its own. The job must not keep a waiter that has left, and a cancellation must reach it.
func TestAJoinRequestThatWasWithdrawnBeforeItIsServed(t *testing.T) {
	type scenario struct {
		testName  string
		cause     error
		cancelled bool
	}
	scenarios := []scenario{
		{testName: "the asker has left", cause: errLeft},
		{testName: "the asker's caller has cancelled the job", cause: errCancelled, cancelled: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			open := openUnannounced(n)
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(s.cause)
			n.answerJoin(ctx, &peerpb.Join{Id: joinID, Front: n.settings.PeerAddress, Process: n.inc[:], Asker: "asker:1"})
			c.Assert(waiters(n, open), qt.Equals, 1, qt.Commentf("its own caller"))
			c.Assert(context.Cause(open.ctx) == errCancelled, qt.Equals, s.cancelled)
		})
	}
}

// A front whose search is over starts the job, so it must not let another front go first after that.
func TestAFrontThatMayStartAJobNoLongerYields(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	asker := openjobs.Front{Address: "0.0.0.0:1", Domain: "z", Process: "p"}
	open, _ := n.front.enter(submission(n))
	search := n.openJobTable.newSearch(open, 0)
	n.openJobTable.resumedAt = -time.Hour
	_, mayStart := n.openJobTable.next(joinID, search, n.Clock.Now())
	c.Assert(mayStart, qt.IsTrue)
	n.recordOpenJobs(asker, asker.Address, []openjobs.Announcement{{ID: joinID, Remaining: time.Minute}}, false)
	m := &peerpb.Join{Id: joinID, Front: n.settings.PeerAddress, Process: n.inc[:], Asker: asker.Address, AskerProcess: []byte(asker.Process)}
	c.Assert(n.answerJoin(context.Background(), m).GetOutcome().Reason, qt.Equals, reasonBusy)
}

// A process that has started at the address of one that was referred to a front hasn't asked it.
func TestAnOwnerRefersAFrontAgainAfterItsRestart(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	o := newOwner(n, "z/2.1", 1, n.Clock.Now())
	n.recordOpenJobs(openjobs.Front{Address: "first:1", Domain: "z", Process: "first:1"}, "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute}}, false)
	for _, process := range []string{"one", "two"} {
		second := newWaitingFront("second:1")
		second.hello.Incarnation = []byte(process)
		second.submit(o, submission(n), 1, 0)
		c.Assert(second.answer, qt.HasLen, 1, qt.Commentf("process %s", process))
		c.Assert((<-second.answer).OpenAt, qt.IsNotNil)
	}
}

// Guards against a second run beside that of another front: while a front gives up the first
// submission, which its caller has left long ago, another one may hold the job open already.
func TestAFrontThatHasJustGivenUpAJobLooksForItElsewhere(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	elsewhere := openAndAnnounce(b)
	eventually(c, func() bool { return knowsOpenJob(a) })
	former := openUnannounced(a)
	a.front.markDispatched(joinID, "z", 1)
	former.cancel(errLeft)
	answer := submitLater(context.Background(), a)
	time.Sleep(50 * time.Millisecond) // it waits for the end of the first submission
	a.front.end(former, mayHaveRun)
	eventually(c, func() bool { return waiters(b, elsewhere) == 2 })
	b.front.end(elsewhere, completed)
	c.Assert((<-answer).Kind, qt.Equals, completed.Kind)
}

// Two fronts that follow the same job and have both lost its owner must not wait for each other. The
// one that goes on does so when the other one's runs are over, and the other one joins it.
func TestFrontsThatRejoinEachOtherDoNotWaitForever(t *testing.T) {
	const settles = 700 * time.Millisecond
	type scenario struct {
		testName string
		pauses   [2]time.Duration // before each front loses its owner, by ascending address
	}
	scenarios := []scenario{
		{testName: "at once"},
		{testName: "the one that goes on first", pauses: [2]time.Duration{0, 250 * time.Millisecond}},
		{testName: "the one that goes on last", pauses: [2]time.Duration{250 * time.Millisecond, 0}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			low, high := pairOf(t)
			if low.settings.PeerAddress > high.settings.PeerAddress {
				low, high = high, low
			}
			open := openAndAnnounce(low)
			openAndAnnounce(high)
			eventually(c, func() bool { return knowsOpenJob(low) && knowsOpenJob(high) })
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			began, joined := time.Now(), make(chan job.Outcome, 1)
			goesOn := make(chan bool, 1)
			for i, n := range []*Node{low, high} {
				n.openJobTable.resumedAt = -time.Hour
				go func() {
					time.Sleep(s.pauses[i])
					state := attempt{formerCell: "z", notBefore: n.Clock.Now() + settles}
					outcome, ended := n.front.rejoin(ctx, submission(n), &state)
					if n == low {
						goesOn <- !ended
						return
					}
					joined <- outcome
				}()
			}
			c.Assert(<-goesOn, qt.IsTrue)
			c.Assert(time.Since(began) >= s.pauses[1]+settles, qt.IsTrue, qt.Commentf("the other one's runs may be alive"))
			c.Assert(joined, qt.HasLen, 0)
			low.front.end(open, completed)
			c.Assert((<-joined).Kind, qt.Equals, completed.Kind)
		})
	}
}
