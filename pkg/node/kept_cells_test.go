package node

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

func TestSuccessorsOfACell(t *testing.T) {
	type scenario struct {
		testName string
		count    int               // cells of the domain
		claims   []ownership.Claim // of another host
		unread   bool              // the list of executors can't be read
		want     []string          // nil if it isn't known that they have replaced the cell
	}
	both := []ownership.Claim{{Cell: "z/2.0", Token: 2}, {Cell: "z/2.1", Token: 3}}
	scenarios := []scenario{
		{testName: "both new cells have owners", count: 2, claims: both, want: []string{"z/2.0", "z/2.1"}},
		{testName: "one of them has none yet", count: 2, claims: both[:1]},
		{testName: "the former cell still has one", count: 2, claims: append([]ownership.Claim{{Cell: "z", Token: 1}}, both...)},
		{testName: "the cell was not removed", count: 1, claims: both},
		{testName: "the list may be outdated", count: 2, claims: both, unread: true},
		{testName: "no executor is listed", claims: both},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			list := &catalog.Executors{ByID: map[string]catalog.Executor{}}
			if s.count > 0 {
				for _, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"} {
					list.ByID[address] = listedExecutor(address, address)
				}
			}
			n.executors.Store(newListing(0, list, sizesOf(list), map[string]int{"z": s.count}))
			n.listReadFails.Store(s.unread)
			n.claims.SetClaims(otherAddress, s.claims)
			cells, ok := (&keptHost{node: n}).Successors("z")
			c.Assert(ok, qt.Equals, s.want != nil)
			if ok {
				c.Assert(cells, qt.DeepEquals, s.want)
			}
		})
	}
}

func TestAJobIsMovedAmongTheCellsThatReplaceItsOwn(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	load := func(free int64) ownership.Load {
		return ownership.Load{Ready: true, Services: []string{"s"}, CapacityCPU: 1000, FreeCPU: free}
	}
	n.claims.SetClaims(otherAddress, []ownership.Claim{
		{Cell: "y", Token: 1, Load: load(900)}, {Cell: "z/2.0", Token: 2, Load: load(500)}, {Cell: "z/2.1", Token: 3, Load: load(800)},
	})
	host, j := &keptHost{node: n}, &job.Job{Service: "s"}
	cell, ok := host.ChooseAmong([]string{"z/2.0", "z/2.1"}, j, nil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(cell, qt.Equals, "z/2.1")
	_, ok = host.ChooseAmong([]string{"z/2.0", "z/2.1"}, &job.Job{Service: "other"}, nil)
	c.Assert(ok, qt.IsFalse)
}
