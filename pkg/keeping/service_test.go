package keeping

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	qt "github.com/frankban/quicktest"
)

func testJob(id string) *job.Job {
	return &job.Job{
		ID: id, Route: "route", Service: "service", Kept: true, Stretch: 2, Spec: "text",
		Steps: []job.Step{{Count: 2, Needs: job.Resources{CPU: 100}, Estimate: time.Second}},
	}
}

// besides returns the id of another job of the same partition.
func besides(id string) string {
	for i := 0; ; i++ {
		other := fmt.Sprintf("%s%d", id, i)
		if kept.PartitionOf(other) == kept.PartitionOf(id) {
			return other
		}
	}
}

// within returns the next value of a channel, which has to come soon.
func within[T any](c *qt.C, ch <-chan T) T {
	c.Helper()
	select {
	case value := <-ch:
		return value
	case <-time.After(5 * time.Second):
		c.Fatal("nothing came in time")
		panic("unreachable")
	}
}

// eventually waits for a state.
func eventually(c *qt.C, s *Service, id string, want kept.State) {
	c.Helper()
	var answer kept.Answer
	for range 200 {
		if answer = s.State(context.Background(), id); answer.State == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("job %s is %s, not %s", id, answer.State, want)
}

var accepted = kept.Answer{Verdict: kept.Accepted, State: kept.Queued}

func TestAKeptJobFromItsAcceptanceToItsEnd(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	c.Assert(s.Keep(context.Background(), testJob("a")), qt.Equals, accepted)
	handed := within(c, host.handed)
	c.Assert(handed.epoch, qt.Equals, 1)
	eventually(c, s, "a", kept.Running)
	c.Assert(s.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, kept.Accepted, qt.Commentf("it remains one job"))
	handed.end <- job.Outcome{Kind: job.Completed}
	eventually(c, s, "a", kept.Completed)
	word := within(c, host.words)
	c.Assert(word, qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}})
	c.Assert(s.Open(), qt.Equals, 0)
	c.Assert(s.State(context.Background(), "b").Verdict, qt.Equals, kept.NotFound)
}

func TestTheNextKeeperGoesOn(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	first := startService(t.Cleanup, host, store)
	for i := range 40 { // more than a page in each part
		c.Assert(first.Keep(context.Background(), testJob(fmt.Sprintf("job%02d", i))), qt.Equals, accepted)
		within(c, host.handed)
	}
	first.stop() // it dies
	next := newFakeHost()
	s := startService(t.Cleanup, next, store)
	seen := map[string]bool{}
	for range 40 {
		handed := within(c, next.handed)
		c.Assert(handed.epoch > 1, qt.IsTrue)
		seen[handed.id] = true
		handed.end <- job.Outcome{Kind: job.Completed}
	}
	c.Assert(seen, qt.HasLen, 40)
	eventually(c, s, "job07", kept.Completed)
}

func TestKeepWithoutAStore(t *testing.T) {
	scenarios := []struct {
		testName string
		fail     error
		lose     bool
		noCell   bool
		verdict  kept.Verdict
	}{
		{"nothing can be written", errkind.New(errkind.PlatformDown, "try again", "down"), false, false, kept.Refused},
		{"no answer comes", errkind.New(errkind.PlatformMaybe, "try again", "silent"), false, false, kept.Unknown},
		{"one answer is lost", nil, true, false, kept.Accepted},
		{"no cell can run it", nil, false, true, kept.Refused},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, store := newFakeHost(), newFakeStore()
			service := startService(t.Cleanup, host, store)
			c.Assert(service.Keep(context.Background(), testJob(besides("a"))), qt.Equals, accepted)
			within(c, host.handed)
			store.setFail(s.fail)
			store.mu.Lock()
			store.lose = s.lose
			store.mu.Unlock()
			host.noCell = s.noCell
			c.Assert(service.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, s.verdict)
		})
	}
}

func TestACancelIsAnsweredOnceTheOwnerKnows(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	within(c, host.handed)
	c.Assert(s.Cancel(context.Background(), "a"), qt.Equals, kept.Answer{Verdict: kept.Accepted, State: kept.Cancelled})
	c.Assert(len(host.words) > 0, qt.IsTrue)
	c.Assert(within(c, host.words), qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}, Cancelled: true})
	c.Assert(s.Cancel(context.Background(), "b").Verdict, qt.Equals, kept.NotFound)

	next := startService(t.Cleanup, newFakeHost(), store) // knows it by its row alone
	c.Assert(next.Cancel(context.Background(), "a"), qt.Equals, kept.Answer{Verdict: kept.Accepted, State: kept.Cancelled})
	c.Assert(next.State(context.Background(), "a").State, qt.Equals, kept.Cancelled)
}

