package node

import (
	"context"
	"sort"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
)

// Interval and expiry of the rows of nodes that don't return. A node that was only
// unreachable rewrites its row when it finds it missing.
const (
	rowsInterval = 10 * time.Second
	rowExpiry    = 60 * time.Second // since the node was last reachable
)

// runRows removes the rows of nodes that have been unreachable for longer than rowExpiry, so that rows of
// replaced machines don't accumulate: of this domain, and of other ones of which no node is reachable.
func (n *Node) runRows(ctx context.Context) {
	for common.Sleep(ctx, common.Jitter(rowsInterval, common.Unit())) {
		for _, name := range n.staleRows(n.Clock.Now()) {
			n.removeRow(ctx, name)
		}
	}
}

// staleRows returns the names of rows to remove.
func (n *Node) staleRows(now time.Duration) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members.IsAlone() {
		for name := range n.memberRows {
			n.lastReachable[name] = now
		}
		return nil // this node may be the one that is cut off
	}
	view := n.ownershipView()
	if view.ReachesFew() {
		return nil // this node may be the unreachable one
	}
	up, reached := map[string]bool{n.settings.PeerAddress: true}, map[string]bool{}
	for _, host := range view.Up {
		up[host.Address], reached[host.Domain] = true, true
	}
	dialled := map[string]bool{}
	for _, address := range n.members.Expected(now) {
		dialled[address] = true
	}
	var stale []string
	for name, row := range n.memberRows {
		isForeign := row.Domain != n.settings.Domain
		_, known := n.lastReachable[name]
		// This node can't tell whether one to which it keeps no link is reachable.
		if up[row.PeerAddress] || !known || isForeign && !dialled[row.PeerAddress] {
			n.lastReachable[name] = now
		}
		if now > n.lastReachable[name]+rowExpiry && !(isForeign && reached[row.Domain]) {
			stale = append(stale, name)
		}
	}
	sort.Strings(stale)
	return stale
}

func (n *Node) removeRow(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := n.store.Withdraw(ctx, name)
	n.Log.Info("row_removed", "member", name, "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
