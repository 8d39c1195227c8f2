package node

import (
	"context"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// A front may not notice that a caller has left, and renew the job until its deadline. So the leases
// of a job end before its caller can resubmit it, whatever is renewed, until each domain has confirmed
// its announcement. The front tells the limit to each owner to which it dispatches the job, and lifts
// it at all of them. The executors' leases carry the limit: it holds without the front and the owner.

// leaseLimitOf returns when the leases of a job end at the latest until its announcement is confirmed.
func (n *Node) leaseLimitOf(j *job.Job) time.Duration {
	if n.isAnnounced(j) {
		return openjobs.ConfirmBy(j.EarliestSending(), n.settings.ResubmitAfter, n.settings.StopTime)
	}
	return j.EarliestSending() + n.settings.ResubmitAfter - n.settings.StopTime
}

// isAnnounced reports whether a job is announced if it does not end before.
func (n *Node) isAnnounced(j *job.Job) bool {
	return openjobs.IsAnnounced(j.Received, j.Deadline, n.settings.ResubmitAfter)
}

// beginDispatch records that a job, or a part of it, is dispatched to the host of an owner until the
// returned function is called. It returns the limit of the job's lease there, by this node's clock; 0
// for none.
func (f *front) beginDispatch(j *job.Job, address string) (limit time.Duration, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := f.open[j.WholeID()]
	if open == nil || open.isConfirmed || j.Kept {
		return 0, func() {}
	}
	open.owners = append(open.owners, address)
	return f.node.leaseLimitOf(open.job), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		at := slices.Index(open.owners, address)
		open.owners = slices.Delete(open.owners, at, at+1)
	}
}

// confirm lifts the limits of the leases of jobs at all owners that have them.
func (f *front) confirm(jobs []*openJob) {
	if len(jobs) == 0 {
		return
	}
	ids := map[string][]string{} // by the owner's address
	oldest := jobs[0].job.Received
	f.mu.Lock()
	for _, open := range jobs {
		if open.isConfirmed {
			continue
		}
		open.markConfirmed()
		oldest = min(oldest, open.job.Received)
		for _, address := range open.owners {
			if !slices.Contains(ids[address], open.job.ID) { // several parts may be there
				ids[address] = append(ids[address], open.job.ID)
			}
		}
	}
	f.mu.Unlock()
	f.node.Log.Info("open_jobs_confirmed", "jobs", len(jobs), "first", jobs[0].job.ID, "age_ms", (f.node.Clock.Now() - oldest).Milliseconds())
	for address, confirmed := range ids {
		if address == f.node.settings.PeerAddress {
			f.node.liftLeaseLimits(nil, confirmed)
		} else if link := f.node.links.Link(address); link != nil {
			link.Send(&peerpb.Message{Body: &peerpb.Message_Renew{Renew: &peerpb.Renew{Confirmed: confirmed}}}, 0)
		}
	}
}

// markConfirmed records that the limit of the job's lease is lifted. front.mu is held.
func (o *openJob) markConfirmed() {
	o.isConfirmed = true
	if o.confirmed != nil {
		close(o.confirmed)
	}
}

// expectConfirmation prepares the job for sleepUntilConfirmed. front.mu is held.
func (o *openJob) expectConfirmation() {
	if !o.isConfirmed && o.confirmed == nil {
		o.confirmed = make(chan struct{})
	}
}

// isConfirmed reports whether each domain has confirmed the announcement of a job, or need not.
func (f *front) isConfirmed(open *openJob) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return open.isConfirmed
}

// awaitConfirmed waits, if the limit of a job's lease is so near that no owner would keep the job, until
// the limit is lifted. It returns false if it isn't, and the outcome of the job.
func (f *front) awaitConfirmed(ctx context.Context, j *job.Job, state *attempt) (job.Outcome, bool) {
	n := f.node
	open, isDue := f.isLimitNear(j)
	if !isDue {
		return job.Outcome{}, true
	}
	if n.isAnnounced(open.job) && f.sleepUntilConfirmed(ctx, open, n.leaseLimitOf(open.job)+n.settings.StopTime) {
		return job.Outcome{}, true
	}
	if ctx.Err() != nil {
		return abandoned(ctx, state.started), false
	}
	n.Log.Info("unconfirmed_job_ended", "job", j.ID, "age_ms", (n.Clock.Now() - j.Received).Milliseconds(), "started", state.started)
	return givenUp(errUnconfirmed.Error(), state.started), false
}

