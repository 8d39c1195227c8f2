package ownership

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	domain = "here" // also the name of its only cell
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
		testName     string
		view         View
		claims       map[string]int64 // token by owner
		now          time.Duration
		earlierCheck time.Duration // time of an earlier check without an owner
		want         bool
	}
	scenarios := []scenario{
		{testName: "no other host and no owner", view: View{Self: host("a", domain), Expected: 1}, now: later, want: true},
		{testName: "too early to have received claims", view: View{Self: host("a", domain), Expected: 1}, now: 100 * time.Millisecond},
		{testName: "early, but all have reported", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2}, now: 400 * time.Millisecond, want: true},
		{testName: "all hosts in the rows have reported, but rows may be missing", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2}, now: 300 * time.Millisecond},
		{testName: "early, but restarted: the rows are complete", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2, Restarted: true}, now: 100 * time.Millisecond, want: true},
		{testName: "restarted, most have reported, one row is of a removed host", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 3, Restarted: true}, now: 400 * time.Millisecond, want: true},
		{testName: "restarted, most have reported, but the last may still do so", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 3, Restarted: true}, now: 300 * time.Millisecond},
		{testName: "most have reported, but without an earlier row they may be only the seeds", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 3}, now: 500 * time.Millisecond},
		{testName: "restarted, but only half have reported", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 4, Restarted: true}, now: 600 * time.Millisecond},
		{testName: "the owner is far weaker", view: View{Self: host("a", domain), Up: []Host{weak}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "the owner is a little weaker", view: View{Self: host("a", domain), Up: []Host{slightlyWeak}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later},
		{testName: "another host owns it", view: View{Self: host("a", domain), Up: []Host{host("b", domain)}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later},
		{testName: "the owner is unreachable", view: View{Self: host("a", domain), Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "the owner is leaving", view: View{Self: host("a", domain), Up: []Host{leaving}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "the owner is of another domain", view: View{Self: host("a", domain), Up: []Host{host("b", "there")}, Expected: 2}, claims: map[string]int64{"b": 5}, now: later, want: true},
		{testName: "this host is leaving", view: View{Self: leaving, Expected: 1}, now: later},
		{testName: "isolated", view: View{Self: host("a", domain), Expected: 5}, now: later},
		{testName: "isolated for longer than the limit", view: View{Self: host("a", domain), Expected: 5}, earlierCheck: later, now: later + 3*time.Second, want: true},
		{testName: "the domain has hosts of its own", view: View{Self: host("a", "there"), Up: []Host{host("b", domain)}, Expected: 2}, earlierCheck: later, now: later + 10*time.Second},
		{testName: "the domain is empty, but for less than the limit", view: View{Self: host("a", "there"), Expected: 1}, earlierCheck: later, now: later + time.Second},
		{testName: "the domain is empty for longer than the limit", view: View{Self: host("a", "there"), Expected: 1}, earlierCheck: later, now: later + 4*time.Second, want: true},
		{testName: "an isolated host reaches no host of the domain", view: View{Self: host("a", "there"), Expected: 5}, earlierCheck: later, now: later + 10*time.Second},
		{testName: "most hosts are out of reach, and the domain has not answered in the store", view: View{Self: host("a", "there"), Expected: 5, LostDomains: map[string]bool{domain: true}}, earlierCheck: later, now: later + 4*time.Second, want: true},
		{testName: "most hosts are out of reach, and another domain has not answered in the store", view: View{Self: host("a", "there"), Expected: 5, LostDomains: map[string]bool{"elsewhere": true}}, earlierCheck: later, now: later + 10*time.Second},
		{testName: "the domain has not answered in the store, but is empty for less than the limit", view: View{Self: host("a", "there"), Expected: 5, LostDomains: map[string]bool{domain: true}}, earlierCheck: later, now: later + 2*time.Second},
		{testName: "most hosts have ended", view: View{Self: host("a", "there"), Expected: 5, Ended: 2}, earlierCheck: later, now: later + 4*time.Second, want: true},
		{testName: "some hosts have ended, and most are out of reach", view: View{Self: host("a", "there"), Expected: 5, Ended: 1}, earlierCheck: later, now: later + 10*time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(DefaultLimits(), 0)
			for owner, token := range s.claims {
				table.SetClaims(owner, claimOf(owner, token))
			}
			if s.earlierCheck > 0 {
				table.ShouldClaim(domain, domain, s.view, s.earlierCheck)
			}
			qt.Assert(t, table.ShouldClaim(domain, domain, s.view, s.now), qt.Equals, s.want)
		})
	}
}

// Guards against evidence of a loss that is sought only once a cell may be claimed, so that the waits add up.
func TestAHostLooksForEvidenceWhileItWaitsForALoss(t *testing.T) {
	c := qt.New(t)
	view := View{Self: host("a", "there"), Up: []Host{host("b", "elsewhere")}, Expected: 5}
	table := NewTable(DefaultLimits(), 0)
	c.Assert(table.ReadinessFor(domain, domain, view, later), qt.Equals, AwaitsLoss)
	c.Assert(table.ReadinessFor(domain, domain, view, later+time.Minute), qt.Equals, AwaitsLoss)
	view.LostDomains = map[string]bool{domain: true}
	c.Assert(table.ReadinessFor(domain, domain, view, later+time.Minute), qt.Equals, MayClaim)
	other := view
	other.Self, other.Up = view.Up[0], []Host{view.Self}
	c.Assert(NewTable(DefaultLimits(), 0).ReadinessFor(domain, domain, other, later), qt.Equals, NotCandidate, qt.Commentf("one host of all"))
}

// Guards against a host that was cut off, reaches half of the hosts again, and claims the cells of a domain whose
// links are about to come up.
func TestAHostThatWasCutOffAwaitsTheLinksToOtherDomains(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	few := View{Self: host("a", "there"), Expected: 3}
	half := View{Self: host("a", "there"), Up: []Host{host("b", "elsewhere")}, Expected: 3}
	c.Assert(table.ShouldClaim(domain, domain, few, later), qt.IsFalse)
	mended := later + time.Minute
	c.Assert(table.ShouldClaim(domain, domain, few, mended), qt.IsFalse)
	ranked := table.ranksFirst(domain, half.Self, half.Up)
	c.Assert(table.ShouldClaim(domain, domain, half, mended+DefaultLimits().HalfReached-1), qt.IsFalse)
	c.Assert(table.ShouldClaim(domain, domain, half, mended+DefaultLimits().HalfReached), qt.Equals, ranked)
	c.Assert(ranked, qt.IsTrue, qt.Commentf("choose other names"))
	few.LostDomains = map[string]bool{domain: true}
	c.Assert(table.ShouldClaim(domain, domain, few, mended+time.Minute), qt.IsTrue, qt.Commentf("the store's evidence needs no such wait"))
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
		{testName: "the own domain while it has free capacity", claims: []Claim{{Cell: "here", Load: load(0, 500)}, {Cell: "there", Load: load(0, 1000)}}, want: "here"},
		{testName: "another domain when the own queue is long", claims: []Claim{{Cell: "here", Load: load(200_000, 0)}, {Cell: "there", Load: load(0, 1000)}}, want: "there"},
		{testName: "the own domain when both queues are long", claims: []Claim{{Cell: "here", Load: load(200_000, 0)}, {Cell: "there", Load: load(150_000, 0)}}, want: "here"},
		{testName: "another domain when no owner of the own one is ready", claims: []Claim{{Cell: "here", Load: Load{Services: []string{"s"}}}, {Cell: "there", Load: load(0, 1000)}}, want: "there"},
		{testName: "no cell serves it", claims: []Claim{{Cell: "here", Load: Load{Ready: true, Services: []string{"other"}}}}},
		{testName: "the cell of the own domain with more free capacity", claims: []Claim{{Cell: "here/2.0", Load: load(0, 300)}, {Cell: "here/2.1", Load: load(0, 500)}}, want: "here/2.1"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			claim, found := Choose(s.claims, "here", "s", 100)
			qt.Assert(t, claim.Cell, qt.Equals, s.want)
			qt.Assert(t, found, qt.Equals, s.want != "")
		})
	}
}

