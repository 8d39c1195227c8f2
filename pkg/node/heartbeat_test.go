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

// While cells change hands every byte counts: each heartbeat told all owners
// then, which took a quarter of links of 2 Mbit/s.
func TestHeartbeatsTellTheOwnersThatAreNews(t *testing.T) {
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
		{testName: "a moment ago", claims: claims, after: ownersTime / 2, want: []string{"a", "b"}},
		{testName: "known for a while", claims: claims, after: 2 * ownersTime},
		{testName: "one has moved", claims: moved, after: 2 * ownersTime, want: []string{"b"}},
		{testName: "now and then all", claims: claims, all: true, after: 2 * ownersTime, want: []string{"a", "b"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			h := &heartbeats{}
			c.Assert(h.ownersToTell(claims, false, time.Minute), qt.HasLen, 2)
			var cells []string
			for _, owner := range h.ownersToTell(s.claims, s.all, time.Minute+s.after) {
				cells = append(cells, owner.Cell)
			}
			c.Assert(cells, qt.DeepEquals, s.want)
		})
	}
}

// A node that can't read the rows asks for its neighbours, and one that knows
// them from the rows isn't told.
func TestNeighboursAreToldToNodesWithoutRows(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	for i, domain := range []string{"y", "y", "z"} {
		name := string(rune('b' + i))
		n.members.Up(member.Peer{Name: name, Domain: domain, Address: name + ":1", Incarnation: once.Incarnation{byte(10 + i)}})
	}
	from := &peerpb.Hello{Domain: "y", Address: "b:1"}
	c.Assert(n.heartbeatFor(from, &peerpb.Heartbeat{}).Neighbours, qt.HasLen, 0)
	c.Assert(n.heartbeatFor(from, &peerpb.Heartbeat{Unlisted: true}).Neighbours, qt.DeepEquals, []string{"c:1"})
	c.Assert(n.Heartbeat().Neighbours, qt.HasLen, 0, qt.Commentf("the shared heartbeat is left as it was"))
	c.Assert(n.Heartbeat().Unlisted, qt.IsTrue)

	n.heard("b:1", &peerpb.Heartbeat{Neighbours: []string{"d:1", n.settings.PeerAddress}})
	c.Assert(n.members.Wanted(n.Clock.Now()), qt.Contains, "d:1")
	n.setRows([]Member{n.ownRow()})
	c.Assert(n.makeHeartbeat(false, false, 0).Unlisted, qt.IsFalse)
}
