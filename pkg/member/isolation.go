package member

import "time"

// IsolationLimit is how long a host that reaches no other one of its domain counts as isolated. After that
// the others count as lost, so that the last host of a domain serves.
const IsolationLimit = 3 * time.Second

// minLost is how many hosts of its domain have to be out of reach for a host to count as isolated, or of
// all domains if it reaches no host at all. A single one that is out of reach is more likely to have failed.
const minLost = 2

// IsIsolated reports whether this host is probably cut off from the other hosts of its domain: it
// reaches none of them, though several should be running.
func (t *Table) IsIsolated(now time.Duration) bool {
	if t.ReachesDomainHost("") || now >= t.aloneSince+IsolationLimit {
		return false
	}
	lost, lostInDomain := 0, 0
	for address, host := range t.listed {
		if address == t.self.Address || host.Leaving || t.hasLeft(address) {
			continue
		}
		lost++
		if host.Domain == t.self.Domain {
			lostInDomain++
		}
	}
	return lostInDomain >= minLost || len(t.up) == 0 && lostInDomain > 0 && lost >= minLost
}

// ReachesDomainHost reports whether another host of this domain is reachable at an address other than
// except. A link may lead to this host itself, by a second address.
func (t *Table) ReachesDomainHost(except string) bool {
	for address, peer := range t.up {
		if address != except && peer.Domain == t.self.Domain && peer.Incarnation != t.self.Incarnation {
			return true
		}
	}
	return false
}
