package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mixedDomain lists hosts of a domain of which each seventh is strong.
func mixedDomain(domain string, count int) []Listed {
	hosts := listed(domain, count)
	for i := range hosts {
		hosts[i].Weight = 192
		if i%7 == 0 {
			hosts[i].Weight = 800
		}
	}
	return hosts
}

func tableOf(host Listed, hosts []Listed) *Table {
	t := NewTable(Peer{Name: host.Name, Domain: host.Domain, Address: host.Address}, nil, 2)
	t.SetListed(hosts)
	return t
}

func TestLinksOfADomain(t *testing.T) {
	scenarios := []struct {
		testName string
		hosts    int
		most     int // links that a host wants
	}{
		{"a small one: to all", meshSize, meshSize - 1},
		{"a large one", 2 * meshSize, hubCount + sideLinks},
		{"ten times as large: no more", 10 * meshSize, hubCount + sideLinks},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			hosts := mixedDomain("a", s.hosts)
			most := 0
			for _, host := range hosts {
				most = max(most, len(tableOf(host, hosts).Wanted(0)))
			}
			qt.Assert(t, most, qt.Equals, s.most)
		})
	}
}

// All hosts work out the same hubs, the strongest ones.
func TestHubsAreAgreedOn(t *testing.T) {
	hosts := mixedDomain("a", 100)
	want, _ := tableOf(hosts[0], hosts).hubs(0)
	qt.Assert(t, want, qt.HasLen, hubCount)
	for i, host := range hosts {
		table := tableOf(host, slices.Clone(hosts))
		got, _ := table.hubs(0)
		qt.Assert(t, got, qt.DeepEquals, want)
		qt.Assert(t, table.IsHub(host.Address, "a", 0), qt.Equals, slices.Contains(want, host.Address))
		if i%7 == 0 {
			qt.Assert(t, slices.Contains(want, host.Address), qt.IsTrue, qt.Commentf("a strong one"))
		}
		far := tableOf(Listed{Name: "x", Domain: "b", Address: "x:1"}, hosts)
		qt.Assert(t, far.IsHub(host.Address, "a", 0), qt.Equals, slices.Contains(want, host.Address))
	}
}

// Hubs that are out of sight for long are replaced by the next in rank, and are
// hubs again once they are back.
func TestHubsThatAreMissingAreReplaced(t *testing.T) {
	hosts := mixedDomain("a", 100)
	table := tableOf(hosts[1], hosts)
	first, _ := table.hubs(0)
	for _, address := range first[1:] {
		table.Up(Peer{Address: address, Domain: "a"})
	}
	table.Wanted(0)
	hubs, missing := table.hubs(hubPatience)
	qt.Assert(t, hubs, qt.DeepEquals, first, qt.Commentf("not for long yet"))
	qt.Assert(t, missing, qt.HasLen, 0)
	hubs, missing = table.hubs(hubPatience + time.Second)
	qt.Assert(t, hubs, qt.HasLen, hubCount)
	qt.Assert(t, missing, qt.DeepEquals, first[:1])
	qt.Assert(t, table.Wanted(hubPatience+time.Second), qt.Contains, first[0], qt.Commentf("it is still dialled"))

	table.Up(Peer{Address: first[0], Domain: "a"})
	hubs, _ = table.hubs(hubPatience + 2*time.Second)
	qt.Assert(t, hubs, qt.DeepEquals, first)
}

func TestGreetingsInALargeDomain(t *testing.T) {
	hosts := mixedDomain("a", 100)
	table := tableOf(hosts[0], hosts)
	wanted := table.Wanted(0)
	for _, host := range hosts {
		table.LinkAccepted(host.Address, 0)
	}
	table.AddDomainAddresses([]string{hosts[1].Address, hosts[2].Address}, 0)
	qt.Assert(t, table.Wanted(0), qt.DeepEquals, wanted, qt.Commentf("listed hosts get no link back"))
	qt.Assert(t, table.LinkAccepted("new:1", 0), qt.IsTrue)
	qt.Assert(t, table.LinkAccepted("new:1", 0), qt.IsFalse)
	qt.Assert(t, table.Wanted(0), qt.Contains, "new:1")
}

func TestAllHostsOfASmallDomainAreHubs(t *testing.T) {
	hosts := mixedDomain("a", meshSize)
	for i, host := range hosts {
		qt.Assert(t, tableOf(host, hosts).IsHub(host.Address, "a", 0), qt.IsTrue, qt.Commentf(fmt.Sprint(i)))
	}
}
