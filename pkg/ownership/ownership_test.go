package ownership

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	domain = "here"
	later  = time.Minute
)

func host(address, domain string) Host {
	return Host{Address: address, Domain: domain, Weight: 400, HasReported: true}
}

func claimOf(owner string, token int64) []Claim { return []Claim{{Cell: domain, Token: token}} }

func TestShouldClaim(t *testing.T) {
	leaving := host("b", domain)
	leaving.Leaving = true
	weak, slightlyWeak := host("b", domain), host("b", domain)
	weak.Weight, slightlyWeak.Weight = 10, 300
	type scenario struct {
		testName string
		view     View
		claims   map[string]int64 // token by owner
		now      time.Duration
		looked   time.Duration // at an earlier time, without an owner
		want     bool
	}
	scenarios := []scenario{
		{testName: "alone and no owner", view: View{Self: host("a", domain), Expected: 1}, now: later, want: true},
		{testName: "too early to have heard of owners", view: View{Self: host("a", domain), Expected: 1}, now: 100 * time.Millisecond},
		{testName: "early, but all have told", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2}, now: 400 * time.Millisecond, want: true},
		{testName: "all of the rows have told, but rows may be missing yet", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2}, now: 300 * time.Millisecond},
		{testName: "early, but back: the rows are those of all", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2, Restarted: true}, now: 100 * time.Millisecond, want: true},
		{testName: "most have told, a row is of a host that is gone", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 3, Restarted: true}, now: 400 * time.Millisecond, want: true},
		{testName: "most have told, but it is too early for the last", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 3, Restarted: true}, now: 300 * time.Millisecond},
		{testName: "most have told, but it has no row of before: they may be only its seeds", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 3}, now: 500 * time.Millisecond},
		{testName: "only half have told", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 4, Restarted: true}, now: 600 * time.Millisecond},
		{testName: "the owner is far weaker", view: View{Self: host("a", domain), Up: []Host{weak}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "the owner is a little weaker", view: View{Self: host("a", domain), Up: []Host{slightlyWeak}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later},
		{testName: "another owns it", view: View{Self: host("a", domain), Up: []Host{host("b", domain)}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later},
		{testName: "the owner isn't seen any more", view: View{Self: host("a", domain), Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "the owner leaves", view: View{Self: host("a", domain), Up: []Host{leaving}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "the owner is of another domain", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "leaving itself", view: View{Self: leaving, Expected: 1}, now: later},
		{testName: "isolated: waits", view: View{Self: host("a", domain), Expected: 5}, now: later},
		{testName: "isolated for long", view: View{Self: host("a", domain), Expected: 5}, looked: later, now: later + 3*time.Second, want: true},
		{testName: "the domain has hosts of its own", view: View{Self: host("a", "there"), Up: []Host{host("b", domain)}, Expected: 2}, looked: later, now: later + 10*time.Second},
		{testName: "the domain is empty, but not for long", view: View{Self: host("a", "there"), Expected: 1}, looked: later, now: later + time.Second},
		{testName: "the domain is empty for long", view: View{Self: host("a", "there"), Expected: 1}, looked: later, now: later + 4*time.Second, want: true},
		{testName: "the domain is out of sight of an isolated host", view: View{Self: host("a", "there"), Expected: 5}, looked: later, now: later + 10*time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(DefaultLimits(), 0)
			for owner, token := range s.claims {
				table.SetClaims(owner, claimOf(owner, token))
			}
			if s.looked > 0 {
				table.ShouldClaim(domain, domain, s.view, s.looked)
			}
			qt.Assert(t, table.ShouldClaim(domain, domain, s.view, s.now), qt.Equals, s.want)
		})
	}
}

func TestOnlyOneHostOfADomainClaims(t *testing.T) {
	hosts := []Host{host("a", domain), host("b", domain), host("c", domain)}
	claims := 0
	for i, self := range hosts {
		others := append(append([]Host{}, hosts[:i]...), hosts[i+1:]...)
		if NewTable(DefaultLimits(), 0).ShouldClaim(domain, domain, View{Self: self, Up: others, Expected: 3}, later) {
			claims++
		}
	}
	qt.Assert(t, claims, qt.Equals, 1)
}

func TestChoose(t *testing.T) {
	load := func(queued, free int64) Load {
		return Load{CapacityCPU: 1000, FreeCPU: free, QueuedWork: queued, Ready: true, Services: []string{"s"}}
	}
	type scenario struct {
		testName string
		claims   []Claim
		want     string
	}
	scenarios := []scenario{
		{testName: "no claim"},
		{testName: "the own domain while it has room", claims: []Claim{{Cell: "here", Load: load(0, 500)}, {Cell: "there", Load: load(0, 1000)}}, want: "here"},
		{testName: "another domain when the own queue is long", claims: []Claim{{Cell: "here", Load: load(200_000, 0)}, {Cell: "there", Load: load(0, 1000)}}, want: "there"},
		{testName: "the own domain when both queues are long", claims: []Claim{{Cell: "here", Load: load(200_000, 0)}, {Cell: "there", Load: load(150_000, 0)}}, want: "here"},
		{testName: "another domain when the own has no owner that is ready", claims: []Claim{{Cell: "here", Load: Load{Services: []string{"s"}}}, {Cell: "there", Load: load(0, 1000)}}, want: "there"},
		{testName: "only a cell that serves it", claims: []Claim{{Cell: "here", Load: Load{Ready: true, Services: []string{"other"}}}}},
		{testName: "the roomier of two cells of the own domain", claims: []Claim{{Cell: "here/2.0", Load: load(0, 300)}, {Cell: "here/2.1", Load: load(0, 500)}}, want: "here/2.1"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			claim, found := Choose(s.claims, "here", "s", 100)
			qt.Assert(t, claim.Cell, qt.Equals, s.want)
			qt.Assert(t, found, qt.Equals, s.want != "")
		})
	}
}

func TestCells(t *testing.T) {
	c := qt.New(t)
	for _, s := range []struct{ executors, want int }{{0, 1}, {48, 1}, {76, 1}, {77, 2}, {152, 2}, {153, 4}, {3222, 64}} {
		c.Assert(CellCount(s.executors, largestCell), qt.Equals, s.want, qt.Commentf("%d executors", s.executors))
	}
	c.Assert(CellCount(24, 12), qt.Equals, 2)
	c.Assert(CellCount(24, 0), qt.Equals, 32, qt.Commentf("a size that makes no sense"))
	c.Assert(CellOf("z", "10.0.0.1:1", 1), qt.Equals, "z")
	c.Assert(DomainOf(CellOf("z", "10.0.0.1:1", 4)), qt.Equals, "z")
	c.Assert(CellOf("z", "10.0.0.1:1", 4), qt.Equals, CellOf("z", "10.0.0.1:1", 4))
}

func TestAHostWithLittleProcessorTimeRarelyOwns(t *testing.T) {
	small, large := host("small", domain), host("large", domain)
	small.Weight, large.Weight = 192, 800
	owned := 0
	table := NewTable(DefaultLimits(), 0)
	const cells = 1000
	for i := range cells {
		if table.first(CellOf(domain, string(rune(i)), 1<<20), small, []Host{large}) {
			owned++
		}
	}
	qt.Assert(t, owned < cells/20, qt.IsTrue, qt.Commentf("%d of %d", owned, cells))
}

func TestFollowedCells(t *testing.T) {
	var cells []string
	for _, domain := range []string{"near", "far", "further"} {
		for i := range 8 {
			cells = append(cells, CellOf(domain, string(rune('a'+i)), 1<<10))
		}
	}
	type scenario struct {
		testName string
		cells    []string
		want     int
	}
	scenarios := []scenario{
		{testName: "one cell a domain: all", cells: []string{"near", "far", "further"}, want: 3},
		{testName: "many: all of the own domain, a few of each other", cells: cells, want: 8 + 2*2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			followed := FollowedCells(s.cells, "host", "near", 2)
			c.Assert(followed, qt.HasLen, s.want)
			for _, cell := range s.cells {
				if DomainOf(cell) == "near" {
					c.Assert(followed[cell], qt.IsTrue)
				}
			}
		})
	}
}

