package node

import (
	"context"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/keeping"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// coordinatorsMaxAge is how long the computed coordinators of the partitions are used.
// Weights of hosts may change without a change of the view's version.
const coordinatorsMaxAge = time.Second

// keptHost implements keeping.Host on a node.
type keptHost struct {
	node *Node

	mu           sync.Mutex
	coordinators []keeping.CoordinatorHost // by partition
	viewVersion  uint64                    // Node.viewVersion when coordinators were computed
	computedAt   time.Duration
}

// MembershipKnown implements keeping.Host.
func (h *keptHost) MembershipKnown() bool {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.rowsRead && h.node.Clock.Now() >= startupGrace
}

// ViewVersion implements keeping.Host.
func (h *keptHost) ViewVersion() uint64 { return h.node.viewVersion.Load() }

// CoordinatorOf implements keeping.Host.
func (h *keptHost) CoordinatorOf(partition int) keeping.CoordinatorHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, version := h.node.Clock.Now(), h.ViewVersion()
	if h.coordinators == nil || version != h.viewVersion || now > h.computedAt+coordinatorsMaxAge {
		h.coordinators, h.viewVersion, h.computedAt = h.node.chooseCoordinators(), version, now
	}
	return h.coordinators[partition]
}

// chooseCoordinators computes the coordinators of all partitions from the reachable hosts.
// When all of them are leaving, this host coordinates every partition itself.
func (n *Node) chooseCoordinators() []keeping.CoordinatorHost {
	n.mu.Lock()
	view := n.ownershipView()
	hosts := n.withStore(append(view.Up, view.Self))
	n.mu.Unlock()
	coordinators := make([]keeping.CoordinatorHost, kept.Partitions)
	for i := range coordinators {
		host, ok := ownership.PickByHash(kept.PartOf(i), hosts)
		if !ok {
			host = view.Self
		}
		coordinators[i] = keeping.CoordinatorHost{Address: host.Address, Self: host.Address == n.settings.PeerAddress}
	}
	return coordinators
}

// withStore returns the hosts that can reach the store, as far as they have reported, or
// all hosts when none can. n.mu is held.
func (n *Node) withStore(hosts []ownership.Host) []ownership.Host {
	var reachable []ownership.Host
	for _, host := range hosts {
		unreachable := n.storeUnreachable[host.Address]
		if host.Address == n.settings.PeerAddress {
			unreachable = n.storeIsUnreachable()
		}
		if !unreachable {
			reachable = append(reachable, host)
		}
	}
	if len(reachable) == 0 {
		return hosts
	}
	return reachable
}

// storeIsUnreachable reports whether the store is unreachable from this host.
func (n *Node) storeIsUnreachable() bool {
	return n.listReadFails.Load() || n.operatorReadFails.Load() || n.keeping.StoreIsDown()
}

// AskCoordinator implements keeping.Host.
func (h *keptHost) AskCoordinator(ctx context.Context, address, cell string, j *job.Job, hops int) (kept.Answer, bool) {
	now := h.node.Clock.Now()
	m := &peerpb.Keep{Job: jobwire.ToDispatch(j, cell, 0, nil, 0, now), Hops: uint32(hops)}
	return h.call(ctx, address, &peerpb.Message{Body: &peerpb.Message_Keep{Keep: m}})
}

// AskState implements keeping.Host.
func (h *keptHost) AskState(ctx context.Context, address, id string, cancel bool, hops int) (kept.Answer, bool) {
	m := &peerpb.KeptQuery{Id: id, Cancel: cancel, Hops: uint32(hops)}
	return h.call(ctx, address, &peerpb.Message{Body: &peerpb.Message_KeptQuery{KeptQuery: m}})
}

// call sends a request to another coordinator. It reports false when nothing was sent.
func (h *keptHost) call(ctx context.Context, address string, m *peerpb.Message) (kept.Answer, bool) {
	link := h.node.links.Link(address)
	if link == nil || !link.Up() {
		return kept.Answer{}, false
	}
	answer, err := link.Call(ctx, m, 0)
	if err != nil || answer.GetKeptReply() == nil {
		return kept.Answer{Verdict: kept.Unknown, Reason: keeping.ReasonCoordinatorUnresponsive, RetryAfter: refusalRetryAfter}, true
	}
	return fromKeptReply(answer.GetKeptReply()), true
}

// ChooseCell implements keeping.Host.
func (h *keptHost) ChooseCell(j *job.Job) (string, bool) {
	claim, ok := h.node.front.chooseOwner(j, &attempt{})
	return claim.Cell, ok
}

