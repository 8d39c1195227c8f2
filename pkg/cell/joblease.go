package cell

import (
	"cmp"
	"strings"
	"time"
)

// A job has a lease at its owner, which its front renews while the caller waits. No lease
// at an executor outlasts the lease of any job with a run there. When a caller resubmits a
// job through a front and an owner that do not know it, the executors have therefore ended
// the runs of the first submission by their own clocks, regardless of how many hosts have
// crashed, been suspended or taken over meanwhile. A sum of timeouts would cover a single
// takeover only: tasks run twice when the hosts of a domain fail one after another.
//
// leaseEnd returns the end of a job's lease on our clock; limitLease converts the earliest
// such end among an executor's runs to the executor's clock. A hold renews leases up to that
// limit (leaseDeadline in holds.go). A start needs at least the shortest lease below it
// (mayLeaseStart), and its own job's lease has to cover the leases that the executor already
// has (leaseCovers).
//
// A front whose caller has left unnoticed renews its job as before. Until every host to which the
// caller may resubmit the job knows of it, the job's lease therefore ends before the caller does so
// (Handover.LeaseLimit), whatever is renewed. A stop in time would not do: the owner that has to
// send it may be fenced by then, and the next one does not know the job.

// ReasonNotRenewed marks a job that was returned to its front because the front had not renewed
// it in time.
const ReasonNotRenewed = "not_renewed"

// ReasonNotConfirmed marks a job that was returned to its front because the limit of its lease was
// near, and had not been lifted.
const ReasonNotConfirmed = "not_confirmed"

// stopsBeforeLimit is how many stop times before the limit of its lease a job is returned: a stop may
// have to be sent twice.
const stopsBeforeLimit = 2

// Renew extends the leases of jobs whose callers were still waiting at a time on the owner's
// clock.
func (c *Cell) Renew(ids []string, at, now time.Duration) {
	startsWaited := false // starts may have waited for the renewal
	for _, id := range ids {
		w := c.jobs[id]
		if w == nil {
			continue
		}
		startsWaited = startsWaited || now > c.renewalEnd(w.renewedAt)-c.params.Lease
		w.renewedAt = max(w.renewedAt, at)
	}
	if startsWaited {
		c.dirty = true
		c.advance(now)
	}
}

// SetLeaseLimits replaces the limits of the leases of jobs, by id, as in Handover; 0 lifts a limit.
func (c *Cell) SetLeaseLimits(limits map[string]time.Duration, now time.Duration) {
	changed := false
	for id, limit := range limits {
		if w := c.jobs[id]; w != nil && w.leaseLimit != limit {
			w.leaseLimit, changed = limit, true
		}
	}
	if changed {
		c.dirty = true // starts may have waited
		c.advance(now)
	}
}

// LeaseLimit returns the limit of a job's lease, as in Handover; 0 when it has none or is not here.
func (c *Cell) LeaseLimit(id string) time.Duration {
	if w := c.jobs[id]; w != nil {
		return w.leaseLimit
	}
	return 0
}

// renewalEnd returns the end, on our clock, of a lease that was renewed at renewedAt; 0 when that
// is unknown, so that nothing is renewed for the job.
func (c *Cell) renewalEnd(renewedAt time.Duration) time.Duration {
	if renewedAt <= 0 {
		return 0
	}
	return renewedAt + c.params.JobLease
}

// leaseEnd returns the end, on our clock, of a job's lease; 0 when it is unknown.
func (c *Cell) leaseEnd(w *jobState) time.Duration {
	if c.hasNoLease(w) {
		return c.keptLeaseEnd()
	}
	return w.limitedLease(c.renewalEnd(w.renewedAt))
}

// limitedLease returns the end of a lease, or the limit of the job's lease if that is earlier.
func (w *jobState) limitedLease(end time.Duration) time.Duration {
	if w.leaseLimit > 0 {
		return min(end, w.leaseLimit)
	}
	return end
}

// runLeaseEnd returns the end, on our clock, of the lease of a run's job; 0 when it is unknown,
// as for a run that a former owner left and whose job is not here yet.
func (c *Cell) runLeaseEnd(r *run) time.Duration {
	if r.job != nil {
		return c.leaseEnd(r.job)
	}
	return r.leaseEnd
}

// limitingRun returns the run at an executor whose job's lease ends first, or nil.
func (c *Cell) limitingRun(e *executor) *run {
	var first *run
	for _, r := range e.runs {
		if first == nil || c.leaseEndsBefore(r, first) {
			first = r
		}
	}
	return first
}