func TestCellsFitTheHostThatOwnsThem(t *testing.T) {
	type scenario struct {
		testName string
		host     Capacity
		want     int
	}
	scenarios := []scenario{
		{testName: "nothing known", want: largestCell},
		{testName: "a strong host", host: Capacity{CPU: 800, LinkMbps: 200}, want: largestCell},
		{testName: "0.4 of a core and 1000 Mbit/s", host: Capacity{CPU: 400, LinkMbps: 1000}, want: 40},
		{testName: "0.192 of a core and 25 Mbit/s", host: Capacity{CPU: 192, LinkMbps: 25}, want: 19},
		{testName: "a thin link", host: Capacity{CPU: 800, LinkMbps: 2}, want: 12},
		{testName: "hardly anything", host: Capacity{CPU: 1, LinkMbps: 0.1}, want: smallestCell},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, CellSize(s.host), qt.Equals, s.want)
		})
	}
}

// Hosts with thin links serve a domain only together: each has to take a cell.
func TestCellsAreSpreadOverEqualHosts(t *testing.T) {
	c := qt.New(t)
	hosts := []Host{host("a", domain), host("b", domain), host("c", domain), host("d", domain)}
	owned := map[string]int{}
	table := NewTable(DefaultLimits(), 0)
	claims := map[string][]Claim{}
	for i := range 8 {
		cell := CellOf(domain, string(rune('a'+i)), 1<<10)
		for at, self := range hosts {
			others := append(append([]Host{}, hosts[:at]...), hosts[at+1:]...)
			if !table.first(cell, self, others) {
				continue
			}
			owned[self.Address]++
			claims[self.Address] = append(claims[self.Address], Claim{Cell: cell, Token: int64(i + 1)})
			table.SetClaims(self.Address, claims[self.Address])
			break
		}
	}
	for _, self := range hosts {
		c.Assert(owned[self.Address] >= 1, qt.IsTrue, qt.Commentf("%v", owned))
		c.Assert(owned[self.Address] <= 3, qt.IsTrue, qt.Commentf("%v", owned))
	}
}

