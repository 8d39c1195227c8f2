package node

import (
	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// HeartbeatReply implements peer.Observer.
func (n *Node) HeartbeatReply(address string, reply *peerpb.Message) {
	n.repairPeer(address)
	n.recordTimestamp(address, reply)
	n.handleHeartbeat(address, reply.GetHeartbeat())
}

// repairPeer adds a peer that answers on a link that is up and is missing from the table of members. Its
// heartbeats would be ignored as long as that lasts, as the table changes with the state of the link only.
func (n *Node) repairPeer(address string) {
	n.mu.Lock()
	_, up := n.members.UpAt(address)
	n.mu.Unlock()
	if up {
		return
	}
	if hello := n.links.PeerAt(address); hello != nil {
		n.Log.Warn("peer_added_again", "peer", address, "name", hello.Name)
		n.LinkUp(address, hello)
	}
}

// handleHeartbeat applies a peer's heartbeat.
func (n *Node) handleHeartbeat(address string, heartbeat *peerpb.Heartbeat) {
	changes, up := n.recordHeartbeat(address, heartbeat)
	if !up {
		return // claims of an unreachable peer can't be used
	}
	if changes.claims {
		n.heartbeats.invalidate()
		n.changed.signal()
		n.links.NudgeOne(address) // heartbeats to owners are more frequent
	}
	if changes.addresses {
		n.refreshLinks()
	}
	if changes.contact {
		go n.claimCells(n.Clock.Now())
	}
	closures := catalog.ClosureChanges{Position: heartbeat.ClosuresPosition, Closed: heartbeat.ClosedDomains}
	if isPlausible(closures.Position) {
		if err := n.changeClosures(closures, address); err != nil {
			n.Log.Error("closures_not_taken", "from", address, "error", err.Error())
		}
	}
	n.fetchNewer(address, heartbeat)
}

// heartbeatChanges is what a received heartbeat has changed on this node.
type heartbeatChanges struct {
	claims    bool // the peer's claims
	addresses bool // the hosts to keep links to
	contact   bool // this host has heard of its domain since it lost a host of it, or of owners there that it doesn't reach
}

// recordHeartbeat records what a heartbeat reports of its sender and of other hosts. up is
// whether the link to the sender is up; without it nothing is recorded.
func (n *Node) recordHeartbeat(address string, heartbeat *peerpb.Heartbeat) (changes heartbeatChanges, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, up := n.members.UpAt(address)
	if !up {
		return heartbeatChanges{}, false
	}
	if p.Leaving != heartbeat.Leaving {
		p.Leaving = heartbeat.Leaving
		n.members.UpdateIfUp(p)
		n.viewVersion.Add(1)
	}
	changes.claims = n.claims.SetClaims(address, fromCellLoads(heartbeat.Cells))
	n.peerCounts[address] = fromRouteCounts(heartbeat.RouteCounts)
	n.storeUnreachable[address] = heartbeat.StoreFails
	now := n.Clock.Now()
	newOwner := n.members.AddAddresses(n.ownersToFollow(heartbeat.Owners), now)
	newNeighbour := n.members.AddAddresses(dialable(heartbeat.Neighbours, n.settings.PeerAddress), now)
	changes.addresses = newOwner || newNeighbour
	n.listReaders[address] = heartbeat.ReadsList
	n.sightings.record(&p, heartbeat, n.reachedAt, now)
	if p.Domain != n.settings.Domain {
		return changes, true
	}
	if p.Incarnation != n.inc { // not this host by a second address
		changes.contact = n.domainHeardAt <= n.domainLostAt
		n.domainHeardAt = now
		n.heardAt[address] = now
		hasTold := n.recordHeardOwners(address, heartbeat, now)
		awaitsAnswers := len(n.unowned) > 0 && n.witnesses == nil && now < n.ownerLostUntil
		changes.contact = changes.contact || hasTold && awaitsAnswers
	}
	changes.addresses = n.members.AddDomainAddresses(dialable(heartbeat.Addresses, ""), now) || changes.addresses
	if heartbeat.ReadsList {
		n.listConfirmedByPeerAt.Store(int64(now))
	}
	return changes, true
}

// ownersToFollow returns the addresses of the owners, of those that a peer reported, to
// which this node keeps links.
func (n *Node) ownersToFollow(reported []*peerpb.CellOwner) []string {
	listing := n.executors.Load()
	if listing == nil {
		return nil
	}
	var addresses []string
	for _, o := range reported {
		if listing.followed[o.Cell] && o.Owner != n.settings.PeerAddress && isDialable(o.Owner) {
			addresses = append(addresses, o.Owner)
		}
	}
	return addresses
}
