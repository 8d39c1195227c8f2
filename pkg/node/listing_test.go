package node

import (
	"strconv"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

func TestSizesOfDomains(t *testing.T) {
	type scenario struct {
		testName  string
		executors []catalog.Executor
		want      map[string]int
	}
	scenarios := []scenario{
		{testName: "no executor", want: map[string]int{}},
		{
			testName: "two domains",
			executors: []catalog.Executor{
				{ID: "a", Domain: "z", Address: "10.0.0.1:80"},
				{ID: "b", Domain: "z", Address: "10.0.0.2:80"},
				{ID: "c", Domain: "y", Address: "10.0.1.1:80"},
			},
			want: map[string]int{"z": 2, "y": 1},
		},
		{
			testName: "an executor has restarted and its former row is still listed",
			executors: []catalog.Executor{
				{ID: "a", Domain: "z", Address: "10.0.0.1:80"},
				{ID: "a-next", Domain: "z", Address: "10.0.0.1:80"},
				{ID: "b", Domain: "z", Address: "10.0.0.2:80"},
			},
			want: map[string]int{"z": 2},
		},
		{
			testName: "two domains use the same address",
			executors: []catalog.Executor{
				{ID: "a", Domain: "z", Address: "10.0.0.1:80"},
				{ID: "b", Domain: "y", Address: "10.0.0.1:80"},
			},
			want: map[string]int{"z": 1, "y": 1},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			list := &catalog.Executors{ByID: map[string]catalog.Executor{}}
			for _, executor := range s.executors {
				list.ByID[executor.ID] = executor
			}
			qt.Assert(t, sizesOf(list), qt.DeepEquals, s.want)
		})
	}
}

// Executors that crash and restart don't divide a domain into more cells, which would fence all
// its owners: the domain has no more executors than before.
func TestRestartedExecutorsDontResizeADomain(t *testing.T) {
	const running, restarted = 88, 29
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.claims.SetClaims(otherAddress, []ownership.Claim{{Cell: "z", Token: 1}})
	n.rowsRead = true
	list := &catalog.Executors{ByID: map[string]catalog.Executor{}}
	for i := range running + restarted {
		id, address := "i-"+strconv.Itoa(i), "10.0.0."+strconv.Itoa(i%running)+":80"
		list.ByID[id] = catalog.Executor{ID: id, Domain: "z", Address: address}
	}
	c.Assert(n.cellCounts(sizesOf(list))["z"], qt.Equals, 1)
}
