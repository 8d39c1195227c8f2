package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mixedDomain lists hosts of a domain, of which every seventh is strong.
func mixedDomain(domain string, count int) []ListedHost {
	hosts := listed(domain, count)
	for i := range hosts {
		hosts[i].Weight = 192
		if i%7 == 0 {
			hosts[i].Weight = 800
		}
	}
	return hosts
}

func tableOf(host ListedHost, hosts []ListedHost) *Table {
	t := NewTable(Peer{Name: host.Name, Domain: host.Domain, Address: host.Address}, nil, 2)
	t.SetListed(hosts)
	return t
}

func TestWantedLinksPerDomainSize(t *testing.T) {
	scenarios := []struct {
		testName string
		hosts    int
		maxLinks int // wanted by any host
	}{
		{"a small domain: links to all", maxMeshSize, maxMeshSize - 1},
		{"a large domain", 2 * maxMeshSize, hubCount + ringLinks},
		{"a far larger domain: no more links", 10 * maxMeshSize, hubCount + ringLinks},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			hosts := mixedDomain("a", s.hosts)
			most := 0
			for _, host := range hosts {
				most = max(most, len(tableOf(host, hosts).Wanted(0)))
			}
			qt.Assert(t, most, qt.Equals, s.maxLinks)
		})
	}
}

// All hosts have to agree on the hubs, which are the strongest hosts.
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
			qt.Assert(t, slices.Contains(want, host.Address), qt.IsTrue, qt.Commentf("a strong host"))
		}
		far := tableOf(ListedHost{Name: "x", Domain: "b", Address: "x:1"}, hosts)
		qt.Assert(t, far.IsHub(host.Address, "a", 0), qt.Equals, slices.Contains(want, host.Address))
	}
}

// An unreachable hub has to be replaced by the next host in rank, and become a hub again
// when its link is up.
func TestUnreachableHubsAreReplaced(t *testing.T) {
	hosts := mixedDomain("a", 100)
	table := tableOf(hosts[1], hosts)
	first, _ := table.hubs(0)
	for _, address := range first[1:] {
		table.LinkUp(Peer{Address: address, Domain: "a"})
	}
	table.Wanted(0)
	hubs, unreachable := table.hubs(hubGracePeriod)
	qt.Assert(t, hubs, qt.DeepEquals, first, qt.Commentf("within the grace period"))
	qt.Assert(t, unreachable, qt.HasLen, 0)
	hubs, unreachable = table.hubs(hubGracePeriod + time.Second)
	qt.Assert(t, hubs, qt.HasLen, hubCount)
	qt.Assert(t, unreachable, qt.DeepEquals, first[:1])
	qt.Assert(t, table.Wanted(hubGracePeriod+time.Second), qt.Contains, first[0], qt.Commentf("still dialled"))

	table.LinkUp(Peer{Address: first[0], Domain: "a"})
	hubs, _ = table.hubs(hubGracePeriod + 2*time.Second)
	qt.Assert(t, hubs, qt.DeepEquals, first)
}

func TestLinksAcceptedInALargeDomain(t *testing.T) {
	hosts := mixedDomain("a", 100)
	table := tableOf(hosts[0], hosts)
	wanted := table.Wanted(0)
	for _, host := range hosts {
		table.LinkAccepted(host.Address, 0)
	}
	table.AddDomainAddresses([]string{hosts[1].Address, hosts[2].Address}, 0)
	qt.Assert(t, table.Wanted(0), qt.DeepEquals, wanted, qt.Commentf("listed hosts get no link in return"))
	qt.Assert(t, table.LinkAccepted("new:1", 0), qt.IsTrue)
	qt.Assert(t, table.LinkAccepted("new:1", 0), qt.IsFalse)
	qt.Assert(t, table.Wanted(0), qt.Contains, "new:1")
}

func TestAllHostsOfASmallDomainAreHubs(t *testing.T) {
	hosts := mixedDomain("a", maxMeshSize)
	for i, host := range hosts {
		qt.Assert(t, tableOf(host, hosts).IsHub(host.Address, "a", 0), qt.IsTrue, qt.Commentf(fmt.Sprint(i)))
	}
}
