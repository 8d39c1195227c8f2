package node

import (
	"slices"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// Operators may close a failure domain to new work. All nodes have to know soon:
// those that follow the store learn of it there, and heartbeats tell the others.

// changeClosures takes changes that the store or a peer tells, if they are newer. An
// error of kind NotFound says that changes before them are missing here, which can't
// be where all closures are told.
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

// closuresChanged has cells and peers act on new closures.
func (n *Node) closuresChanged(before, after *catalog.Closures, from string) {
	if after.SameDomains(before) {
		return
	}
	n.Log.Info("domains_closed", "domains", after.Domains, "position", after.Position, "from", from)
	for _, o := range n.allOwners() {
		o.followClosures()
	}
	n.refreshOwnClaims()
	n.tellNews()
}

// closed reports whether the domain of a claim takes no new work.
func (n *Node) closed(claim ownership.Claim) bool {
	return n.closures.Load().Closed(ownership.DomainOf(claim.Cell))
}

// openClaims returns the standing claims on cells that take new work. n.mu is
// held.
func (n *Node) openClaims() []ownership.Claim {
	return slices.DeleteFunc(n.claims.Owned(), n.closed)
}

// noneOpenInSight reports whether waiting for an owner is of no use: the own
// domain is closed, and no owner of an open one is in sight. Owners that change
// hands in other domains are back in sight, or seen as lost, before long; that a
// domain is cut off lasts.
func (n *Node) noneOpenInSight() bool {
	if !n.closures.Load().Closed(n.settings.Domain) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.openClaims()) == 0
}