func TestTheFrontKeepsAJobThatItsKeeperCannot(t *testing.T) {
	scenarios := []struct {
		testName string
		answer   kept.Answer
		sent     bool
		verdict  kept.Verdict
		here     bool
	}{
		{"the keeper keeps it", accepted, true, kept.Accepted, false},
		{"the keeper is out of sight", kept.Answer{}, false, kept.Accepted, true},
		{"the keeper has no store", kept.Answer{Verdict: kept.Refused}, true, kept.Accepted, true},
		{"the keeper doesn't answer", kept.Answer{Verdict: kept.Unknown}, true, kept.Accepted, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, store := newFakeHost(), newFakeStore()
			host.keeper = CoordinatorHost{Address: "10.0.0.1:1"}
			host.ask = func(string) (kept.Answer, bool) { return s.answer, s.sent }
			service := startService(t.Cleanup, host, store)
			c.Assert(service.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, s.verdict)
			c.Assert(service.Open() > 0, qt.Equals, s.here)
		})
	}
}

func TestAJobThatItsKeeperMayHaveKeptIsNotRefused(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	host.keeper = CoordinatorHost{Address: "10.0.0.1:1"}
	host.ask = func(string) (kept.Answer, bool) { return kept.Answer{Verdict: kept.Unknown}, true }
	store.setFail(errkind.New(errkind.PlatformDown, "try again", "down"))
	s := startService(t.Cleanup, host, store)
	c.Assert(s.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, kept.Unknown)
}

func TestAJobThatComesTooLateIsRefusedUnlessItWasAccepted(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	before := testJob("a")
	before.Received = s.Clock.Now()
	c.Assert(s.Keep(context.Background(), before), qt.Equals, accepted)
	within(c, host.handed)
	host.wait = time.Minute
	c.Assert(s.Keep(context.Background(), before).Verdict, qt.Equals, kept.Accepted)
	late := testJob("b")
	late.Received = s.Clock.Now()
	answer := s.Keep(context.Background(), late)
	c.Assert(answer, qt.Equals, kept.Answer{Verdict: kept.Refused, Reason: ReasonOverloaded, RetryAfter: time.Minute})
	store.setFail(errkind.New(errkind.PlatformDown, "try again", "down"))
	c.Assert(s.Keep(context.Background(), late).Verdict, qt.Equals, kept.Unknown, qt.Commentf("it may have been accepted before"))
}

// A refusal says that the job isn't kept and never runs. It has to be true of all sendings
// that the host knows of, and of an answer of another host that can't be read.
func TestAJobThatMayBeKeptIsNotRefused(t *testing.T) {
	type rig struct {
		host  *fakeHost
		store *fakeStore
		s     *Service
	}
	keeperSays := func(r *rig, verdict kept.Verdict) {
		r.host.ask = func(string) (kept.Answer, bool) { return kept.Answer{Verdict: verdict}, verdict != 0 }
	}
	const outOfSight, notKnown kept.Verdict = 0, 77
	mayHaveKept := func(id string) func(r *rig) {
		return func(r *rig) {
			r.store.setFail(errkind.New(errkind.PlatformDown, "try again", "down"))
			keeperSays(r, kept.Unknown)
			r.s.Keep(context.Background(), testJob(id))
		}
	}
	scenarios := []struct {
		testName string
		before   func(r *rig)
		then     func(r *rig)
		verdict  kept.Verdict
	}{
		{
			testName: "it was accepted, and no cell can run it now",
			before:   func(r *rig) { r.s.Keep(context.Background(), testJob("a")) },
			then:     func(r *rig) { r.host.noCell = true },
			verdict:  kept.Accepted,
		},
		{
			testName: "nobody knows it, and no cell can run it",
			before:   func(*rig) {},
			then:     func(r *rig) { r.host.noCell = true },
			verdict:  kept.Refused,
		},
		{
			testName: "its keeper may have kept it, and is out of sight when it comes again",
			before:   mayHaveKept("a"),
			then:     func(r *rig) { keeperSays(r, outOfSight) },
			verdict:  kept.Unknown,
		},
		{
			testName: "its keeper may have kept it, and refuses it when it comes again",
			before:   mayHaveKept("a"),
			then:     func(r *rig) { keeperSays(r, kept.Refused) },
			verdict:  kept.Unknown,
		},
		{
			testName: "its keeper may have kept it, and keeps it when it comes again",
			before:   mayHaveKept("a"),
			then:     func(r *rig) { keeperSays(r, kept.Accepted) },
			verdict:  kept.Accepted,
		},
		{
			testName: "its keeper may have kept another job",
			before:   mayHaveKept("b"),
			then:     func(r *rig) { keeperSays(r, outOfSight) },
			verdict:  kept.Refused,
		},
		{
			testName: "its keeper answers by a verdict that isn't known",
			before:   mayHaveKept("b"),
			then:     func(r *rig) { keeperSays(r, notKnown) },
			verdict:  kept.Unknown,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			r := &rig{host: newFakeHost(), store: newFakeStore()}
			r.host.keeper = CoordinatorHost{Address: "10.0.0.1:1"}
			keeperSays(r, outOfSight)
			r.s = startService(t.Cleanup, r.host, r.store)
			c.Assert(r.s.Keep(context.Background(), testJob(besides("a"))), qt.Equals, accepted)
			s.before(r)
			s.then(r)
			c.Assert(r.s.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, s.verdict)
		})
	}
}

