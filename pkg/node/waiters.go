package node

import (
	"maps"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// A front that has lost a job's owner takes the job's runs there for over once the lease that it
// renewed last has ended, and has the job run elsewhere. If several fronts wait for a job at its
// owner, its lease therefore counts from the earliest of their renewals, those of lost fronts
// included. A lost front counts until it waits for the job again. A kept job has no lease.

// reasonCallerLeft marks the withdrawal of a job by its front.
const reasonCallerLeft = "caller_left"

// lostFronts has the last renewals of the fronts that were lost while others waited for the same
// job, by job id and front.
type lostFronts map[string]map[string]time.Duration

func (l lostFronts) add(id, front string, renewedAt time.Duration) {
	if l[id] == nil {
		l[id] = map[string]time.Duration{}
	}
	l[id][front] = max(l[id][front], renewedAt)
}

func (l lostFronts) remove(id, front string) {
	delete(l[id], front)
	if len(l[id]) == 0 {
		delete(l, id)
	}
}

// renew extends the leases of the jobs that arrived on a connection. Jobs of the
// same front's earlier connections are not renewed: the front has submitted them
// again, or has withdrawn them and the withdrawal may have been lost.
func (o *owner) renew(connection *peerpb.Hello, at time.Duration) {
	o.do(func(state *cell.Cell, now time.Duration) {
		var shared []string
		ids := o.renewedBy(connection)
		ids = slices.DeleteFunc(ids, func(id string) bool {
			isShared := o.recordRenewal(id, connection, at)
			if isShared {
				shared = append(shared, id)
			}
			return isShared
		})
		state.Renew(ids, at, now)
		for _, id := range shared {
			state.Renew([]string{id}, o.renewedAt(id), now)
		}
	})
}

// renewedBy returns the ids of the jobs that arrived on a connection. o.mu is held.
func (o *owner) renewedBy(connection *peerpb.Hello) []string {
	var ids []string
	for id, waiters := range o.waiters {
		if slices.ContainsFunc(waiters, func(w waiter) bool { return w.connection == connection }) {
			ids = append(ids, id)
		}
	}
	return ids
}

// recordRenewal records the renewal of a job by the waiters of a connection, and reports whether
// its lease depends on other fronts too. o.mu is held.
func (o *owner) recordRenewal(id string, connection *peerpb.Hello, at time.Duration) (isShared bool) {
	waiters := o.waiters[id]
	for i := range waiters {
		if w := &waiters[i]; w.connection == connection {
			w.renewedAt = max(w.renewedAt, at)
		}
	}
	return len(waiters) > 1 || len(o.lostFronts[id]) > 0
}

// renewedAt returns the renewal from which the lease of a job counts. o.mu is held.
func (o *owner) renewedAt(id string) time.Duration {
	byFront := maps.Clone(o.lostFronts[id])
	if byFront == nil {
		byFront = map[string]time.Duration{}
	}
	for _, w := range o.waiters[id] {
		byFront[w.front] = max(byFront[w.front], w.renewedAt)
	}
	renewals := slices.Collect(maps.Values(byFront))
	if o.kept.inCell[id] {
		return slices.Max(renewals)
	}
	return slices.Min(renewals)
}

// removeWaiters removes and returns a front's waiters for a job, and reports whether the job has
// no other waiters. If the front is lost, its last renewal still bounds the job's lease.
func (o *owner) removeWaiters(id, front string, isLost bool) (taken []waiter, last bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.takeWaiters(id, front, isLost)
}

// takeWaiters is removeWaiters with o.mu held.
func (o *owner) takeWaiters(id, front string, isLost bool) (taken []waiter, last bool) {
	remaining := o.waiters[id][:0]
	for _, w := range o.waiters[id] {
		if w.front == front {
			taken = append(taken, w)
			continue
		}
		remaining = append(remaining, w)
	}
	o.waiters[id] = remaining
	if len(remaining) == 0 {
		delete(o.waiters, id)
		delete(o.lostFronts, id)
		return taken, true
	}
	if !isLost || o.kept.inCell[id] {
		o.lostFronts.remove(id, front)
		return taken, false
	}
	for _, w := range taken {
		o.lostFronts.add(id, front, w.renewedAt)
	}
	return taken, false
}
