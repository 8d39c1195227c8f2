package openjobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	ms              = time.Millisecond
	resubmitAfter   = 1300 * ms // the time after which callers resubmit a job to another front
	unrenewedRunTTL = 1250 * ms // how long a run may outlive the last renewal of its lease
)

func TestJobsAreAnnouncedBeforeResubmission(t *testing.T) {
	type scenario struct {
		testName      string
		resubmitAfter time.Duration
		want          time.Duration
	}
	scenarios := []scenario{
		{testName: "the default settings", resubmitAfter: resubmitAfter, want: 400 * ms},
		{testName: "the minimum that the settings allow", resubmitAfter: 700 * ms, want: 0},
		{testName: "shorter than announceMargin: announced at once", resubmitAfter: 300 * ms, want: 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(AnnounceAfter(s.resubmitAfter), qt.Equals, s.want)
			announcedBy := AnnounceAfter(s.resubmitAfter) + ScanInterval + minBatchInterval + 2*transitTime + maxReceiptDelay + confirmTime + leaseTime
			c.Assert(announcedBy <= max(s.resubmitAfter, announceMargin), qt.IsTrue)
		})
	}
}

// localJobsWith returns local jobs with one that was received at 1 s.
func localJobsWith(deadline time.Duration) *LocalJobs {
	l := NewLocalJobs(resubmitAfter, unrenewedRunTTL)
	l.Add("a", time.Second, time.Second, deadline)
	return l
}

// lateJob returns local jobs with one that may have been sent at 1 s.
func lateJob(received, deadline time.Duration) *LocalJobs {
	l := NewLocalJobs(resubmitAfter, unrenewedRunTTL)
	l.Add("a", time.Second, received, deadline)
	return l
}

func TestLocalJobAnnouncements(t *testing.T) {
	const deadline = 9 * time.Second
	type scenario struct {
		testName string
		batch    func() []Announcement
		want     []Announcement
	}
	scenarios := []scenario{
		{testName: "a job below the announcing age: nothing", batch: func() []Announcement { return localJobsWith(deadline).NextBatch(1399 * ms) }},
		{testName: "a job at the announcing age", batch: func() []Announcement { return localJobsWith(deadline).NextBatch(1400 * ms) }, want: []Announcement{{ID: "a", Remaining: 7600*ms + unrenewedRunTTL}}},
		{testName: "a job that ends before it can be resubmitted: nothing", batch: func() []Announcement { return localJobsWith(time.Second + resubmitAfter).NextBatch(1800 * ms) }},
		{testName: "received late, below the announcing age: nothing", batch: func() []Announcement {
			return lateJob(1200*ms, 1200*ms+resubmitAfter+ms).NextBatch(1399 * ms)
		}},
		{testName: "received late: counted from its sending", batch: func() []Announcement { return lateJob(1200*ms, deadline).NextBatch(1400 * ms) }, want: []Announcement{{ID: "a", Remaining: 7600*ms + unrenewedRunTTL}}},
		{testName: "received so late that it is due at once", batch: func() []Announcement { return lateJob(1400*ms, deadline).NextBatch(1400 * ms) }, want: []Announcement{{ID: "a", Remaining: 7600*ms + unrenewedRunTTL}}},
		{testName: "received late, but the caller doesn't wait for long enough to send it again: nothing", batch: func() []Announcement {
			return lateJob(1400*ms, 1400*ms+resubmitAfter).NextBatch(2600 * ms)
		}},
		{testName: "a job that has ended: nothing", batch: func() []Announcement {
			l := localJobsWith(deadline)
			l.Remove("a")
			return l.NextBatch(1800 * ms)
		}},
		{testName: "no job twice", batch: func() []Announcement {
			l := localJobsWith(deadline)
			l.NextBatch(1800 * ms)
			return l.NextBatch(2900 * ms)
		}},
		{testName: "nothing within the batch interval", batch: func() []Announcement {
			l := localJobsWith(deadline)
			l.NextBatch(1800 * ms)
			l.Add("b", 1050*ms, 1050*ms, deadline)
			return l.NextBatch(1999 * ms)
		}},
		{testName: "a job that is due at once, within the batch interval", batch: func() []Announcement {
			l := localJobsWith(deadline)
			l.NextBatch(1800 * ms)
			l.Add("b", 1050*ms, 1810*ms, deadline)
			return l.NextBatch(1810 * ms)
		}, want: []Announcement{{ID: "b", Remaining: 7190*ms + unrenewedRunTTL}}},
		{testName: "only once", batch: func() []Announcement {
			l := localJobsWith(deadline)
			l.Add("b", 1050*ms, 1810*ms, deadline)
			l.NextBatch(1810 * ms)
			l.Add("c", 1050*ms, 1100*ms, deadline)
			return l.NextBatch(1900 * ms)
		}},
		{testName: "the next batch after the interval", batch: func() []Announcement {
			l := localJobsWith(deadline)
			l.NextBatch(1800 * ms)
			l.Add("c", 1050*ms, 1050*ms, deadline)
			l.Add("b", 1050*ms, 1050*ms, deadline)
			return l.NextBatch(2000 * ms)
		}, want: []Announcement{{ID: "b", Remaining: 7*time.Second + unrenewedRunTTL}, {ID: "c", Remaining: 7*time.Second + unrenewedRunTTL}}},
		{testName: "all announced jobs for a host that may have missed them", batch: func() []Announcement {
			l := localJobsWith(deadline)
			l.NextBatch(1800 * ms)
			l.Add("b", 1050*ms, 1050*ms, deadline)
			return l.Announced(2 * time.Second)
		}, want: []Announcement{{ID: "a", Remaining: 7*time.Second + unrenewedRunTTL}}},
		{testName: "runs may outlive the deadline", batch: func() []Announcement {
			l := localJobsWith(3 * time.Second)
			l.NextBatch(1800 * ms)
			return l.Announced(4 * time.Second)
		}, want: []Announcement{{ID: "a", Remaining: unrenewedRunTTL}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, s.batch(), qt.DeepEquals, s.want)
		})
	}
}

