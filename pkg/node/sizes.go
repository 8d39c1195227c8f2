package node

import (
	"maps"

	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// cellSizes holds the maximum number of executors of a cell in each domain: as many as
// the host with the most capacity in the domain can serve. All hosts compute the same cells because
// they read the same rows.
type cellSizes struct {
	byDomain map[string]int
	unknown  int // for domains without a known host
}

func (s cellSizes) of(domain string) int {
	if size, ok := s.byDomain[domain]; ok {
		return size
	}
	return s.unknown
}

func (n *Node) ownCapacity() ownership.Capacity {
	return ownership.Capacity{CPU: n.settings.Weight, LinkMbps: n.settings.LinkMbps}
}

// ownRow returns this node's row for the store.
func (n *Node) ownRow() Member {
	return Member{
		Name:        n.settings.Name,
		Domain:      n.settings.Domain,
		PeerAddress: n.settings.PeerAddress,
		Capacity:    n.ownCapacity(),
		Answers:     true,

		AnswersDomains: true,
	}
}

// cellSizes computes the sizes from the nodes' rows, and from reachable hosts that have
// no row. Before the rows are read, this node's own capacity says nothing about the other
// hosts, and all domains get the size for an unknown capacity. n.mu is held.
func (n *Node) cellSizes() cellSizes {
	if !n.rowsRead {
		return cellSizes{unknown: ownership.CellSize(ownership.Capacity{})}
	}
	own := ownership.CellSize(n.ownCapacity())
	sizes := cellSizes{byDomain: map[string]int{n.settings.Domain: own}, unknown: own}
	include := func(domain string, host ownership.Capacity) {
		sizes.byDomain[domain] = max(sizes.byDomain[domain], ownership.CellSize(host))
	}
	for _, row := range n.memberRows {
		include(row.Domain, row.Capacity)
	}
	for _, peer := range n.members.View(n.inc).Peers {
		if _, listed := n.memberRows[peer.Name]; !listed {
			include(peer.Domain, ownership.Capacity{CPU: peer.Weight, LinkMbps: n.settings.LinkMbps})
		}
	}
	return sizes
}

// cellCounts returns the number of cells of each domain, from its number of executors.
func (n *Node) cellCounts(executors map[string]int) map[string]int {
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	sizes := n.cellSizes()
	counts := map[string]int{}
	for domain, count := range executors {
		claimed := n.claims.ClaimedCellCount(domain)
		if inUse := n.resizing.InUse(domain, claimed, now); !n.rowsRead && inUse > 0 {
			counts[domain] = inUse
			continue
		}
		counts[domain] = n.resizing.Update(domain, count, sizes.of(domain), claimed, now)
	}
	n.resizing.RetainOnly(executors)
	return counts
}

// resizeCells divides the executors into cells again when the number of cells has
// changed, because the capacities of hosts or the claims of owners have changed.
func (n *Node) resizeCells() {
	current := n.executors.Load()
	if current == nil || maps.Equal(current.counts, n.cellCounts(current.sizes)) {
		return
	}
	n.listing.Lock()
	defer n.listing.Unlock()
	n.publish(true, n.executors.Load().askedAt)
	n.Log.Info("cells_resized", "counts", n.executors.Load().counts)
}