// ChooseOtherCell implements keeping.Host.
func (h *keptHost) ChooseOtherCell(cell string, j *job.Job, progress []job.Progress) (string, bool) {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	claim, ok := n.chooseAmong(n.openClaimsBeside(cell), j, progress)
	return claim.Cell, ok
}

// IsUnmeetable implements keeping.Host.
func (h *keptHost) IsUnmeetable(j *job.Job) bool { return h.node.executors.Load().isUnmeetable(j) }

// QueueDelay implements keeping.Host.
func (h *keptHost) QueueDelay(cell string) time.Duration {
	claim, ok := h.ownerOf(cell)
	if !ok || claim.Load.CapacityCPU == 0 {
		return 0
	}
	return time.Duration(claim.Load.QueuedWork/claim.Load.CapacityCPU) * time.Millisecond
}

// HasOwner implements keeping.Host.
func (h *keptHost) HasOwner(cell string) bool {
	_, ok := h.ownerOf(cell)
	return ok
}

func (h *keptHost) ownerOf(cell string) (ownership.Claim, bool) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.claims.Owner(cell)
}

// reachableHosts returns how many of the expected hosts this one reaches, itself included.
func (h *keptHost) reachableHosts() (reachable, expected int) {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	view := h.node.ownershipView()
	return len(view.Up) + 1, view.Expected
}

// SeesAll implements keeping.Host.
func (h *keptHost) SeesAll() bool {
	reachable, expected := h.reachableHosts()
	return reachable >= expected
}

// SeesMinority implements keeping.Host.
func (h *keptHost) SeesMinority() bool {
	reachable, expected := h.reachableHosts()
	return 2*reachable < expected
}

// CellRemoved implements keeping.Host.
func (h *keptHost) CellRemoved(cell string) bool {
	listing := h.node.executors.Load()
	if listing == nil || h.node.listReadFails.Load() {
		return false
	}
	if _, listed := listing.cells[cell]; listed {
		return false
	}
	if reachable, expected := h.reachableHosts(); 2*reachable > expected {
		return true
	}
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.hasLastingMajority(h.node.Clock.Now())
}

// OwnersChanged implements keeping.Host.
func (h *keptHost) OwnersChanged() <-chan struct{} { return h.node.changed.wait() }

// Dispatch implements keeping.Host.
func (h *keptHost) Dispatch(ctx context.Context, j *job.Job, d keeping.Dispatch) job.Outcome {
	claim, ok := h.ownerOf(d.Cell)
	if !ok {
		return job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}
	}
	return h.node.front.dispatch(ctx, j, claim, &attempt{epoch: d.Epoch, progress: d.Progress, progressAt: h.node.Clock.Now(), namesRuns: d.NamesRuns})
}

// NotifyOwner implements keeping.Host.
func (h *keptHost) NotifyOwner(ctx context.Context, notice keeping.OwnerNotice) ([]string, bool) {
	m := &peerpb.Noted{Cell: notice.Cell, Ids: notice.IDs, Cancelled: notice.Cancelled, Moved: notice.Moved, Progress: uint32(notice.Progress)}
	answer, ok := h.notify(ctx, m)
	return answer.GetIds(), ok
}

// ReleaseMoved implements keeping.Host.
func (h *keptHost) ReleaseMoved(ctx context.Context, cell, id string) ([]job.Progress, bool) {
	answer, ok := h.notify(ctx, &peerpb.Noted{Cell: cell, Ids: []string{id}, Moved: true, ReportEnds: true})
	return jobwire.FromProgress(answer.GetEnds()), ok && len(answer.GetIds()) == 0
}

// notify sends a notice to the owner of its cell. It reports false without an answer by which the
// owner has applied it.
func (h *keptHost) notify(ctx context.Context, m *peerpb.Noted) (*peerpb.Noted, bool) {
	claim, ok := h.ownerOf(m.Cell)
	if !ok {
		return nil, false
	}
	if claim.Owner == h.node.settings.PeerAddress {
		return h.notifyOwn(m)
	}
	link := h.node.links.Link(claim.Owner)
	if link == nil || !link.Up() {
		return nil, false
	}
	answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Noted{Noted: m}}, 0)
	if err != nil || answer.GetNoted() == nil {
		return nil, false
	}
	return answer.GetNoted(), true
}

// notifyOwn applies a notice to a cell that this host owns.
func (h *keptHost) notifyOwn(m *peerpb.Noted) (*peerpb.Noted, bool) {
	o := h.node.owner(m.Cell)
	if o == nil {
		return nil, false
	}
	return o.answerNotice(m)
}