func TestADomainKeepsItsNumberOfCells(t *testing.T) {
	type scenario struct {
		testName  string
		executors int
		inUse     int
		want      int
	}
	scenarios := []scenario{
		{testName: "no claims yet", executors: 26, want: 4},
		{testName: "some are replaced, the old ones listed yet", executors: 30, inUse: 2, want: 2},
		{testName: "many more", executors: 48, inUse: 2, want: 4},
		{testName: "some are gone", executors: 12, inUse: 4, want: 4},
		{testName: "nearly all are gone", executors: 3, inUse: 4, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(KeepCount(s.executors, 12, s.inUse), qt.Equals, s.want)
		})
	}
}

func TestTheNewestClaimTellsTheNumberOfCells(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	c.Assert(table.CountInUse("z"), qt.Equals, 0)
	table.SetClaims("a", []Claim{{Cell: "z/2.1", Token: 7}, {Cell: "y/8.1", Token: 9}})
	c.Assert(table.CountInUse("z"), qt.Equals, 2)
	table.SetClaims("b", []Claim{{Cell: "z", Token: 8}})
	c.Assert(table.CountInUse("z"), qt.Equals, 1)
	table.Forget("b")
	c.Assert(table.CountInUse("z"), qt.Equals, 2, qt.Commentf("an owner that is gone doesn't count"))
}

// Cells are made for a host each. One that has taken two, as it started first,
// gives one to a host of its kind that owns none, and keeps the other.
func TestAHostThatOwnsTwoCellsGivesOneUp(t *testing.T) {
	type scenario struct {
		testName string
		weight   int // of the host that owns none
		want     int // cells that it takes
	}
	scenarios := []scenario{
		{testName: "to its like", weight: 120, want: 1},
		{testName: "not to a weaker one", weight: 100, want: 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			owner, idle := host("b", domain), host("a", domain)
			owner.Weight, idle.Weight = 120, s.weight
			table := NewTable(DefaultLimits(), 0)
			cells := []string{CellOf(domain, "x", 2), CellOf(domain, "y", 1<<10)}
			table.SetClaims("b", []Claim{{Cell: cells[0], Token: 5}, {Cell: cells[1], Token: 6}})
			view := View{Self: idle, Up: []Host{owner}, Expected: 2}
			var taken []Claim
			for i, cell := range cells {
				if table.ShouldClaim(cell, domain, view, later) {
					taken = append(taken, Claim{Cell: cell, Token: int64(10 + i)})
					table.SetClaims("a", taken)
				}
			}
			c.Assert(taken, qt.HasLen, s.want)
		})
	}
}

// A host that starts while the store doesn't answer, and whose seeds are away,
// would take the cells of owners in good health.
func TestAHostThatKnowsNobodyWaits(t *testing.T) {
	self, near, far := host("a", domain), host("b", domain), host("c", "there")
	type scenario struct {
		testName string
		view     View
		now      time.Duration
		want     bool
	}
	scenarios := []scenario{
		{testName: "it sees nobody", view: View{Self: self, Expected: 1}, now: time.Second},
		{testName: "it sees another domain's host", view: View{Self: self, Up: []Host{far}, Expected: 2}, now: time.Second},
		{testName: "for long", view: View{Self: self, Expected: 1}, now: 5 * time.Second, want: true},
		{testName: "it sees a host of its domain", view: View{Self: self, Up: []Host{near}, Expected: 2}, now: time.Second, want: true},
		{testName: "the rows name nobody else", view: View{Self: self, Expected: 1, Listed: true}, now: time.Second, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			// The name of the cell ranks this host before its neighbour.
			cell := cellOf(self, near)
			qt.Assert(t, NewTable(DefaultLimits(), 0).ShouldClaim(cell, domain, s.view, s.now), qt.Equals, s.want)
		})
	}
}

// cellOf returns a cell for which a host ranks before another.
func cellOf(first, second Host) string {
	for i := 0; ; i++ {
		cell := CellOf(domain, strconv.Itoa(i), 64)
		if NewTable(DefaultLimits(), 0).first(cell, first, []Host{second}) {
			return cell
		}
	}
}
