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

// samePartition returns another job id of the same partition.
func samePartition(id string) string {
	for i := 0; ; i++ {
		other := fmt.Sprintf("%s%d", id, i)
		if kept.PartitionOf(other) == kept.PartitionOf(id) {
			return other
		}
	}
}

// within returns the next value of a channel, which must arrive in time.
func within[T any](c *qt.C, ch <-chan T) T {
	c.Helper()
	select {
	case value := <-ch:
		return value
	case <-time.After(5 * time.Second):
		c.Fatal("no value received within 5 s")
		panic("unreachable")
	}
}

// eventually waits until a job has the wanted state.
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

func TestKeptJobLifecycle(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	c.Assert(s.Keep(context.Background(), testJob("a")), qt.Equals, accepted)
	dispatched := within(c, host.dispatches)
	c.Assert(dispatched.epoch, qt.Equals, 1)
	eventually(c, s, "a", kept.Running)
	c.Assert(s.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, kept.Accepted, qt.Commentf("a resubmission joins the open job"))
	dispatched.end <- job.Outcome{Kind: job.Completed}
	eventually(c, s, "a", kept.Completed)
	notice := within(c, host.notices)
	c.Assert(notice, qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}})
	c.Assert(s.Open(), qt.Equals, 0)
	c.Assert(s.State(context.Background(), "b").Verdict, qt.Equals, kept.NotFound)
}

func TestNextCoordinatorContinues(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	first := startService(t.Cleanup, host, store)
	for i := range 40 { // more than a page in each part
		c.Assert(first.Keep(context.Background(), testJob(fmt.Sprintf("job%02d", i))), qt.Equals, accepted)
		within(c, host.dispatches)
	}
	first.stop() // the first host fails
	next := newFakeHost()
	s := startService(t.Cleanup, next, store)
	seen := map[string]bool{}
	for range 40 {
		dispatched := within(c, next.dispatches)
		c.Assert(dispatched.epoch > 1, qt.IsTrue)
		seen[dispatched.id] = true
		dispatched.end <- job.Outcome{Kind: job.Completed}
	}
	c.Assert(seen, qt.HasLen, 40)
	eventually(c, s, "job07", kept.Completed)
}

func TestKeepWithFailingStore(t *testing.T) {
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
			c.Assert(service.Keep(context.Background(), testJob(samePartition("a"))), qt.Equals, accepted)
			within(c, host.dispatches)
			store.setFail(s.fail)
			store.mu.Lock()
			store.lose = s.lose
			store.mu.Unlock()
			host.noCell = s.noCell
			c.Assert(service.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, s.verdict)
		})
	}
}

func TestCancelIsAnsweredAfterOwnerIsNotified(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	within(c, host.dispatches)
	c.Assert(s.Cancel(context.Background(), "a"), qt.Equals, kept.Answer{Verdict: kept.Accepted, State: kept.Cancelled})
	c.Assert(len(host.notices) > 0, qt.IsTrue)
	c.Assert(within(c, host.notices), qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}, Cancelled: true})
	c.Assert(s.Cancel(context.Background(), "b").Verdict, qt.Equals, kept.NotFound)

	next := startService(t.Cleanup, newFakeHost(), store) // knows the job only by its row
	c.Assert(next.Cancel(context.Background(), "a"), qt.Equals, kept.Answer{Verdict: kept.Accepted, State: kept.Cancelled})
	c.Assert(next.State(context.Background(), "a").State, qt.Equals, kept.Cancelled)
}

func TestFrontKeepsJobIfCoordinatorCannot(t *testing.T) {
	scenarios := []struct {
		testName string
		answer   kept.Answer
		sent     bool
		verdict  kept.Verdict
		here     bool
	}{
		{"the coordinator keeps it", accepted, true, kept.Accepted, false},
		{"the coordinator is unreachable", kept.Answer{}, false, kept.Accepted, true},
		{"the coordinator refuses it", kept.Answer{Verdict: kept.Refused}, true, kept.Accepted, true},
		{"the coordinator does not answer", kept.Answer{Verdict: kept.Unknown}, true, kept.Accepted, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, store := newFakeHost(), newFakeStore()
			host.coordinator = CoordinatorHost{Address: "10.0.0.1:1"}
			host.ask = func(string) (kept.Answer, bool) { return s.answer, s.sent }
			service := startService(t.Cleanup, host, store)
			c.Assert(service.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, s.verdict)
			c.Assert(service.Open() > 0, qt.Equals, s.here)
		})
	}
}

func TestJobPossiblyKeptByCoordinatorIsNotRefused(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	host.coordinator = CoordinatorHost{Address: "10.0.0.1:1"}
	host.ask = func(string) (kept.Answer, bool) { return kept.Answer{Verdict: kept.Unknown}, true }
	store.setFail(errkind.New(errkind.PlatformDown, "try again", "down"))
	s := startService(t.Cleanup, host, store)
	c.Assert(s.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, kept.Unknown)
}

