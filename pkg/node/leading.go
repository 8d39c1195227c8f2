package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// Each executor's row in the store changes with the executor's clock, so that reading the
// changes takes bandwidth in proportion to the number of all executors, some 140 bytes a
// second for each. Only the reader of one domain, the leading domain, therefore reads the
// store. The readers of the other domains fetch from it the changes other than clocks.
// Where they can't get a fresh list from it, for example because the domains are
// partitioned, they read the store themselves.

const (
	// followInterval is how often the readers of the other domains fetch the changes. It
	// adds to the time that a change takes to reach their domains.
	followInterval = 200 * time.Millisecond
	// followTimeout is how long they wait for the response.
	followTimeout = 300 * time.Millisecond
	// maxLeadingListAge is the age up to which the list of a queried host counts as fresh.
	// It covers readerInterval and the duration of a read.
	maxLeadingListAge = 900 * time.Millisecond
	// followRetryDelay is how long a reader that got no fresh list reads the store itself.
	followRetryDelay = 2 * time.Second
	// leadingHostsAsked is how many hosts of the leading domain are queried, one after the
	// other.
	leadingHostsAsked = 2
)

// leading is the state of a reader that fetches the list from the leading domain. Only the
// goroutine that runs pollExecutors uses it.
type leading struct {
	retryAt  time.Duration // no host is queried before
	pingedAt time.Duration // the last ping of the store
}

// mayFollow reports whether hosts of the leading domain may be queried now.
func (l *leading) mayFollow(now time.Duration) bool { return now >= l.retryAt }

// pingIsDue reports whether the store has to be pinged now, which a reader does as often as
// other owners of cells, and if so records the ping.
func (l *leading) pingIsDue(now time.Duration) bool {
	if now < l.pingedAt+ownersInterval {
		return false
	}
	l.pingedAt = now
	return true
}

// leadingDomain chooses the leading domain from the domains that have hosts. All nodes with
// the same rows choose the same one. It is empty when there are no rows.
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

// followsLeading reports whether this node, as the reader of its domain, should fetch the
// list from the leading domain.
func (n *Node) followsLeading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isOther := n.leadingDomain != "" && n.leadingDomain != n.settings.Domain
	return isOther && n.leading.mayFollow(n.Clock.Now())
}

// fetchFromLeading fetches the changes of the list from a host of the leading domain. It
// reports whether the list is now as fresh as after a read of the store.
func (n *Node) fetchFromLeading(ctx context.Context, askedAt time.Duration) bool {
	if n.executors.Load() == nil {
		return false
	}
	for _, address := range n.leadingReaders() {
		if n.fetchListFrom(ctx, address, askedAt) {
			return true
		}
	}
	n.leading.retryAt = askedAt + followRetryDelay
	return false
}

// leadingReaders returns the addresses of the hosts of the leading domain to query, its
// reader first.
func (n *Node) leadingReaders() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var hosts []Member
	for _, row := range n.memberRows {
		if row.Domain == n.leadingDomain {
			hosts = append(hosts, row)
		}
	}
	slices.SortFunc(hosts, n.compareReaders)
	n.linkToReaders(hosts)
	var addresses []string
	for _, host := range hosts {
		if _, up := n.members.UpAt(host.PeerAddress); up && len(addresses) < leadingHostsAsked {
			addresses = append(addresses, host.PeerAddress)
		}
	}
	return addresses
}

// compareReaders orders hosts of another domain: first those that report to be the reader,
// then by reader rank. n.mu is held.
func (n *Node) compareReaders(a, b Member) int {
	if n.listReaders[a.PeerAddress] != n.listReaders[b.PeerAddress] {
		if n.listReaders[a.PeerAddress] {
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

// linkToReaders opens links to the first of some hosts of another domain, which are sorted
// by compareReaders. n.mu is held.
func (n *Node) linkToReaders(hosts []Member) {
	var wanted []string
	for _, host := range hosts[:min(leadingHostsAsked, len(hosts))] {
		wanted = append(wanted, host.PeerAddress)
	}
	if n.members.AddAddresses(wanted, n.Clock.Now()) {
		go n.refreshLinks()
	}
}

// fetchListFrom fetches the changes of the list from a host and applies them like a read of
// the store at the time of that host's last read.
func (n *Node) fetchListFrom(ctx context.Context, address string, askedAt time.Duration) bool {
	link := n.links.Link(address)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	m, err := n.fetchSnapshot(ctx, link, snapshotExecutors)
	if err != nil {
		n.Log.Info("leading_reader_unanswered", "peer", address, "error", err.Error())
		return false
	}
	if !isFreshList(m) {
		n.Log.Info("leading_reader_not_fresh", "peer", address, "age_ms", m.GetAgeMs())
		return false
	}
	return n.applyList(fromRelayedList(m), askedAt-ageOf(m))
}

// isFreshList reports whether a response holds a list that was read recently enough.
func isFreshList(m *peerpb.Snapshot) bool {
	age := ageOf(m)
	return m.GetKind() == snapshotExecutors && m.GetRevision() > 0 && hasPlausiblePositions(m) && age >= 0 && age <= maxLeadingListAge
}

// ageOf returns how long ago the sender of a list requested it from the store.
func ageOf(m *peerpb.Snapshot) time.Duration {
	return common.Milliseconds(m.GetAgeMs())
}

// applyList applies changes from a host of the leading domain and relays them in this
// domain. It reports whether they continue the list that is known here without a gap.
func (n *Node) applyList(relayed *catalog.RelayedList, askedAt time.Duration) bool {
	n.listing.Lock()
	defer n.listing.Unlock()
	askedAt = max(askedAt, n.executors.Load().askedAt)
	complete := false
	n.applyAsOf(askedAt, func() (accepted, changed bool) {
		changed, missing := n.roster.ApplyRelayed(relayed)
		complete = !missing
		return complete, changed
	})
	return complete
}
