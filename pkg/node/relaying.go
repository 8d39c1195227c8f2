package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// The list of executors is long, and the clocks in it change all the time. One node of a
// domain, the reader, reads it from the store and relays the other changes to its peers.

// readsForDomain reports whether this node should be the reader of its domain.
func (n *Node) readsForDomain() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hubs := n.members.HubSnapshot(n.Clock.Now())
	if !hubs.IsHub(n.settings.PeerAddress, n.settings.Domain) {
		return false
	}
	own := n.readerRank(n.settings.Name, n.settings.PeerAddress)
	for _, peer := range n.members.View(n.inc).Domain() {
		if n.storeUnreachable[peer.Address] || !hubs.IsHub(peer.Address, peer.Domain) {
			continue
		}
		if n.readerRank(peer.Name, peer.Address).before(own) {
			return false
		}
	}
	return true
}

// readerRank determines which node of a domain is its reader.
type readerRank struct {
	linkMbps float64
	owns     bool
	score    uint64
}

// before reports whether a node takes precedence over another as the reader: the one with
// the faster link, then one that owns no cell, then the one with the higher score.
func (r readerRank) before(other readerRank) bool {
	switch {
	case r.linkMbps != other.linkMbps:
		return r.linkMbps > other.linkMbps
	case r.owns != other.owns:
		return other.owns
	}
	return r.score > other.score
}

// readerRank returns the rank of a node of the domain. n.mu is held.
func (n *Node) readerRank(name, address string) readerRank {
	linkMbps := n.memberRows[name].Capacity.LinkMbps
	if address == n.settings.PeerAddress {
		linkMbps = n.settings.LinkMbps // its row may not be written yet
	}
	return readerRank{
		linkMbps: linkMbps,
		owns:     n.claims.Owns(address),
		score:    member.Score(n.settings.Domain, address),
	}
}

// confirmInterval is how often a reader confirms an unchanged list to the other nodes of
// its domain.
const confirmInterval = time.Second

// relayChanges sends the changes since a revision to the other nodes of the domain, or at
// confirmInterval a message without changes. n.listing is held.
func (n *Node) relayChanges(since uint64) {
	now := n.Clock.Now()
	changed := n.roster.Revision() != since
	if !changed && now < n.listRelayedAt+confirmInterval {
		return
	}
	if n.inLargeDomain() && !n.readsForDomain() {
		return // the others fetch a revision that the reader's heartbeats announce
	}
	n.listRelayedAt = now
	if since == 0 {
		since = n.roster.Revision() // a first read says nothing about changes
	}
	m := toRelayedList(n.roster.Since(since))
	for _, address := range n.domainPeers() {
		if link := n.links.Link(address); link != nil {
			link.Send(&peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: m}}, 0)
		}
	}
}

// firstListTimeout is how long after its start a node of a large domain waits for the
// list from the nodes that read it first. The list is long there, and all nodes may have
// started at the same time.
const firstListTimeout = 1200 * time.Millisecond

// firstReaders is how many nodes of a large domain read the list without waiting when
// they start.
const firstReaders = 2

// awaitsFirstList reports whether this node should wait for its first list.
func (n *Node) awaitsFirstList() bool {
	if n.executors.Load() != nil || n.Clock.Now() > firstListTimeout {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.members.IsLarge() {
		return false
	}
	own := n.readerRank(n.settings.Name, n.settings.PeerAddress)
	before := 0
	for _, row := range n.memberRows {
		if row.Domain == n.settings.Domain && n.readerRank(row.Name, row.PeerAddress).before(own) {
			before++
		}
	}
	return before >= firstReaders
}

func (n *Node) inLargeDomain() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.IsLarge()
}

// updateHub updates whether this node is a hub of its domain.
func (n *Node) updateHub() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isHub.Store(n.members.IsHub(n.settings.PeerAddress, n.settings.Domain, n.Clock.Now()))
}

// updateReader updates whether this node is the reader of its domain. A node that has
// become the reader reads at once: the previous reader may be unreachable, or has stopped
// reading because this node takes precedence.
func (n *Node) updateReader() {
	reads := n.readsForDomain()
	if before := n.isListReader.Swap(reads); reads && !before {
		n.requestList()
	}
}

// maxConfirmedAge is the age of a reader's list up to which its heartbeats confirm the list
// to others. It exceeds the age of a list that was fetched from the leading domain.
const maxConfirmedAge = maxLeadingListAge + 2*followInterval

// readsNow reports whether this node is the reader of its domain and its list is recent.
func (n *Node) readsNow() bool {
	current := n.executors.Load()
	return current != nil && n.Clock.Now() < current.askedAt+maxConfirmedAge && n.isListReader.Load()
}

// domainPeers returns the addresses of the reachable peers of the same domain.
func (n *Node) domainPeers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, peer := range n.members.View(n.inc).Domain() {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

func (n *Node) inOwnDomain(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	peer, up := n.members.UpAt(address)
	return up && peer.Domain == n.settings.Domain
}

// handleRelayed applies changes of executors that a peer relayed.
func (n *Node) handleRelayed(m *peerpb.Snapshot, from string) {
	if m.Kind != snapshotExecutors || m.Revision == 0 || !hasPlausiblePositions(m) {
		return
	}
	relayed := fromRelayedList(m)
	n.listing.Lock()
	changed, missing := n.roster.ApplyRelayed(relayed)
	if changed {
		askedAt := time.Duration(unknownReadTime)
		if current := n.executors.Load(); current != nil {
			askedAt = current.askedAt
		}
		n.publish(true, askedAt)
	}
	n.listing.Unlock()
	if changed {
		n.Log.Info("executors_passed_on", "from", from, "revision", m.Revision, "since", m.Since, "listed", len(m.Executors), "gone", len(m.Gone))
	}
	switch {
	case missing:
		n.startFetch(from, snapshotExecutors)
	case n.inOwnDomain(from):
		n.listConfirmedByPeerAt.Store(int64(n.Clock.Now()))
	}
}

// executorsSince returns the changes for a peer that knows the list as of a revision.
func (n *Node) executorsSince(revision uint64) *peerpb.Snapshot {
	n.listing.Lock()
	relayed := n.roster.Since(revision)
	n.listing.Unlock()
	if relayed == nil {
		return &peerpb.Snapshot{Kind: snapshotExecutors}
	}
	m := toRelayedList(relayed)
	if current := n.executors.Load(); current != nil {
		m.AgeMs = (n.Clock.Now() - current.askedAt).Milliseconds()
	}
	return m
}

func (n *Node) executorsRevision() uint64 {
	n.listing.Lock()
	defer n.listing.Unlock()
	return n.roster.Revision()
}
