package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// Guards against heartbeats that contain all owners while cells change owners, which takes a
// large part of a slow link.
func TestHeartbeatsAnnounceChangedOwners(t *testing.T) {
	claims := []ownership.Claim{{Cell: "a", Owner: "1"}, {Cell: "b", Owner: "1"}}
	moved := []ownership.Claim{{Cell: "a", Owner: "1"}, {Cell: "b", Owner: "2"}}
	type scenario struct {
		testName string
		claims   []ownership.Claim
		all      bool
		after    time.Duration
		want     []string // cells
	}
	scenarios := []scenario{
		{testName: "announced a short time ago", claims: claims, after: newOwnerPeriod / 2, want: []string{"a", "b"}},
		{testName: "announced for long enough", claims: claims, after: 2 * newOwnerPeriod},
		{testName: "one cell has a new owner", claims: moved, after: 2 * newOwnerPeriod, want: []string{"b"}},
		{testName: "all are requested", claims: claims, all: true, after: 2 * newOwnerPeriod, want: []string{"a", "b"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			h := &heartbeats{}
			c.Assert(h.ownersToAnnounce(claims, false, time.Minute), qt.HasLen, 2)
			var cells []string
			for _, owner := range h.ownersToAnnounce(s.claims, s.all, time.Minute+s.after) {
				cells = append(cells, owner.Cell)
			}
			c.Assert(cells, qt.DeepEquals, s.want)
		})
	}
}

// Only a node that hasn't read the hosts' rows gets the nodes of its domain with heartbeats.
func TestNeighboursAreSentToNodesWithoutRows(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	for i, domain := range []string{"y", "y", "z"} {
		name := string(rune('b' + i))
		n.members.LinkUp(member.Peer{Name: name, Domain: domain, Address: name + ":1", Incarnation: once.Incarnation{byte(10 + i)}})
	}
	from := &peerpb.Hello{Domain: "y", Address: "b:1"}
	c.Assert(n.heartbeatFor(from, &peerpb.Heartbeat{}).Neighbours, qt.HasLen, 0)
	c.Assert(n.heartbeatFor(from, &peerpb.Heartbeat{Unlisted: true}).Neighbours, qt.DeepEquals, []string{"c:1"})
	c.Assert(n.Heartbeat().Neighbours, qt.HasLen, 0, qt.Commentf("the shared heartbeat is not modified"))
	c.Assert(n.Heartbeat().Unlisted, qt.IsTrue)

	n.handleHeartbeat("b:1", &peerpb.Heartbeat{Neighbours: []string{"d:1", n.settings.PeerAddress}})
	c.Assert(n.members.Wanted(n.Clock.Now()), qt.Contains, "d:1")
	n.setRows([]Member{n.ownRow()})
	c.Assert(n.buildHeartbeat(false, false, 0).Unlisted, qt.IsFalse)
}
