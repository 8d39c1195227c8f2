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

func listed(domain string, n int) []ListedHost {
	var list []ListedHost
	for i := range n {
		p := peerNamed(i+1, domain)
		list = append(list, ListedHost{Name: p.Name, Domain: domain, Address: p.Address})
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
		{"only a seed", func(*Table) {}, 0, 1},
		{"own domain listed, without this host", func(t *Table) { t.SetListed(listed("a", 3)) }, 0, 3},
		{"some hosts of another domain", func(t *Table) { t.SetListed(listed("b", 30)) }, 0, 3},
		{"some hosts of each of eight domains", func(t *Table) {
			var all []ListedHost
			for _, domain := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
				all = append(all, listed(domain, 30)...)
			}
			t.SetListed(all)
		}, 0, 17},
		{"announced by a peer", func(t *Table) { t.AddAddresses([]string{"x:1"}, 0) }, 0, 2},
		{"announcement expired", func(t *Table) { t.AddAddresses([]string{"x:1"}, 0) }, gossipTTL + 1, 1},
		{"announcement expired, but link up", func(t *Table) { t.AddAddresses([]string{"x:1"}, 0); t.LinkUp(Peer{Address: "x:1"}) }, gossipTTL + 1, 2},
		{"removed from the list", func(t *Table) { t.SetListed(listed("a", 3)); t.SetListed(nil) }, 0, 1},
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
		{"with two peers", func(t *Table) { t.LinkUp(peerNamed(1, "a")); t.LinkUp(peerNamed(3, "a")) }, 3, true, false},
		{"a peer's link went down", func(t *Table) { t.LinkUp(peerNamed(1, "a")); t.LinkDown("a:1", 0) }, 1, false, true},
		{"a peer is leaving", func(t *Table) { p := peerNamed(1, "a"); p.Leaving = true; t.LinkUp(p) }, 1, false, true},
		{"a peer of another domain", func(t *Table) { t.LinkUp(peerNamed(1, "b")) }, 1, false, true},
		{"this host is leaving", func(t *Table) { t.LinkUp(peerNamed(1, "a")); t.SetLeaving() }, 1, true, false},
		{"two addresses of one host", func(t *Table) { p := peerNamed(1, "a"); t.LinkUp(p); p.Address = "z"; t.LinkUp(p) }, 2, true, false},
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

// A heartbeat that arrives after its link went down, or after the host was replaced, must
// not restore the old peer.
func TestRefreshIgnoresLateHeartbeats(t *testing.T) {
	table := NewTable(peerNamed(1, "a"), nil, 2)
	old := peerNamed(2, "a")
	table.LinkUp(old)
	table.LinkDown(old.Address, 0)
	table.UpdateIfUp(old)
	qt.Assert(t, table.View(once.Incarnation{}).Peers, qt.HasLen, 0)
	replaced := old
	replaced.Incarnation = once.Incarnation{99}
	table.LinkUp(replaced)
	table.UpdateIfUp(old)
	_, ok := table.View(once.Incarnation{}).ByIncarnation(replaced.Incarnation)
	qt.Assert(t, ok, qt.IsTrue)
}

// The backup must change only when its host becomes unreachable, since a change creates new
// replica pairs.
func TestBackupIsKept(t *testing.T) {
	table := NewTable(peerNamed(1, "a"), nil, 2)
	for i := 2; i <= 9; i++ {
		table.LinkUp(peerNamed(i, "a"))
	}
	first := table.View(once.Incarnation{}).Backup
	for i := 10; i <= 30; i++ {
		table.LinkUp(peerNamed(i, "a"))
	}
	qt.Assert(t, table.View(first).Backup, qt.Equals, first)
	backup, ok := table.View(first).ByIncarnation(first)
	qt.Assert(t, ok, qt.IsTrue)
	table.LinkDown(backup.Address, 0)
	next := table.View(first).Backup
	qt.Assert(t, next, qt.Not(qt.Equals), first)
	qt.Assert(t, next.IsZero(), qt.IsFalse)
}

func TestExpected(t *testing.T) {
	setList := func(t *Table) { t.SetListed(listed("a", 3)) }
	leaving := peerNamed(1, "a")
	leaving.Leaving = true
	scenarios := []struct {
		testName string
		prepare  func(*Table)
		count    int
	}{
		{"a seed before the list was read", func(*Table) {}, 1},
		{"an unlisted seed", setList, 2},
		{"an unreachable host", func(t *Table) { setList(t); t.LinkUp(peerNamed(1, "a")); t.LinkDown("a:1", 0) }, 2},
		{"a host that has left but is still listed", func(t *Table) { setList(t); t.LinkUp(leaving); t.LinkDown("a:1", 0) }, 1},
		{"a host that has left but is announced by a peer", func(t *Table) {
			t.SetListed(listed("a", 1))
			t.LinkUp(leaving)
			t.LinkDown("a:1", 0)
			t.AddAddresses([]string{"a:1"}, 0)
		}, 0},
		{"a host that has left and restarted", func(t *Table) { setList(t); t.LinkUp(leaving); t.LinkDown("a:1", 0); t.LinkAccepted("a:1", 0) }, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(peerNamed(2, "a"), []string{"seed:1"}, 2)
			s.prepare(table)
			qt.Assert(t, table.Expected(0), qt.HasLen, s.count)
		})
	}
}

// A host that restarts after leaving may know no other host, so some hosts of its domain
// have to dial it for a while, but must not expect it to be running.
func TestHostsThatLeftAreRedialled(t *testing.T) {
	const hosts = 12
	dialling := func(domain string, now time.Duration) int {
		count := 0
		for self := 2; self <= hosts; self++ {
			table := NewTable(peerNamed(self, domain), nil, 2)
			for other := 1; other <= hosts; other++ {
				if other != self {
					table.LinkUp(peerNamed(other, "a"))
				}
			}
			departed := peerNamed(1, "a")
			departed.Leaving = true
			table.LinkUp(departed)
			table.LinkDown(departed.Address, 0)
			for _, address := range table.Wanted(now) {
				if address == departed.Address {
					count++
				}
			}
			qt.Assert(t, slices.Contains(table.Expected(now), departed.Address), qt.IsFalse)
		}
		return count
	}
	qt.Assert(t, dialling("a", time.Second), qt.Equals, redialers)
	qt.Assert(t, dialling("a", redialPeriod+time.Second), qt.Equals, 0)
}

func TestForgetSeeds(t *testing.T) {
	table := NewTable(peerNamed(1, "a"), []string{"seed:1"}, 2)
	table.SetListed(listed("a", 3))
	table.ForgetSeeds()
	qt.Assert(t, table.Wanted(0), qt.DeepEquals, []string{"a:2", "a:3"})
}
