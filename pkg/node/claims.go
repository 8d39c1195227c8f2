package node

import (
	"maps"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// reasonCellGone is the reason for the release of a cell that no longer exists and has no jobs or runs.
const reasonCellGone = "cell_is_gone"

// claimCells claims the cells that this node should own now.
func (n *Node) claimCells(now time.Duration) {
	listing := n.executors.Load()
	if listing == nil {
		return
	}
	n.updateOwnerless(listing)
	candidates := n.claimCandidates(listing, now)
	n.gatherEvidenceOfLoss(slices.Collect(maps.Keys(candidates)), listing, now)
	for _, name := range mayBeClaimed(candidates) {
		domain := ownership.DomainOf(name)
		if domain != n.settings.Domain && !n.mayClaimForeign(domain, now) {
			continue
		}
		// Check again: after a claim earlier in this loop, another host may be
		// preferred for this cell.
		if n.shouldClaim(name, now) {
			n.claim(name, now)
		}
	}
	n.yieldCells(listing)
}

// mayBeClaimed returns the candidates that may be claimed now.
func mayBeClaimed(candidates map[string]ownership.Readiness) []string {
	var names []string
	for name, readiness := range candidates {
		if readiness == ownership.MayClaim {
			names = append(names, name)
		}
	}
	return names
}

// claimCandidates returns the cells that this node should claim in its current view, now or once the hosts of
// their domain count as lost. While it may be cut off from its own domain it claims none there: their owners may
// serve all other hosts.
func (n *Node) claimCandidates(listing *listing, now time.Duration) map[string]ownership.Readiness {
	contact := n.contact()
	mayBeCutOff := contact.isolated || now < contact.unsureUntil
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.ownershipView()
	candidates := map[string]ownership.Readiness{}
	for name := range listing.cells {
		if n.owners[name] != nil || mayBeCutOff && ownership.DomainOf(name) == n.settings.Domain {
			continue
		}
		if readiness := n.claims.ReadinessFor(name, ownership.DomainOf(name), view, now); readiness != ownership.NotCandidate {
			candidates[name] = readiness
		}
	}
	return candidates
}

func (n *Node) shouldClaim(name string, now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.claims.ShouldClaim(name, ownership.DomainOf(name), n.ownershipView(), now)
}

// claim makes this node the owner of a cell. A former owner that is still alive returns
// its jobs to their fronts once the executors are fenced.
func (n *Node) claim(cellName string, now time.Duration) {
	n.mu.Lock()
	if n.owners[cellName] != nil {
		n.mu.Unlock()
		return // claimed by another goroutine in the meantime
	}
	former, hasFormer := n.claims.Owner(cellName)
	token := n.claims.NextToken(time.Now(), uint32(n.inc[0])<<16|uint32(n.inc[1])<<8|uint32(n.inc[2]))
	o := newOwner(n, cellName, token, now)
	if hasFormer {
		o.formerOwner = former.Owner
	}
	n.owners[cellName] = o
	o.isFromMinority = ownership.DomainOf(cellName) != n.settings.Domain && n.reachesFew()
	n.mu.Unlock()
	if o.isFromMinority {
		o.expectLivingOwner(now)
	}
	n.updateContactAt(now)
	o.updateKeptLease()
	n.metrics.OwnershipChanged("claimed")
	n.Log.Info("cell_claimed", "cell", cellName, "token", token, "former", o.formerOwner)
	o.followClosures()
	n.removeVanished() // the new owner waits for all executors that it gets
	o.setExecutors(n.executors.Load())
	n.requestList()
	n.publishClaims()
}

// yieldCells releases cells of other domains once those domains have nodes again,
// and cells that no longer exist once they have no jobs or runs.
func (n *Node) yieldCells(listing *listing) {
	for _, o := range n.allOwners() {
		domain := ownership.DomainOf(o.cell)
		_, exists := listing.cells[o.cell]
		switch {
		case domain != n.settings.Domain && n.domainHasNodes(domain):
			n.release(o, "domain_is_back")
		case !exists && !o.busy():
			n.release(o, reasonCellGone)
		}
	}
}

func (n *Node) domainHasNodes(domain string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range n.ownershipView().Up {
		if host.Domain == domain && !host.Leaving {
			return true
		}
	}
	return false
}

// release ends the ownership of a cell and returns its jobs to their fronts.
func (n *Node) release(o *owner, reason string) {
	n.mu.Lock()
	if n.owners[o.cell] == o {
		delete(n.owners, o.cell)
	}
	n.claims.SetClaims(n.settings.PeerAddress, nil)
	n.sightings.recordRelease(o.cell, n.settings.PeerAddress, n.inc, reason == reasonCellGone, n.Clock.Now())
	n.mu.Unlock()
	n.metrics.OwnershipChanged(reason)
	n.Log.Info("cell_released", "cell", o.cell, "token", o.token, "reason", reason)
	n.publishClaims()
	o.release(reason)
}

// publishClaims announces to peers at once which cells this node owns.
func (n *Node) publishClaims() {
	claims := n.ownClaims()
	n.mu.Lock()
	n.claims.SetClaims(n.settings.PeerAddress, claims)
	n.mu.Unlock()
	n.announceChange()
}

// announceChange sends heartbeats to peers at once and wakes jobs that wait for an owner.
func (n *Node) announceChange() {
	n.heartbeats.invalidate()
	n.changed.signal()
	n.links.Nudge()
}

// refreshOwnClaims updates the loads of this node's claims. It notifies peers at once
// when one of its cells becomes able or unable to serve.
func (n *Node) refreshOwnClaims() {
	claims := n.ownClaims()
	n.mu.Lock()
	changed := n.claims.SetClaims(n.settings.PeerAddress, claims)
	n.mu.Unlock()
	if changed {
		n.announceChange()
	}
}

func (n *Node) ownClaims() []ownership.Claim {
	now := n.Clock.Now()
	var claims []ownership.Claim
	for _, o := range n.allOwners() {
		claims = append(claims, ownership.Claim{Cell: o.cell, Token: o.token, Owner: n.settings.PeerAddress, Load: o.load(now)})
	}
	return claims
}
