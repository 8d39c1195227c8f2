package kept

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
	qt "github.com/frankban/quicktest"
)

// fixture is a coordinator with a store that injects no faults.
type fixture struct {
	coordinator *Coordinator
	store       *modelStore
	now         time.Duration
}

func newFixture() *fixture {
	f := &fixture{coordinator: NewCoordinator("p00", jsonCodec{}, &Health{}), store: newModelStore(), now: time.Second}
	f.coordinator.ObserveClock(f.now, f.now)
	return f
}

func record(id string) Record { return Record{ID: id, Cell: "x", Job: []byte(id)} }

// next returns the next group. It is sent after maxGap, when the pacer allows a write
// however many have failed before.
func (f *fixture) next(c *qt.C) tables.Transaction {
	f.now += maxGap
	t, ok := f.coordinator.Next(f.now)
	c.Assert(ok, qt.IsTrue)
	return t
}

// write commits the next group.
func (f *fixture) write(c *qt.C) {
	result, err := f.store.commit(f.next(c), f.now)
	f.coordinator.Committed(result, err, f.now)
}

// newAccepted returns a fixture with an accepted job and no pending effects.
func newAccepted(c *qt.C, id string) *fixture {
	f := newFixture()
	f.coordinator.Accept(1, record(id), f.now+time.Minute, f.now)
	f.write(c)
	c.Assert(f.coordinator.TakeEffects().Answers, qt.DeepEquals, []CallAnswer{{Call: 1, Answer: Answer{Verdict: Accepted, State: Queued}}})
	return f
}

func TestAcceptAnswers(t *testing.T) {
	scenarios := []struct {
		testName string
		events   func(f *fixture, c *qt.C) // after the call of Accept
		verdict  Verdict                   // 0: no answer yet
		epoch    int                       // of the follow request; 0 for none. Record.EpochAt returns 2 for a new record, and 1 more per epochInterval of its age
	}{
		{"the write succeeds", func(f *fixture, c *qt.C) { f.write(c) }, Accepted, firstEpoch},
		{"one write fails", func(f *fixture, c *qt.C) {
			f.next(c)
			f.coordinator.Committed(tables.Result{}, errDown, f.now)
		}, 0, 0},
		{"two writes fail", func(f *fixture, c *qt.C) {
			for range 2 {
				f.next(c)
				f.coordinator.Committed(tables.Result{}, errDown, f.now)
			}
		}, Refused, 0},
		{"the answer is lost", func(f *fixture, c *qt.C) {
			f.next(c)
			f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
		}, 0, 0},
		{"the answer is lost, and then all writes fail", func(f *fixture, c *qt.C) {
			f.next(c)
			f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
			for range 5 {
				f.next(c)
				f.coordinator.Committed(tables.Result{}, errDown, f.now)
			}
		}, 0, 0},
		{"the answer is lost, and the call expires", func(f *fixture, c *qt.C) {
			f.next(c)
			f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
			f.now += time.Hour
			f.coordinator.Expire(f.now)
		}, Unknown, 0},
		{"the call expires before the first write", func(f *fixture, _ *qt.C) {
			f.now += time.Hour
			f.coordinator.Expire(f.now)
		}, Refused, 0},
		{"the answer is lost, but the write was applied", func(f *fixture, c *qt.C) {
			_, err := f.store.commit(f.next(c), f.now)
			c.Assert(err, qt.IsNil)
			f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
			f.write(c)
		}, Accepted, 2 + int(maxGap/epochInterval)},
		{"another coordinator has accepted it", func(f *fixture, c *qt.C) {
			f.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableOpen, Key: "a", Value: encode(Record{ID: "a", Cell: "y", AcceptedAt: f.now})}}}, f.now)
			f.write(c)
		}, Accepted, 2 + int(maxGap/epochInterval)},
		{"it ended long ago", func(f *fixture, c *qt.C) {
			f.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableEnded, Key: "a", Value: encode(End{State: Completed})}}}, f.now)
			f.write(c)
		}, Accepted, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture()
			f.coordinator.Accept(1, record("a"), f.now+time.Minute, f.now)
			s.events(f, c)
			effects := f.coordinator.TakeEffects()
			var verdict Verdict
			for _, answer := range effects.Answers {
				verdict = answer.Answer.Verdict
			}
			c.Assert(verdict, qt.Equals, s.verdict)
			epoch := 0
			for _, f := range effects.Follow {
				epoch = f.Epoch
			}
			c.Assert(epoch, qt.Equals, s.epoch)
		})
	}
}

