package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// nodeWithClosures makes a node of domain z that knows owners in the domains y and z, with some
// domains closed.
func nodeWithClosures(c *qt.C, closed ...string) *Node {
	n := newTestNode(c, &fakeStore{})
	load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
	n.claims.SetClaims("here:1", []ownership.Claim{{Cell: "z", Token: 1, Load: load}})
	n.claims.SetClaims("far:1", []ownership.Claim{{Cell: "y", Token: 1, Load: load}})
	n.executors.Store(newListing(0, &catalog.Executors{}, map[string]int{"y": 1, "z": 1}, nil))
	c.Assert(n.changeClosures(catalog.ClosureChanges{Position: 1, Closed: closed}, "store"), qt.IsNil)
	return n
}

func TestChooseCellWhileDomainsAreClosed(t *testing.T) {
	type scenario struct {
		testName string
		closed   []string
		state    attempt
		want     string // cell
	}
	scenarios := []scenario{
		{testName: "no domain is closed", want: "z"},
		{testName: "a domain that doesn't exist", closed: []string{"nowhere"}, want: "z"},
		{testName: "the own domain", closed: []string{"z"}, want: "y"},
		{testName: "another domain", closed: []string{"y"}, want: "z"},
		{testName: "a part that prefers the closed domain", closed: []string{"y"}, state: attempt{preferredCell: "y"}, want: "z"},
		{testName: "a job whose runs may continue in the closed domain stays there", closed: []string{"z"}, state: attempt{formerCell: "z", notBefore: 1 << 62}, want: "z"},
		{testName: "both domains", closed: []string{"y", "z"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := nodeWithClosures(c, s.closed...)
			claim, found := n.front.chooseOwner(&job.Job{Service: "s"}, &s.state)
			c.Assert(found, qt.Equals, s.want != "")
			c.Assert(claim.Cell, qt.Equals, s.want)
		})
	}
}

// Guards against jobs that wait for an owner while no open domain is reachable.
func TestJobsAreRefusedAtOnceWithoutAReachableOpenDomain(t *testing.T) {
	type scenario struct {
		testName string
		closed   []string
		cutOff   bool // the owner of the other domain is unreachable
	}
	scenarios := []scenario{
		{testName: "all domains are closed", closed: []string{"y", "z"}},
		{testName: "the own domain is closed, the other unreachable", closed: []string{"z"}, cutOff: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			n := nodeWithClosures(qt.New(t), s.closed...)
			if s.cutOff {
				n.claims.Forget("far:1")
			}
			refusedAtOnce(t, n)
		})
	}
}

func refusedAtOnce(t *testing.T, n *Node) {
	c := qt.New(t)
	now := n.Clock.Now()
	j := &job.Job{ID: "a", Service: "s", Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Hour}
	outcome := n.front.submit(context.Background(), j)
	c.Assert(outcome.Kind, qt.Equals, job.Refused)
	c.Assert(outcome.Reason, qt.Equals, reasonDomainClosed)
	c.Assert(outcome.RetryAfter > 0, qt.IsTrue)
	c.Assert(n.Clock.Now()-now < maxOwnerWait, qt.IsTrue)
}

func TestHeartbeatsAnnounceClosedDomains(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.members.LinkUp(member.Peer{Name: "b", Domain: "z", Address: "b:1", Incarnation: once.Incarnation{2}})
	announce := func(position uint64, domains ...string) {
		n.handleHeartbeat("b:1", &peerpb.Heartbeat{ClosuresPosition: position, ClosedDomains: domains})
	}
	closed := func(domain string) bool { return n.closures.Load().Closed(domain) }
	announce(0)
	c.Assert(n.closures.Load(), qt.IsNil, qt.Commentf("the peer knows no closures"))
	announce(5, "z")
	c.Assert(closed("z"), qt.IsTrue)
	c.Assert(n.Heartbeat().ClosedDomains, qt.DeepEquals, []string{"z"}, qt.Commentf("it is relayed"))
	announce(4)
	c.Assert(closed("z"), qt.IsTrue, qt.Commentf("an older position"))
	c.Assert(n.changeClosures(catalog.ClosureChanges{Since: 3, Position: 6, Opened: []string{"z"}}, "store"), qt.IsNil)
	c.Assert(closed("z"), qt.IsFalse, qt.Commentf("the store has it reopened"))
	err := n.changeClosures(catalog.ClosureChanges{Since: 7, Position: 8}, "store")
	c.Assert(errkind.Of(err), qt.Equals, errkind.NotFound, qt.Commentf("the changes after position 6 are missing"))
}

func TestOwnersApplyClosures(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.executors.Store(newListing(0, &catalog.Executors{}, nil, nil))
	n.claim("z", time.Minute)
	outcome := func(id string) job.Kind {
		var kind job.Kind
		now := n.Clock.Now()
		j := &job.Job{ID: id, Service: "s", Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Hour}
		n.owner("z").submit(cell.Handover{Job: j, Epoch: 1}, waiter{front: "b:1", reply: func(o job.Outcome) { kind = o.Kind }})
		return kind
	}
	c.Assert(outcome("a"), qt.Equals, job.Kind(0), qt.Commentf("the job is queued"))
	c.Assert(n.changeClosures(catalog.ClosureChanges{Position: 1, Closed: []string{"z"}}, "store"), qt.IsNil)
	c.Assert(outcome("b"), qt.Equals, job.Moved)

	n.release(n.owner("z"), "test")
	n.claim("z", time.Minute)
	c.Assert(outcome("c"), qt.Equals, job.Moved, qt.Commentf("a cell claimed while its domain is closed"))
}

// Guards against continuing in the store's history from a position up to which only one of the
// configuration and the closures is known.
func TestOperatorPosition(t *testing.T) {
	type scenario struct {
		testName      string
		configuration uint64
		closures      uint64
		want          uint64
	}
	scenarios := []scenario{
		{testName: "nothing is known"},
		{testName: "only the configuration", configuration: 7},
		{testName: "only the closures", closures: 7},
		{testName: "the closures are newer", configuration: 7, closures: 9, want: 7},
		{testName: "the configuration is newer", configuration: 9, closures: 7, want: 7},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			if s.configuration > 0 {
				n.applyConfiguration(Snapshot{Revision: s.configuration, Body: []byte{1}}, "peer")
			}
			if s.closures > 0 {
				c.Assert(n.changeClosures(catalog.ClosureChanges{Position: s.closures}, "peer"), qt.IsNil)
			}
			c.Assert(n.operatorPosition(), qt.Equals, s.want)
		})
	}
}