func TestUnmeetableJobIsRefusedUnlessAccepted(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	before := testJob("a")
	before.Received = s.Clock.Now()
	c.Assert(s.Keep(context.Background(), before), qt.Equals, accepted)
	within(c, host.dispatches)
	host.wait = time.Minute
	c.Assert(s.Keep(context.Background(), before).Verdict, qt.Equals, kept.Accepted)
	late := testJob("b")
	late.Received = s.Clock.Now()
	answer := s.Keep(context.Background(), late)
	c.Assert(answer, qt.Equals, kept.Answer{Verdict: kept.Refused, Reason: ReasonOverloaded, RetryAfter: time.Minute})
	store.setFail(errkind.New(errkind.PlatformDown, "try again", "down"))
	c.Assert(s.Keep(context.Background(), late).Verdict, qt.Equals, kept.Unknown, qt.Commentf("it may have been accepted before"))
}

// A refusal promises that the job never runs, so it must hold for all submissions that the
// host knows of, and must not be the result of an answer that it cannot interpret.
func TestUnresolvedJobIsNotRefused(t *testing.T) {
	type fixture struct {
		host  *fakeHost
		store *fakeStore
		s     *Service
	}
	coordinatorSays := func(r *fixture, verdict kept.Verdict) {
		r.host.ask = func(string) (kept.Answer, bool) { return kept.Answer{Verdict: verdict}, verdict != 0 }
	}
	const unreachable, unknownVerdict kept.Verdict = 0, 77
	mayHaveKept := func(id string) func(r *fixture) {
		return func(r *fixture) {
			r.store.setFail(errkind.New(errkind.PlatformDown, "try again", "down"))
			coordinatorSays(r, kept.Unknown)
			r.s.Keep(context.Background(), testJob(id))
		}
	}
	scenarios := []struct {
		testName string
		before   func(r *fixture)
		then     func(r *fixture)
		verdict  kept.Verdict
	}{
		{
			testName: "it was accepted, and no cell can run it now",
			before:   func(r *fixture) { r.s.Keep(context.Background(), testJob("a")) },
			then:     func(r *fixture) { r.host.noCell = true },
			verdict:  kept.Accepted,
		},
		{
			testName: "it is unknown, and no cell can run it",
			before:   func(*fixture) {},
			then:     func(r *fixture) { r.host.noCell = true },
			verdict:  kept.Refused,
		},
		{
			testName: "its coordinator may have kept it, and is unreachable on resubmission",
			before:   mayHaveKept("a"),
			then:     func(r *fixture) { coordinatorSays(r, unreachable) },
			verdict:  kept.Unknown,
		},
		{
			testName: "its coordinator may have kept it, and refuses it on resubmission",
			before:   mayHaveKept("a"),
			then:     func(r *fixture) { coordinatorSays(r, kept.Refused) },
			verdict:  kept.Unknown,
		},
		{
			testName: "its coordinator may have kept it, and keeps it on resubmission",
			before:   mayHaveKept("a"),
			then:     func(r *fixture) { coordinatorSays(r, kept.Accepted) },
			verdict:  kept.Accepted,
		},
		{
			testName: "its coordinator may have kept another job",
			before:   mayHaveKept("b"),
			then:     func(r *fixture) { coordinatorSays(r, unreachable) },
			verdict:  kept.Refused,
		},
		{
			testName: "its coordinator answers with an unknown verdict",
			before:   mayHaveKept("b"),
			then:     func(r *fixture) { coordinatorSays(r, unknownVerdict) },
			verdict:  kept.Unknown,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			r := &fixture{host: newFakeHost(), store: newFakeStore()}
			r.host.coordinator = CoordinatorHost{Address: "10.0.0.1:1"}
			coordinatorSays(r, unreachable)
			r.s = startService(t.Cleanup, r.host, r.store)
			c.Assert(r.s.Keep(context.Background(), testJob(samePartition("a"))), qt.Equals, accepted)
			s.before(r)
			s.then(r)
			c.Assert(r.s.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, s.verdict)
		})
	}
}

