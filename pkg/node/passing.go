package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// The list of executors is long, and their clocks in it change all the time. So
// one node of a domain reads it for the others, and passes on what matters.

// readsForDomain reports whether this node is the one that should read the list
// for its domain.
func (n *Node) readsForDomain() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hubs := n.members.HubTest(n.Clock.Now())
	if !hubs.IsHub(n.settings.PeerAddress, n.settings.Domain) {
		return false
	}
	own := n.readerRank(n.settings.Name, n.settings.PeerAddress)
	for _, peer := range n.members.View(n.inc).Domain() {
		if n.storeless[peer.Address] || !hubs.IsHub(peer.Address, peer.Domain) {
			continue
		}
		if n.readerRank(peer.Name, peer.Address).before(own) {
			return false
		}
	}
	return true
}

// readerRank orders the nodes of a domain as readers.
type readerRank struct {
	linkMbps float64
	owns     bool
	score    uint64
}

// before reports whether a node should read rather than another: one with the
// fatter link, of equals one that owns no cell.
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
	linkMbps := n.rows[name].Capacity.LinkMbps
	if address == n.settings.PeerAddress {
		linkMbps = n.settings.LinkMbps // its row may not be there yet
	}
	return readerRank{
		linkMbps: linkMbps,
		owns:     n.claims.Owns(address),
		score:    member.Score(n.settings.Domain, address),
	}
}

// confirmInterval is how often a reader tells the other nodes of its domain that
// nothing has changed.
const confirmInterval = time.Second

// passOn tells the other nodes of the domain what has changed since a revision,
// or now and then that nothing has. n.listing is held.
func (n *Node) passOn(since uint64) {
	now := n.Clock.Now()
	changed := n.roster.Revision() != since
	if !changed && now < n.toldAt+confirmInterval {
		return
	}
	if n.inLargeDomain() && !n.readsForDomain() {
		return // the others fetch what is news by the reader's heartbeats
	}
	n.toldAt = now
	if since == 0 {
		since = n.roster.Revision() // a first reading is no news to others
	}
	m := toPassed(n.roster.Since(since))
	for _, address := range n.domainPeers() {
		if link := n.links.Link(address); link != nil {
			link.Send(&peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: m}}, 0)
		}
	}
}

// firstListPatience is how long after its start a node of a large domain waits
// for the list from those that read it first: it is long there, and all nodes
// may have started at once.
const firstListPatience = 1200 * time.Millisecond

// firstReaders is how many nodes of a large domain read the list at once when
// they start.
const firstReaders = 2

// awaitsFirstList reports whether this node should wait for its first list.
func (n *Node) awaitsFirstList() bool {
	if n.executors.Load() != nil || n.Clock.Now() > firstListPatience {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.members.IsLarge() {
		return false
	}
	own := n.readerRank(n.settings.Name, n.settings.PeerAddress)
	before := 0
	for _, row := range n.rows {
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

// noticeHub notes whether this node is a hub of its domain.
func (n *Node) noticeHub() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isHub.Store(n.members.IsHub(n.settings.PeerAddress, n.settings.Domain, n.Clock.Now()))
}

// noticeReader notes whether this node should read the list for its domain. One
// that should, and didn't at the last look or when it last decided what to do, does
// so at once: the node before it may be gone, or has stopped as this one comes first.
func (n *Node) noticeReader() {
	reads := n.readsForDomain()
	if before := n.readsList.Swap(reads); reads && !before {
		n.askForList()
	}
}

// readFresh is how old a reading may be for its reader's word to confirm the list
// to others: a little more than that of the leading domain's reader and followInterval.
const readFresh = leadingFresh + 2*followInterval

// readsNow reports whether this node reads the list for its domain, and has done so a
// moment ago.
func (n *Node) readsNow() bool {
	current := n.executors.Load()
	return current != nil && n.Clock.Now() < current.askedAt+readFresh && n.readsList.Load()
}

// domainPeers returns the addresses of the other nodes of the domain in sight.
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

// takePassed takes changes of executors that a peer has passed on.
func (n *Node) takePassed(m *peerpb.Snapshot, from string) {
	if m.Kind != newsExecutors || m.Revision == 0 {
		return
	}
	passed := fromPassed(m)
	n.listing.Lock()
	news, missing := n.roster.ApplyRelayed(passed)
	if news {
		askedAt := time.Duration(unknownAge)
		if current := n.executors.Load(); current != nil {
			askedAt = current.askedAt
		}
		n.publish(true, askedAt)
	}
	n.listing.Unlock()
	if news {
		n.Log.Info("executors_passed_on", "from", from, "revision", m.Revision, "since", m.Since, "listed", len(m.Executors), "gone", len(m.Gone))
	}
	switch {
	case missing:
		n.startFetch(from, newsExecutors)
	case n.inOwnDomain(from):
		n.passedAt.Store(int64(n.Clock.Now()))
	}
}

// executorsSince returns what a peer lacks that knows the list as of a revision.
func (n *Node) executorsSince(revision uint64) *peerpb.Snapshot {
	n.listing.Lock()
	passed := n.roster.Since(revision)
	n.listing.Unlock()
	if passed == nil {
		return &peerpb.Snapshot{Kind: newsExecutors}
	}
	m := toPassed(passed)
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
