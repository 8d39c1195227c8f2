package cell

import "time"

const (
	shortestLease    = 100 * time.Millisecond // of a start
	shortestHoldWait = 40 * time.Millisecond  // while calls go unanswered or leases are limited
	// unlistedHoldWait is the longest wait while a run is not listed yet, if executors grant longer
	// leases than owners ask for. When such an executor is lost, the task of a run that it has not
	// listed waits for the longest lease.
	unlistedHoldWait = 100 * time.Millisecond
	holdWaitMargin   = 15 * time.Millisecond // added to the time at which an update of a run is due
	lossyPeriod      = 2 * time.Second       // after an unanswered call
)

// startLease returns the lease that a start grants. It bounds how late an unanswered start can
// still be carried out, and so how soon the task can start elsewhere; it is therefore short for
// short tasks. The hold that is sent beside the start extends it.
func (c *Cell) startLease(estimate time.Duration) time.Duration {
	return min(max(estimate*3/2, shortestLease), c.params.StartLease)
}

// holdWait returns how long a hold may wait for an end. While calls go unanswered it waits only
// until the next update of a run is due, or a short time if one is overdue, so that an end is
// known soon after a lost hold.
func (c *Cell) holdWait(e *executor, now time.Duration) time.Duration {
	wait := c.params.HoldWait
	if e.leasesLimited {
		// The next hold may be able to renew the leases in full.
		return min(shortestHoldWait, wait)
	}
	if c.params.LeaseCap > c.params.LongestLease && e.hasUnlistedRun() {
		wait = min(wait, unlistedHoldWait)
	}
	if now >= c.lossyUntil {
		return wait
	}
	for _, r := range e.runs {
		wait = min(wait, max(r.updateDue()+holdWaitMargin-now, shortestHoldWait))
	}
	return wait
}

// updateDue returns when a hold should show that the run has ended, or that its start was not
// carried out in time.
func (r *run) updateDue() time.Duration {
	if r.state == starting || r.state == unknown {
		return r.firstSentAt + r.lease
	}
	return r.copies.sentAt + r.estimate
}
