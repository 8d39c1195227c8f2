package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// askForOwners asks in a heartbeat who hears the owners that this host doesn't reach. n.mu is held.
func (n *Node) askForOwners(heartbeat *peerpb.Heartbeat) {
	for _, cell := range n.unowned {
		count, index := ownership.Position(cell)
		heartbeat.CellCount = uint32(count)
		heartbeat.OwnerlessCells = append(heartbeat.OwnerlessCells, uint32(index))
	}
}

// tellOwners answers in the response to a heartbeat which of the owners that it asks for this host hears. An
// owner that it hasn't heard for an interval has to send a sign of life.
func (n *Node) tellOwners(response, heartbeat *peerpb.Heartbeat) {
	response.CellCount = heartbeat.CellCount
	for _, index := range heartbeat.OwnerlessCells {
		answer := &peerpb.HeardOwner{Cell: index}
		response.HeardOwners = append(response.HeardOwners, answer)
		owner, age, isHeard := n.heardOwner(ownership.CellAt(n.settings.Domain, int(heartbeat.CellCount), int(index)))
		if !isHeard {
			continue
		}
		if age > n.settings.Heartbeat {
			n.links.NudgeOne(owner)
		}
		// A link whose connection has ended is up until it is certain that it can't be resumed.
		if n.links.IsConnected(owner) {
			answer.Owner, answer.AgeMs = owner, ageMS(age)
		}
	}
}

// heardOwner returns the owner of a cell of this domain, if it is another host of the domain to which this one
// has a link, and for how long it hasn't been heard.
func (n *Node) heardOwner(cell string) (owner string, age time.Duration, isHeard bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	claim, isOwned := n.claims.Owner(cell)
	at, isHeard := n.heardAt[claim.Owner]
	peer, isUp := n.members.UpAt(claim.Owner)
	return claim.Owner, n.Clock.Now() - at, isOwned && isHeard && isUp && !peer.Leaving
}

// isCutFromOwners reports whether this host reaches no owner of any cell, while other hosts hear those of its
// domain. It claims no cell then, so that jobs had better be sent to another host at once.
func (n *Node) isCutFromOwners() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.witnesses != nil && len(n.claims.Owned()) == 0
}

// ageMS converts an age and rounds it up.
func ageMS(age time.Duration) uint32 {
	return uint32((age + time.Millisecond - 1) / time.Millisecond)
}

// recordHeardOwners records what another host of this domain tells of owners, and reports whether it has told
// anything. A host that asks for an owner doesn't hear it. n.mu is held.
func (n *Node) recordHeardOwners(address string, heartbeat *peerpb.Heartbeat, now time.Duration) bool {
	cellAt := func(index uint32) string {
		return ownership.CellAt(n.settings.Domain, int(heartbeat.CellCount), int(index))
	}
	var heard []ownership.HeardOwner
	for _, index := range heartbeat.OwnerlessCells {
		heard = append(heard, ownership.HeardOwner{Cell: cellAt(index)})
	}
	for _, told := range heartbeat.HeardOwners {
		owner := told.Owner
		if owner == n.settings.PeerAddress {
			owner = "" // by a former claim of this host
		}
		heard = append(heard, ownership.HeardOwner{Cell: cellAt(told.Cell), Owner: owner, At: now - time.Duration(told.AgeMs)*time.Millisecond})
	}
	if len(heard) == 0 {
		return false
	}
	n.claims.SetHeard(address, heard, now)
	return true
}
