package node

import (
	"slices"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// Operators may close a failure domain to new work. Nodes that follow the store read the
// closures there; heartbeats announce them to the others.

// changeClosures applies changes from the store or a peer if they are newer. It returns an
// error of kind NotFound if changes before them are missing here; a list of all closures
// never causes it.
func (n *Node) changeClosures(changes catalog.ClosureChanges, from string) error {
	for {
		current := n.closures.Load()
		next, ok := current.With(changes)
		if !ok {
			return errkind.New(errkind.NotFound, "read the table again", "changes before position %d are missing", changes.Since)
		}
		if !next.Newer(current) {
			return nil
		}
		if n.closures.CompareAndSwap(current, next) {
			n.closuresChanged(current, next, from)
			return nil
		}
	}
}

// closuresChanged applies new closures to the own cells and announces them to peers.
func (n *Node) closuresChanged(before, after *catalog.Closures, from string) {
	if after.SameDomains(before) {
		return
	}
	n.Log.Info("domains_closed", "domains", after.Domains, "position", after.Position, "from", from)
	for _, o := range n.allOwners() {
		o.followClosures()
	}
	n.refreshOwnClaims()
	n.announceChange()
}

// closed reports whether the domain of a claim is closed to new work.
func (n *Node) closed(claim ownership.Claim) bool {
	return n.closures.Load().Closed(ownership.DomainOf(claim.Cell))
}

// openClaims returns the effective claims on cells of open domains. n.mu is held.
func (n *Node) openClaims() []ownership.Claim {
	return slices.DeleteFunc(n.claims.Owned(), n.closed)
}

// openClaimsBeside returns those on other cells than one. n.mu is held.
func (n *Node) openClaimsBeside(cell string) []ownership.Claim {
	return slices.DeleteFunc(n.openClaims(), func(claim ownership.Claim) bool { return claim.Cell == cell })
}

// noOpenOwnerReachable reports whether a job should not wait for an owner: this node's domain is
// closed, and no owner of an open domain is reachable.
func (n *Node) noOpenOwnerReachable() bool {
	if !n.closures.Load().Closed(n.settings.Domain) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.openClaims()) == 0
}