func TestUnresolvedJobIsNeverRefused(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.coordinator.Accept(1, record("a"), f.now+time.Minute, f.now)
	late := f.next(c)
	f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
	f.coordinator.Committed(tables.Result{}, errDown, f.now) // without a group in flight, it must not affect the job
	f.coordinator.Accept(2, record("a"), f.now+time.Minute, f.now)
	for range 4 {
		f.next(c)
		f.coordinator.Committed(tables.Result{}, errDown, f.now)
	}
	c.Assert(f.coordinator.TakeEffects().Answers, qt.HasLen, 0)
	_, err := f.store.commit(late, f.now) // the unanswered write is applied late
	c.Assert(err, qt.IsNil)
	f.write(c)
	c.Assert(f.coordinator.TakeEffects().Answers, qt.HasLen, 2)
}

func TestNewJobsAreRefusedWhileStoreIsDown(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	for i, id := range []string{"a", "b"} {
		f.coordinator.Accept(uint64(i), record(id), f.now+time.Minute, f.now)
		for range maxAttempts {
			f.next(c)
			f.coordinator.Committed(tables.Result{}, errDown, f.now)
		}
	}
	f.coordinator.TakeEffects()
	f.coordinator.Accept(2, record("c"), f.now+time.Minute, f.now)
	c.Assert(f.coordinator.TakeEffects().Answers, qt.DeepEquals, []CallAnswer{{Call: 2, Answer: refusal(ReasonStoreDown)}})
	f.now += maxGap
	f.coordinator.Accept(3, record("d"), f.now+time.Minute, f.now)
	f.write(c)
	c.Assert(f.coordinator.TakeEffects().Answers, qt.HasLen, 1, qt.Commentf("the write of a new job probes the store"))
	f.coordinator.Accept(4, record("e"), f.now+time.Minute, f.now)
	c.Assert(f.coordinator.TakeEffects().Answers, qt.HasLen, 0, qt.Commentf("the store is up again"))
}

