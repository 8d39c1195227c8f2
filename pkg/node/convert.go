package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

func toOutcome(outcome job.Outcome) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Outcome{Outcome: &peerpb.Outcome{
		Kind:         uint32(outcome.Kind),
		Reason:       outcome.Reason,
		RetryAfterUs: outcome.RetryAfter.Microseconds(),
		Started:      outcome.Started,
		Progress:     jobwire.ToProgress(outcome.Progress),
		ChainUs:      outcome.Chain.Microseconds(),
		NamesRuns:    outcome.NamesRuns,
		OpenAt:       toOpenAt(outcome.OpenAt),
	}}}
}

func toOpenAt(at *job.OpenAt) *peerpb.OpenAt {
	if at == nil {
		return nil
	}
	return &peerpb.OpenAt{Front: at.Address, Domain: at.Domain, Process: []byte(at.Process), LeftUs: at.Remaining.Microseconds()}
}

func fromOpenAt(m *peerpb.OpenAt) *job.OpenAt {
	if m == nil {
		return nil
	}
	return &job.OpenAt{Address: m.Front, Domain: m.Domain, Process: string(m.Process), Remaining: common.Microseconds(m.LeftUs)}
}

func toAsked(asked openjobs.Asked, now time.Duration) []*peerpb.AskedFront {
	var fronts []*peerpb.AskedFront
	for _, front := range asked.Sorted() {
		fronts = append(fronts, &peerpb.AskedFront{Front: front.Address, Domain: front.Domain, Process: []byte(front.Process), AgoUs: (now - asked[front]).Microseconds()})
	}
	return fronts
}

// longestAskedAgo bounds what other hosts tell, so that it doesn't overflow.
const longestAskedAgo = time.Hour

func fromAsked(fronts []*peerpb.AskedFront, now time.Duration) openjobs.Asked {
	asked := openjobs.Asked{}
	for _, m := range fronts {
		front := openjobs.Front{Address: m.Front, Domain: m.Domain, Process: string(m.Process)}
		asked[front] = now - common.Microseconds(min(max(0, m.AgoUs), longestAskedAgo.Microseconds()))
	}
	return asked
}

func fromOutcome(m *peerpb.Outcome) job.Outcome {
	return job.Outcome{
		Kind:       job.KindOf(m.Kind),
		Reason:     m.Reason,
		RetryAfter: common.Microseconds(m.RetryAfterUs),
		Started:    m.Started,
		Progress:   jobwire.FromProgress(m.Progress),
		Chain:      common.Microseconds(m.ChainUs),
		NamesRuns:  m.NamesRuns,
		OpenAt:     fromOpenAt(m.OpenAt),
	}
}

func toCellLoad(claim ownership.Claim) *peerpb.CellLoad {
	return &peerpb.CellLoad{
		Cell:        claim.Cell,
		Token:       uint64(claim.Token),
		CapacityCpu: claim.Load.CapacityCPU,
		FreeCpu:     claim.Load.FreeCPU,
		QueuedWork:  claim.Load.QueuedWork,
		Ready:       claim.Load.Ready,
		Services:    claim.Load.Services,
	}
}

func fromCellLoads(ms []*peerpb.CellLoad) []ownership.Claim {
	var claims []ownership.Claim
	for _, m := range ms {
		if !isPlausibleClaim(m) {
			continue
		}
		claims = append(claims, ownership.Claim{
			Cell:  m.Cell,
			Token: int64(m.Token),
			Load: ownership.Load{
				CapacityCPU: plausibleLoad(m.CapacityCpu),
				FreeCPU:     plausibleLoad(m.FreeCpu),
				QueuedWork:  plausibleLoad(m.QueuedWork),
				Ready:       m.Ready,
				Services:    m.Services,
			},
		})
	}
	return claims
}

// fromRouteCounts returns the number of waiting jobs by route.
func fromRouteCounts(counts []*peerpb.RouteCount) map[string]int {
	byRoute := make(map[string]int, len(counts))
	for _, c := range counts {
		byRoute[c.Route] = int(c.Waiting)
	}
	return byRoute
}

// toRelayedList returns the message that relays changes of the executor list. It omits the
// executors' clocks, which are stale on arrival.
func toRelayedList(relayed *catalog.RelayedList) *peerpb.Snapshot {
	m := &peerpb.Snapshot{
		Kind:     snapshotExecutors,
		Revision: relayed.Changes.Revision,
		Gone:     relayed.Changes.Removed,
		Since:    relayed.Since,
		Position: relayed.Position,
	}
	for _, executor := range relayed.Changes.Listed {
		m.Executors = append(m.Executors, &peerpb.ListedExecutor{
			Id:        executor.ID,
			Born:      executor.StartedAt,
			Service:   executor.Service,
			Address:   executor.Address,
			Domain:    executor.Domain,
			Draining:  executor.Draining,
			RemainsMs: executor.Remains.Milliseconds(),
			Cpu:       executor.Capacity.CPU,
			MemoryMb:  executor.Capacity.MemoryMB,
			Gpu:       executor.Capacity.GPU,
			Labels:    executor.Labels,
		})
	}
	return m
}

func fromRelayedList(m *peerpb.Snapshot) *catalog.RelayedList {
	relayed := &catalog.RelayedList{
		Changes:  catalog.ExecutorChanges{Revision: m.Revision, Removed: m.Gone},
		Since:    m.Since,
		Position: m.Position,
	}
	for _, listed := range m.Executors {
		relayed.Changes.Listed = append(relayed.Changes.Listed, catalog.Executor{
			ID:        listed.Id,
			StartedAt: listed.Born,
			Service:   listed.Service,
			Address:   listed.Address,
			Domain:    listed.Domain,
			Draining:  listed.Draining,
			Remains:   common.Milliseconds(listed.RemainsMs),
			Capacity:  job.Resources{CPU: listed.Cpu, MemoryMB: listed.MemoryMb, GPU: listed.Gpu},
			Labels:    listed.Labels,
		})
	}
	return relayed
}
