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

// runRows removes the rows of nodes of this domain that have been unreachable for longer
// than rowExpiry, so that rows of replaced machines don't accumulate.
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
	if 2*(len(view.Up)+1) < view.Expected {
		return nil // this node may be the unreachable one
	}
	up := map[string]bool{n.settings.PeerAddress: true}
	for _, host := range view.Up {
		up[host.Address] = true
	}
	var stale []string
	for name, row := range n.memberRows {
		_, known := n.lastReachable[name]
		if up[row.PeerAddress] || !known {
			n.lastReachable[name] = now
		}
		if row.Domain == n.settings.Domain && now > n.lastReachable[name]+rowExpiry {
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