func TestCellCount(t *testing.T) {
	c := qt.New(t)
	for _, s := range []struct{ executors, want int }{{0, 1}, {48, 1}, {76, 1}, {77, 2}, {152, 2}, {153, 4}, {3222, 64}} {
		c.Assert(CellCount(s.executors, maxCellSize), qt.Equals, s.want, qt.Commentf("%d executors", s.executors))
	}
	c.Assert(CellCount(24, 12), qt.Equals, 2)
	c.Assert(CellCount(24, 0), qt.Equals, 32, qt.Commentf("an invalid size"))
	c.Assert(CellOf("z", "10.0.0.1:1", 1), qt.Equals, "z")
	c.Assert(DomainOf(CellOf("z", "10.0.0.1:1", 4)), qt.Equals, "z")
	c.Assert(CellOf("z", "10.0.0.1:1", 4), qt.Equals, CellOf("z", "10.0.0.1:1", 4))
}

func TestWeakHostsRarelyOwnCells(t *testing.T) {
	small, large := host("small", domain), host("large", domain)
	small.Weight, large.Weight = 192, 800
	owned := 0
	table := NewTable(DefaultLimits(), 0)
	const cells = 1000
	for i := range cells {
		if table.ranksFirst(CellOf(domain, string(rune(i)), 1<<20), small, []Host{large}) {
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
		{testName: "one cell per domain: all", cells: []string{"near", "far", "further"}, want: 3},
		{testName: "many: all of the own domain, two of each other", cells: cells, want: 8 + 2*2},
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

func TestCellSize(t *testing.T) {
	type scenario struct {
		testName string
		host     Capacity
		want     int
	}
	scenarios := []scenario{
		{testName: "nothing known", want: maxCellSize},
		{testName: "a strong host", host: Capacity{CPU: 800, LinkMbps: 200}, want: maxCellSize},
		{testName: "0.4 of a core and 1000 Mbit/s", host: Capacity{CPU: 400, LinkMbps: 1000}, want: 40},
		{testName: "0.192 of a core and 25 Mbit/s", host: Capacity{CPU: 192, LinkMbps: 25}, want: 19},
		{testName: "a slow link", host: Capacity{CPU: 800, LinkMbps: 2}, want: 12},
		{testName: "the minimum", host: Capacity{CPU: 1, LinkMbps: 0.1}, want: minCellSize},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, CellSize(s.host), qt.Equals, s.want)
		})
	}
}

