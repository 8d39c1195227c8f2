package node

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

func TestSlowdown(t *testing.T) {
	const peer = "peer:1"
	type scenario struct {
		testName        string
		ownClaims       bool
		peerOwns        bool
		peerIsFar       bool // the peer owns a cell of another domain
		dispatched      bool // the peer has a job of this host
		shortOfCapacity bool
		ownerless       bool
		want            int
	}
	scenarios := []scenario{
		{testName: "towards an owner", peerOwns: true, want: 1},
		{testName: "towards a host that owns nothing", want: nonOwnerSlowdown},
		{testName: "from an owner towards a host that owns nothing", ownClaims: true, want: nonOwnerSlowdown},
		{testName: "a cell of the domain has no owner", ownerless: true, want: 1},
		{testName: "towards an owner of another domain", peerIsFar: true, want: distantOwnerSlowdown},
		{testName: "towards an owner of another domain that has a job of this host", peerIsFar: true, dispatched: true, want: 1},
		{testName: "towards an owner of another domain while the own one is short of capacity", peerIsFar: true, shortOfCapacity: true, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			domain := n.settings.Domain
			listed := newListing(0, &catalog.Executors{ByID: map[string]catalog.Executor{"e": {ID: "e", Domain: domain}}}, nil, nil)
			claim := []ownership.Claim{{Cell: listed.cellsOf(domain)[0], Token: 1}}
			switch {
			case s.ownClaims:
				n.claims.SetClaims(n.settings.PeerAddress, claim)
			case s.peerOwns:
				n.claims.SetClaims(peer, claim)
			case !s.ownerless:
				n.claims.SetClaims("other:1", claim)
			}
			if s.peerIsFar {
				n.claims.SetClaims(peer, []ownership.Claim{{Cell: "far", Token: 1}})
			}
			if s.dispatched {
				defer n.front.recordDispatch(peer)()
			}
			n.shortOfCapacity = s.shortOfCapacity
			n.updateOwnerless(listed)
			c.Assert(n.Slowdown(peer), qt.Equals, s.want)
		})
	}
}
