package openjobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	ms       = time.Millisecond
	resubmit = 1300 * ms
	settle   = 1250 * ms
)

func TestNewsIsEverywhereBeforeAJobComesAgain(t *testing.T) {
	type scenario struct {
		testName string
		resubmit time.Duration
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "the users' deployments", resubmit: resubmit, want: 800 * ms},
		{testName: "the least that the settings allow with their heartbeat", resubmit: 700 * ms, want: 200 * ms},
		{testName: "less than the news takes: told at once", resubmit: 300 * ms, want: 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(AnnounceAfter(s.resubmit), qt.Equals, s.want)
			known := AnnounceAfter(s.resubmit) + ScanInterval + tellPause + 2*newsTransit + receiptLag
			c.Assert(known <= max(s.resubmit, tellMargin), qt.IsTrue)
		})
	}
}

// own makes own jobs with one that came at 1 s.
func ownWith(deadline time.Duration) *LocalJobs {
	o := NewLocalJobs(resubmit, settle)
	o.Add("a", time.Second, deadline)
	return o
}

func TestWhatAFrontTells(t *testing.T) {
	const deadline = 9 * time.Second
	type scenario struct {
		testName string
		play     func() []Announcement
		want     []Announcement
	}
	scenarios := []scenario{
		{testName: "a young job: nothing", play: func() []Announcement { return ownWith(deadline).NextBatch(1799 * ms) }},
		{testName: "one that may come again", play: func() []Announcement { return ownWith(deadline).NextBatch(1800 * ms) }, want: []Announcement{{ID: "a", Remaining: 7200*ms + settle}}},
		{testName: "one that ends before it can come again: nothing", play: func() []Announcement { return ownWith(time.Second + resubmit).NextBatch(1800 * ms) }},
		{testName: "one that has ended: nothing", play: func() []Announcement {
			o := ownWith(deadline)
			o.Remove("a")
			return o.NextBatch(1800 * ms)
		}},
		{testName: "nothing twice", play: func() []Announcement {
			o := ownWith(deadline)
			o.NextBatch(1800 * ms)
			return o.NextBatch(2900 * ms)
		}},
		{testName: "what comes a moment after a batch waits", play: func() []Announcement {
			o := ownWith(deadline)
			o.NextBatch(1800 * ms)
			o.Add("b", 1050*ms, deadline)
			return o.NextBatch(1999 * ms)
		}},
		{testName: "it comes with the next", play: func() []Announcement {
			o := ownWith(deadline)
			o.NextBatch(1800 * ms)
			o.Add("c", 1050*ms, deadline)
			o.Add("b", 1050*ms, deadline)
			return o.NextBatch(2000 * ms)
		}, want: []Announcement{{ID: "b", Remaining: 7*time.Second + settle}, {ID: "c", Remaining: 7*time.Second + settle}}},
		{testName: "a host that may not have heard is told all again", play: func() []Announcement {
			o := ownWith(deadline)
			o.NextBatch(1800 * ms)
			o.Add("b", 1050*ms, deadline)
			return o.Announced(2 * time.Second)
		}, want: []Announcement{{ID: "a", Remaining: 7*time.Second + settle}}},
		{testName: "past its deadline runs may go on", play: func() []Announcement {
			o := ownWith(3 * time.Second)
			o.NextBatch(1800 * ms)
			return o.Announced(4 * time.Second)
		}, want: []Announcement{{ID: "a", Remaining: settle}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, s.play(), qt.DeepEquals, s.want)
		})
	}
}

func TestWhichJobsOthersWereToldOf(t *testing.T) {
	c := qt.New(t)
	o := ownWith(9 * time.Second)
	c.Assert(o.Remove("a"), qt.IsFalse)
	o.Add("a", time.Second, 9*time.Second)
	o.NextBatch(2 * time.Second)
	c.Assert(o.Remove("a"), qt.IsTrue)
	c.Assert(o.Remove("a"), qt.IsFalse)
}

var (
	front  = Front{Address: "front:1", Domain: "z1", Process: "p"}
	other  = Front{Address: "other:1", Domain: "z2", Process: "p"}
	seen   = Vantage{SameDomain: true}
	unseen = Vantage{}
)

// tableWith makes a table that has heard of a job from its front at 1 s.
func tableWith(left time.Duration) *Table {
	table := NewTable(settle)
	table.Record(front, front.Address, []Announcement{{ID: "a", Remaining: left}}, false, time.Second)
	return table
}