// leaseEndsBefore orders runs by the leases of their jobs, then by name.
func (c *Cell) leaseEndsBefore(r, other *run) bool {
	return cmp.Or(cmp.Compare(c.runLeaseEnd(r), c.runLeaseEnd(other)), strings.Compare(r.name, other.name)) < 0
}

// limitLease returns the wanted end of an executor's leases, on its clock, or an earlier one: the
// leases of its jobs limit it, and no lease may be longer than that of a hold even if the executor's
// clock runs slow. The next owner relies on the latter.
func (c *Cell) limitLease(e *executor, wanted, now time.Duration) time.Duration {
	limit := min(wanted, e.clock.lowerBound(now)+c.params.Lease)
	if r := c.limitingRun(e); r != nil {
		limit = min(limit, e.clock.lowerBoundFuture(c.runLeaseEnd(r), now))
	}
	return limit
}

// mayLeaseStart reports whether the jobs that have runs at an executor allow a lease that is long
// enough for a start.
func (c *Cell) mayLeaseStart(e *executor, now time.Duration) bool {
	shortest := e.clock.estimate(now) + shortestLease
	return c.limitLease(e, shortest, now) >= shortest
}

// leaseCovers reports whether a job's own lease covers a start and the leases that the executor
// already has, which the new run would share.
func (c *Cell) leaseCovers(w *jobState, e *executor, now time.Duration) bool {
	end := e.clock.lowerBoundFuture(c.leaseEnd(w), now)
	return end >= max(e.grantedUntil, e.clock.estimate(now)+shortestLease)
}

// ReturnAt returns when a job is returned the limit of whose lease isn't lifted.
func ReturnAt(limit, stopTime time.Duration) time.Duration { return limit - stopsBeforeLimit*stopTime }

// returnUnconfirmed returns to their fronts the jobs whose leases end soon by their limits, and stops
// their runs, for the reason given at returnUnrenewed. A job that has not started is returned too, as it
// can't start any more.
func (c *Cell) returnUnconfirmed(now time.Duration) {
	var due []*jobState
	for _, w := range c.jobs {
		if w.leaseLimit > 0 && !c.hasNoLease(w) && now >= ReturnAt(w.leaseLimit, c.params.StopTime) {
			due = append(due, w)
		}
	}
	sortByID(due)
	for _, w := range due {
		c.addNotice(Notice{Event: "job_not_confirmed", Job: w.job.ID, Detail: startedDetail(w), Age: now - w.job.Received})
		c.returnStopped(w, ReasonNotConfirmed)
	}
}

// returnStopped returns a job to its front and stops its runs.
func (c *Cell) returnStopped(w *jobState, reason string) {
	c.returnJob(w, reason)
	c.stopRuns(w, reason)
}

// startedDetail says in a notice whether tasks of a job may have started.
func startedDetail(w *jobState) string {
	if w.mayHaveStarted {
		return "started"
	}
	return "not_started"
}

// returnUnrenewed returns to their fronts the jobs whose leases end soon, so that their runs are
// stopped before the runs of other jobs at the same executors end with them.
func (c *Cell) returnUnrenewed(now time.Duration) {
	for _, w := range c.unrenewed(now) {
		c.addNotice(Notice{Event: "job_not_renewed", Job: w.job.ID, Age: now - w.renewedAt})
		c.returnStopped(w, ReasonNotRenewed)
	}
}

// unrenewed lists the jobs whose last renewal is too long ago, sorted by id. The time, 0.85 s by
// default, leaves room for the renewal interval of slow fronts, up to 0.4 s, and for a stop to be
// sent twice before the lease ends. Kept jobs without a lease are included when no coordinator has
// asked for them for too long, or when the lease of all kept jobs ends soon.
func (c *Cell) unrenewed(now time.Duration) []*jobState {
	var jobs []*jobState
	for _, w := range c.jobs {
		isOver := c.hasNoLease(w) && c.keptLeaseEndsSoon(now)
		if isOver || now > max(w.renewedAt, w.submittedAt)+c.renewalTimeout(w) {
			jobs = append(jobs, w)
		}
	}
	sortByID(jobs)
	return jobs
}

// stopRuns stops the runs of a job that is no longer here.
func (c *Cell) stopRuns(w *jobState, reason string) {
	c.recordLeftRuns(w)
	for _, r := range w.detachRuns(c.finalLeaseEnd(w)) {
		c.stopRun(r, reason)
	}
	c.dirty = true
}
