package node

import (
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// nonOwnerSlowdown multiplies the heartbeat interval towards hosts that own no cell, while
// all cells of the domain have owners.
const nonOwnerSlowdown = 10

// distantOwnerSlowdown multiplies the heartbeat interval towards owners that have no job of
// this host and whose cells it would not claim. These are the owners in other domains, while
// its own domain has capacity, and for a host that isn't a hub also those in its own domain.
// Their heartbeats only provide their loads.
const distantOwnerSlowdown = 4

// Slowdown implements peer.Pacer. An owner needs no frequent heartbeats towards the fronts
// whose jobs it has, since it monitors the fronts' own heartbeats.
func (n *Node) Slowdown(address string) int {
	dispatched := n.front.dispatchedTo(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.asksFrequently(address), dispatched:
		return 1
	case n.claims.OwnsIn(address, n.settings.Domain):
		if n.isHub.Load() {
			return 1
		}
		return distantOwnerSlowdown
	case !n.claims.Owns(address):
		return nonOwnerSlowdown
	case n.shortOfCapacity && !n.onSlowLink():
		return 1
	}
	return distantOwnerSlowdown
}

// asksFrequently reports whether a cell of this domain has no owner that this host reaches, and a node may
// tell whether others hear one, or may be lost as well. n.mu is held.
func (n *Node) asksFrequently(address string) bool {
	if n.witnesses != nil {
		return n.witnesses[address]
	}
	return len(n.unowned) > 0 && n.maybeSameDomain(address)
}

// maybeSameDomain reports whether a node is of the own domain, or may be because the link to
// it is not up. n.mu is held.
func (n *Node) maybeSameDomain(address string) bool {
	peer, up := n.members.UpAt(address)
	return !up || peer.Domain == n.settings.Domain
}

// hasFrequentHeartbeats reports whether heartbeats to another node are frequent even without a
// job there, because this node may claim its cells.
func (n *Node) hasFrequentHeartbeats(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isHub.Load() && n.claims.OwnsIn(address, n.settings.Domain)
}

// updateShortOfCapacity updates whether this domain is short of capacity, so that jobs may have
// to go to other domains. Heartbeats to owners there are then frequent, to keep their loads
// fresh.
func (n *Node) updateShortOfCapacity() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shortOfCapacity = ownership.IsShortOfCapacity(n.claims.Owned(), n.settings.Domain)
}

// updateOwnerless makes heartbeats on the domain's links frequent when a cell of this domain
// has no owner, so that further unreachable hosts are detected soon, and others tell soon whether
// they hear an owner. Once they do, only heartbeats to the witnesses are frequent.
func (n *Node) updateOwnerless(listing *listing) {
	cells := listing.cellsOf(n.settings.Domain)
	n.mu.Lock()
	unowned := n.claims.Unowned(cells)
	witnesses := n.claims.Witnesses(unowned, n.Clock.Now())
	changed := len(unowned) > 0 && witnesses == nil && (len(n.unowned) == 0 || n.witnesses != nil)
	n.unowned, n.witnesses = unowned, witnesses
	n.mu.Unlock()
	if changed {
		n.heartbeats.invalidate()
		n.links.Nudge()
	}
}
