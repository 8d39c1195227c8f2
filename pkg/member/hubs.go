package member

import (
	"cmp"
	"slices"
	"time"
)

// In a small domain all hosts hold links to each other. As the number of such links grows
// with the square of the number of hosts, a host of a large domain holds links only to the
// hubs, which are the strongest hosts of the domain, and to a few other hosts. That is
// enough, since hubs own the domain's cells and read the store for it.
//
// Domains are sized and ranked by the listed hosts: those of the last SetListed.
const (
	// maxMeshSize is the number of hosts of a domain up to which all hold links to each
	// other.
	maxMeshSize = 40
	// hubCount is the number of hubs of a large domain. It has to exceed the number of the
	// domain's cells, so that each cell can have a hub of its own as its owner: cells are
	// sized for one host each.
	hubCount = 20
	// ringLinks is the number of other hosts to which a host of a large domain holds links,
	// so that it isn't cut off when all hubs are lost.
	ringLinks = 4
	// hubGracePeriod is how long a hub may be unreachable before the next host in rank
	// becomes a hub.
	hubGracePeriod = 1500 * time.Millisecond
)

// rankedHosts holds the listed hosts of a domain, those that become hubs first.
type rankedHosts []ListedHost

// rankHosts sorts hosts by descending weight, and hosts of equal weight by a hash on which
// all hosts agree.
func rankHosts(hosts []ListedHost) rankedHosts {
	slices.SortFunc(hosts, func(a, b ListedHost) int {
		return cmp.Or(
			cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(Score(a.Domain, b.Address), Score(a.Domain, a.Address)),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return hosts
}

// isLarge reports whether a domain has too many hosts for each of them to hold links to all
// others.
func (d rankedHosts) isLarge() bool { return len(d) > maxMeshSize }

// rankDomains groups the listed hosts by domain and ranks them.
func (t *Table) rankDomains() {
	byDomain := map[string][]ListedHost{}
	for _, host := range t.listed {
		byDomain[host.Domain] = append(byDomain[host.Domain], host)
	}
	t.domains = map[string]rankedHosts{}
	for domain, hosts := range byDomain {
		t.domains[domain] = rankHosts(hosts)
	}
}

// isUnreachable reports whether a host has been recorded as unreachable (recordUnreachable)
// for longer than hubGracePeriod. It is false for this host itself.
func (t *Table) isUnreachable(address string, now time.Duration) bool {
	if address == t.self.Address {
		return false
	}
	if _, up := t.up[address]; up {
		return false
	}
	since, known := t.unreachableSince[address]
	return known && now > since+hubGracePeriod
}

// hubs returns the hubs of the own domain, and the unreachable hosts that would be hubs in
// place of some of them. It returns at most hubCount of each, and none in a small domain.
func (t *Table) hubs(now time.Duration) (hubs, unreachable []string) {
	own := t.domains[t.self.Domain]
	if !own.isLarge() {
		return nil, nil
	}
	for _, host := range own {
		switch {
		case len(hubs) == hubCount:
			return hubs, unreachable
		case !t.isUnreachable(host.Address, now):
			hubs = append(hubs, host.Address)
		case len(unreachable) < hubCount:
			unreachable = append(unreachable, host.Address)
		}
	}
	return hubs, unreachable
}

// HubSnapshot reports which hosts are hubs at one point in time.
type HubSnapshot struct {
	table   *Table
	ownHubs []string // of the own domain
}

// HubSnapshot computes the hubs once for several calls of IsHub. The table must not change
// between these.
func (t *Table) HubSnapshot(now time.Duration) HubSnapshot {
	own, _ := t.hubs(now)
	return HubSnapshot{table: t, ownHubs: own}
}

// IsHub reports whether a host is a hub, and so may own cells and read the store for its
// domain. Unreachable hubs are replaced only in the own domain. It is also true for all
// hosts of small domains and hosts that aren't listed yet.
func (h HubSnapshot) IsHub(address, domain string) bool {
	hosts := h.table.domains[domain]
	if _, listed := h.table.listed[address]; !hosts.isLarge() || !listed {
		return true
	}
	if domain == h.table.self.Domain {
		return slices.Contains(h.ownHubs, address)
	}
	first := hosts[:hubCount]
	return slices.ContainsFunc(first, func(host ListedHost) bool { return host.Address == address })
}

// IsHub is HubSnapshot.IsHub for a single call.
func (t *Table) IsHub(address, domain string, now time.Duration) bool {
	return t.HubSnapshot(now).IsHub(address, domain)
}

// IsLarge reports whether the own domain has too many hosts for each of them to hold links
// to all others.
func (t *Table) IsLarge() bool { return t.domains[t.self.Domain].isLarge() }

// wantedInDomain returns the hosts of the own domain to keep links to, which may include
// this host. The grace period of a hub whose link is down begins with the first call that
// returns the hub.
func (t *Table) wantedInDomain(now time.Duration) []string {
	own := t.domains[t.self.Domain]
	if !own.isLarge() {
		var all []string
		for _, host := range own {
			all = append(all, host.Address)
		}
		return all
	}
	hubs, unreachable := t.hubs(now)
	wanted := slices.Concat(hubs, unreachable, t.ringNeighbours(own))
	t.recordUnreachable(hubs, now)
	return wanted
}

// recordUnreachable records now for each hub whose link is down and that has no record yet.
// This host has no link to itself and is recorded too, which isUnreachable ignores.
func (t *Table) recordUnreachable(hubs []string, now time.Duration) {
	for _, address := range hubs {
		_, up := t.up[address]
		if _, known := t.unreachableSince[address]; !up && !known {
			t.unreachableSince[address] = now
		}
	}
}

// ringNeighbours returns the hosts that follow this one on a hash ring of the domain's
// hosts.
func (t *Table) ringNeighbours(own rankedHosts) []string {
	ring := make([]string, 0, len(own))
	for _, host := range own {
		ring = append(ring, host.Address)
	}
	slices.SortFunc(ring, func(a, b string) int { return cmp.Compare(Score("", a), Score("", b)) })
	at := slices.Index(ring, t.self.Address)
	var neighbours []string
	for i := range ringLinks {
		neighbours = append(neighbours, ring[(at+1+i+len(ring))%len(ring)])
	}
	return neighbours
}
