package cell

import "time"

// Bounds of waiting for what an executor does.
const (
	shortestLease    = 100 * time.Millisecond // of a start
	shortestHoldWait = 40 * time.Millisecond  // of a hold, while calls go unanswered or leases are limited
	holdWaitMargin   = 15 * time.Millisecond  // beyond the moment at which a hold should tell something
	lossyPeriod      = 2 * time.Second        // after a call that went unanswered
)

// startLease returns how far ahead a start sets the end of leases. It also
// bounds how long an order without an answer can be carried out later, and so
// how soon the task can start elsewhere: a short task can't wait for long. The
// hold that goes out beside the start makes the lease longer.
func (c *Cell) startLease(estimate time.Duration) time.Duration {
	return min(max(estimate*3/2, shortestLease), c.params.StartLease)
}

// holdWait returns how long a hold may wait for an end. While calls go
// unanswered it waits no longer than until the next news is due, and a short time
// once that is overdue, so that an end is known soon after a hold that was lost.
func (c *Cell) holdWait(e *executor, now time.Duration) time.Duration {
	wait := c.params.HoldWait
	if e.leasesLimited {
		// The next one may renew the leases.
		return min(shortestHoldWait, wait)
	}
	if now >= c.lossyUntil {
		return wait
	}
	for _, r := range e.runs {
		wait = min(wait, max(r.updateDue()+holdWaitMargin-now, shortestHoldWait))
	}
	return wait
}

// updateDue returns when a hold should tell something of a run: its end, or that
// its start hasn't been carried out in time.
func (r *run) updateDue() time.Duration {
	if r.state == starting || r.state == unknown {
		return r.firstSentAt + r.lease
	}
	return r.copies.sentAt + r.estimate
}
