package ownership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a host that is cut from the owner of a cell and claims it beside that owner, and against a
// cell that nobody takes over though its owner has died.
func TestAHostClaimsNoCellWhoseOwnerOthersHear(t *testing.T) {
	const lostAt = later
	limits := DefaultLimits()
	others := []Host{host("b", domain), host("c", domain), host("d", domain), host("e", domain)}
	for i := range others {
		others[i].Weight, others[i].TellsOwners = 1, true
	}
	heard := func(at time.Duration) []HeardOwner { return []HeardOwner{{Cell: domain, Owner: "o", At: at}} }
	nothing := []HeardOwner{{Cell: domain}}
	equal, strong, weak := host("o", domain), host("o", domain), host("o", domain)
	strong.Weight, weak.Weight = 100_000, 1
	scenarios := []struct {
		testName string
		answers  map[string][]HeardOwner // received at answered, by host
		answered time.Duration           // 0: just after the loss
		heard    Host                    // the owner that others hear
		after    time.Duration           // from the loss on
		older    bool                    // the others are of builds that don't tell
		want     bool
	}{
		{testName: "no answer yet", after: limits.Answers / 2},
		{testName: "no answer in time", after: limits.Answers, want: true},
		{testName: "others can't tell", older: true, want: true},
		{testName: "two others don't hear it, more are asked", answers: map[string][]HeardOwner{"b": nothing, "c": nothing}, after: 1},
		{testName: "three others don't hear it", answers: map[string][]HeardOwner{"b": nothing, "c": nothing, "d": nothing}, after: 1, want: true},
		{testName: "answers from before the loss", answers: map[string][]HeardOwner{"b": nothing, "c": nothing, "d": nothing}, answered: lostAt - 1, after: 1},
		{testName: "three others don't hear it, one does", answers: map[string][]HeardOwner{"b": nothing, "c": nothing, "d": nothing, "e": heard(lostAt)}, heard: equal, after: 1},
		{testName: "one hears it, the others don't answer", answers: map[string][]HeardOwner{"b": heard(lostAt)}, heard: equal, after: limits.Answers},
		{testName: "one heard it at the last moment that counts", answers: map[string][]HeardOwner{"b": heard(lostAt)}, heard: equal, after: limits.SuspectAfter},
		{testName: "nobody has heard it for the suspicion time", answers: map[string][]HeardOwner{"b": heard(lostAt)}, after: limits.SuspectAfter + 1, want: true},
		{
			testName: "one heard its last sign of life, a heartbeat later than this host",
			answers:  map[string][]HeardOwner{"b": heard(lostAt - limits.SuspectAfter + limits.Heartbeat), "c": nothing, "d": nothing}, after: 1, want: true,
		},
		{testName: "the owner is far weaker than this host", answers: map[string][]HeardOwner{"b": heard(lostAt), "c": nothing, "d": nothing}, heard: weak, after: 1, want: true},
		{
			testName: "nobody hears it, but a stronger host that this one doesn't reach",
			answers:  map[string][]HeardOwner{"b": {{Cell: domain}, {Cell: domain + "/2.1", Owner: "o", At: lostAt}}, "c": nothing, "d": nothing}, heard: strong, after: 1,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := NewTable(limits, 0)
			table.SetClaims("o", claimOf("o", 5))
			view := View{Self: host("a", domain), Up: append([]Host{host("o", domain)}, others...), Expected: 6}
			qt.Assert(t, table.ShouldClaim(domain, domain, view, lostAt-1), qt.IsFalse)
			table.Lose("o", lostAt)
			view.Up = append([]Host{}, others...)
			for i := range view.Up {
				view.Up[i].TellsOwners = !s.older
			}
			answered := s.answered
			if answered == 0 {
				answered = lostAt
			}
			for address, answer := range s.answers {
				table.SetHeard(address, answer, answered)
			}
			if s.heard.Address != "" {
				view.Heard = []Host{s.heard}
			}
			qt.Assert(t, table.ShouldClaim(domain, domain, view, lostAt+s.after), qt.Equals, s.want)
		})
	}
}

// Guards against a host that is cut from an owner, and claims its cell as soon as those by which it knew of the
// owner don't answer any more.
func TestAHostAsksAllOthersOnceItsWitnessesAreSilent(t *testing.T) {
	c := qt.New(t)
	limits := DefaultLimits()
	table := NewTable(limits, 0)
	other := host("b", domain)
	other.Weight, other.TellsOwners = 1, true
	view := View{Self: host("a", domain), Up: []Host{other}, Heard: []Host{host("o", domain)}, Expected: 3}
	table.SetClaims("o", claimOf("o", 5))
	table.Lose("o", later)
	heard := func(at time.Duration) []HeardOwner { return []HeardOwner{{Cell: domain, Owner: "o", At: at}} }
	table.SetHeard("b", heard(later+time.Second), later+time.Second)
	c.Assert(table.ShouldClaim(domain, domain, view, later+time.Second), qt.IsFalse)
	c.Assert(table.Witnesses([]string{domain}, later+time.Second), qt.DeepEquals, map[string]bool{"b": true})
	silent := later + time.Second + limits.SuspectAfter + 1
	view.Heard = nil
	c.Assert(table.ShouldClaim(domain, domain, view, silent), qt.IsFalse, qt.Commentf("it asks anew"))
	c.Assert(table.Witnesses([]string{domain}, silent), qt.IsNil)
	c.Assert(table.ShouldClaim(domain, domain, view, silent+limits.Answers), qt.IsTrue)
}

