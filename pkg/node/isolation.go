package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
)

// A host that is cut off from the hosts of its domain hears of no open jobs, while callers still reach
// it. If it accepted a job that is open at one of the others, its tasks would run twice at once.

// reasonIsolated is the reason of a job that a host doesn't accept because it is cut off. The job may
// be open elsewhere, so that nothing can be said of its runs.
const reasonIsolated = "isolated"

// contactPollInterval is how often a job that waits for a contact checks for it.
const contactPollInterval = 10 * time.Millisecond

// contact is the state of a host's contact with the other hosts of its domain.
type contact struct {
	isolated    bool          // it is cut off from them
	unsureUntil time.Duration // it may be cut off until then: it has lost one and not heard of another since; 0 otherwise
	syncedAt    time.Duration // it has received their announcements by then
}

// contact returns the current contact. Most jobs come while no link has changed for some time, and
// need no lock.
func (n *Node) contact() contact {
	if n.Clock.Now() >= time.Duration(n.contactUnsureUntil.Load()) {
		return contact{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	// Hosts announce by links of their own, which a slow one opens later than this host its links.
	c := contact{isolated: n.members.IsIsolated(now), syncedAt: n.reachesOthersSince + openjobs.ResyncDelay}
	if n.domainLostAt > 0 && n.domainHeardAt <= n.domainLostAt && n.members.ReachesDomainHost("") {
		c.unsureUntil = n.domainLostAt + n.settings.SuspectAfter
	}
	return c
}

// contactChanged records that links or rows have changed, after which the contact may be lost or
// incomplete for a while. n.mu is held.
func (n *Node) contactChanged() {
	until := n.Clock.Now() + max(member.IsolationLimit, openjobs.ResyncDelay, n.settings.SuspectAfter)
	n.contactUnsureUntil.Store(int64(until))
}

// awaitContact waits until this host is in contact with the hosts of its domain and has received
// their announcements. It returns true and the outcome of a new job if this host is cut off from
// them: callers submit the job again to one of them sooner if they get an answer at once.
func (f *front) awaitContact(ctx context.Context, id string) (job.Outcome, bool) {
	n := f.node
	for {
		changed, now, c := n.changed.wait(), n.Clock.Now(), n.contact()
		switch {
		case c.isolated && now >= startupGrace:
			n.Log.Warn("job_not_accepted", "job", id, "reason", reasonIsolated)
			return job.Outcome{Kind: job.Expired, Reason: reasonIsolated, Started: true}, true
		case c.isolated:
			f.awaitChange(ctx, changed, startupGrace-now)
		case now < c.unsureUntil:
			f.awaitChange(ctx, changed, contactPollInterval)
		case now < c.syncedAt:
			f.awaitChange(ctx, changed, c.syncedAt-now)
		default:
			return job.Outcome{}, false
		}
		if ctx.Err() != nil {
			return abandoned(ctx, true), true // the job may be open elsewhere
		}
	}
}

// awaitChange waits for a change of membership or claims, at most for a time.
func (f *front) awaitChange(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// awaitMissedAnnouncements waits until this host has received the announcements that it missed while it
// stood still. It returns true and the outcome of a new job if that can't be.
func (f *front) awaitMissedAnnouncements(ctx context.Context, open *openJob) (job.Outcome, bool) {
	n := f.node
	for {
		now := n.Clock.Now()
		syncedAt := n.stallSyncedAt(now)
		switch {
		case now >= syncedAt, f.isTooLate(open):
			return job.Outcome{}, false
		case n.standsStillOften():
			return givenUp(errStandsStill.Error(), true), true
		case !f.sleepUntil(ctx, syncedAt):
			return abandoned(ctx, true), true // the job may be open elsewhere
		}
	}
}

// stallSyncedAt returns when this host has received the announcements of the others after it last stood
// still for so long that they may have lost their links to it. A stall that ends now counts, as a request
// may be read before the poll that notices it.
func (n *Node) stallSyncedAt(now time.Duration) time.Duration {
	endedAt, stalled := n.renewals.longStallEndedAt(now)
	if !stalled || now >= endedAt+openjobs.ResyncDelay || len(n.domainsBeside()) == 0 {
		return 0
	}
	return endedAt + openjobs.ResyncDelay
}