// A caller that cancels a job counts on it that nothing of it starts later. A keeper that
// doesn't know the job can't say so for a host that has a write of it under way.
func TestAJobThatMayBeKeptIsNotGoneForOneThatCancelsIt(t *testing.T) {
	gone := kept.Answer{Verdict: kept.NotFound}
	scenarios := []struct {
		testName string
		fail     error // of the store while the job comes
		keeper   kept.Answer
		sent     bool
		verdict  kept.Verdict
	}{
		{"its keeper may have kept it, and is out of sight", errkind.New(errkind.PlatformDown, "try again", "down"), kept.Answer{}, false, kept.Unknown},
		{"its keeper may have kept it, and says that it is gone", errkind.New(errkind.PlatformDown, "try again", "down"), gone, true, kept.Unknown},
		{"this host may have written it, and its keeper says that it is gone", errkind.New(errkind.PlatformMaybe, "try again", "silent"), gone, true, kept.Accepted},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, store := newFakeHost(), newFakeStore()
			host.keeper = CoordinatorHost{Address: "10.0.0.1:1"}
			host.ask = func(string) (kept.Answer, bool) { return kept.Answer{}, false }
			service := startService(t.Cleanup, host, store)
			c.Assert(service.Keep(context.Background(), testJob(besides("a"))), qt.Equals, accepted)
			store.setFail(s.fail)
			host.ask = func(string) (kept.Answer, bool) { return kept.Answer{Verdict: kept.Unknown}, true }
			c.Assert(service.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, kept.Unknown)
			store.setFail(nil)
			host.ask = func(string) (kept.Answer, bool) { return s.keeper, s.sent }
			c.Assert(service.Cancel(context.Background(), "a").Verdict, qt.Equals, s.verdict)
		})
	}
}

func TestWhatBecomesOfAJobThatComesBack(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	handed := within(c, host.handed)
	handed.end <- job.Outcome{Kind: job.Lost}
	again := within(c, host.handed)
	c.Assert(again.cell, qt.Equals, "x")
	c.Assert(again.epoch > handed.epoch, qt.IsTrue)
	again.end <- job.Outcome{Kind: job.Moved, Reason: "fenced", Started: true, Progress: []job.Progress{{Done: true, Run: 7}}}
	third := within(c, host.handed)
	c.Assert(third.epoch > again.epoch, qt.IsTrue)
	third.end <- job.Outcome{Kind: job.Failed}
	eventually(c, s, "a", kept.Failed)
}

