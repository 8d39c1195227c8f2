package member

import (
	"cmp"
	"slices"
	"time"
)

// Links between all hosts of a domain grow with the square of their number. So
// only small domains have them. In a large one the strongest hosts are its hubs:
// all hosts hold links to them, and each to a few others besides. Hubs own the
// cells and read the store for the domain, so the others need no more.
const (
	// meshSize is the number of hosts of a domain up to which all hold links to
	// each other.
	meshSize = 40
	// hubCount is how many hubs a large domain has: more than it has cells, by
	// the users' largest deployments (docs/CAPACITY.md).
	hubCount = 20
	// sideLinks is how many other hosts a host of a large domain holds links to,
	// so that it isn't cut off when all hubs are lost.
	sideLinks = 4
	// hubPatience is how long a hub may be out of sight before the next in rank
	// counts as one beside it.
	hubPatience = 1500 * time.Millisecond
)

// domainHosts are the listed hosts of a domain, ranked as hubs.
type domainHosts []Listed

// ranked sorts hosts: the stronger ones first, of equals by a hash that all hosts
// work out alike.
func ranked(hosts []Listed) domainHosts {
	slices.SortFunc(hosts, func(a, b Listed) int {
		return cmp.Or(
			cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(Score(a.Domain, b.Address), Score(a.Domain, a.Address)),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return hosts
}

// large reports whether not all hosts hold links to each other.
func (d domainHosts) large() bool { return len(d) > meshSize }

// rankDomains sorts the listed hosts by domain.
func (t *Table) rankDomains() {
	byDomain := map[string][]Listed{}
	for _, host := range t.listed {
		byDomain[host.Domain] = append(byDomain[host.Domain], host)
	}
	t.domains = map[string]domainHosts{}
	for domain, hosts := range byDomain {
		t.domains[domain] = ranked(hosts)
	}
}

// isMissing reports whether a host that a link is wanted to has been out of sight
// for long.
func (t *Table) isMissing(address string, now time.Duration) bool {
	if address == t.self.Address {
		return false
	}
	if _, up := t.up[address]; up {
		return false
	}
	since, noted := t.missing[address]
	return noted && now > since+hubPatience
}

// hubs returns the hubs of the own domain, and those in rank before them that are
// missing. Both are nil in a small domain.
func (t *Table) hubs(now time.Duration) (hubs, missing []string) {
	own := t.domains[t.self.Domain]
	if !own.large() {
		return nil, nil
	}
	for _, host := range own {
		switch {
		case len(hubs) == hubCount:
			return hubs, missing
		case !t.isMissing(host.Address, now):
			hubs = append(hubs, host.Address)
		case len(missing) < hubCount:
			missing = append(missing, host.Address)
		}
	}
	return hubs, missing
}

// HubTest tells hubs from other hosts as of one moment.
type HubTest struct {
	table *Table
	own   []string // the hubs of the own domain
}

// HubTest works the hubs out for several questions. The table must not change
// between them.
func (t *Table) HubTest(now time.Duration) HubTest {
	own, _ := t.hubs(now)
	return HubTest{table: t, own: own}
}

// IsHub reports whether a host may own cells and read the store for its domain,
// as all hosts of small domains may, and those that aren't listed yet.
func (h HubTest) IsHub(address, domain string) bool {
	hosts := h.table.domains[domain]
	if _, listed := h.table.listed[address]; !hosts.large() || !listed {
		return true
	}
	if domain == h.table.self.Domain {
		return slices.Contains(h.own, address)
	}
	first := hosts[:hubCount]
	return slices.ContainsFunc(first, func(host Listed) bool { return host.Address == address })
}

// IsHub is HubTest for a single question.
func (t *Table) IsHub(address, domain string, now time.Duration) bool {
	return t.HubTest(now).IsHub(address, domain)
}

// IsLarge reports whether the own domain has hosts that hold no links to each
// other.
func (t *Table) IsLarge() bool { return t.domains[t.self.Domain].large() }

// wantedNear returns the hosts of the own domain to hold links to. From the first
// time on that it names a hub, that one counts as missing unless its link is up.
func (t *Table) wantedNear(now time.Duration) []string {
	own := t.domains[t.self.Domain]
	if !own.large() {
		var all []string
		for _, host := range own {
			all = append(all, host.Address)
		}
		return all
	}
	hubs, missing := t.hubs(now)
	wanted := slices.Concat(hubs, missing, t.sides(own))
	t.noteMissing(hubs, now)
	return wanted
}

// noteMissing notes since when hubs have been out of sight.
func (t *Table) noteMissing(hubs []string, now time.Duration) {
	for _, address := range hubs {
		_, up := t.up[address]
		if _, noted := t.missing[address]; !up && !noted {
			t.missing[address] = now
		}
	}
}

// sides returns the hosts that come after this one on a ring of all.
func (t *Table) sides(own domainHosts) []string {
	ring := make([]string, 0, len(own))
	for _, host := range own {
		ring = append(ring, host.Address)
	}
	slices.SortFunc(ring, func(a, b string) int { return cmp.Compare(Score("", a), Score("", b)) })
	at := slices.Index(ring, t.self.Address)
	var sides []string
	for i := range sideLinks {
		sides = append(sides, ring[(at+1+i+len(ring))%len(ring)])
	}
	return sides
}