func TestWhatIsKnownOfOtherFronts(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	c.Assert(table.Find("b", time.Second), qt.HasLen, 0)
	c.Assert(table.Find("a", 6*time.Second), qt.HasLen, 0, qt.Commentf("it is over"))
	table.Record(front, "teller:1", []Announcement{{ID: "a", Remaining: 4 * time.Second}}, false, time.Second)
	table.Record(other, "teller:1", []Announcement{{ID: "a", Remaining: time.Second}}, false, time.Second)
	found := table.Find("a", time.Second)
	c.Assert(found, qt.HasLen, 2)
	c.Assert(found[0].Front, qt.Equals, front)
	c.Assert(found[0].ExpiresAt, qt.Equals, 6*time.Second, qt.Commentf("older news takes nothing back"))
	c.Assert(found[0].Contacts("mate:1", "teller:1"), qt.DeepEquals, []string{"front:1", "teller:1", "mate:1"})
	table.MarkClosed("a", front, 2*time.Second, time.Second)
	c.Assert(table.Find("a", time.Second)[0].ExpiresAt, qt.Equals, 2*time.Second)
	c.Assert(table.Find("a", 2*time.Second), qt.HasLen, 0, qt.Commentf("both are over"))
	table.Record(front, "teller:1", []Announcement{{ID: "a", Remaining: 4 * time.Second}}, false, time.Second)
	c.Assert(table.Find("a", time.Second)[0].ExpiresAt, qt.Equals, 5*time.Second, qt.Commentf("it has come to that front again"))
	table.MarkClosed("a", front, time.Second, time.Second)
	found = table.Find("a", time.Second)
	c.Assert(found, qt.HasLen, 1)
	c.Assert(found[0].Front, qt.Equals, other)
}

func TestTheTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable(settle)
	var jobs []Announcement
	for i := range mostEntries + 3 {
		jobs = append(jobs, Announcement{ID: fmt.Sprint(i), Remaining: time.Minute})
	}
	c.Assert(table.Record(front, front.Address, jobs, false, time.Second), qt.Equals, 3)
	c.Assert(table.Record(front, front.Address, jobs[:1], false, time.Second), qt.Equals, 0, qt.Commentf("it is there already"))
	c.Assert(table.Record(other, other.Address, jobs[:1], false, 62*time.Second), qt.Equals, 0, qt.Commentf("all others are over"))
	c.Assert(table.count, qt.Equals, 1)
	c.Assert(table.byID, qt.HasLen, 1)
}

func TestWhenTheRunsOfALostFrontAreOver(t *testing.T) {
	const left = 5 * time.Second // from 1 s on
	type scenario struct {
		testName string
		happens  func(table *Table)
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "a settle time after its link was lost", want: 2*time.Second + settle,
			happens: func(table *Table) { table.LinkDown(front.Address, 2*time.Second) }},
		{testName: "lost again: from the first time on", want: 2*time.Second + settle,
			happens: func(table *Table) {
				table.LinkDown(front.Address, 2*time.Second)
				table.LinkDown(front.Address, 3*time.Second)
			}},
		{testName: "lost anew after it was back: from the last time on", want: 3*time.Second + settle,
			happens: func(table *Table) {
				table.LinkDown(front.Address, 2*time.Second)
				table.LinkUp(front.Address)
				table.LinkDown(front.Address, 3*time.Second)
			}},
		{testName: "this host was cut off itself until later", want: 3*time.Second + settle,
			happens: func(table *Table) { table.LinkDown(front.Address, 2*time.Second); table.ResetLosses(3 * time.Second) }},
		{testName: "it has answered by way of another host since", want: 3*time.Second + settle,
			happens: func(table *Table) {
				table.LinkDown(front.Address, 2*time.Second)
				table.ConfirmAlive(front.Address, 3*time.Second)
			}},
		{testName: "no link to it was ever up: from when that was noticed on", want: 4*time.Second + settle, happens: func(table *Table) { table.ConfirmAlive(front.Address, 3*time.Second) }},
		{testName: "never later than with its deadline", want: 6 * time.Second,
			happens: func(table *Table) { table.LinkDown(front.Address, 5*time.Second) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := tableWith(left)
			s.happens(table)
			qt.Assert(t, table.RunsEndBy(table.Find("a", time.Second)[0], 4*time.Second), qt.Equals, s.want)
		})
	}
}

func TestWhatIsPassedOn(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	c.Assert(table.ToRelay(2*time.Second), qt.HasLen, 0, qt.Commentf("the front tells this domain itself"))
	table.Record(other, other.Address, []Announcement{{ID: "b", Remaining: 3 * time.Second}, {ID: "a", Remaining: 3 * time.Second}}, true, time.Second)
	table.Record(other, "teller:1", []Announcement{{ID: "b", Remaining: 3 * time.Second}}, false, time.Second)
	c.Assert(table.ToRelay(2*time.Second), qt.DeepEquals, map[Front][]Announcement{other: {{ID: "a", Remaining: 2 * time.Second}, {ID: "b", Remaining: 2 * time.Second}}})
	c.Assert(table.ToRelay(4*time.Second), qt.HasLen, 0)
}

