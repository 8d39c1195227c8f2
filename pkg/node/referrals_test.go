package node

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// submitAsked hands a job over for a front that names the fronts that it has asked.
func (o *owner) submitAsked(front string, j *job.Job, epoch int, asked openjobs.Asked) chan job.Outcome {
	answer := make(chan job.Outcome, 1)
	connection := &peerpb.Hello{Address: front, Domain: "z", Incarnation: []byte(front)}
	o.submit(cell.Handover{Job: j, Epoch: epoch}, waiter{front: front, connection: connection, keepsRuns: true, asked: asked, namesAsked: true, reply: func(outcome job.Outcome) { answer <- outcome }})
	return answer
}

func testFront(address string) openjobs.Front {
	return openjobs.Front{Address: address, Domain: "z", Process: address}
}

// Guards against a second run beside that of a front that the dispatcher has not asked: an owner that
// had referred it accepted the job the next time, though the answer was lost or outdated.
func TestAnOwnerAcceptsAJobOnceItsFrontHasAskedTheOthers(t *testing.T) {
	const askedAt = time.Minute
	first := testFront("first:1")
	whole := func(n *Node) *job.Job {
		j := submission(n)
		j.Steps[0].Count = 4
		return j
	}
	part := func(n *Node) *job.Job { return whole(n).Split([]int{2, 2})[1] }
	announced := func(n *Node, _ *owner) {
		n.recordOpenJobs(first, "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute}}, false)
	}
	partHere := func(n *Node, o *owner) { o.submitFor("first:1", part(n), 1) }
	wholeHere := func(n *Node, o *owner) { o.submitFor("first:1", whole(n), 1) }
	scenarios := []struct {
		testName  string
		known     func(n *Node, o *owner)
		dispatch  func(n *Node) *job.Job
		epoch     int
		wasAsked  openjobs.Asked
		openAgain bool // after it was asked
		accepted  bool
	}{
		{testName: "announced, and the answer was lost that told of it", known: announced, epoch: 2},
		{testName: "announced and asked", known: announced, epoch: 2, wasAsked: openjobs.Asked{first: askedAt}, accepted: true},
		{testName: "announced and asked before the first handover", known: announced, epoch: 1, wasAsked: openjobs.Asked{first: askedAt}, accepted: true},
		{testName: "announced again since it was asked", known: announced, epoch: 2, wasAsked: openjobs.Asked{first: askedAt}, openAgain: true},
		{testName: "announced, and a former process was asked", known: announced, epoch: 2, wasAsked: openjobs.Asked{{Address: "first:1", Domain: "z", Process: "former"}: askedAt}},
		{testName: "a part of it is here", known: partHere, epoch: 2},
		{testName: "a part of it is here, of a front that was asked", known: partHere, epoch: 2, wasAsked: openjobs.Asked{first: askedAt}, accepted: true},
		{testName: "it is here", known: wholeHere, epoch: 2},
		{testName: "it is here, and a part of it comes", known: wholeHere, dispatch: part, epoch: 2},
		{testName: "it is here, of a front that was asked", known: wholeHere, epoch: 2, wasAsked: openjobs.Asked{first: askedAt}, accepted: true},
		{testName: "nothing is known", known: func(*Node, *owner) {}, epoch: 1, accepted: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &common.ManualClock{At: askedAt}
			n.Clock = clock
			o := newOwner(n, "z/2.1", 1, clock.At)
			s.known(n, o)
			if s.dispatch == nil {
				s.dispatch = whole
			}
			j := s.dispatch(n)
			clock.At += 100 * time.Millisecond
			if s.openAgain {
				s.known(n, o)
			}
			for range 2 {
				answer := o.submitAsked("second:1", j, s.epoch, s.wasAsked)
				if s.accepted {
					c.Assert(answer, qt.HasLen, 0)
					c.Assert(o.has(j.ID), qt.IsTrue)
					return
				}
				c.Assert(answer, qt.HasLen, 1, qt.Commentf("the answer may be lost, so each handover is referred"))
				outcome := <-answer
				c.Assert(outcome.Reason, qt.Equals, reasonNotOwner)
				c.Assert(outcome.OpenAt.Address, qt.Equals, "first:1")
			}
		})
	}
}

