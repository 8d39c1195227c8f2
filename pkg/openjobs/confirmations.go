package openjobs

import (
	"maps"
	"slices"
	"time"
)

// ConfirmBy returns until when each domain has to confirm that it has received the announcement of
// a job. Otherwise a caller may resubmit the job there, where no host would look for this one. The leases
// of its runs end by then unless it is confirmed, and executors have ended them after stopTime. sentAfter is
// the earliest time at which its caller may have sent it.
func ConfirmBy(sentAfter, resubmitAfter, stopTime time.Duration) time.Duration {
	return sentAfter + resubmitAfter - maxReceiptDelay - stopTime
}

// CanBeConfirmed reports whether domains can still confirm a job by then that is announced now.
func CanBeConfirmed(sentAfter, resubmitAfter, stopTime, now time.Duration) bool {
	return now+confirmTime <= ConfirmBy(sentAfter, resubmitAfter, stopTime)
}

// Confirmations records the domains that don't confirm announcements. It is not safe for concurrent
// use.
type Confirmations struct {
	missingSince map[string]time.Duration // by domain: when it was first noticed that it doesn't confirm, since it last did
	askedAt      time.Duration            // when DueAgain last returned domains
}

// NewConfirmations returns an empty Confirmations.
func NewConfirmations() *Confirmations {
	return &Confirmations{missingSince: map[string]time.Duration{}}
}

// missingRetryInterval is how often a domain that doesn't confirm is asked again.
const missingRetryInterval = 200 * time.Millisecond

// DueAgain returns the domains that don't confirm, if they have to be asked again now. Without that,
// one that was cut off would count as cut off until the next announcement, which may come after
// another cut.
func (c *Confirmations) DueAgain(now time.Duration) []string {
	if len(c.missingSince) == 0 || now < c.askedAt+missingRetryInterval {
		return nil
	}
	c.askedAt = now
	return slices.Sorted(maps.Keys(c.missingSince))
}

// Confirmed records that a domain has confirmed an announcement, or answers again.
func (c *Confirmations) Confirmed(domain string) { delete(c.missingSince, domain) }

// IsExempt reports whether a domain need not confirm a job that was sent after it was noticed that
// the domain doesn't confirm: the caller reaches this front although it is cut off from the domain.
func (c *Confirmations) IsExempt(domain string, sentAfter time.Duration) bool {
	since, known := c.missingSince[domain]
	return known && sentAfter >= since
}

// Missing records that it is noticed now that a domain doesn't confirm an announcement. It returns a
// time: jobs that were sent before it have to be given up. Those sent later are kept, as their
// callers reach this front although it is cut off from the domain.
func (c *Confirmations) Missing(domain string, now time.Duration) (giveUpBefore time.Duration) {
	giveUpBefore = c.MissingSince(domain, now)
	c.missingSince[domain] = giveUpBefore
	return giveUpBefore
}

// MissingSince returns the same without recording anything, for a process that stood still and may
// therefore have missed the confirmation of a domain that isn't cut off.
func (c *Confirmations) MissingSince(domain string, now time.Duration) (giveUpBefore time.Duration) {
	if since, known := c.missingSince[domain]; known {
		return since
	}
	return now
}
