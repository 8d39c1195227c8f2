package node

import (
	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// HeartbeatReply implements peer.Observer.
func (n *Node) HeartbeatReply(address string, reply *peerpb.Message) {
	n.takeMoment(address, reply)
	n.heard(address, reply.GetHeartbeat())
}

// heard takes what a peer's heartbeat tells.
func (n *Node) heard(address string, beat *peerpb.Heartbeat) {
	news, up := n.noteBeat(address, beat)
	if !up {
		return // claims of a peer that can't be called are of no use
	}
	if news.claims {
		n.heartbeats.outdate()
		n.changed.signal()
		n.links.NudgeOne(address) // links to owners beat faster
	}
	if news.addresses {
		n.refreshLinks()
	}
	closures := catalog.ClosureChanges{Position: beat.ClosuresPosition, Closed: beat.ClosedDomains}
	if err := n.changeClosures(closures, address); err != nil {
		n.Log.Error("closures_not_taken", "from", address, "error", err.Error())
	}
	n.compareNews(address, beat)
}

// beatNews is what a heartbeat has changed here.
type beatNews struct {
	claims    bool // the peer's
	addresses bool // of hosts to hold links to
}

// noteBeat notes what a heartbeat tells of its peer and of others, and reports
// whether the link to the peer is up.
func (n *Node) noteBeat(address string, beat *peerpb.Heartbeat) (news beatNews, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, up := n.members.UpAt(address)
	if !up {
		return beatNews{}, false
	}
	if p.Leaving != beat.Leaving {
		p.Leaving = beat.Leaving
		n.members.Refresh(p)
		n.viewVersion.Add(1)
	}
	news.claims = n.claims.SetClaims(address, fromCellLoads(beat.Cells))
	n.peerCounts[address] = fromRouteCounts(beat.RouteCounts)
	n.storeless[address] = beat.StoreFails
	now := n.Clock.Now()
	newOwner := n.members.AddAddresses(n.ownersToFollow(beat.Owners), now)
	newNeighbour := n.members.AddAddresses(without(beat.Neighbours, n.settings.PeerAddress), now)
	news.addresses = newOwner || newNeighbour
	n.readers[address] = beat.ReadsList
	if p.Domain != n.settings.Domain {
		return news, true
	}
	news.addresses = n.members.AddDomainAddresses(beat.Addresses, now) || news.addresses
	if beat.ReadsList {
		n.passedAt.Store(int64(now))
	}
	return news, true
}

// ownersToFollow returns the addresses of owners that a peer told of and that
// this node keeps links to.
func (n *Node) ownersToFollow(told []*peerpb.CellOwner) []string {
	listing := n.executors.Load()
	if listing == nil {
		return nil
	}
	var addresses []string
	for _, o := range told {
		if listing.followed[o.Cell] && o.Owner != n.settings.PeerAddress {
			addresses = append(addresses, o.Owner)
		}
	}
	return addresses
}
