package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

// A host with little capacity that starts while the store is unreachable must not compute
// cells from its own capacity alone: it would claim cells of another size than those in use,
// and fence their owners.
func TestCellsOfADomainWhoseRowsAreNotKnown(t *testing.T) {
	type scenario struct {
		testName string
		rows     []Member // nil when the rows have not been read
		peers    []member.Peer
		claimed  string // cell that another host owns; empty when none
		want     int
	}
	smallRow := Member{Name: "a", Domain: "z", Capacity: ownership.Capacity{CPU: 192, LinkMbps: 25}}
	largeRow := Member{Name: "b", Domain: "z", Capacity: ownership.Capacity{CPU: 800, LinkMbps: 200}}
	largePeer := member.Peer{Name: "b", Domain: "z", Address: otherAddress, Incarnation: once.Incarnation{2}, Weight: 800}
	scenarios := []scenario{
		{testName: "nothing is known", want: 2},
		{testName: "peers have claimed cells", claimed: "z/4.1", want: 4},
		{testName: "only hosts with little capacity", rows: []Member{smallRow}, want: 8},
		{testName: "a host with more capacity has a row", rows: []Member{smallRow, largeRow}, want: 2},
		{testName: "a host with more capacity is reachable and has no row yet", rows: []Member{smallRow}, peers: []member.Peer{largePeer}, want: 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.settings.Weight, n.settings.LinkMbps = 192, 25
			if s.rows != nil {
				n.setRows(s.rows)
			}
			for _, peer := range s.peers {
				n.members.LinkUp(peer)
			}
			if s.claimed != "" {
				n.claims.SetClaims(otherAddress, []ownership.Claim{{Cell: s.claimed, Token: 1}})
			}
			c.Assert(n.cellCounts(map[string]int{"z": 117})["z"], qt.Equals, s.want)
		})
	}
}

// A change of the number of cells fences each owner of the domain, so it isn't made for executors
// that are listed for some seconds only, nor while its owners are being replaced.
func TestTheNumberOfCellsChangesLate(t *testing.T) {
	type scenario struct {
		testName  string
		executors int
		lost      bool // the owner is unreachable
		after     time.Duration
		want      int
	}
	scenarios := []scenario{
		{testName: "executors are being replaced", executors: 128, after: 4 * time.Second, want: 1},
		{testName: "executors were added", executors: 128, after: 20 * time.Second, want: 2},
		{testName: "the owner is lost", executors: 88, lost: true, after: 3 * time.Second, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &common.ManualClock{At: time.Minute}
			n.Clock = clock
			n.settings.Weight, n.settings.LinkMbps = 800, 200
			n.setRows([]Member{n.ownRow()})
			n.claims.SetClaims(otherAddress, []ownership.Claim{{Cell: "z", Token: 1}})
			c.Assert(n.cellCounts(map[string]int{"z": 88})["z"], qt.Equals, 1)
			if s.lost {
				n.claims.Forget(otherAddress)
			}
			n.cellCounts(map[string]int{"z": s.executors})
			clock.At += s.after
			c.Assert(n.cellCounts(map[string]int{"z": s.executors})["z"], qt.Equals, s.want)
		})
	}
}
