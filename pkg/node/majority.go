package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// maxMajorityGap is the longest time between two checks for which this host counts as having reached most hosts
// throughout.
const maxMajorityGap = 2 * time.Second

// majority is since when this host has reached most of the expected hosts that have not ended, without a break.
// n.mu guards it.
type majority struct {
	checkedAt time.Duration
	lackedAt  time.Duration // at the last check at which it didn't; 0: the start of this process
}

// updateMajority checks whether this host reaches most hosts.
func (n *Node) updateMajority(now time.Duration) {
	n.mu.Lock()
	view := n.ownershipView()
	reachesMost := view.ReachesMost()
	if !reachesMost || now > n.majority.checkedAt+maxMajorityGap {
		n.majority.lackedAt = now
	}
	n.majority.checkedAt = now
	var bounded []*owner
	for _, o := range n.owners {
		if reachesMost && o.isFromMinority {
			o.isFromMinority = false
			bounded = append(bounded, o)
		}
	}
	n.mu.Unlock()
	for _, o := range bounded {
		o.do(func(state *cell.Cell, now time.Duration) { state.BoundFormerOwner(now) })
	}
}

// reachesFew reports whether this host reaches less than half of the hosts. n.mu is held.
func (n *Node) reachesFew() bool {
	view := n.ownershipView()
	return view.ReachesFew()
}

// expectLivingOwner has the cell of an owner that was claimed from a minority expect that its former owner lives.
func (o *owner) expectLivingOwner(now time.Duration) {
	lacksSome := o.node.foreignDomains.lacksExecutors(ownership.DomainOf(o.cell), o.node.executors.Load())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.ExpectLivingOwner(lacksSome, now)
}

// hasLastingMajority reports whether this host has reached most of the hosts that have not ended for so long that
// no owner that it doesn't reach can have extended the lease of its kept jobs by its contact with half of the hosts,
// and still have runs (keptLeaseEnd). A host may have restarted up to member.EndedFor before that is noticed.
// n.mu is held.
func (n *Node) hasLastingMajority(now time.Duration) bool {
	view := n.ownershipView()
	return view.ReachesMost() && now > n.majority.lackedAt+n.keptRunsBound()+member.EndedFor
}
