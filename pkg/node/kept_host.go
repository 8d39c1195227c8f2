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

// keepersLife is how long it stays worked out who keeps which partition: weights of
// hosts change without news.
const keepersLife = time.Second

// keptHost is the node as pkg/keeping needs it.
type keptHost struct {
	node *Node

	mu      sync.Mutex
	keepers []keeping.CoordinatorHost // by partition
	version uint64                    // of the view that they were worked out from
	at      time.Duration
}

// Settled implements keeping.Host.
func (h *keptHost) Settled() bool {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	return h.node.rowsRead && h.node.Clock.Now() >= startPatience
}

// ViewVersion implements keeping.Host.
func (h *keptHost) ViewVersion() uint64 { return h.node.viewVersion.Load() }

// CoordinatorOf implements keeping.Host.
func (h *keptHost) CoordinatorOf(partition int) keeping.CoordinatorHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, version := h.node.Clock.Now(), h.ViewVersion()
	if h.keepers == nil || version != h.version || now > h.at+keepersLife {
		h.keepers, h.version, h.at = h.node.chooseKeepers(), version, now
	}
	return h.keepers[partition]
}

// chooseKeepers works out the keepers of all partitions from the hosts in sight. A
// host that sees none that stays is the keeper itself.
func (n *Node) chooseKeepers() []keeping.CoordinatorHost {
	n.mu.Lock()
	view := n.ownershipView()
	hosts := n.withStore(append(view.Up, view.Self))
	n.mu.Unlock()
	keepers := make([]keeping.CoordinatorHost, kept.Partitions)
	for i := range keepers {
		host, ok := ownership.PickByHash(kept.PartOf(i), hosts)
		if !ok {
			host = view.Self
		}
		keepers[i] = keeping.CoordinatorHost{Address: host.Address, Self: host.Address == n.settings.PeerAddress}
	}
	return keepers
}

// withStore returns the hosts that can reach the store as far as they have told, or all
// when none can. n.mu is held.
func (n *Node) withStore(hosts []ownership.Host) []ownership.Host {
	var able []ownership.Host
	for _, host := range hosts {
		fails := n.storeless[host.Address]
		if host.Address == n.settings.PeerAddress {
			fails = n.storeIsOut()
		}
		if !fails {
			able = append(able, host)
		}
	}
	if len(able) == 0 {
		return hosts
	}
	return able
}

// storeIsOut reports whether this host can't reach the store.
func (n *Node) storeIsOut() bool {
	return n.storeFails.Load() || n.operatorFails.Load() || n.keeping.StoreIsDown()
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

// call makes a call of another keeper. It reports false when nothing was sent.
func (h *keptHost) call(ctx context.Context, address string, m *peerpb.Message) (kept.Answer, bool) {
	link := h.node.links.Link(address)
	if link == nil || !link.Up() {
		return kept.Answer{}, false
	}
	answer, err := link.Call(ctx, m, 0)
	if err != nil || answer.GetKeptReply() == nil {
		return kept.Answer{Verdict: kept.Unknown, Reason: keeping.ReasonNoAnswer, RetryAfter: comeBack}, true
	}
	return fromKeptReply(answer.GetKeptReply()), true
}

// ChooseCell implements keeping.Host.
func (h *keptHost) ChooseCell(j *job.Job) (string, bool) {
	claim, ok := h.node.front.choose(j, &attempt{})
	return claim.Cell, ok
}

// WaitAt implements keeping.Host.
func (h *keptHost) WaitAt(cell string) time.Duration {
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

// SeesMinority implements keeping.Host.
func (h *keptHost) SeesMinority() bool {
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	view := h.node.ownershipView()
	return 2*(len(view.Up)+1) < view.Expected
}

// CellIsGone implements keeping.Host.
func (h *keptHost) CellIsGone(cell string) bool {
	listing := h.node.executors.Load()
	if listing == nil || h.node.storeFails.Load() {
		return false
	}
	if _, listed := listing.cells[cell]; listed {
		return false
	}
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	view := h.node.ownershipView()
	return 2*(len(view.Up)+1) > view.Expected
}

// Changed implements keeping.Host.
func (h *keptHost) Changed() <-chan struct{} { return h.node.changed.wait() }

// Dispatch implements keeping.Host.
func (h *keptHost) Dispatch(ctx context.Context, j *job.Job, cell string, epoch int, progress []job.Progress) job.Outcome {
	claim, ok := h.ownerOf(cell)
	if !ok {
		return job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}
	}
	return h.node.front.dispatch(ctx, j, claim, &attempt{epoch: epoch, progress: progress})
}

// NotifyOwner implements keeping.Host.
func (h *keptHost) NotifyOwner(ctx context.Context, word keeping.OwnerNotice) ([]string, bool) {
	claim, ok := h.ownerOf(word.Cell)
	if !ok {
		return nil, false
	}
	m := &peerpb.Noted{Cell: word.Cell, Ids: word.IDs, Cancelled: word.Cancelled, Moved: word.Moved, Progress: uint32(word.Progress)}
	if claim.Owner == h.node.settings.PeerAddress {
		o := h.node.owner(word.Cell)
		if o == nil {
			return nil, false
		}
		return o.told(m)
	}
	link := h.node.links.Link(claim.Owner)
	if link == nil || !link.Up() {
		return nil, false
	}
	answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Noted{Noted: m}}, 0)
	if err != nil || answer.GetNoted() == nil {
		return nil, false
	}
	return answer.GetNoted().Ids, true
}