func TestFinishAndCancel(t *testing.T) {
	scenarios := []struct {
		testName string
		events   func(f *fixture, c *qt.C)
		ended    State
		cancels  []Verdict
	}{
		{"it completes", func(f *fixture, c *qt.C) {
			f.coordinator.Finish("a", Completed)
			f.write(c)
		}, Completed, nil},
		{"it is cancelled", func(f *fixture, c *qt.C) {
			f.coordinator.Cancel(9, "a", f.now+time.Minute, f.now)
			f.write(c)
		}, Cancelled, []Verdict{Accepted}},
		{"it is cancelled twice", func(f *fixture, c *qt.C) {
			f.coordinator.Cancel(9, "a", f.now+time.Minute, f.now)
			f.coordinator.Cancel(9, "a", f.now+time.Minute, f.now)
			f.write(c)
			f.coordinator.Cancel(9, "a", f.now+time.Minute, f.now)
		}, Cancelled, []Verdict{Accepted, Accepted, Accepted}},
		{"it completes while it is being cancelled", func(f *fixture, c *qt.C) {
			f.coordinator.Cancel(9, "a", f.now+time.Minute, f.now)
			f.coordinator.Finish("a", Completed)
			f.write(c)
		}, Cancelled, []Verdict{Accepted}},
		{"it is cancelled while its end is written", func(f *fixture, c *qt.C) {
			f.coordinator.Finish("a", Completed)
			f.coordinator.Cancel(9, "a", f.now+time.Minute, f.now)
			f.write(c)
		}, Completed, []Verdict{Accepted}},
		{"the answer to its end is lost", func(f *fixture, c *qt.C) {
			f.coordinator.Finish("a", Failed)
			_, err := f.store.commit(f.next(c), f.now)
			c.Assert(err, qt.IsNil)
			f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
			f.write(c)
		}, Failed, nil},
		{"another coordinator has ended it", func(f *fixture, c *qt.C) {
			f.store.commit(tables.Transaction{
				Remove: []tables.Condition{{Table: TableOpen, Key: "a"}},
				Put:    []tables.Row{{Table: TableEnded, Key: "a", Value: encode(End{State: Cancelled, Cell: "x"})}},
			}, f.now)
			f.coordinator.Finish("a", Completed)
			f.write(c)
		}, Cancelled, nil},
		{"another coordinator has moved it", func(f *fixture, c *qt.C) {
			f.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableOpen, Key: "a", Value: encode(record("a"))}}}, f.now)
			f.coordinator.Finish("a", Completed)
			f.write(c)
			f.write(c)
		}, Completed, nil},
		{"the store is down for long", func(f *fixture, c *qt.C) {
			f.coordinator.Finish("a", Completed)
			for range 10 {
				f.next(c)
				f.coordinator.Committed(tables.Result{}, errDown, f.now)
			}
			f.write(c)
		}, Completed, nil},
		{"a cancel completes after its call expired", func(f *fixture, c *qt.C) {
			f.coordinator.Cancel(9, "a", f.now+time.Second, f.now)
			f.next(c)
			f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
			f.now += time.Second
			f.coordinator.Expire(f.now)
			f.write(c)
		}, Cancelled, []Verdict{Unknown}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			f := newAccepted(c, "a")
			s.events(f, c)
			effects := f.coordinator.TakeEffects()
			c.Assert(effects.Ended, qt.DeepEquals, []EndedJob{{ID: "a", Cell: "x", State: s.ended}})
			state, known := f.coordinator.State("a")
			c.Assert(known, qt.IsTrue)
			c.Assert(state, qt.Equals, s.ended)
			var cancels []Verdict
			for _, answer := range effects.Answers {
				cancels = append(cancels, answer.Answer.Verdict)
			}
			c.Assert(cancels, qt.DeepEquals, s.cancels)
			c.Assert(f.store.row(TableOpen, "a"), qt.IsNil)
			c.Assert(f.store.row(TableEnded, "a"), qt.Not(qt.IsNil))
		})
	}
}

func TestCancelBeforeJobIsStored(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.coordinator.Accept(1, record("a"), f.now+time.Minute, f.now)
	c.Assert(f.coordinator.Cancel(2, "a", f.now+time.Minute, f.now), qt.IsTrue)
	f.write(c)
	f.write(c)
	effects := f.coordinator.TakeEffects()
	c.Assert(effects.Follow, qt.HasLen, 0)
	c.Assert(effects.Ended, qt.HasLen, 1)
	c.Assert(effects.Answers, qt.HasLen, 2)
	c.Assert(f.coordinator.Cancel(3, "b", f.now+time.Minute, f.now), qt.IsFalse)
}

func TestMoveIsStoredBeforeJobIsFollowed(t *testing.T) {
	c := qt.New(t)
	f := newAccepted(c, "a")
	moved := record("a")
	moved.Cell, moved.Epoch = "y", 7
	f.coordinator.Move(moved)
	c.Assert(f.coordinator.TakeEffects().Follow, qt.HasLen, 0)
	f.write(c)
	follow := f.coordinator.TakeEffects().Follow
	c.Assert(follow, qt.HasLen, 1)
	c.Assert(follow[0].Record.Cell, qt.Equals, "y")
	c.Assert(follow[0].Record.From, qt.Equals, "x")
	c.Assert(follow[0].Epoch > 7, qt.IsTrue)
}

func TestLateMoveDoesNotOverwriteNextMove(t *testing.T) {
	c := qt.New(t)
	f := newAccepted(c, "a")
	first := record("a")
	first.Cell = "y"
	f.coordinator.Move(first)
	late := f.next(c)
	f.coordinator.Committed(tables.Result{}, errMaybe, f.now)
	f.write(c)
	second := record("a")
	second.Cell = "z"
	f.coordinator.Move(second)
	f.write(c)
	_, err := f.store.commit(late, f.now)
	c.Assert(err, qt.Not(qt.IsNil))
	read, _ := jsonCodec{}.DecodeRecord("a", f.store.row(TableOpen, "a").Value)
	c.Assert(read.Cell, qt.Equals, "z")
}