func TestWhatComesAfterARoundOfASearch(t *testing.T) {
	const now = 2 * time.Second
	type scenario struct {
		testName string
		replies  []Reply
		sight    Vantage
		isUp     bool
		want     time.Duration
		mayStart bool
		kept     bool // in the table
	}
	scenarios := []scenario{
		{testName: "the front doesn't hold it open: it starts when its runs are over", replies: []Reply{{NotOpen, now, 2200 * ms}}, isUp: true, want: 2200 * ms, kept: true},
		{testName: "the same by way of another host", replies: []Reply{{Verdict: Unanswered}, {NotOpen, now, 2200 * ms}}, want: 2200 * ms, kept: true},
		{testName: "they are over: it starts", replies: []Reply{{NotOpen, now, 1900 * ms}}, isUp: true, want: now, mayStart: true},
		{testName: "the front searches too, and lets this one go first", replies: []Reply{{Yields, now, 1900 * ms}}, isUp: true, want: now, mayStart: true, kept: true},
		{testName: "the front lives: it is asked again", replies: []Reply{{Verdict: Busy}}, sight: seen, want: now + askAgain, kept: true},
		{testName: "its link is up, the call failed", replies: []Reply{{Verdict: Unanswered}}, isUp: true, sight: seen, want: now + askAgain, kept: true},
		{testName: "out of sight", sight: seen, want: now + askAgain, kept: true},
		{testName: "out of sight of one of its domain, for long", replies: []Reply{{Unreachable, now, now}}, want: now, mayStart: true, kept: true},
		{testName: "the same, for a moment less", replies: []Reply{{Unreachable, now, now + ms}}, want: now + ms, kept: true},
		{testName: "the same, said too long ago", replies: []Reply{{Unreachable, now - replyLife - ms, now}}, want: now + askAgain, kept: true},
		{testName: "the last one to lose it counts", replies: []Reply{{Unreachable, now, now}, {Unreachable, now, now + ms}}, want: now + ms, kept: true},
		{testName: "also when that is this host", replies: []Reply{{Unreachable, now, now}}, sight: seen, want: now + askAgain, kept: true},
		{testName: "nobody of its domain in sight: it may be cut off, and go on serving", replies: []Reply{{Verdict: Unanswered}}, want: now + askAgain, kept: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			table := tableWith(5 * time.Second)
			search := NewSearch("a", 0)
			search.HandleReplies(table, search.Round(table, now)[0], s.replies, s.sight, s.isUp, now)
			at, mayStart := search.Next(table, now)
			c.Assert(at, qt.Equals, s.want)
			c.Assert(mayStart, qt.Equals, s.mayStart)
			c.Assert(len(table.Find("a", now)) == 1, qt.Equals, s.kept)
		})
	}
}

// Of fronts that search at the same time one goes on: the one with the first address,
// among those that know of each other.
func TestWhichOfTwoSearchesGoesFirst(t *testing.T) {
	type scenario struct {
		testName string
		asker    Front
		self     string
		follows  bool
		want     bool
	}
	scenarios := []scenario{
		{testName: "the one with the first address", asker: front, self: "zone:1", want: true},
		{testName: "not the other one", asker: front, self: "above:1"},
		{testName: "one that follows the job already", asker: front, self: "above:1", follows: true, want: true},
		{testName: "nor one whose process before it is known", asker: Front{Address: front.Address, Process: "q"}, self: "zone:1", follows: true},
		{testName: "not one that is unknown here, and wouldn't be asked", asker: Front{Address: "first:1", Process: "p"}, self: "zone:1", follows: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			table := tableWith(5 * time.Second)
			search := NewSearch("a", 0)
			entry := search.Round(table, time.Second)[0]
			c.Assert(search.ShouldYield(table, s.asker, s.self, s.follows, time.Second), qt.Equals, s.want)
			// An answer that it gave before is old.
			search.HandleReplies(table, entry, []Reply{{NotOpen, time.Second, time.Second}}, seen, true, time.Second)
			_, mayStart := search.Next(table, time.Second)
			c.Assert(mayStart, qt.Equals, !s.want)
			c.Assert(len(search.Round(table, time.Second)) == 1, qt.Equals, s.want, qt.Commentf("it is asked again"))
		})
	}
}

