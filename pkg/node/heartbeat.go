package node

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"google.golang.org/protobuf/proto"
)

const (
	// heartbeatLife is how long a heartbeat is good for all links. An owner
	// with many links would else count its queue anew for each of them.
	heartbeatLife = 40 * time.Millisecond
	// gossipEvery is how many heartbeats are made between those that tell the
	// addresses of the domain's nodes.
	gossipEvery = 256
	// ownersEvery is how many are made between those that tell all owners, and
	// ownersTime how long each tells the owner of a cell that has changed: long
	// enough for one on every fast link.
	ownersEvery = 16
	ownersTime  = 600 * time.Millisecond
)

// heartbeats keeps the newest heartbeat for a moment.
type heartbeats struct {
	mu     sync.Mutex
	newest *peerpb.Heartbeat // nil when a new one has to be made
	madeAt time.Duration
	made   uint64

	owners map[string]toldOwner // by cell
}

// toldOwner is the owner of a cell that heartbeats have told of.
type toldOwner struct {
	address string
	since   time.Duration // when it was first told
}

// ownersToTell returns the owners that are news, or all of them.
func (h *heartbeats) ownersToTell(claims []ownership.Claim, all bool, now time.Duration) []*peerpb.CellOwner {
	if h.owners == nil {
		h.owners = map[string]toldOwner{}
	}
	var owners []*peerpb.CellOwner
	for _, claim := range claims {
		told, known := h.owners[claim.Cell]
		if !known || told.address != claim.Owner {
			told = toldOwner{address: claim.Owner, since: now}
			h.owners[claim.Cell] = told
		}
		if all || now < told.since+ownersTime {
			owners = append(owners, &peerpb.CellOwner{Cell: claim.Cell, Owner: claim.Owner})
		}
	}
	return owners
}

// outdate has the next heartbeat made anew.
func (h *heartbeats) outdate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newest = nil
}

// Heartbeat implements peer.Observer. What it returns is not to be changed.
func (n *Node) Heartbeat() *peerpb.Heartbeat {
	h := &n.heartbeats
	h.mu.Lock()
	defer h.mu.Unlock()
	now := n.Clock.Now()
	if h.newest == nil || now >= h.madeAt+heartbeatLife {
		h.made++
		h.newest = n.makeHeartbeat(h.made%gossipEvery == 1, h.made%ownersEvery == 1, now)
		h.madeAt = now
	}
	return h.newest
}

// heartbeatFor returns the heartbeat that answers one of a peer. A peer that
// hasn't read the rows is told of the nodes of its domain that are seen here.
func (n *Node) heartbeatFor(from *peerpb.Hello, beat *peerpb.Heartbeat) *peerpb.Heartbeat {
	own := n.Heartbeat()
	if !beat.Unlisted {
		return own
	}
	answer := proto.Clone(own).(*peerpb.Heartbeat)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.members.View(n.inc).Peers {
		if p.Domain == from.Domain && p.Address != from.Address && !p.Leaving {
			answer.Neighbours = append(answer.Neighbours, p.Address)
		}
	}
	return answer
}

// makeHeartbeat makes a heartbeat, with all addresses and all owners if asked to.
// The lock of the heartbeats is held.
func (n *Node) makeHeartbeat(gossip, owners bool, now time.Duration) *peerpb.Heartbeat {
	beat := &peerpb.Heartbeat{Leaving: n.leaving.Load(), StoreFails: n.storeIsOut()}
	if current := n.configuration.Load(); current != nil {
		beat.Version = current.snapshot.Revision
	}
	if listing := n.executors.Load(); listing != nil {
		beat.ExecutorsRevision = listing.revision
	}
	if closures := n.closures.Load(); closures != nil {
		beat.ClosuresPosition, beat.ClosedDomains = closures.Position, closures.Domains
	}
	for _, claim := range n.ownClaims() {
		beat.Cells = append(beat.Cells, toCellLoad(claim))
	}
	for route, count := range n.ownWaiting() {
		beat.RouteCounts = append(beat.RouteCounts, &peerpb.RouteCount{Route: route, Waiting: uint32(count)})
	}
	beat.ReadsList = n.readsNow()
	n.mu.Lock()
	defer n.mu.Unlock()
	beat.Unlisted = !n.rowsRead
	beat.Owners = n.heartbeats.ownersToTell(n.claims.Owned(), owners, now)
	if gossip {
		for _, p := range n.members.View(n.inc).Domain() {
			beat.Addresses = append(beat.Addresses, p.Address)
		}
	}
	return beat
}