// A front that goes on with a job after this host's front, which follows it too, has let it go first
// is not sent back, unless this host's front has handed the job to an owner again.
func TestAnOwnerAcceptsAJobThatItsOwnFrontLetsGoFirst(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	clock := &common.ManualClock{At: time.Minute}
	n.Clock = clock
	openUnannounced(n)
	n.front.markDispatched(joinID, "z/2.0", 1)
	o := newOwner(n, "z/2.1", 1, clock.At)
	c.Assert((<-o.submitAsked("second:1", submission(n), 2, nil)).OpenAt.Address, qt.Equals, n.settings.PeerAddress)
	clock.At += time.Second
	asked := openjobs.Asked{n.asFront(): clock.At}
	clock.At += time.Second
	n.front.markDispatched(joinID, "z/2.0", 2)
	c.Assert((<-o.submitAsked("second:1", submission(n), 2, asked)).OpenAt.Address, qt.Equals, n.settings.PeerAddress)
	asked = openjobs.Asked{n.asFront(): clock.At}
	c.Assert(o.submitAsked("second:1", submission(n), 2, asked), qt.HasLen, 0)
	c.Assert(o.has(joinID), qt.IsTrue)
}

// Guards against a front that is referred back and forth: what it has asked has to reach the owner.
func TestAskedFrontsOnTheWire(t *testing.T) {
	c := qt.New(t)
	asked := openjobs.Asked{testFront("first:1"): time.Second, testFront("third:1"): 3 * time.Second}
	received := fromAsked(toAsked(asked, 4*time.Second), 10*time.Second)
	c.Assert(received, qt.DeepEquals, openjobs.Asked{testFront("first:1"): 7 * time.Second, testFront("third:1"): 9 * time.Second})
	c.Assert(fromAsked([]*peerpb.AskedFront{{Front: "first:1", AgoUs: -1}}, time.Second), qt.DeepEquals, openjobs.Asked{{Address: "first:1"}: time.Second})
	c.Assert(fromAsked([]*peerpb.AskedFront{{Front: "first:1", AgoUs: math.MaxInt64}}, time.Second), qt.DeepEquals, openjobs.Asked{{Address: "first:1"}: time.Second - longestAskedAgo})
}

// Guards against two fronts that wait for each other until the deadline: an owner refers a front to
// one that has meanwhile asked that front, and waits there.
func TestAFrontThatIsReferredToOneThatWaitsForItGoesOn(t *testing.T) {
	scenarios := []struct {
		testName string
		follows  bool // the one that waits follows the job too, and has lost its owner
	}{
		{testName: "to one that searches for the job"},
		{testName: "to one that has lost its owner", follows: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			low, high := pairOf(t)
			if low.settings.PeerAddress > high.settings.PeerAddress {
				low, high = high, low
			}
			referred, waiting := high, low
			if s.follows {
				referred, waiting = low, high // the one that goes first when both follow
			}
			open := openAndAnnounce(referred)
			eventually(c, func() bool { return knowsOpenJob(waiting) })
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if s.follows {
				openAndAnnounce(waiting)
				waiting.openJobTable.resumedAt = -time.Hour
				go waiting.front.rejoin(ctx, submission(waiting), &attempt{formerCell: "z", notBefore: waiting.Clock.Now()})
			} else {
				submitLater(ctx, waiting)
			}
			eventually(c, func() bool { return waiters(referred, open) == 2 })
			self := waiting.asFront()
			at := &job.OpenAt{Address: self.Address, Domain: self.Domain, Process: self.Process, Remaining: time.Minute}
			_, ended := referred.front.joinOpenAt(ctx, open.job, "owner:1", at, &attempt{})
			c.Assert(ended, qt.IsFalse, qt.Commentf("it goes on with the job"))
			c.Assert(ctx.Err(), qt.IsNil)
			c.Assert(referred.front.followed(joinID), qt.IsNotNil)
		})
	}
}

// Guards against a second run in another cell of the same host, within the time after which owners
// announce a job.
func TestAnOwnerKnowsTheJobsOfItsHostsOtherCells(t *testing.T) {
	scenarios := []struct {
		testName string
		front    string // of the second handover
		asked    openjobs.Asked
		accepted bool
	}{
		{testName: "from another front", front: "second:1"},
		{testName: "from another front that has asked", front: "second:1", asked: openjobs.Asked{testFront("first:1"): time.Hour}, accepted: true},
		{testName: "from the same front, which has split it", front: "first:1", accepted: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			first, second := makeOwner(n, "z/2.0"), makeOwner(n, "z/2.1")
			first.submitAsked("first:1", submission(n), 1, nil)
			answer := second.submitAsked(s.front, submission(n), 1, s.asked)
			if s.accepted {
				c.Assert(second.has(joinID), qt.IsTrue)
				return
			}
			c.Assert(answer, qt.HasLen, 1)
			c.Assert((<-answer).OpenAt.Address, qt.Equals, "first:1")
		})
	}
}