func TestAClosedCellGivesAKeptJobToAnotherOne(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	p := s.partitionOf("a")
	record := kept.Record{ID: "a", Cell: "closed", Job: encodeJob(testJob("a"), nil)}
	_, known := p.call(context.Background(), func(k *kept.Coordinator, number uint64, until, now time.Duration) bool {
		k.Accept(number, record, until, now)
		return true
	})
	c.Assert(known, qt.IsTrue)
	handed := within(c, host.handed)
	c.Assert(handed.cell, qt.Equals, "closed")
	handed.end <- job.Outcome{Kind: job.Moved, Reason: cell.ReasonClosed, Progress: []job.Progress{{Done: true, Run: 3}}}
	c.Assert(within(c, host.words), qt.DeepEquals, OwnerNotice{Cell: "closed", IDs: []string{"a"}, Moved: true})
	c.Assert(within(c, host.handed).cell, qt.Equals, "x")
	row, _, err := store.ReadRow(context.Background(), kept.TableOpen, p.part, "a")
	c.Assert(err, qt.IsNil)
	moved, err := codec{}.DecodeRecord("a", row.Value)
	c.Assert(err, qt.IsNil)
	c.Assert(moved.From, qt.Equals, "closed")
	_, progress := jobOf(&moved, 0, time.Second)
	c.Assert(progress, qt.DeepEquals, []job.Progress{{Done: true, Run: 3}}, qt.Commentf("it lasts with the move"))
}

func TestProgressIsWrittenBeforeTheOwnerHearsSo(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	handed := within(c, host.handed)
	handed.end <- job.Outcome{Kind: job.Moved, Reason: ReasonProgress, Started: true, Progress: []job.Progress{{Done: true, Run: 501}}}
	again := within(c, host.handed)
	c.Assert(again.cell, qt.Equals, "x", qt.Commentf("the owner has it, and is asked again"))
	c.Assert(within(c, host.words), qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}, Progress: 1})
	c.Assert(host.handed, qt.HasLen, 0, qt.Commentf("its follower wasn't replaced"))
	row, _, err := store.ReadRow(context.Background(), kept.TableOpen, s.partitionOf("a").part, "a")
	c.Assert(err, qt.IsNil)
	record, err := codec{}.DecodeRecord("a", row.Value)
	c.Assert(err, qt.IsNil)
	_, progress := jobOf(&record, 0, 0)
	c.Assert(progress, qt.DeepEquals, []job.Progress{{Done: true, Run: 501}})
	again.end <- job.Outcome{Kind: job.Completed}
	eventually(c, s, "a", kept.Completed)
}

func TestACutOffKeeperAsksForNothing(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	within(c, host.handed)
	host.fewSeen.Store(true)
	s.probe(context.Background())
	c.Assert(s.reach.silent(s.Clock.Now()), qt.IsFalse, qt.Commentf("the store answers"))
	c.Assert(s.reach.silent(s.Clock.Now()+cutOffTime+time.Second), qt.IsTrue)
	s.setCutOff(true)
	time.Sleep(3 * ownerRecheck)
	c.Assert(host.handed, qt.HasLen, 0)
	s.setCutOff(false)
	c.Assert(within(c, host.handed).epoch > 1, qt.IsTrue)
}

func TestRowsOfOtherWritersAreErrors(t *testing.T) {
	c := qt.New(t)
	record := kept.Record{ID: "a", Cell: "x", From: "y", AcceptedAt: time.Second, Epoch: 3, Job: encodeJob(testJob("a"), nil)}
	value := codec{}.EncodeRecord(record)
	read, err := codec{}.DecodeRecord("a", value)
	c.Assert(err, qt.IsNil)
	c.Assert(read, qt.DeepEquals, record)
	for _, bad := range [][]byte{nil, []byte("?"), {0xff, 0x01}} {
		_, err = codec{}.DecodeRecord("a", bad)
		c.Assert(err, qt.Not(qt.IsNil))
		_, err = codec{}.DecodeEnd(bad)
		c.Assert(err, qt.Not(qt.IsNil))
	}
	_, err = codec{}.DecodeRecord("b", value)
	c.Assert(err, qt.Not(qt.IsNil))
	end, err := codec{}.DecodeEnd(codec{}.EncodeEnd(kept.End{State: kept.Cancelled, Cell: "x", At: time.Second}))
	c.Assert(err, qt.IsNil)
	c.Assert(end, qt.Equals, kept.End{State: kept.Cancelled, Cell: "x", At: time.Second})
}

func TestAHostWithoutKeptJobsLooksAfterThemRarely(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	c.Assert(s.pause(), qt.Equals, viewInterval)
	c.Assert(s.Keep(context.Background(), testJob("a")), qt.Equals, accepted)
	c.Assert(s.pause(), qt.Equals, tickInterval)
	within(c, host.handed).end <- job.Outcome{Kind: job.Completed}
	within(c, host.words) // its owner has been told
	c.Assert(s.pause(), qt.Equals, viewInterval)
}