func TestJobsArrivingDuringWriteAreGrouped(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.coordinator.Accept(0, record("first"), f.now+time.Minute, f.now)
	t1, ok := f.coordinator.Next(f.now)
	c.Assert(ok, qt.IsTrue)
	for i := range 70 {
		f.coordinator.Accept(uint64(i), record(fmt.Sprintf("job%02d", i)), f.now+time.Minute, f.now)
	}
	_, ok = f.coordinator.Next(f.now + time.Second)
	c.Assert(ok, qt.IsFalse, qt.Commentf("one group at a time"))
	result, err := f.store.commit(t1, f.now)
	f.coordinator.Committed(result, err, f.now)
	_, ok = f.coordinator.Next(f.now)
	c.Assert(ok, qt.IsFalse, qt.Commentf("not before the minimum gap"))
	for _, entries := range []int{99, 99, 12} { // 33, 33 and 4 jobs of 3 entries each: a transaction holds tables.MostEntries
		next := f.next(c)
		c.Assert(next.Entries(), qt.Equals, entries)
		result, err := f.store.commit(next, f.now)
		f.coordinator.Committed(result, err, f.now)
	}
	c.Assert(f.coordinator.TakeEffects().Answers, qt.HasLen, 71)
	c.Assert(f.store.commits, qt.Equals, 4)
}

func TestConflictDoesNotBlockRestOfGroup(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableEnded, Key: "b", Value: encode(End{State: Cancelled})}}}, f.now)
	for i, id := range []string{"a", "b", "c"} {
		f.coordinator.Accept(uint64(i), record(id), f.now+time.Minute, f.now)
	}
	f.write(c)
	effects := f.coordinator.TakeEffects()
	c.Assert(effects.Answers, qt.DeepEquals, []CallAnswer{{Call: 1, Answer: Answer{Verdict: Accepted, State: Cancelled}}})
	f.write(c)
	c.Assert(f.coordinator.TakeEffects().Answers, qt.HasLen, 2)
}

func TestNewCoordinatorFollowsOpenJobs(t *testing.T) {
	c := qt.New(t)
	f := newAccepted(c, "a")
	f.now += 700 * ms
	next := NewCoordinator("p00", jsonCodec{}, &Health{})
	next.ObserveClock(f.now, f.now)
	next.ApplyOpenRows(f.store.read(TableOpen), f.now, f.now)
	follow := next.TakeEffects().Follow
	c.Assert(follow, qt.HasLen, 1)
	c.Assert(follow[0].Epoch, qt.Equals, 2+7) // the age is 7 times epochInterval
	next.ApplyOpenRows(f.store.read(TableOpen), f.now, f.now)
	c.Assert(next.TakeEffects().Follow, qt.HasLen, 0, qt.Commentf("it is already followed"))
}

func TestJobMissingFromReadingIsReadAgain(t *testing.T) {
	c := qt.New(t)
	f := newAccepted(c, "a")
	f.coordinator.ApplyOpenRows(nil, f.now, f.now)
	c.Assert(f.coordinator.TakeEffects().ReadRows, qt.DeepEquals, []string{"a"})
	f.coordinator.ApplyRows("a", f.store.row(TableOpen, "a"), nil, f.now, f.now)
	c.Assert(f.coordinator.TakeEffects(), qt.DeepEquals, Effects{}, qt.Commentf("the version of the row is already known"))
	f.coordinator.ApplyRows("a", nil, &tables.Row{Table: TableEnded, Key: "a", Value: encode(End{State: Failed})}, f.now, f.now)
	c.Assert(f.coordinator.TakeEffects().Ended, qt.HasLen, 1)
}

func TestUnreadableRowIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.coordinator.ApplyOpenRows([]tables.Row{{Table: TableOpen, Key: "a", Value: []byte("?"), Version: 3}}, f.now, f.now)
	effects := f.coordinator.TakeEffects()
	c.Assert(effects.Follow, qt.HasLen, 0)
	c.Assert(effects.Problems, qt.HasLen, 1)
}
