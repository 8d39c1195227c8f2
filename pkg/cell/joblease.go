package cell

import (
	"cmp"
	"strings"
	"time"
)

// A job has a lease at its owner, which its front renews for as long as the caller
// waits. No lease at an executor goes beyond that of a job with a run there. So when
// a caller sends a job again, to a front and an owner that know nothing of it,
// the executors' own clocks have ended the runs of the first sending, however many
// hosts have died, stood still or taken over meanwhile. A sum of time-outs held for one
// takeover only: with a domain's hosts killed one after the other, tasks ran twice
// in 6 of 12 runs of real processes.
//
// From a job to its executors: leaseEnds is the end of a job's lease on our clock;
// limit, on an executor's clock, the first such end among its runs; a hold renews up
// to it (leaseDeadline in holds.go), a start needs some time before it (mayStart) and
// that the own job's lease reaches as far as those given there already (covers).

// ReasonNotRenewed marks a job that was handed back because its front had not
// renewed it for too long.
const ReasonNotRenewed = "not_renewed"

// Renew extends the leases of jobs: their callers still waited at a time on the
// owner's clock.
func (c *Cell) Renew(ids []string, at, now time.Duration) {
	held := false // starts may have waited for it
	for _, id := range ids {
		w := c.jobs[id]
		if w == nil {
			continue
		}
		held = held || now > c.jobLeaseEnd(w.renewedAt)-c.params.Lease
		w.renewedAt = max(w.renewedAt, at)
	}
	if held {
		c.dirty = true
		c.advance(now)
	}
}

// jobLeaseEnd returns when the lease of a job ends that was renewed last at a time
// on our clock; 0 when that isn't known, so that nothing is renewed for it.
func (c *Cell) jobLeaseEnd(renewedAt time.Duration) time.Duration {
	if renewedAt <= 0 {
		return 0
	}
	return renewedAt + c.params.JobLease
}

// jobRenewedAt returns the renewal that the lease of a run's job counts from; 0 when
// that isn't known, as for a run that a former owner left and no job has claimed yet.
func (c *Cell) jobRenewedAt(r *run) time.Duration {
	if r.job != nil {
		return c.leaseRenewedAt(r.job)
	}
	return r.renewedAt
}

// limitingRun returns the run at an executor whose job's lease ends first, or nil when
// there is none.
func (c *Cell) limitingRun(e *executor) *run {
	var first *run
	for _, r := range e.runs {
		if first == nil || c.leaseEndsBefore(r, first) {
			first = r
		}
	}
	return first
}

// leaseEndsBefore orders runs by the leases of their jobs, and those of one job by name.
func (c *Cell) leaseEndsBefore(r, other *run) bool {
	return cmp.Or(cmp.Compare(c.jobRenewedAt(r), c.jobRenewedAt(other)), strings.Compare(r.name, other.name)) < 0
}

// limitLease returns a time on an executor's clock up to which its leases may be set at
// most, and no further than wanted.
func (c *Cell) limitLease(e *executor, wanted, now time.Duration) time.Duration {
	r := c.limitingRun(e)
	if r == nil {
		return wanted
	}
	return min(wanted, e.clock.lowerBoundFuture(c.jobLeaseEnd(c.jobRenewedAt(r)), now))
}

// mayLeaseStart reports whether a start can set the leases of an executor far enough
// ahead, by the jobs that have runs there.
func (c *Cell) mayLeaseStart(e *executor, now time.Duration) bool {
	shortest := e.clock.estimate(now) + shortestLease
	return c.limitLease(e, shortest, now) >= shortest
}

// leaseCovers reports whether a job's own lease leaseCovers those that the executor has
// already, which would be the new run's too, and a start.
func (c *Cell) leaseCovers(w *jobState, e *executor, now time.Duration) bool {
	end := e.clock.lowerBoundFuture(c.jobLeaseEnd(c.leaseRenewedAt(w)), now)
	return end >= max(e.grantedUntil, e.clock.estimate(now)+shortestLease)
}

// returnUnrenewed gives back the jobs whose leases end soon, so that their runs are
// stopped before those of other jobs end with them.
func (c *Cell) returnUnrenewed(now time.Duration) {
	for _, w := range c.unrenewed(now) {
		c.addNotice(Notice{Event: "job_not_renewed", Job: w.job.ID, Age: now - w.renewedAt})
		c.finish(w, w.returnedOutcome(ReasonNotRenewed))
		c.stopRuns(w, ReasonNotRenewed)
	}
}

// unrenewed returns the jobs whose leases end within half of one at an executor, sorted
// by id: 0.85 s after the last renewal, where fronts that beat slowly renew after up to
// 0.4 s, and in time for a stop to be ordered twice. Kept jobs that have no lease are
// those that no keeper has asked for, for too long.
func (c *Cell) unrenewed(now time.Duration) []*jobState {
	var works []*jobState
	for _, w := range c.jobs {
		if now > max(w.renewedAt, w.submittedAt)+c.renewalTimeout(w) {
			works = append(works, w)
		}
	}
	sortByID(works)
	return works
}

// stopRuns stops what may run of a job that isn't here any more.
func (c *Cell) stopRuns(w *jobState, reason string) {
	for _, r := range w.detachRuns(c.lastRenewal(w)) {
		c.stopRun(r, reason)
	}
	c.dirty = true
}
