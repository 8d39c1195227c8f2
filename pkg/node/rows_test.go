package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

func TestStaleRows(t *testing.T) {
	type scenario struct {
		testName string
		domain   string // of the row
		up       bool
		alone    bool // no other node is reachable
		after    time.Duration
		want     []string
	}
	scenarios := []scenario{
		{testName: "reachable", domain: "z", up: true, after: time.Hour},
		{testName: "unreachable until the expiry", domain: "z", after: rowExpiry},
		{testName: "unreachable beyond the expiry", domain: "z", after: rowExpiry + 1, want: []string{"gone"}},
		{testName: "rows of other domains are left to their nodes", domain: "y", after: time.Hour},
		{testName: "an isolated node removes nothing", domain: "z", alone: true, after: time.Hour},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.memberRows = map[string]Member{"gone": {Name: "gone", Domain: s.domain, PeerAddress: "127.0.0.9:1"}}
			n.members.SetListed([]member.ListedHost{{Name: "gone", Domain: s.domain, Address: "127.0.0.9:1"}, {Name: "b", Domain: "z", Address: "127.0.0.2:1"}})
			if !s.alone {
				n.members.LinkUp(member.Peer{Name: "b", Domain: "z", Address: "127.0.0.2:1", Incarnation: once.Incarnation{2}})
			}
			if s.up {
				n.members.LinkUp(member.Peer{Name: "gone", Domain: s.domain, Address: "127.0.0.9:1", Incarnation: once.Incarnation{3}})
			}
			c.Assert(n.staleRows(time.Minute), qt.HasLen, 0, qt.Commentf("the time starts with the first call"))
			c.Assert(n.staleRows(time.Minute+s.after), qt.DeepEquals, s.want)
		})
	}
}
