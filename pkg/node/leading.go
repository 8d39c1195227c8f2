package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// The store tells the rows of all executors, and each row changes with its executor's clock:
// some 140 bytes a second for each executor of the whole fleet come to whoever follows them.
// So not the reader of each domain does, but only that of the leading one. The others'
// ask it for what has changed beyond clocks, as far as it can tell a fresh list; else they
// read the store themselves, as they do where domains are cut off from each other.

const (
	// followInterval is how often the readers of the other domains ask. A change takes
	// that much longer to get to their domains.
	followInterval = 200 * time.Millisecond
	// followTimeout is how long they wait for the answer.
	followTimeout = 300 * time.Millisecond
	// leadingFresh is how old the list of the one that is asked may be: it is read each
	// readerInterval, and the reading takes a moment.
	leadingFresh = 900 * time.Millisecond
	// followPause is how long a reader goes on by itself when it got no fresh list.
	followPause = 2 * time.Second
	// leadingAsked is how many hosts of the leading domain are asked, one after the other.
	leadingAsked = 2
)

// leading is what the reader of a domain remembers of following another one. Only the
// goroutine that follows the list uses it.
type leading struct {
	againAt  time.Duration // nobody is asked before
	lookedAt time.Duration // the store was asked for an answer last
}

// mayFollow reports whether others may be asked for the list now.
func (l *leading) mayFollow(now time.Duration) bool { return now >= l.againAt }

// lookIsDue reports whether it is time to look whether the store can be read, as other
// owners of cells do, and notes that it is done.
func (l *leading) lookIsDue(now time.Duration) bool {
	if now < l.lookedAt+ownersInterval {
		return false
	}
	l.lookedAt = now
	return true
}

// leadingDomain returns the domain whose reader follows the list in the store, of those
// that have hosts: the same one for all that know of the same hosts. It is empty when there
// is none.
func leadingDomain(rows map[string]Member) string {
	var leading string
	var best uint64
	for _, row := range rows {
		if row.Domain == leading {
			continue
		}
		score := member.Score("leading", row.Domain)
		if leading == "" || cmp.Or(cmp.Compare(score, best), cmp.Compare(row.Domain, leading)) < 0 {
			leading, best = row.Domain, score
		}
	}
	return leading
}

// followsLeading reports whether this node, as the reader of its domain, should ask that of
// the leading one.
func (n *Node) followsLeading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isOther := n.leadingDomain != "" && n.leadingDomain != n.settings.Domain
	return isOther && n.leading.mayFollow(n.Clock.Now())
}

// askLeading has a host of the leading domain tell what has changed in the list. It reports
// whether that made the list as fresh as a reading of the store would.
func (n *Node) askLeading(ctx context.Context, askedAt time.Duration) bool {
	if n.executors.Load() == nil {
		return false
	}
	for _, address := range n.leadingReaders() {
		if n.takeFrom(ctx, address, askedAt) {
			return true
		}
	}
	n.leading.againAt = askedAt + followPause
	return false
}

// leadingReaders returns the addresses of hosts of the leading domain to ask, the one that
// reads there first.
func (n *Node) leadingReaders() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var hosts []Member
	for _, row := range n.rows {
		if row.Domain == n.leadingDomain {
			hosts = append(hosts, row)
		}
	}
	slices.SortFunc(hosts, n.compareReaders)
	n.linkToReaders(hosts)
	var addresses []string
	for _, host := range hosts {
		if _, up := n.members.UpAt(host.PeerAddress); up && len(addresses) < leadingAsked {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	return addresses
}

// compareReaders orders hosts of another domain: those that said that they read come first,
// then those that should. n.mu is held.
func (n *Node) compareReaders(a, b Member) int {
	if n.readers[a.PeerAddress] != n.readers[b.PeerAddress] {
		if n.readers[a.PeerAddress] {
			return -1
		}
		return 1
	}
	rankA, rankB := n.readerRank(a.Name, a.PeerAddress), n.readerRank(b.Name, b.PeerAddress)
	switch {
	case rankA.before(rankB):
		return -1
	case rankB.before(rankA):
		return 1
	}
	return 0
}

// linkToReaders has links held to the first of some hosts of another domain, in the order
// of readers. n.mu is held.
func (n *Node) linkToReaders(hosts []Member) {
	var wanted []string
	for _, host := range hosts[:min(leadingAsked, len(hosts))] {
		wanted = append(wanted, host.PeerAddress)
	}
	if n.members.AddAddresses(wanted, n.Clock.Now()) {
		go n.refreshLinks()
	}
}

// takeFrom asks a host for what has changed in the list, and takes it as a reading of the
// store of when that one last asked.
func (n *Node) takeFrom(ctx context.Context, address string, askedAt time.Duration) bool {
	link := n.links.Link(address)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	m, err := n.askForNews(ctx, link, newsExecutors)
	if err != nil {
		n.Log.Info("leading_reader_unanswered", "peer", address, "error", err.Error())
		return false
	}
	if !isFreshList(m) {
		n.Log.Info("leading_reader_not_fresh", "peer", address, "age_ms", m.GetAgeMs())
		return false
	}
	return n.takeList(fromPassed(m), askedAt-ageOf(m))
}

// isFreshList reports whether an answer tells the list as of a moment ago.
func isFreshList(m *peerpb.Snapshot) bool {
	return m.GetKind() == newsExecutors && m.GetRevision() > 0 && ageOf(m) <= leadingFresh
}

// ageOf returns how long ago the store was asked for a list that a peer has told.
func ageOf(m *peerpb.Snapshot) time.Duration {
	return time.Duration(m.GetAgeMs()) * time.Millisecond
}

// takeList takes what a host of the leading domain has told, and passes it on in the own
// one. It reports whether nothing before it is missing.
func (n *Node) takeList(passed *catalog.RelayedList, askedAt time.Duration) bool {
	n.listing.Lock()
	defer n.listing.Unlock()
	askedAt = max(askedAt, n.executors.Load().askedAt)
	whole := false
	n.takeAsOf(askedAt, func() (accepted, news bool) {
		news, missing := n.roster.ApplyRelayed(passed)
		whole = !missing
		return whole, news
	})
	return whole
}