// A cancel that is answered with NotFound promises that no task of the job starts later,
// which the coordinator cannot promise for a host with a write in flight.
func TestCancelOfUnresolvedJobIsNotNotFound(t *testing.T) {
	notFound := kept.Answer{Verdict: kept.NotFound}
	scenarios := []struct {
		testName    string
		fail        error // of the store during the submission
		coordinator kept.Answer
		sent        bool
		verdict     kept.Verdict
	}{
		{"its coordinator may have kept it, and is unreachable", errkind.New(errkind.PlatformDown, "try again", "down"), kept.Answer{}, false, kept.Unknown},
		{"its coordinator may have kept it, and answers not found", errkind.New(errkind.PlatformDown, "try again", "down"), notFound, true, kept.Unknown},
		{"this host may have written it, and its coordinator answers not found", errkind.New(errkind.PlatformMaybe, "try again", "silent"), notFound, true, kept.Accepted},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, store := newFakeHost(), newFakeStore()
			host.coordinator = CoordinatorHost{Address: "10.0.0.1:1"}
			host.ask = func(string) (kept.Answer, bool) { return kept.Answer{}, false }
			service := startService(t.Cleanup, host, store)
			c.Assert(service.Keep(context.Background(), testJob(samePartition("a"))), qt.Equals, accepted)
			store.setFail(s.fail)
			host.ask = func(string) (kept.Answer, bool) { return kept.Answer{Verdict: kept.Unknown}, true }
			c.Assert(service.Keep(context.Background(), testJob("a")).Verdict, qt.Equals, kept.Unknown)
			store.setFail(nil)
			host.ask = func(string) (kept.Answer, bool) { return s.coordinator, s.sent }
			c.Assert(service.Cancel(context.Background(), "a").Verdict, qt.Equals, s.verdict)
		})
	}
}

func TestReturnedJobIsDispatchedAgain(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	dispatched := within(c, host.dispatches)
	dispatched.end <- job.Outcome{Kind: job.Lost}
	again := within(c, host.dispatches)
	c.Assert(again.cell, qt.Equals, "x")
	c.Assert(again.epoch > dispatched.epoch, qt.IsTrue)
	again.end <- job.Outcome{Kind: job.Moved, Reason: "fenced", Started: true, Progress: []job.Progress{{Done: true, Run: 7}}}
	third := within(c, host.dispatches)
	c.Assert(third.epoch > again.epoch, qt.IsTrue)
	third.end <- job.Outcome{Kind: job.Failed}
	eventually(c, s, "a", kept.Failed)
}

func TestJobMovesFromClosedCell(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	p := s.partitionOf("a")
	record := kept.Record{ID: "a", Cell: "closed", Job: encodeJob(testJob("a"), nil)}
	_, known := p.call(context.Background(), func(co *kept.Coordinator, number uint64, deadline, now time.Duration) bool {
		co.Accept(number, record, deadline, now)
		return true
	})
	c.Assert(known, qt.IsTrue)
	dispatched := within(c, host.dispatches)
	c.Assert(dispatched.cell, qt.Equals, "closed")
	dispatched.end <- job.Outcome{Kind: job.Moved, Reason: cell.ReasonClosed, Progress: []job.Progress{{Done: true, Run: 3}}}
	c.Assert(within(c, host.notices), qt.DeepEquals, OwnerNotice{Cell: "closed", IDs: []string{"a"}, Moved: true})
	c.Assert(within(c, host.dispatches).cell, qt.Equals, "x")
	row, _, err := store.ReadRow(context.Background(), kept.TableOpen, p.part, "a")
	c.Assert(err, qt.IsNil)
	moved, err := codec{}.DecodeRecord("a", row.Value)
	c.Assert(err, qt.IsNil)
	c.Assert(moved.From, qt.Equals, "closed")
	_, progress := jobOf(&moved, 0, time.Second)
	c.Assert(progress, qt.DeepEquals, []job.Progress{{Done: true, Run: 3}}, qt.Commentf("the progress is stored with the move"))
}

func TestOwnerIsNotifiedAfterCheckpointIsStored(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	dispatched := within(c, host.dispatches)
	dispatched.end <- job.Outcome{Kind: job.Moved, Reason: ReasonProgress, Started: true, Progress: []job.Progress{{Done: true, Run: 501}}}
	again := within(c, host.dispatches)
	c.Assert(again.cell, qt.Equals, "x", qt.Commentf("the job stays at its owner"))
	c.Assert(within(c, host.notices), qt.DeepEquals, OwnerNotice{Cell: "x", IDs: []string{"a"}, Progress: 1})
	c.Assert(host.dispatches, qt.HasLen, 0, qt.Commentf("the follower was not replaced"))
	row, _, err := store.ReadRow(context.Background(), kept.TableOpen, s.partitionOf("a").part, "a")
	c.Assert(err, qt.IsNil)
	record, err := codec{}.DecodeRecord("a", row.Value)
	c.Assert(err, qt.IsNil)
	_, progress := jobOf(&record, 0, 0)
	c.Assert(progress, qt.DeepEquals, []job.Progress{{Done: true, Run: 501}})
	again.end <- job.Outcome{Kind: job.Completed}
	eventually(c, s, "a", kept.Completed)
}

