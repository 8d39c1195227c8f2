package member

import "time"

// IsolationLimit is how long a host that reaches no other one of its domain counts as isolated, from the
// loss of the last one or from the last sign in the platform's store that another one lives. After that
// the others count as lost, so that the last host of a domain serves.
const IsolationLimit = 3 * time.Second

// minLost is how many hosts of its domain have to be out of reach for a host to count as alone, or of
// all domains if it reaches no host at all. A single one that is out of reach is more likely to have failed.
const minLost = 2

// IsIsolated reports whether this host is probably cut off from the other hosts of its domain: it
// is alone, and nothing shows yet that the others are lost.
func (t *Table) IsIsolated(now time.Duration) bool {
	return now < max(t.aloneSince, t.confirmedAt)+IsolationLimit && t.IsAlone()
}

// IsAlone reports whether this host reaches no other one of its domain, though several should be running.
func (t *Table) IsAlone() bool {
	if t.ReachesDomainHost("") {
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
		if address != except && t.isOtherOfDomain(peer) {
			return true
		}
	}
	return false
}

// isOtherOfDomain reports whether a peer is another host of this domain.
func (t *Table) isOtherOfDomain(peer Peer) bool {
	return peer.Domain == t.self.Domain && peer.Incarnation != t.self.Incarnation
}