func TestRemoveReportsAnnouncedJobs(t *testing.T) {
	c := qt.New(t)
	l := localJobsWith(9 * time.Second)
	c.Assert(l.Remove("a"), qt.IsFalse)
	l.Add("a", time.Second, time.Second, 9*time.Second)
	l.NextBatch(2 * time.Second)
	c.Assert(l.Remove("a"), qt.IsTrue)
	c.Assert(l.Remove("a"), qt.IsFalse)
}

var (
	front = Front{Address: "front:1", Domain: "z1", Process: "p"}
	other = Front{Address: "other:1", Domain: "z2", Process: "p"}
)

// tableWith returns a table in which the front announced a job at 1 s.
func tableWith(left time.Duration) *Table {
	table := NewTable(unrenewedRunTTL)
	table.Record(front, front.Address, []Announcement{{ID: "a", Remaining: left}}, false, time.Second)
	return table
}

func TestFind(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	c.Assert(table.Find("b", time.Second), qt.HasLen, 0)
	c.Assert(table.Find("a", 6*time.Second), qt.HasLen, 0, qt.Commentf("expired"))
	table.Record(front, "reporter:1", []Announcement{{ID: "a", Remaining: 4 * time.Second}}, false, time.Second)
	table.Record(other, "reporter:1", []Announcement{{ID: "a", Remaining: time.Second}}, false, time.Second)
	found := table.Find("a", time.Second)
	c.Assert(found, qt.HasLen, 2)
	c.Assert(found[0].Front, qt.Equals, front)
	c.Assert(found[0].ExpiresAt, qt.Equals, 6*time.Second, qt.Commentf("an earlier expiry changes nothing"))
	c.Assert(found[0].Contacts("peer:1", "reporter:1"), qt.DeepEquals, []string{"front:1", "reporter:1", "peer:1"})
	table.MarkClosed("a", front, 2*time.Second, 0, time.Second)
	c.Assert(table.Find("a", time.Second)[0].ExpiresAt, qt.Equals, 2*time.Second)
	c.Assert(table.Find("a", 2*time.Second), qt.HasLen, 0, qt.Commentf("both expired"))
	table.Record(front, "reporter:1", []Announcement{{ID: "a", Remaining: 4 * time.Second}}, false, time.Second)
	c.Assert(table.Find("a", time.Second)[0].ExpiresAt, qt.Equals, 5*time.Second, qt.Commentf("resubmitted to that front"))
	table.MarkClosed("a", front, time.Second, 0, time.Second)
	found = table.Find("a", time.Second)
	c.Assert(found, qt.HasLen, 1)
	c.Assert(found[0].Front, qt.Equals, other)
}