// awaitAllDomains waits until each domain has confirmed the announcement of a job, or need not, and
// reports whether that was in time.
func (f *front) awaitAllDomains(ctx context.Context, open *openJob) bool {
	f.mu.Lock()
	isConfirmed := open.isConfirmed
	open.expectConfirmation()
	f.mu.Unlock()
	return isConfirmed || f.sleepUntilConfirmed(ctx, open, f.node.leaseLimitOf(open.job))
}

// isLimitNear reports whether no owner would keep a job, as the limit of its lease is near. It returns the
// open job, with which sleepUntilConfirmed may be called then.
func (f *front) isLimitNear(j *job.Job) (*openJob, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := f.open[j.WholeID()]
	if open == nil || open.isConfirmed || j.Kept || f.node.Clock.Now() < cell.ReturnAt(f.node.leaseLimitOf(open.job), f.node.settings.StopTime) {
		return nil, false
	}
	open.expectConfirmation()
	return open, true
}

// sleepUntilConfirmed waits until the limit of a job's lease is lifted, and reports whether it was
// before a time of the node's clock and before ctx ended.
func (f *front) sleepUntilConfirmed(ctx context.Context, open *openJob, at time.Duration) bool {
	timer := time.NewTimer(at - f.node.Clock.Now())
	defer timer.Stop()
	select {
	case <-open.confirmed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// liftLeaseLimits lifts the limits of the leases of jobs that arrived on a connection, or at this host's
// own front if that is nil.
func (n *Node) liftLeaseLimits(connection *peerpb.Hello, ids []string) {
	for _, o := range n.allOwners() {
		o.liftLeaseLimits(connection, ids)
	}
}

func (o *owner) liftLeaseLimits(connection *peerpb.Hello, wholeIDs []string) {
	o.do(func(state *cell.Cell, now time.Duration) {
		limits := map[string]time.Duration{}
		for _, wholeID := range wholeIDs {
			for _, id := range state.PartsOf(wholeID) {
				for i := range o.waiters[id] {
					if w := &o.waiters[id][i]; w.connection == connection {
						w.leaseLimit = 0
					}
				}
				limits[id] = o.leaseLimit(id)
			}
		}
		state.SetLeaseLimits(limits, now)
	})
}

// leaseLimit returns the limit of the lease of a job, 0 for none: the latest one of the fronts that wait
// for it. The caller waits at one front at a time, and resubmits the job only some time after it has
// left that one, so the limits of the fronts before are earlier. o.mu is held.
func (o *owner) leaseLimit(id string) time.Duration {
	latest := time.Duration(0)
	for _, w := range o.waiters[id] {
		if w.leaseLimit == 0 {
			return 0
		}
		latest = max(latest, w.leaseLimit)
	}
	return latest
}

// updateLeaseLimit sets the limit of a job's lease after a front has left and others still wait. o.mu is
// held.
func (o *owner) updateLeaseLimit(state *cell.Cell, id string, now time.Duration) {
	state.SetLeaseLimits(map[string]time.Duration{id: o.leaseLimit(id)}, now)
}

// leaseLimitFrom returns the limit of a lease that a dispatch sets, by this node's clock; 0 for none. It
// counts from the sending, as the message may have been held up.
func (n *Node) leaseLimitFrom(m *peerpb.Dispatch, now time.Duration) time.Duration {
	if m.LeaseUs == 0 {
		return 0
	}
	sentAt := now
	if m.SentUs > 0 && n.timeOf(m.Renewed) > 0 {
		sentAt = min(now, common.Microseconds(m.SentUs))
	}
	return max(1, sentAt+common.Microseconds(m.LeaseUs))
}
