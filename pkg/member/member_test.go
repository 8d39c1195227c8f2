package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

func peerNamed(i int, domain string) Peer {
	return Peer{Name: fmt.Sprintf("%s-%d", domain, i), Domain: domain, Address: fmt.Sprintf("%s:%d", domain, i), Incarnation: once.Incarnation{byte(i), domain[0]}}
}

func listed(domain string, n int) []Listed {
	var list []Listed
	for i := range n {
		p := peerNamed(i+1, domain)
		list = append(list, Listed{Name: p.Name, Domain: domain, Address: p.Address})
	}
	return list
}

func TestWanted(t *testing.T) {
	scenarios := []struct {
		testName string
		prepare  func(*Table)
		now      time.Duration
		count    int
	}{
		{"nothing known", func(*Table) {}, 0, 1},
		{"own domain listed, without itself", func(t *Table) { t.SetListed(listed("a", 3)) }, 0, 3},
		{"few of another domain", func(t *Table) { t.SetListed(listed("b", 30)) }, 0, 3},
		{"few of each of eight domains", func(t *Table) {
			var all []Listed
			for _, domain := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
				all = append(all, listed(domain, 30)...)
			}
			t.SetListed(all)
		}, 0, 17},
		{"told by peers", func(t *Table) { t.AddAddresses([]string{"x:1"}, 0) }, 0, 2},
		{"told by peers long ago", func(t *Table) { t.AddAddresses([]string{"x:1"}, 0) }, gossipLife + 1, 1},
		{"told long ago, but up", func(t *Table) { t.AddAddresses([]string{"x:1"}, 0); t.Up(Peer{Address: "x:1"}) }, gossipLife + 1, 2},
		{"off the list", func(t *Table) { t.SetListed(listed("a", 3)); t.SetListed(nil) }, 0, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(peerNamed(1, "a"), []string{"seed:1"}, 2)
			s.prepare(table)
			qt.Assert(t, table.Wanted(s.now), qt.HasLen, s.count)
		})
	}
}

func TestView(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(*Table)
		owners   int
		backup   bool
		reader   bool
	}{
		{"alone", func(*Table) {}, 1, false, true},
		{"with two peers", func(t *Table) { t.Up(peerNamed(1, "a")); t.Up(peerNamed(3, "a")) }, 3, true, false},
		{"a peer is gone", func(t *Table) { t.Up(peerNamed(1, "a")); t.Down("a:1", 0) }, 1, false, true},
		{"a peer is leaving", func(t *Table) { p := peerNamed(1, "a"); p.Leaving = true; t.Up(p) }, 1, false, true},
		{"another domain's hosts", func(t *Table) { t.Up(peerNamed(1, "b")) }, 1, false, true},
		{"itself is leaving", func(t *Table) { t.Up(peerNamed(1, "a")); t.SetLeaving() }, 1, true, false},
		{"two addresses of one host", func(t *Table) { p := peerNamed(1, "a"); t.Up(p); p.Address = "z"; t.Up(p) }, 2, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(peerNamed(2, "a"), nil, 2)
			s.change(table)
			view := table.View(once.Incarnation{})
			qt.Assert(t, view.Owners(), qt.HasLen, s.owners)
			qt.Assert(t, !view.Backup.IsZero(), qt.Equals, s.backup)
			qt.Assert(t, view.IsReader, qt.Equals, s.reader)
		})
	}
}

// TestLateHeartbeat: a heartbeat that comes after its link went down, or after
// the host was replaced, brings nobody back.
func TestLateHeartbeat(t *testing.T) {
	table := NewTable(peerNamed(1, "a"), nil, 2)
	old := peerNamed(2, "a")
	table.Up(old)
	table.Down(old.Address, 0)
	table.Refresh(old)
	qt.Assert(t, table.View(once.Incarnation{}).Peers, qt.HasLen, 0)
	replaced := old
	replaced.Incarnation = once.Incarnation{99}
	table.Up(replaced)
	table.Refresh(old)
	_, ok := table.View(once.Incarnation{}).ByIncarnation(replaced.Incarnation)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestBackupIsKept: the backup changes only when it goes, since a change costs
// new homes.
func TestBackupIsKept(t *testing.T) {
	table := NewTable(peerNamed(1, "a"), nil, 2)
	for i := 2; i <= 9; i++ {
		table.Up(peerNamed(i, "a"))
	}
	first := table.View(once.Incarnation{}).Backup
	for i := 10; i <= 30; i++ {
		table.Up(peerNamed(i, "a"))
	}
	qt.Assert(t, table.View(first).Backup, qt.Equals, first)
	backup, ok := table.View(first).ByIncarnation(first)
	qt.Assert(t, ok, qt.IsTrue)
	table.Down(backup.Address, 0)
	next := table.View(first).Backup
	qt.Assert(t, next, qt.Not(qt.Equals), first)
	qt.Assert(t, next.IsZero(), qt.IsFalse)
}

func TestHostsThatShouldBeThere(t *testing.T) {
	stay := func(t *Table) { t.SetListed(listed("a", 3)) }
	leaving := peerNamed(1, "a")
	leaving.Leaving = true
	scenarios := []struct {
		testName string
		prepare  func(*Table)
		count    int
	}{
		{"a seed, before there is a list", func(*Table) {}, 1},
		{"a seed that isn't listed", stay, 2},
		{"one out of sight", func(t *Table) { stay(t); t.Up(peerNamed(1, "a")); t.Down("a:1", 0) }, 2},
		{"one that has left, and is listed yet", func(t *Table) { stay(t); t.Up(leaving); t.Down("a:1", 0) }, 1},
		{"one that has left, as a peer doesn't know", func(t *Table) {
			t.SetListed(listed("a", 1))
			t.Up(leaving)
			t.Down("a:1", 0)
			t.AddAddresses([]string{"a:1"}, 0)
		}, 0},
		{"one that has left and is back", func(t *Table) { stay(t); t.Up(leaving); t.Down("a:1", 0); t.LinkAccepted("a:1", 0) }, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(peerNamed(2, "a"), []string{"seed:1"}, 2)
			s.prepare(table)
			qt.Assert(t, table.Expected(0), qt.HasLen, s.count)
		})
	}
}

// TestHostsThatLeftAreDialled: one that starts again may know nobody, so a few
// of its domain look for it for a while; it doesn't count as missing.
func TestHostsThatLeftAreDialled(t *testing.T) {
	const hosts = 12
	dialling := func(domain string, now time.Duration) int {
		count := 0
		for self := 2; self <= hosts; self++ {
			table := NewTable(peerNamed(self, domain), nil, 2)
			for other := 1; other <= hosts; other++ {
				if other != self {
					table.Up(peerNamed(other, "a"))
				}
			}
			gone := peerNamed(1, "a")
			gone.Leaving = true
			table.Up(gone)
			table.Down(gone.Address, 0)
			for _, address := range table.Wanted(now) {
				if address == gone.Address {
					count++
				}
			}
			qt.Assert(t, slices.Contains(table.Expected(now), gone.Address), qt.IsFalse)
		}
		return count
	}
	qt.Assert(t, dialling("a", time.Second), qt.Equals, leftDiallers)
	qt.Assert(t, dialling("a", leftLife+time.Second), qt.Equals, 0)
}

func TestSeedsAreForgottenOnceThereIsAList(t *testing.T) {
	table := NewTable(peerNamed(1, "a"), []string{"seed:1"}, 2)
	table.SetListed(listed("a", 3))
	table.ForgetSeeds()
	qt.Assert(t, table.Wanted(0), qt.DeepEquals, []string{"a:2", "a:3"})
}
