package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// ownershipView returns what this node sees of the others. n.mu is held.
func (n *Node) ownershipView() ownership.View {
	view := ownership.View{Self: ownership.Host{Address: n.settings.PeerAddress, Domain: n.settings.Domain, Leaving: n.leaving.Load(), Weight: n.settings.Weight}}
	known := map[string]bool{n.settings.PeerAddress: true}
	now := n.Clock.Now()
	view.Self.Weight = n.weightOf(view.Self, now)
	for _, p := range n.members.View(n.inc).Peers {
		host := ownership.Host{Address: p.Address, Domain: p.Domain, Leaving: p.Leaving, Weight: p.Weight, Heard: n.claims.Heard(p.Address)}
		host.Weight = n.weightOf(host, now)
		view.Up = append(view.Up, host)
		known[p.Address] = true
	}
	for _, address := range n.members.Expected(now) {
		known[address] = true
	}
	view.Known = len(known)
	view.Back = n.back
	view.Listed = n.rowsRead
	return view
}

// sideWeight is the weight of hosts of large domains that don't hold links to all
// that may own cells: they come after those.
const sideWeight = 1

// weightOf returns the weight with which a host may own cells. n.mu is held.
func (n *Node) weightOf(host ownership.Host, now time.Duration) int {
	if n.members.IsHub(host.Address, host.Domain, now) {
		return host.Weight
	}
	return sideWeight
}
