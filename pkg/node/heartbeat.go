package node

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxHeartbeatAge is how long the same heartbeat is sent on all links, so that an owner
	// with many links doesn't count its queue for each of them.
	maxHeartbeatAge = 40 * time.Millisecond
	// gossipEvery: one in this many heartbeats contains the addresses of the domain's nodes.
	gossipEvery = 256
	// allOwnersEvery: one in this many heartbeats contains the owners of all cells.
	// newOwnerPeriod is how long every heartbeat contains the new owner of a cell. It is
	// longer than the heartbeat interval of fast links.
	allOwnersEvery = 16
	newOwnerPeriod = 600 * time.Millisecond
)

// heartbeats caches the newest heartbeat.
type heartbeats struct {
	mu       sync.Mutex
	newest   *peerpb.Heartbeat // nil when a new one has to be built
	builtAt  time.Duration
	sequence uint64

	owners map[string]announcedOwner // by cell
}

// announcedOwner is the owner of a cell that heartbeats have announced.
type announcedOwner struct {
	address string
	since   time.Duration // when it was first announced
}

// ownersToAnnounce returns the owners that have changed within newOwnerPeriod, or all.
func (h *heartbeats) ownersToAnnounce(claims []ownership.Claim, all bool, now time.Duration) []*peerpb.CellOwner {
	if h.owners == nil {
		h.owners = map[string]announcedOwner{}
	}
	var owners []*peerpb.CellOwner
	for _, claim := range claims {
		announced, known := h.owners[claim.Cell]
		if !known || announced.address != claim.Owner {
			announced = announcedOwner{address: claim.Owner, since: now}
			h.owners[claim.Cell] = announced
		}
		if all || now < announced.since+newOwnerPeriod {
			owners = append(owners, &peerpb.CellOwner{Cell: claim.Cell, Owner: claim.Owner})
		}
	}
	return owners
}

// invalidate invalidates the cached heartbeat.
func (h *heartbeats) invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = nil
}

// Heartbeat implements peer.Observer. The result is shared and must not be modified.
func (n *Node) Heartbeat() *peerpb.Heartbeat {
	h := &n.heartbeats
	h.mu.Lock()
	defer h.mu.Unlock()
	now := n.Clock.Now()
	if h.newest == nil || now >= h.builtAt+maxHeartbeatAge {
		h.sequence++
		h.newest = n.buildHeartbeat(h.sequence%gossipEvery == 1, h.sequence%allOwnersEvery == 1, now)
		h.builtAt = now
	}
	return h.newest
}

// heartbeatFor returns the response to a peer's heartbeat. For a peer that hasn't read the
// hosts' rows it contains the nodes of the peer's domain that are reachable from here, and for one of this
// domain that asks for them the owners that this host hears.
func (n *Node) heartbeatFor(from *peerpb.Hello, heartbeat *peerpb.Heartbeat) *peerpb.Heartbeat {
	own := n.Heartbeat()
	asksOwners := len(heartbeat.OwnerlessCells) > 0 && from.Domain == n.settings.Domain
	if !heartbeat.Unlisted && !asksOwners {
		return own
	}
	response := proto.Clone(own).(*peerpb.Heartbeat)
	if asksOwners {
		n.tellOwners(response, heartbeat)
	}
	if !heartbeat.Unlisted {
		return response
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.members.View(n.inc).Peers {
		if p.Domain == from.Domain && p.Address != from.Address && !p.Leaving {
			response.Neighbours = append(response.Neighbours, p.Address)
		}
	}
	return response
}

// buildHeartbeat builds a heartbeat, if requested with the addresses of the domain's nodes and
// the owners of all cells. n.heartbeats.mu is held.
func (n *Node) buildHeartbeat(gossip, owners bool, now time.Duration) *peerpb.Heartbeat {
	heartbeat := &peerpb.Heartbeat{Leaving: n.leaving.Load(), StoreFails: n.storeIsUnreachable()}
	if current := n.configuration.Load(); current != nil {
		heartbeat.Version = current.snapshot.Revision
	}
	if listing := n.executors.Load(); listing != nil {
		heartbeat.ExecutorsRevision = listing.revision
	}
	if closures := n.closures.Load(); closures != nil {
		heartbeat.ClosuresPosition, heartbeat.ClosedDomains = closures.Position, closures.Domains
	}
	for _, claim := range n.ownClaims() {
		heartbeat.Cells = append(heartbeat.Cells, toCellLoad(claim))
	}
	for route, count := range n.ownWaiting() {
		heartbeat.RouteCounts = append(heartbeat.RouteCounts, &peerpb.RouteCount{Route: route, Waiting: uint32(count)})
	}
	heartbeat.ReadsList = n.readsNow()
	n.mu.Lock()
	defer n.mu.Unlock()
	heartbeat.Unlisted = !n.rowsRead
	n.askForOwners(heartbeat)
	heartbeat.Owners = n.heartbeats.ownersToAnnounce(n.claims.Owned(), owners, now)
	if gossip {
		for _, p := range n.members.View(n.inc).Domain() {
			heartbeat.Addresses = append(heartbeat.Addresses, p.Address)
		}
	}
	return heartbeat
}