// Guards against a takeover that waits for a host which has told that it hears the owner, and then that it has
// lost it too.
func TestAnAnswerReplacesTheFormerOne(t *testing.T) {
	c := qt.New(t)
	table := NewTable(DefaultLimits(), 0)
	table.SetHeard("b", []HeardOwner{{Cell: domain, Owner: "o", At: later}, {Cell: "here/2.1", Owner: "p", At: later}}, later)
	_, isHeard := table.HeardOwnerOf(domain, later)
	c.Assert(isHeard, qt.IsTrue)
	c.Assert(table.HeardOwners(later), qt.DeepEquals, []string{"o", "p"})
	table.SetHeard("b", []HeardOwner{{Cell: domain}}, later)
	_, isHeard = table.HeardOwnerOf(domain, later)
	c.Assert(isHeard, qt.IsFalse)
	c.Assert(table.HeardOwners(later), qt.DeepEquals, []string{"p"}, qt.Commentf("nothing else was told"))
}

func TestPositionsOfCells(t *testing.T) {
	for _, cell := range []string{"z", CellAt("z", 4, 3), CellAt("a/b", 2, 1)} {
		count, index := Position(cell)
		qt.Assert(t, CellAt(DomainOf(cell), count, index), qt.Equals, cell)
	}
}

// Guards against a cell that no host takes over for as long as one host hears its owner, which the others
// don't reach.
func TestAnOwnerThatFewHostsHearIsReplaced(t *testing.T) {
	limits := DefaultLimits()
	scenarios := []struct {
		testName string
		hear     int // of eight hosts
		want     bool
	}{
		{testName: "one hears it", hear: 1, want: true},
		{testName: "three hear it", hear: 3, want: true},
		{testName: "half of them hear it", hear: 4},
		{testName: "all hear it", hear: 8},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			table, others := NewTable(limits, 0), tellingHosts(8)
			table.SetClaims("o", claimOf("o", 5))
			view := View{Self: host("a", domain), Up: others, Expected: 10, RowsRead: true, Heard: []Host{host("o", domain)}}
			table.Lose("o", later)
			claimedAt := time.Duration(0)
			for now := later; now < later+time.Minute && claimedAt == 0; now += 50 * time.Millisecond {
				for i, other := range others {
					heard := HeardOwner{Cell: domain}
					if i < s.hear {
						heard.Owner, heard.At = "o", now
					}
					table.SetHeard(other.Address, []HeardOwner{heard}, now)
				}
				if table.ShouldClaim(domain, domain, view, now) {
					claimedAt = now
				}
			}
			c.Assert(claimedAt > 0, qt.Equals, s.want)
			if s.want {
				c.Assert(claimedAt-later >= limits.Denied, qt.IsTrue)
				c.Assert(claimedAt-later <= limits.Denied+limits.Answers+100*time.Millisecond, qt.IsTrue)
			}
		})
	}
}

// Guards against a host that starts while it is cut from an owner that others hear, and claims its cell before
// they can tell.
func TestAHostThatHasNeverReachedAnOwnerAsksOthers(t *testing.T) {
	c := qt.New(t)
	limits := DefaultLimits()
	table, others := NewTable(limits, 0), tellingHosts(8)
	view := View{Self: host("a", domain), Up: others, Expected: 10, Restarted: true, RowsRead: true}
	c.Assert(table.ShouldClaim(domain, domain, view, later), qt.IsFalse)
	for _, other := range others[:3] {
		table.SetHeard(other.Address, []HeardOwner{{Cell: domain}}, later+10*time.Millisecond)
	}
	c.Assert(table.ShouldClaim(domain, domain, view, later+20*time.Millisecond), qt.IsTrue, qt.Commentf("three don't hear an owner either"))

	table = NewTable(limits, 0)
	c.Assert(table.ShouldClaim(domain, domain, view, later), qt.IsFalse)
	c.Assert(table.ShouldClaim(domain, domain, view, later+limits.Answers), qt.IsTrue, qt.Commentf("nobody answers"))
	view.Expected = 9
	c.Assert(NewTable(limits, 0).ShouldClaim(domain, domain, view, later), qt.IsTrue, qt.Commentf("all hosts have reported what they own"))
}

// tellingHosts returns weak hosts that tell which owners they hear, and have reported what they own.
func tellingHosts(count int) []Host {
	var hosts []Host
	for i := range count {
		h := host(fmt.Sprintf("w%d", i), domain)
		h.Weight, h.TellsOwners, h.HasReported = 1, true, true
		hosts = append(hosts, h)
	}
	return hosts
}