func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable(unrenewedRunTTL)
	var jobs []Announcement
	for i := range maxEntries + 3 {
		jobs = append(jobs, Announcement{ID: fmt.Sprint(i), Remaining: time.Minute})
	}
	c.Assert(table.Record(front, front.Address, jobs, false, time.Second), qt.Equals, 3)
	c.Assert(table.Record(front, front.Address, jobs[:1], false, time.Second), qt.Equals, 0, qt.Commentf("recorded already"))
	c.Assert(table.Record(other, other.Address, jobs[:1], false, 62*time.Second), qt.Equals, 0, qt.Commentf("all others have expired"))
	c.Assert(table.count, qt.Equals, 1)
	c.Assert(table.byID, qt.HasLen, 1)
}

func TestToRelay(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	c.Assert(table.ToRelay(2*time.Second), qt.HasLen, 0, qt.Commentf("the front announces it to this domain itself"))
	table.Record(other, other.Address, []Announcement{{ID: "b", Remaining: 3 * time.Second}, {ID: "a", Remaining: 3 * time.Second}}, true, time.Second)
	table.Record(other, "reporter:1", []Announcement{{ID: "b", Remaining: 3 * time.Second}}, false, time.Second)
	c.Assert(table.ToRelay(2*time.Second), qt.DeepEquals, map[Front][]Announcement{other: {{ID: "a", Remaining: 2 * time.Second}, {ID: "b", Remaining: 2 * time.Second}}})
	c.Assert(table.ToRelay(4*time.Second), qt.HasLen, 0)
}

func TestNextAfterRound(t *testing.T) {
	const now = 2 * time.Second
	type scenario struct {
		testName string
		replies  []Reply
		want     time.Duration
		mayStart bool
		inTable  bool // afterwards
	}
	scenarios := []scenario{
		{testName: "the front doesn't hold it open: starts when its runs have ended", replies: []Reply{{NotOpen, 2200 * ms}}, want: 2200 * ms, inTable: true},
		{testName: "the same through another host", replies: []Reply{{Verdict: Unanswered}, {NotOpen, 2200 * ms}}, want: 2200 * ms, inTable: true},
		{testName: "its runs have ended: starts now", replies: []Reply{{NotOpen, 1900 * ms}}, want: now, mayStart: true},
		{testName: "the front searches too, and yields", replies: []Reply{{Yields, 1900 * ms}}, want: now, mayStart: true, inTable: true},
		{testName: "the front is alive: asked again", replies: []Reply{{Verdict: Busy}}, want: now + retryInterval, inTable: true},
		{testName: "the call failed: asked again", replies: []Reply{{Verdict: Unanswered}}, want: now + retryInterval, inTable: true},
		{testName: "no host can be asked: asked again", want: now + retryInterval, inTable: true},
		{testName: "several calls failed: asked again", replies: []Reply{{Verdict: Unanswered}, {Verdict: Unanswered}}, want: now + retryInterval, inTable: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			table := tableWith(5 * time.Second)
			search := NewSearch("a", 0)
			search.HandleReplies(table, search.Round(table, now)[0], s.replies, now)
			at, mayStart := search.Next(table, now)
			c.Assert(at, qt.Equals, s.want)
			c.Assert(mayStart, qt.Equals, s.mayStart)
			c.Assert(len(table.Find("a", now)) == 1, qt.Equals, s.inTable)
		})
	}
}

// Of fronts that search at the same time and know of each other, only the one with the
// first address may start the job.
func TestShouldYield(t *testing.T) {
	type scenario struct {
		testName string
		asker    Front
		self     string
		follows  bool // the asker has handed the job to an owner already
		want     bool
	}
	scenarios := []scenario{
		{testName: "to the first address", asker: front, self: "zone:1", want: true},
		{testName: "not to a later address", asker: front, self: "above:1"},
		{testName: "to a front that follows the job already", asker: front, self: "above:1", follows: true, want: true},
		{testName: "not to a new process of a known front", asker: Front{Address: front.Address, Process: "q"}, self: "zone:1", follows: true},
		{testName: "not to an unknown front, which would not be asked", asker: Front{Address: "first:1", Process: "p"}, self: "zone:1", follows: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			table := tableWith(5 * time.Second)
			search := NewSearch("a", 0)
			entry := search.Round(table, time.Second)[0]
			c.Assert(search.ShouldYield(table, s.asker, s.self, s.follows, time.Second), qt.Equals, s.want)
			// A reply from before it yielded is outdated.
			search.HandleReplies(table, entry, []Reply{{NotOpen, time.Second}}, time.Second)
			_, mayStart := search.Next(table, time.Second)
			c.Assert(mayStart, qt.Equals, !s.want)
			c.Assert(len(search.Round(table, time.Second)) == 1, qt.Equals, s.want, qt.Commentf("asked again"))
		})
	}
}

