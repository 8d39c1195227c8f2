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

// closedNode makes a node that knows owners of two domains of which some are
// closed. Its own is z.
func closedNode(c *qt.C, closed ...string) *Node {
	n := newTestNode(c, &fakeStore{})
	load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
	n.claims.SetClaims("here:1", []ownership.Claim{{Cell: "z", Token: 1, Load: load}})
	n.claims.SetClaims("far:1", []ownership.Claim{{Cell: "y", Token: 1, Load: load}})
	n.executors.Store(newListing(0, &catalog.Executors{}, map[string]int{"y": 1, "z": 1}, nil))
	c.Assert(n.changeClosures(catalog.ClosureChanges{Position: 1, Closed: closed}, "store"), qt.IsNil)
	return n
}

func TestWhereJobsGoWhileDomainsAreClosed(t *testing.T) {
	type scenario struct {
		testName string
		closed   []string
		state    attempt
		want     string // cell
	}
	scenarios := []scenario{
		{testName: "none", want: "z"},
		{testName: "one that doesn't exist", closed: []string{"nowhere"}, want: "z"},
		{testName: "the own one", closed: []string{"z"}, want: "y"},
		{testName: "another one", closed: []string{"y"}, want: "z"},
		{testName: "a part goes elsewhere", closed: []string{"y"}, state: attempt{wanted: "y"}, want: "z"},
		{testName: "a job whose runs may go on in a closed one stays", closed: []string{"z"}, state: attempt{lostCell: "z", settleAt: 1 << 62}, want: "z"},
		{testName: "both", closed: []string{"y", "z"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := closedNode(c, s.closed...)
			claim, found := n.front.choose(&job.Job{Service: "s"}, &s.state)
			c.Assert(found, qt.Equals, s.want != "")
			c.Assert(claim.Cell, qt.Equals, s.want)
		})
	}
}

// What can't be served anywhere is refused at once, with a time to come back.
func TestJobsAreRefusedAtOnceWhileNoOpenDomainIsInSight(t *testing.T) {
	type scenario struct {
		testName string
		closed   []string
		cutOff   bool // the owner of the other domain is out of sight
	}
	scenarios := []scenario{
		{testName: "all are closed", closed: []string{"y", "z"}},
		{testName: "the own one is closed, the other out of sight", closed: []string{"z"}, cutOff: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			n := closedNode(qt.New(t), s.closed...)
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
	c.Assert(n.Clock.Now()-now < noOwnerWait, qt.IsTrue)
}

func TestPeersTellOfClosedDomains(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.members.Up(member.Peer{Name: "b", Domain: "z", Address: "b:1", Incarnation: once.Incarnation{2}})
	tell := func(position uint64, domains ...string) {
		n.heard("b:1", &peerpb.Heartbeat{ClosuresPosition: position, ClosedDomains: domains})
	}
	closed := func(domain string) bool { return n.closures.Load().Closed(domain) }
	tell(0)
	c.Assert(n.closures.Load(), qt.IsNil, qt.Commentf("the peer knows nothing"))
	tell(5, "z")
	c.Assert(closed("z"), qt.IsTrue)
	c.Assert(n.Heartbeat().ClosedDomains, qt.DeepEquals, []string{"z"}, qt.Commentf("it is passed on"))
	tell(4)
	c.Assert(closed("z"), qt.IsTrue, qt.Commentf("older news"))
	c.Assert(n.changeClosures(catalog.ClosureChanges{Since: 3, Position: 6, Opened: []string{"z"}}, "store"), qt.IsNil)
	c.Assert(closed("z"), qt.IsFalse, qt.Commentf("the store tells that it is open again"))
	err := n.changeClosures(catalog.ClosureChanges{Since: 7, Position: 8}, "store")
	c.Assert(errkind.Of(err), qt.Equals, errkind.NotFound, qt.Commentf("changes are missing"))
}

func TestOwnersActOnClosures(t *testing.T) {
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
	c.Assert(outcome("a"), qt.Equals, job.Kind(0), qt.Commentf("it waits"))
	c.Assert(n.changeClosures(catalog.ClosureChanges{Position: 1, Closed: []string{"z"}}, "store"), qt.IsNil)
	c.Assert(outcome("b"), qt.Equals, job.Moved)

	n.release(n.owner("z"), "test")
	n.claim("z", time.Minute)
	c.Assert(outcome("c"), qt.Equals, job.Moved, qt.Commentf("a cell that is claimed while its domain is closed"))
}

// A node goes on in the store's history from where it knows all that operators
// have changed.
func TestThePositionOfWhatOperatorsHaveChanged(t *testing.T) {
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
		{testName: "closures of later", configuration: 7, closures: 9, want: 7},
		{testName: "a configuration of later", configuration: 9, closures: 7, want: 7},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			if s.configuration > 0 {
				n.offerConfiguration(Snapshot{Revision: s.configuration, Body: []byte{1}}, "peer")
			}
			if s.closures > 0 {
				c.Assert(n.changeClosures(catalog.ClosureChanges{Position: s.closures}, "peer"), qt.IsNil)
			}
			c.Assert(n.operatorPosition(), qt.Equals, s.want)
		})
	}
}
