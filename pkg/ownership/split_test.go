package ownership

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSplit(t *testing.T) {
	cell := func(name string, capacity int64) Claim {
		return Claim{Cell: name, Load: Load{CapacityCPU: capacity, Ready: true, Services: []string{"s"}}}
	}
	notReady := cell("c", 1000)
	notReady.Load.Ready = false
	other := cell("c", 1000)
	other.Load.Services = []string{"t"}
	a, b := cell("a", 1000), cell("b", 1000)
	type scenario struct {
		testName string
		claims   []Claim
		free     int64 // in the chosen cell
		queued   int64 // in the chosen cell
		tasks    int
		want     []Share
	}
	scenarios := []scenario{
		{testName: "a narrow job is not split", claims: []Claim{a, b}, tasks: 1},
		{testName: "a wide job is split", claims: []Claim{a, b}, tasks: 8, want: []Share{{"a", 4}, {"b", 4}}},
		{testName: "a wide job with twice its need free is not split", claims: []Claim{a, b}, free: 1000, tasks: 5},
		{testName: "a wide job with less than twice its need free is split", claims: []Claim{a, b}, free: 900, tasks: 5, want: []Share{{"a", 3}, {"b", 2}}},
		{testName: "free capacity does not count while work is queued", claims: []Claim{a, b}, free: 1000, queued: 1, tasks: 4, want: []Share{{"a", 2}, {"b", 2}}},
		{testName: "in proportion to capacity; the chosen cell gets the remainder", claims: []Claim{a, cell("b", 500), cell("c", 2000)}, tasks: 8, want: []Share{{"a", 3}, {"b", 1}, {"c", 4}}},
		{testName: "no split with a cell too small for a task", claims: []Claim{a, cell("b", 10)}, tasks: 8},
		{testName: "no split with one cell", claims: []Claim{a}, tasks: 8},
		{testName: "no split with cells that are not ready or serve another service", claims: []Claim{a, notReady, other}, tasks: 8},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			chosen := a
			chosen.Load.FreeCPU, chosen.Load.QueuedWork = s.free, s.queued
			shares := Split(s.claims, chosen, "s", s.tasks, 100)
			c.Assert(shares, qt.DeepEquals, s.want)
			sum := 0
			for _, share := range shares {
				sum += share.Tasks
			}
			c.Assert(sum == s.tasks || shares == nil, qt.IsTrue)
		})
	}
}

func TestSplitWithoutCapacity(t *testing.T) {
	chosen := Claim{Cell: "a"}
	qt.Assert(t, Split([]Claim{chosen}, chosen, "s", 8, 100), qt.IsNil)
}