// However long a front can't be asked, its runs end when it has announced.
func TestSearchTracksUnreachableFronts(t *testing.T) {
	c := qt.New(t)
	table := tableWith(20 * time.Second)
	search := NewSearch("a", 0)
	round := func(now time.Duration) bool {
		for _, e := range search.Round(table, now) {
			search.HandleReplies(table, e, nil, now)
		}
		_, mayStart := search.Next(table, now)
		return !mayStart
	}
	c.Assert(round(2*time.Second), qt.IsTrue)
	c.Assert(round(2*time.Second+unrenewedRunTTL), qt.IsTrue)
	c.Assert(round(4*time.Second+unrenewedRunTTL), qt.IsTrue)
	c.Assert(round(21*time.Second-ms), qt.IsTrue)
	c.Assert(round(21*time.Second), qt.IsFalse)
}

// startOf has a search of a table with one entry do its rounds from a time on, each with the same
// replies, and returns when the job may start.
func startOf(t *testing.T, table *Table, from time.Duration, replies []Reply) time.Duration {
	t.Helper()
	search := NewSearch("a", 0)
	for now := from; now < time.Minute; {
		for _, e := range search.Round(table, now) {
			search.HandleReplies(table, e, replies, now)
		}
		at, mayStart := search.Next(table, now)
		if mayStart {
			return now
		}
		now = max(at, now+ms)
	}
	t.Fatal("the job is never started")
	return 0
}

// A front that hosts of its domain can't reach may still renew: it may be the owner of its job's
// cell itself, or the owner may still hear it. So a search starts the job only when the announced
// time is over, or the front or the process that followed it at its address has answered.
func TestUnreachableFrontMayRenew(t *testing.T) {
	const (
		from      = 2 * time.Second
		expiresAt = 6 * time.Second
	)
	unreachable := Reply{Verdict: Unanswered}
	type scenario struct {
		testName string
		happens  func(table *Table)
		replies  []Reply
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "no host has a link to it", want: expiresAt},
		{testName: "a host of its domain can't reach it", replies: []Reply{unreachable}, want: expiresAt},
		{testName: "two hosts of its domain can't reach it", replies: []Reply{unreachable, unreachable}, want: expiresAt},
		{testName: "it has announced the job again, which the host that can't reach it doesn't know", replies: []Reply{unreachable}, want: 8 * time.Second,
			happens: func(table *Table) {
				table.Record(front, front.Address, []Announcement{{ID: "a", Remaining: 6 * time.Second}}, false, 2*time.Second)
			}},
		{testName: "it answers through another host that it doesn't hold the job open", replies: []Reply{unreachable, {NotOpen, 3 * time.Second}}, want: 3 * time.Second},
		{testName: "it answers that its runs have ended", replies: []Reply{unreachable, {NotOpen, from}}, want: from},
		{testName: "the process that followed it answers when its runs end, later than announced", replies: []Reply{unreachable, {NotOpen, 7 * time.Second}}, want: 7 * time.Second},
		{testName: "it searches for the job too, and yields", replies: []Reply{unreachable, {Yields, 3 * time.Second}}, want: 3 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := tableWith(expiresAt - time.Second)
			if s.happens != nil {
				s.happens(table)
			}
			qt.Assert(t, startOf(t, table, from, s.replies), qt.Equals, s.want)
		})
	}
}

// A domain that is cut off goes on serving, so jobs of its fronts must not be started
// before their entries expire.
func TestJobsOfUnreachableDomainAreNotStarted(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	search := NewSearch("a", 0)
	for now := time.Second; now < 6*time.Second; now += retryInterval {
		search.HandleReplies(table, search.Round(table, now)[0], nil, now)
		_, mayStart := search.Next(table, now)
		c.Assert(mayStart, qt.IsFalse)
	}
	c.Assert(search.Round(table, 6*time.Second), qt.HasLen, 0)
	_, mayStart := search.Next(table, 6*time.Second)
	c.Assert(mayStart, qt.IsTrue)
}

