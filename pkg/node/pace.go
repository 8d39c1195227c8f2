package node

import (
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// quietSlowdown is how much more slowly links beat towards hosts that own no
// cell, while all cells of the domain have owners: nothing waits for news of them.
const quietSlowdown = 10

// farSlowdown is the same towards owners that have no job of this host, and whose
// cells it wouldn't claim: those of other domains, while its own has room, and in a
// large domain all, for a host that isn't a hub. Only their loads are wanted then.
const farSlowdown = 4

// Slowdown implements peer.Pacer. Owners need not beat fast towards the fronts
// whose jobs they have: they watch the fronts' own heartbeats.
func (n *Node) Slowdown(address string) int {
	dispatched := n.front.dispatchedTo(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.ownerless && n.neighbour(address), dispatched:
		return 1
	case n.claims.OwnsIn(address, n.settings.Domain):
		if n.isHub.Load() {
			return 1
		}
		return farSlowdown
	case !n.claims.Owns(address):
		return quietSlowdown
	case n.crowded && !n.onThinLink():
		return 1
	}
	return farSlowdown
}

// neighbour reports whether a node is of the own domain, or may be: its link has
// never been up. n.mu is held.
func (n *Node) neighbour(address string) bool {
	peer, up := n.members.UpAt(address)
	return !up || peer.Domain == n.settings.Domain
}

// beatsFast reports whether the link to another node beats fast without a job
// there: as its cells of this domain may be this node's next.
func (n *Node) beatsFast(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isHub.Load() && n.claims.OwnsIn(address, n.settings.Domain)
}

// noticeCrowd notes whether jobs may have to go to other domains, whose owners
// then beat fast so that their loads are fresh.
func (n *Node) noticeCrowd() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crowded = ownership.IsShortOfCapacity(n.claims.Owned(), n.settings.Domain)
}

// noticeOwnerless has all links beat fast once a cell of this domain lacks an
// owner, so that hosts that are gone too are soon known as such.
func (n *Node) noticeOwnerless(listing *listing) {
	cells := listing.cellsOf(n.settings.Domain)
	n.mu.Lock()
	ownerless := !n.claims.AllOwned(cells)
	news := ownerless && !n.ownerless
	n.ownerless = ownerless
	n.mu.Unlock()
	if news {
		n.links.Nudge()
	}
}