// Hosts with slow links can serve a domain only together, so each has to own a cell.
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
			if !table.ranksFirst(cell, self, others) {
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

func TestKeepCount(t *testing.T) {
	type scenario struct {
		testName  string
		executors int
		inUse     int
		want      int
	}
	scenarios := []scenario{
		{testName: "no claims yet", executors: 26, want: 4},
		{testName: "replaced executors are still listed", executors: 30, inUse: 2, want: 2},
		{testName: "far more executors", executors: 48, inUse: 2, want: 4},
		{testName: "some executors removed", executors: 12, inUse: 4, want: 4},
		{testName: "nearly all executors removed", executors: 3, inUse: 4, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(StableCellCount(s.executors, 12, s.inUse), qt.Equals, s.want)
		})
	}
}

func TestCountInUseFollowsNewestClaim(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	c.Assert(table.ClaimedCellCount("z"), qt.Equals, 0)
	table.SetClaims("a", []Claim{{Cell: "z/2.1", Token: 7}, {Cell: "y/8.1", Token: 9}})
	c.Assert(table.ClaimedCellCount("z"), qt.Equals, 2)
	table.SetClaims("b", []Claim{{Cell: "z", Token: 8}})
	c.Assert(table.ClaimedCellCount("z"), qt.Equals, 1)
	table.Forget("b")
	c.Assert(table.ClaimedCellCount("z"), qt.Equals, 2, qt.Commentf("an unreachable owner doesn't count"))
}

// Cells are sized for one host each. The first host to start may own two; an equally strong
// host that owns none has to claim one of them, and only one.
func TestIdleHostClaimsOneCellFromOwnerOfTwo(t *testing.T) {
	type scenario struct {
		testName string
		weight   int // of the host that owns no cell
		want     int // number of cells that it claims
	}
	scenarios := []scenario{
		{testName: "claimed by an equally strong host", weight: 120, want: 1},
		{testName: "not claimed by a weaker host", weight: 100, want: 0},
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

// A host that starts while neither the store nor its seeds answer must not claim the cells
// of running owners at once.
func TestHostWithUnknownPeersWaits(t *testing.T) {
	self, near, far := host("a", domain), host("b", domain), host("c", "there")
	type scenario struct {
		testName string
		view     View
		now      time.Duration
		want     bool
	}
	scenarios := []scenario{
		{testName: "reaches no host", view: View{Self: self, Expected: 1}, now: time.Second},
		{testName: "reaches only a host of another domain", view: View{Self: self, Up: []Host{far}, Expected: 2}, now: time.Second},
		{testName: "reaches no host for longer than the limit", view: View{Self: self, Expected: 1}, now: 5 * time.Second, want: true},
		{testName: "reaches a host of its domain", view: View{Self: self, Up: []Host{near}, Expected: 2}, now: time.Second, want: true},
		{testName: "the rows name no other host", view: View{Self: self, Expected: 1, RowsRead: true}, now: time.Second, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			// This host ranks before its neighbour for the cell.
			cell := cellOf(self, near)
			qt.Assert(t, NewTable(DefaultLimits(), 0).ShouldClaim(cell, domain, s.view, s.now), qt.Equals, s.want)
		})
	}
}

// cellOf returns a cell for which the first host ranks before the second.
func cellOf(first, second Host) string {
	for i := 0; ; i++ {
		cell := CellOf(domain, strconv.Itoa(i), 64)
		if NewTable(DefaultLimits(), 0).ranksFirst(cell, first, []Host{second}) {
			return cell
		}
	}
}