// A front that announces the job while others are asked must be asked too before the job
// starts.
func TestFrontAnnouncedDuringRoundIsAskedNext(t *testing.T) {
	c := qt.New(t)
	table := tableWith(20 * time.Second)
	search := NewSearch("a", 0)
	first := search.Round(table, time.Second)
	table.Record(other, other.Address, []Announcement{{ID: "a", Remaining: 9 * time.Second}}, false, time.Second)
	search.HandleReplies(table, first[0], []Reply{{NotOpen, time.Second}}, time.Second)
	at, mayStart := search.Next(table, 2*time.Second)
	c.Assert(at, qt.Equals, 2*time.Second)
	c.Assert(mayStart, qt.IsFalse)
	next := search.Round(table, 2*time.Second)
	c.Assert(next, qt.HasLen, 1)
	c.Assert(next[0].Front, qt.Equals, other)
}

func TestSearchWaitsForLocalRuns(t *testing.T) {
	c := qt.New(t)
	table := NewTable(unrenewedRunTTL)
	search := NewSearch("a", 3*time.Second)
	at, mayStart := search.Next(table, 2*time.Second)
	c.Assert(at, qt.Equals, 3*time.Second)
	c.Assert(mayStart, qt.IsFalse)
	_, mayStart = search.Next(table, 3*time.Second)
	c.Assert(mayStart, qt.IsTrue)
}

// A front that no longer holds a job open reports until when its runs may be alive. If the
// search that received this ends earlier, the next search for the job must wait as well.
func TestNextSearchWaitsForRunsOfClosedFront(t *testing.T) {
	c := qt.New(t)
	table := tableWith(5 * time.Second)
	first := NewSearch("a", 0)
	first.HandleReplies(table, first.Round(table, time.Second)[0], []Reply{{NotOpen, 2 * time.Second}}, time.Second)
	c.Assert(first.ShouldYield(table, front, "zone:1", true, time.Second), qt.IsFalse, qt.Commentf("it would not be asked again"))
	next := NewSearch("a", 0)
	c.Assert(next.Round(table, time.Second), qt.HasLen, 0, qt.Commentf("no front is asked again"))
	at, mayStart := next.Next(table, time.Second)
	c.Assert(at, qt.Equals, 2*time.Second)
	c.Assert(mayStart, qt.IsFalse)
}

// A front that answers holds the job open, even past the expiry that it announced.
func TestLiveFrontIsAskedAgain(t *testing.T) {
	const now = 2 * time.Second
	c := qt.New(t)
	table := tableWith(time.Second + ms)
	search := NewSearch("a", 0)
	search.HandleReplies(table, search.Round(table, now)[0], []Reply{{Verdict: Busy}}, now)
	c.Assert(search.Round(table, now+retryInterval), qt.HasLen, 1)
	c.Assert(search.Round(table, now+unrenewedRunTTL), qt.HasLen, 0)
	table = tableWith(time.Second + ms)
	c.Assert(search.ShouldYield(table, front, "zone:1", false, now), qt.IsTrue)
	c.Assert(search.Round(table, now+retryInterval), qt.HasLen, 1, qt.Commentf("also after yielding to it"))
}

// Guards against a second start beside a front that has got a job again since it answered that it
// didn't hold the job open.
func TestReferReturnsAnEntryAgainThatWasClosedAndOpened(t *testing.T) {
	c := qt.New(t)
	table := tableWith(time.Minute)
	_, isOpen := table.Refer("a", other, 2*time.Second)
	c.Assert(isOpen, qt.IsTrue)
	_, isOpen = table.Refer("a", other, 2*time.Second)
	c.Assert(isOpen, qt.IsFalse, qt.Commentf("it has asked"))
	table.MarkClosed("a", front, 4*time.Second, 2*time.Second, 2*time.Second)
	table.Record(front, front.Address, []Announcement{{ID: "a", Remaining: time.Minute}}, false, 3*time.Second)
	entry, isOpen := table.Refer("a", other, 3*time.Second)
	c.Assert(isOpen, qt.IsTrue)
	c.Assert(entry.Front, qt.Equals, front)
}
