package ownership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUpdateOfCellCounts(t *testing.T) {
	const size = 76
	type step struct {
		at        time.Duration
		executors int
		claimed   int
		want      int
	}
	type scenario struct {
		testName string
		steps    []step
	}
	scenarios := []scenario{
		{testName: "nothing is claimed: the list may still grow", steps: []step{
			{executors: 10, want: 1},
			{at: time.Second, executors: 200, want: 4},
		}},
		{testName: "a claim by another host is followed at once", steps: []step{
			{executors: 88, claimed: 1, want: 1},
			{at: time.Second, executors: 88, claimed: 2, want: 2},
		}},
		{testName: "replaced executors are listed for some seconds", steps: []step{
			{executors: 88, claimed: 1, want: 1},
			{at: time.Second, executors: 128, claimed: 1, want: 1},
			{at: 8 * time.Second, executors: 128, claimed: 1, want: 1},
			{at: 8500 * time.Millisecond, executors: 88, claimed: 1, want: 1},
			{at: 9 * time.Second, executors: 128, claimed: 1, want: 1},
			{at: 16 * time.Second, executors: 128, claimed: 1, want: 1},
		}},
		{testName: "executors vanish for some seconds", steps: []step{
			{executors: 88, claimed: 4, want: 4},
			{at: time.Second, executors: 30, claimed: 4, want: 4},
			{at: 5 * time.Second, executors: 88, claimed: 4, want: 4},
		}},
		{testName: "executors are added for good", steps: []step{
			{executors: 88, claimed: 1, want: 1},
			{at: time.Second, executors: 154, claimed: 1, want: 1},
			{at: 9 * time.Second, executors: 154, claimed: 1, want: 4},
			{at: 10 * time.Second, executors: 154, claimed: 1, want: 4},
			{at: 11 * time.Second, executors: 154, claimed: 4, want: 4},
		}},
		{testName: "more executors than an owner can serve for long", steps: []step{
			{executors: 20, claimed: 1, want: 1},
			{at: time.Second, executors: 229, claimed: 1, want: 4},
		}},
		{testName: "the owners of all cells are lost", steps: []step{
			{executors: 88, claimed: 1, want: 1},
			{at: time.Second, executors: 88, want: 1},
			{at: 4 * time.Second, executors: 88, want: 1},
			{at: 4100 * time.Millisecond, executors: 88, want: 2},
		}},
		{testName: "the owners are reachable again", steps: []step{
			{executors: 88, claimed: 1, want: 1},
			{at: 3 * time.Second, executors: 88, want: 1},
			{at: 5 * time.Second, executors: 88, want: 2},
			{at: 6 * time.Second, executors: 88, claimed: 1, want: 1},
			{at: 7 * time.Second, executors: 88, want: 1},
		}},
		{testName: "the owners of all cells are lost while a change is due", steps: []step{
			{executors: 154, claimed: 1, want: 1},
			{at: 7 * time.Second, executors: 154, claimed: 1, want: 1},
			{at: 7900 * time.Millisecond, executors: 154, want: 1},
			{at: 8 * time.Second, executors: 154, want: 4},
		}},
		{testName: "two changes one after the other", steps: []step{
			{executors: 154, claimed: 1, want: 1},
			{at: 8 * time.Second, executors: 154, claimed: 1, want: 4},
			{at: 9 * time.Second, executors: 30, claimed: 4, want: 4},
			{at: 16 * time.Second, executors: 30, claimed: 4, want: 4},
			{at: 17 * time.Second, executors: 30, claimed: 4, want: 1},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			counts := NewCellCounts()
			for _, step := range s.steps {
				got := counts.Update("z", step.executors, size, step.claimed, step.at)
				qt.Assert(t, got, qt.Equals, step.want, qt.Commentf("at %v", step.at))
			}
		})
	}
}

func TestCellCountsOfDomainsThatAreNotListed(t *testing.T) {
	c := qt.New(t)
	counts := NewCellCounts()
	counts.Update("z", 88, 76, 1, 0)
	counts.Update("y", 88, 76, 1, 0)
	counts.RetainOnly(map[string]int{"y": 88})
	c.Assert(counts.InUse("z", 0, 0), qt.Equals, 0)
	c.Assert(counts.InUse("y", 0, 0), qt.Equals, 1)
}

// Hosts that count differently, as those of different builds do, agree as soon as they see the same
// claims: each starts from the newest, and keeps it while the executors fill its cells within the
// bounds.
func TestHostsThatCountDifferentlyFollowTheNewestClaim(t *testing.T) {
	const size, addresses, rows = 76, 88, 117
	c := qt.New(t)
	counts := NewCellCounts()
	c.Assert(counts.Update("z", addresses, size, 1, 0), qt.Equals, 1)
	byRows := StableCellCount(rows, size, 1)
	c.Assert(byRows, qt.Equals, 2, qt.Commentf("a host that counts rows claims two cells"))
	for _, now := range []time.Duration{time.Second, time.Minute} {
		c.Assert(counts.Update("z", addresses, size, byRows, now), qt.Equals, 2)
		c.Assert(StableCellCount(rows, size, 2), qt.Equals, 2)
		c.Assert(StableCellCount(addresses, size, 2), qt.Equals, 2)
	}
}
