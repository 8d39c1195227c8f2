package entry

import (
	"github.com/foxcroft/foxcroft/pkg/admit"
	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/route"
	"github.com/foxcroft/foxcroft/pkg/schedule"
)

// configure applies a configuration and the current hosts. service is the one whose
// policy applies to the pool.
func (d *dispatcher) configure(doc *config.Document, service *config.Service, view *member.View) error {
	policy, err := route.Policies.Get(service.Routing)
	if err != nil {
		return err
	}
	order, err := admit.Orderings.Get(service.Order)
	if err != nil {
		return err
	}
	hosts := max(1, len(view.Owners()))
	rules := schedule.Rules{
		Policy:      policy,
		Order:       order,
		BorrowAfter: service.BorrowAfter,
		Shares:      func(team string) admit.Share { return shareOf(doc.Teams[team], hosts) },
	}
	d.update(func() {
		d.batch = service.BatchWindow
		d.scheduler.Configure(rules, targetsOf(doc.Pools[d.pool], view), view.Owners(), lendersOf(view))
	})
	return nil
}

// shareOf returns a team's share at one of a domain's hosts, each of which
// applies an equal part of the quota, rounded up.
func shareOf(team *config.Team, hosts int) admit.Share {
	if team == nil {
		return admit.Share{Weight: 1} // removed from the configuration while it had jobs
	}
	return admit.Share{Weight: team.Weight, Quota: (team.QuotaSlots + hosts - 1) / hosts}
}

func targetsOf(pool *config.Pool, view *member.View) []route.Target {
	var targets []route.Target
	for _, executor := range pool.ExecutorsIn(view.Self.Domain) {
		targets = append(targets, route.Target{Address: executor.Address, Slots: pool.Slots})
	}
	return targets
}

func lendersOf(view *member.View) []route.Lender {
	var lenders []route.Lender
	for _, peer := range view.Peers {
		lenders = append(lenders, route.Lender{
			Host:    peer.Name,
			Near:    peer.Domain == view.Self.Domain,
			Leaving: peer.Leaving,

			PeerLoad: loadOf(peer),
		})
	}
	return lenders
}

// loadOf returns the slots and tasks that a peer last reported.
func loadOf(peer member.Peer) route.PeerLoad {
	return route.PeerLoad{Idle: peer.Free, Usable: peer.Usable, Waiting: peer.Waiting}
}
