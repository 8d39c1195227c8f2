package node

import (
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// ownershipView returns this node's view of the hosts, for decisions on ownership. n.mu
// is held.
func (n *Node) ownershipView() ownership.View {
	view := ownership.View{Self: ownership.Host{Address: n.settings.PeerAddress, Domain: n.settings.Domain, Leaving: n.leaving.Load(), Weight: n.settings.Weight}}
	known := map[string]bool{n.settings.PeerAddress: true}
	now := n.Clock.Now()
	hubs := n.members.HubSnapshot(now)
	view.Self.Weight = weightOf(view.Self, hubs)
	for _, p := range n.members.View(n.inc).Peers {
		host := ownership.Host{Address: p.Address, Domain: p.Domain, Leaving: p.Leaving, Weight: p.Weight, HasReported: n.claims.HasReported(p.Address), TellsOwners: p.TellsOwners}
		host.Weight = weightOf(host, hubs)
		view.Up = append(view.Up, host)
		known[p.Address] = true
	}
	for _, address := range n.claims.HeardOwners(now) {
		host := ownership.Host{Address: address, Domain: n.settings.Domain, Weight: n.settings.Weight, HasReported: true}
		if listed, isListed := n.members.ListedAt(address); isListed {
			host.Weight = listed.Weight
		}
		host.Weight = weightOf(host, hubs)
		view.Heard = append(view.Heard, host)
	}
	for _, address := range n.members.Expected(now) {
		if !known[address] && n.members.HasEnded(address, now) {
			view.Ended++
		}
		known[address] = true
	}
	view.LostDomains = n.members.LostDomains()
	view.Expected = len(known)
	view.Restarted = n.restarted
	view.RowsRead = n.rowsRead
	return view
}

// nonHubWeight is the weight of the hosts of a large domain that are no hubs: hubs own
// cells before them.
const nonHubWeight = 1

// weightOf returns the weight with which a host may own cells.
func weightOf(host ownership.Host, hubs member.HubSnapshot) int {
	if hubs.IsHub(host.Address, host.Domain) {
		return host.Weight
	}
	return nonHubWeight
}