// A front that can't be asked counts as lost from when that was first noticed on, and
// anew after it was back.
func TestASearchRemembersSinceWhenAFrontIsOut(t *testing.T) {
	c := qt.New(t)
	table := tableWith(20 * time.Second)
	search := NewSearch("a", 0)
	round := func(isUp bool, now time.Duration) bool {
		search.HandleReplies(table, search.Round(table, now)[0], nil, seen, isUp, now)
		_, mayStart := search.Next(table, now)
		return !mayStart
	}
	c.Assert(round(false, 2*time.Second), qt.IsTrue)
	c.Assert(round(false, 2*time.Second+settle-ms), qt.IsTrue)
	c.Assert(round(true, 2*time.Second+settle), qt.IsTrue)
	c.Assert(round(false, 4*time.Second), qt.IsTrue, qt.Commentf("it was back"))
	c.Assert(round(false, 4*time.Second+settle), qt.IsFalse)
}

// A domain that is cut off goes on serving: the jobs of its fronts are over only with
// their deadlines.
func TestJobsOfADomainThatIsOutOfSightAreNotStarted(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	table.LinkDown(front.Address, time.Second)
	search := NewSearch("a", 0)
	for now := time.Second; now < 6*time.Second; now += askAgain {
		search.HandleReplies(table, search.Round(table, now)[0], nil, unseen, false, now)
		_, mayStart := search.Next(table, now)
		c.Assert(mayStart, qt.IsFalse)
	}
	c.Assert(search.Round(table, 6*time.Second), qt.HasLen, 0)
	_, mayStart := search.Next(table, 6*time.Second)
	c.Assert(mayStart, qt.IsTrue)
}

// A front that tells of the job while others are asked is asked too.
func TestWhatIsToldDuringARoundIsAskedForNext(t *testing.T) {
	c := qt.New(t)
	table := tableWith(20 * time.Second)
	search := NewSearch("a", 0)
	first := search.Round(table, time.Second)
	table.Record(other, other.Address, []Announcement{{ID: "a", Remaining: 9 * time.Second}}, false, time.Second)
	search.HandleReplies(table, first[0], []Reply{{NotOpen, time.Second, time.Second}}, seen, true, time.Second)
	at, mayStart := search.Next(table, 2*time.Second)
	c.Assert(at, qt.Equals, 2*time.Second)
	c.Assert(mayStart, qt.IsFalse)
	next := search.Round(table, 2*time.Second)
	c.Assert(next, qt.HasLen, 1)
	c.Assert(next[0].Front, qt.Equals, other)
}

func TestASearchWaitsForTheRunsOfItsOwnHost(t *testing.T) {
	c := qt.New(t)
	table := NewTable(settle)
	search := NewSearch("a", 3*time.Second)
	at, mayStart := search.Next(table, 2*time.Second)
	c.Assert(at, qt.Equals, 3*time.Second)
	c.Assert(mayStart, qt.IsFalse)
	_, mayStart = search.Next(table, 3*time.Second)
	c.Assert(mayStart, qt.IsTrue)
}

// A search may end before the runs of which a front has told it do. The next one waits
// for them too.
func TestTheNextSearchWaitsForRunsToo(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	first := NewSearch("a", 0)
	first.HandleReplies(table, first.Round(table, time.Second)[0], []Reply{{NotOpen, time.Second, 2 * time.Second}}, seen, true, time.Second)
	c.Assert(first.ShouldYield(table, front, "zone:1", true, time.Second), qt.IsFalse, qt.Commentf("it wouldn't be asked again"))
	next := NewSearch("a", 0)
	c.Assert(next.Round(table, time.Second), qt.HasLen, 0, qt.Commentf("nobody is asked again"))
	at, mayStart := next.Next(table, time.Second)
	c.Assert(at, qt.Equals, 2*time.Second)
	c.Assert(mayStart, qt.IsFalse)
}

// A front that answers has the job open, whatever it told of when that would be over.
func TestAFrontThatAnswersIsAskedAgain(t *testing.T) {
	const now = 2 * time.Second
	c := qt.New(t)
	table := tableWith(time.Second + ms)
	search := NewSearch("a", 0)
	search.HandleReplies(table, search.Round(table, now)[0], []Reply{{Verdict: Busy}}, seen, true, now)
	c.Assert(search.Round(table, now+askAgain), qt.HasLen, 1)
	c.Assert(search.Round(table, now+settle), qt.HasLen, 0)
	table = tableWith(time.Second + ms)
	c.Assert(search.ShouldYield(table, front, "zone:1", false, now), qt.IsTrue)
	c.Assert(search.Round(table, now+askAgain), qt.HasLen, 1, qt.Commentf("also one that was let go first"))
}