// Guards against a next owner that starts tasks of a kept job beside runs which the former one had
// started after it had reported the job's progress for the last time.
func TestNextOwnerIsToldWhetherProgressNamesAllRuns(t *testing.T) {
	type scenario struct {
		testName      string
		outcome       job.Outcome // of the first dispatch
		wantNamesRuns bool        // at the second dispatch
	}
	scenarios := []scenario{
		{testName: "its owner was lost", outcome: job.Outcome{Kind: job.Lost}},
		{testName: "its owner has returned it", outcome: job.Outcome{Kind: job.Moved, Reason: "fenced", Started: true, NamesRuns: true}, wantNamesRuns: true},
		{testName: "its owner, an earlier build, has returned it", outcome: job.Outcome{Kind: job.Moved, Reason: "fenced", Started: true}},
		{testName: "it goes on at its owner, which has reported progress", outcome: job.Outcome{Kind: job.Moved, Reason: ReasonProgress, Started: true}},
		{testName: "it goes on at its owner, which took its coordinator for dead", outcome: job.Outcome{Kind: job.Moved, Reason: "front_silent", Started: true}},
		{testName: "a host that is not the owner did not take it", outcome: job.Outcome{Kind: job.Moved}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host := newFakeHost()
			service := startService(t.Cleanup, host, newFakeStore())
			service.Keep(context.Background(), testJob("a"))
			within(c, host.dispatches).end <- s.outcome
			c.Assert(within(c, host.dispatches).namesRuns, qt.Equals, s.wantNamesRuns)
		})
	}
}

// Guards against rows from which next coordinators take how long runs may be active, however long ago
// they were written.
func TestRowsDoNotHoldTheTimesOfActiveRuns(t *testing.T) {
	c := qt.New(t)
	record := kept.Record{ID: "a", Job: encodeJob(testJob("a"), []job.Progress{{Run: 501, ActiveAt: "i-1", ActiveFor: time.Second}})}
	_, progress := jobOf(&record, 0, 0)
	c.Assert(progress, qt.DeepEquals, []job.Progress{{Run: 501}})
}

func TestIsolatedHostDispatchesNothing(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	s.Keep(context.Background(), testJob("a"))
	within(c, host.dispatches)
	host.seesMinority.Store(true)
	s.probe(context.Background())
	c.Assert(s.storeReach.isUnresponsive(s.Clock.Now()), qt.IsFalse, qt.Commentf("the store answers"))
	c.Assert(s.storeReach.isUnresponsive(s.Clock.Now()+isolationTimeout+time.Second), qt.IsTrue)
	s.setIsolated(true)
	time.Sleep(3 * ownerCheckInterval)
	c.Assert(host.dispatches, qt.HasLen, 0)
	s.setIsolated(false)
	c.Assert(within(c, host.dispatches).epoch > 1, qt.IsTrue)
}

// Guards against an isolated host that holds a kept job for longer than the others wait for it: an
// interruption may come between two dispatches, or while the owner asks for a checkpoint.
func TestIsolatedHostDispatchesNothingAfterACheckpoint(t *testing.T) {
	c := qt.New(t)
	host := newFakeHost()
	s := startService(t.Cleanup, host, newFakeStore())
	s.Keep(context.Background(), testJob("a"))
	first := within(c, host.dispatches)
	s.storeReach.isolated.Store(true)
	first.end <- job.Outcome{Kind: job.Moved, Reason: ReasonProgress}
	time.Sleep(3 * ownerCheckInterval)
	c.Assert(host.dispatches, qt.HasLen, 0)
	s.setIsolated(false)
	c.Assert(within(c, host.dispatches).namesRuns, qt.IsFalse, qt.Commentf("the owner may have gone on with it"))
}

func TestForeignRowsAreDecodeErrors(t *testing.T) {
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

func TestTickIntervalDependsOnOpenJobs(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	c.Assert(s.pause(), qt.Equals, viewInterval)
	c.Assert(s.Keep(context.Background(), testJob("a")), qt.Equals, accepted)
	c.Assert(s.pause(), qt.Equals, tickInterval)
	within(c, host.dispatches).end <- job.Outcome{Kind: job.Completed}
	within(c, host.notices) // the owner has been notified
	c.Assert(s.pause(), qt.Equals, viewInterval)
}

// A job that no executor can run is refused before it is kept, and at once.
func TestAJobThatNoExecutorCanRunIsNotKept(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	host.noCell = true
	host.unmeetable.Store(true)
	s := startService(t.Cleanup, host, store)
	began := s.Clock.Now()
	answer := s.Keep(context.Background(), testJob("a"))
	c.Assert(answer, qt.Equals, kept.Answer{Verdict: kept.Refused, Reason: ReasonNoneCanRun, RetryAfter: UnmeetableRetryAfter})
	c.Assert(s.Clock.Now()-began < cellWait, qt.IsTrue)
	c.Assert(s.Open(), qt.Equals, 0)
}
