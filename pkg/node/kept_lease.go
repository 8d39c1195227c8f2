package node

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// Other hosts move the kept jobs of a cell elsewhere once they have not heard of its owner for
// keptRunsBound and the store lists no executor of the cell (vacancy.go). An owner that is alive and cut
// off ends the runs of its kept jobs before that, by the age of its own evidence that it is not cut off:
// the answers of other hosts, or the cell's presence in the store's list.
const (
	// keptContactTimeout is how long after its last contact with at least half of the hosts an owner
	// extends the lease of its kept jobs, which ends a job lease later. Shorter cuts cost no runs.
	// Coordinators that are cut off stop dispatching after as long (isolationTimeout in pkg/keeping).
	keptContactTimeout = 6 * time.Second
	// keptListTimeout is how long after the request for a list that contains its cell an owner that
	// reaches fewer hosts lets its kept jobs run.
	keptListTimeout = 2500 * time.Millisecond
	// cutOffSuspectedAfter is how long an owner may have no contact with half of the hosts before it
	// reads the list by itself. It exceeds the slowest heartbeat interval.
	cutOffSuspectedAfter = 2 * time.Second
)

// keptLeaseEnd returns when the lease of the kept jobs in a cell of this node ends.
func (n *Node) keptLeaseEnd(cell string) time.Duration {
	end := time.Duration(n.contactAt.Load()) + keptContactTimeout + n.jobLease()
	if listing := n.executors.Load(); listing != nil && listing.isPresent(cell) {
		end = max(end, listing.askedAt+keptListTimeout)
	}
	return end
}

// updateKeptLeases extends the leases of the kept jobs in the cells of this node.
func (n *Node) updateKeptLeases(now time.Duration) {
	owners := n.allOwners()
	if len(owners) > 0 {
		n.updateContactAt(now)
	}
	for _, o := range owners {
		o.updateKeptLease()
	}
}

// updateContactAt updates when this host last was in contact with at least half of the expected hosts.
func (n *Node) updateContactAt(now time.Duration) {
	n.mu.Lock()
	view := n.ownershipView()
	n.mu.Unlock()
	at := contactWithHalf(view.Expected, now, n.answeredAt(view.Up))
	n.contactAt.Store(max(n.contactAt.Load(), int64(at)))
}

// answeredAt returns for each host when the newest heartbeat that it has answered was sent.
func (n *Node) answeredAt(hosts []ownership.Host) []time.Duration {
	times := make([]time.Duration, 0, len(hosts))
	for _, host := range hosts {
		times = append(times, n.links.AnsweredAt(host.Address))
	}
	return times
}

// contactWithHalf returns since when at most a host that reaches itself and others may have been out of
// contact with half of the expected hosts; 0 if it reaches fewer. answeredAt has a time for each other
// host that it reaches.
func contactWithHalf(expected int, now time.Duration, answeredAt []time.Duration) time.Duration {
	others := (expected+1)/2 - 1 // beside this host
	switch {
	case others <= 0:
		return now
	case others > len(answeredAt):
		return 0
	}
	slices.Sort(answeredAt)
	return answeredAt[len(answeredAt)-others]
}

// mayBeCutOff reports whether this host may be out of contact with half of the hosts.
func (n *Node) mayBeCutOff(now time.Duration) bool {
	return now > time.Duration(n.contactAt.Load())+cutOffSuspectedAfter
}

// updateKeptLease extends the lease of the kept jobs in the cell.
func (o *owner) updateKeptLease() {
	end := o.node.keptLeaseEnd(o.cell)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.SetKeptLeaseEnd(end, o.node.Clock.Now())
}

// hasKeptJobs reports whether kept jobs are in the cell.
func (o *owner) hasKeptJobs() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.kept.inCell) > 0
}
