package node

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// Callers of kept jobs choose a host, and its front a cell by the last reported loads, so that many large jobs that come
// at once may wait in one cell beside idle ones. The owner of the cell returns some of them then.

const (
	// balanceInterval is how often owners look for room in other cells.
	balanceInterval = 500 * time.Millisecond
	// grantRetention is how long room that a returned job may take counts as taken: until it has been
	// moved and started, and its new owner's load was reported.
	grantRetention = 1500 * time.Millisecond
)

// roomGrant is room in another cell that a returned job may take.
type roomGrant struct {
	cell  string
	cpu   int64
	until time.Duration
}

// balanceWaiting returns kept jobs that have waited for long in cells of this node, while others have room for them.
func (n *Node) balanceWaiting(now time.Duration) {
	for _, o := range n.allOwners() {
		o.returnWaiting(now)
	}
}

func (o *owner) returnWaiting(now time.Duration) {
	if !o.hasKeptJobs() {
		return
	}
	idle := o.node.idleClaimsBeside(o.cell)
	o.grants = slices.DeleteFunc(o.grants, func(g roomGrant) bool { return now >= g.until })
	if len(idle) == 0 {
		return
	}
	listing := o.node.executors.Load()
	o.do(func(state *cell.Cell, now time.Duration) {
		state.ReturnWaiting(now, func(j *job.Job) bool { return o.grantRoom(listing.eligible(idle, j, nil), j, now) })
	})
}

// idleClaimsBeside returns the claims on other cells without queued work that accept new jobs.
func (n *Node) idleClaimsBeside(cell string) []ownership.Claim {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(n.openClaimsBeside(cell), func(claim ownership.Claim) bool {
		return !claim.Load.Ready || claim.Load.QueuedWork > 0
	})
}

// grantRoom reports whether one of some idle cells has room for all tasks of a job that may start at once, or is empty.
// The room counts as taken for a while.
func (o *owner) grantRoom(idle []ownership.Claim, j *job.Job, now time.Duration) bool {
	needs := startingCPU(j)
	for _, claim := range idle {
		free := claim.Load.FreeCPU
		for _, g := range o.grants {
			if g.cell == claim.Cell {
				free -= g.cpu
			}
		}
		if claim.Load.Serves(j.Service) && (needs <= free || free == claim.Load.CapacityCPU) {
			o.grants = append(o.grants, roomGrant{cell: claim.Cell, cpu: needs, until: now + grantRetention})
			return true
		}
	}
	return false
}

// startingCPU returns the processor need of the tasks of a job that may start at once.
func startingCPU(j *job.Job) int64 {
	var needs int64
	_, ready := j.RemainingSteps(nil)
	for _, step := range ready {
		needs += int64(j.Steps[step].Count) * j.Steps[step].Needs.CPU
	}
	return needs
}
