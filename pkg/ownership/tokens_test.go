package ownership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func TestFenceBackoffGrows(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	view := View{Self: host("a", domain), Expected: 1}
	now := later
	for _, wait := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
		table.ClaimRefused(domain, view, now)
		c.Assert(table.ShouldClaim(domain, domain, view, now+wait-time.Millisecond), qt.IsFalse)
		c.Assert(table.ShouldClaim(domain, domain, view, now+wait), qt.IsTrue)
		now += wait
	}
	table.ClaimAccepted(domain)
	table.ClaimRefused(domain, view, now)
	c.Assert(table.ShouldClaim(domain, domain, view, now+2*time.Second), qt.IsTrue, qt.Commentf("an accepted claim resets the backoff"))
}

func TestNextToken(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	first := table.NextToken(noon, 1)
	second := table.NextToken(noon, 2)
	c.Assert(second > first, qt.IsTrue)
	c.Assert(second < 1<<53, qt.IsTrue, qt.Commentf("exact in a JSON number"))
	table.SetClaims("b", claimOf("b", second+1<<40))
	c.Assert(table.NextToken(noon, 1) > second+1<<40, qt.IsTrue, qt.Commentf("above all tokens seen"))
	restarted := NewTable(DefaultLimits(), 0) // a new process, which has seen no token
	c.Assert(restarted.NextToken(noon.Add(2*time.Second/ticksPerSecond), 1) > first, qt.IsTrue, qt.Commentf("above tokens from before a restart"))
	other := NewTable(DefaultLimits(), 0)
	c.Assert(other.NextToken(noon, 2), qt.Not(qt.Equals), first, qt.Commentf("no two hosts make the same token"))
}

// Guards against tokens that run ahead of the clock after many refusals: a restarted host,
// which takes its tokens from the clock, could not exceed them.
func TestRepeatedFencesKeepTokensNearTheClock(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	view := View{Self: host("a", domain), Expected: 1}
	now, day := later, noon
	var last int64
	for range 20 {
		last = table.NextToken(day, 1)
		table.ClaimRefused(domain, view, now)
		wait := table.state(domain).noClaimBefore - now
		now, day = now+wait, day.Add(wait)
	}
	last = max(last, table.NextToken(day, 1))
	restarted := NewTable(DefaultLimits(), 0)
	c.Assert(restarted.NextToken(day.Add(time.Second), 1) > last, qt.IsTrue)
}

// After a restart of the whole system, executors may know tokens of a host whose clock was
// ahead. As all hosts are reachable and none owns the cell, the new owner must retry every
// Limits.Retry, with tokens that jump ahead twice as far each time, and not back off.
func TestTokensOfADeadHostAreExceededQuickly(t *testing.T) {
	c := qt.New(t)
	dead := NewTable(DefaultLimits(), 0).NextToken(noon.Add(3*time.Second), 7)
	table := NewTable(DefaultLimits(), 0)
	other := host("b", domain)
	other.HasReported = true
	view := View{Self: host("a", domain), Up: []Host{other}, Expected: 2, Restarted: true}
	now, day := 100*time.Millisecond, noon // within restartWindow of the start at 0
	for table.NextToken(day, 1) < dead {
		table.ClaimRefused(domain, view, now)
		wait := table.state(domain).noClaimBefore - now
		now, day = now+wait, day.Add(wait)
	}
	c.Assert(now < 600*time.Millisecond, qt.IsTrue, qt.Commentf("exceeded at %s", now))
}

// The higher token may be of a host of the domain that has just started and is not known
// yet. A host that started longer ago than restartWindow must back off, and not claim the
// cell back from that host at once.
func TestLongRunningHostWaitsAfterUnknownFence(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	other := host("b", domain)
	other.HasReported = true
	view := View{Self: host("a", domain), Up: []Host{other}, Expected: 2, Restarted: true}
	table.ClaimRefused(domain, view, time.Hour)
	c.Assert(table.state(domain).noClaimBefore, qt.Equals, time.Hour+DefaultLimits().Fenced)
}

func TestHostFencedByReachableOwnerWaits(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	other := host("b", domain)
	other.HasReported = true
	view := View{Self: host("a", domain), Up: []Host{other}, Expected: 2}
	table.SetClaims("b", claimOf("b", 5))
	table.ClaimRefused(domain, view, later)
	c.Assert(table.state(domain).noClaimBefore, qt.Equals, later+DefaultLimits().Fenced)
}
