package node

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

func TestStaleRows(t *testing.T) {
	type scenario struct {
		testName  string
		domain    string // of the row
		up        bool
		reached   bool // another node of the row's domain is
		alone     bool // no other node is reachable
		rewritten bool // the row was removed and has been written again since
		after     time.Duration
		want      []string
	}
	scenarios := []scenario{
		{testName: "reachable", domain: "z", up: true, after: time.Hour},
		{testName: "unreachable until the expiry", domain: "z", after: rowExpiry},
		{testName: "unreachable beyond the expiry", domain: "z", after: rowExpiry + 1, want: []string{"gone"}},
		{testName: "rows of other domains are left to their nodes", domain: "y", reached: true, after: time.Hour},
		{testName: "rows of other domains without a reachable node, until the expiry", domain: "y", after: rowExpiry},
		{testName: "rows of other domains without a reachable node", domain: "y", after: rowExpiry + 1, want: []string{"gone"}},
		{testName: "a node that is written again counts as reachable", domain: "y", rewritten: true, after: time.Hour},
		{testName: "an isolated node removes nothing", domain: "z", alone: true, after: time.Hour},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.store = &markStore{}
			n.memberRows = map[string]Member{"gone": {Name: "gone", Domain: s.domain, PeerAddress: "127.0.0.9:1"}}
			n.members.SetListed([]member.ListedHost{{Name: "gone", Domain: s.domain, Address: "127.0.0.9:1"}, {Name: "b", Domain: "z", Address: "127.0.0.2:1"}})
			if !s.alone {
				n.members.LinkUp(member.Peer{Name: "b", Domain: "z", Address: "127.0.0.2:1", Incarnation: once.Incarnation{2}})
			}
			if s.reached {
				n.members.LinkUp(member.Peer{Name: "c", Domain: s.domain, Address: "127.0.0.3:1", Incarnation: once.Incarnation{4}})
			}
			if s.up {
				n.members.LinkUp(member.Peer{Name: "gone", Domain: s.domain, Address: "127.0.0.9:1", Incarnation: once.Incarnation{3}})
			}
			c.Assert(n.staleRows(time.Minute), qt.HasLen, 0, qt.Commentf("the time starts with the first call"))
			if s.rewritten {
				rows := slices.Collect(maps.Values(n.memberRows))
				n.setRows(nil)
				n.setRows(rows)
			}
			c.Assert(n.staleRows(time.Minute+s.after), qt.DeepEquals, s.want)
		})
	}
}
