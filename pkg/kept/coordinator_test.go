package kept

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
	qt "github.com/frankban/quicktest"
)

// bench is a keeper beside a store, without faults of their own.
type bench struct {
	keeper *Coordinator
	store  *modelStore
	now    time.Duration
}

func newBench() *bench {
	b := &bench{keeper: NewCoordinator("p00", jsonCodec{}, &Health{}), store: newModelStore(), now: time.Second}
	b.keeper.ObserveClock(b.now, b.now)
	return b
}

func record(id string) Record { return Record{ID: id, Cell: "x", Job: []byte(id)} }

// next lets a group go out and returns it.
func (b *bench) next(c *qt.C) tables.Transaction {
	b.now += longestGap
	t, ok := b.keeper.Next(b.now)
	c.Assert(ok, qt.IsTrue)
	return t
}

// write has the store carry the next group out.
func (b *bench) write(c *qt.C) {
	result, err := b.store.commit(b.next(c), b.now)
	b.keeper.Committed(result, err, b.now)
}

// accepted makes a job that lasts, and returns the bench with nothing to take.
func accepted(c *qt.C, id string) *bench {
	b := newBench()
	b.keeper.Accept(1, record(id), b.now+time.Minute, b.now)
	b.write(c)
	c.Assert(b.keeper.TakeEffects().Answers, qt.DeepEquals, []CallAnswer{{Call: 1, Answer: Answer{Verdict: Accepted, State: Queued}}})
	return b
}

func TestAcceptAnswers(t *testing.T) {
	scenarios := []struct {
		testName string
		answer   func(b *bench, c *qt.C) // what becomes of the first group
		verdict  Verdict                 // 0: none yet
		epoch    int                     // with which it is followed; 0 for not at all
	}{
		{"it is written", func(b *bench, c *qt.C) { b.write(c) }, Accepted, firstEpoch},
		{"nothing was done once", func(b *bench, c *qt.C) {
			b.next(c)
			b.keeper.Committed(tables.Result{}, errDown, b.now)
		}, 0, 0},
		{"nothing was done twice", func(b *bench, c *qt.C) {
			for range 2 {
				b.next(c)
				b.keeper.Committed(tables.Result{}, errDown, b.now)
			}
		}, Refused, 0},
		{"the answer is lost and nothing was done", func(b *bench, c *qt.C) {
			b.next(c)
			b.keeper.Committed(tables.Result{}, errMaybe, b.now)
		}, 0, 0},
		{"the answer is lost, and then nothing can be done", func(b *bench, c *qt.C) {
			b.next(c)
			b.keeper.Committed(tables.Result{}, errMaybe, b.now)
			for range 5 {
				b.next(c)
				b.keeper.Committed(tables.Result{}, errDown, b.now)
			}
		}, 0, 0},
		{"the answer is lost, and its caller doesn't wait for the next one", func(b *bench, c *qt.C) {
			b.next(c)
			b.keeper.Committed(tables.Result{}, errMaybe, b.now)
			b.now += time.Hour
			b.keeper.Expire(b.now)
		}, Unknown, 0},
		{"its caller doesn't wait until anything is written", func(b *bench, _ *qt.C) {
			b.now += time.Hour
			b.keeper.Expire(b.now)
		}, Refused, 0},
		{"the answer is lost and it was done", func(b *bench, c *qt.C) {
			_, err := b.store.commit(b.next(c), b.now)
			c.Assert(err, qt.IsNil)
			b.keeper.Committed(tables.Result{}, errMaybe, b.now)
			b.write(c)
		}, Accepted, 2 + int(longestGap/epochTime)},
		{"another keeper has accepted it", func(b *bench, c *qt.C) {
			b.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableOpen, Key: "a", Value: encode(Record{ID: "a", Cell: "y", AcceptedAt: b.now})}}}, b.now)
			b.write(c)
		}, Accepted, 2 + int(longestGap/epochTime)},
		{"it has ended long ago", func(b *bench, c *qt.C) {
			b.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableEnded, Key: "a", Value: encode(End{State: Completed})}}}, b.now)
			b.write(c)
		}, Accepted, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			b := newBench()
			b.keeper.Accept(1, record("a"), b.now+time.Minute, b.now)
			s.answer(b, c)
			effects := b.keeper.TakeEffects()
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

func TestAJobWhoseFateIsOpenIsNeverRefused(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.keeper.Accept(1, record("a"), b.now+time.Minute, b.now)
	late := b.next(c)
	b.keeper.Committed(tables.Result{}, errMaybe, b.now)
	b.keeper.Committed(tables.Result{}, errDown, b.now)
	b.keeper.Accept(2, record("a"), b.now+time.Minute, b.now)
	for range 4 {
		b.next(c)
		b.keeper.Committed(tables.Result{}, errDown, b.now)
	}
	c.Assert(b.keeper.TakeEffects().Answers, qt.HasLen, 0)
	_, err := b.store.commit(late, b.now) // it is done seconds later
	c.Assert(err, qt.IsNil)
	b.write(c)
	c.Assert(b.keeper.TakeEffects().Answers, qt.HasLen, 2)
}

func TestNewJobsAreRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	for i, id := range []string{"a", "b"} {
		b.keeper.Accept(uint64(i), record(id), b.now+time.Minute, b.now)
		for range mostTries {
			b.next(c)
			b.keeper.Committed(tables.Result{}, errDown, b.now)
		}
	}
	b.keeper.TakeEffects()
	b.keeper.Accept(2, record("c"), b.now+time.Minute, b.now)
	c.Assert(b.keeper.TakeEffects().Answers, qt.DeepEquals, []CallAnswer{{Call: 2, Answer: refusal(ReasonStoreDown)}})
	b.now += longestGap
	b.keeper.Accept(3, record("d"), b.now+time.Minute, b.now)
	b.write(c)
	c.Assert(b.keeper.TakeEffects().Answers, qt.HasLen, 1, qt.Commentf("one of them tries whether the store serves again"))
	b.keeper.Accept(4, record("e"), b.now+time.Minute, b.now)
	c.Assert(b.keeper.TakeEffects().Answers, qt.HasLen, 0, qt.Commentf("it does"))
}

func TestEndsAndCancels(t *testing.T) {
	scenarios := []struct {
		testName string
		events   func(b *bench, c *qt.C)
		ended    State
		cancels  []Verdict
	}{
		{"it completes", func(b *bench, c *qt.C) {
			b.keeper.Finish("a", Completed)
			b.write(c)
		}, Completed, nil},
		{"it is cancelled", func(b *bench, c *qt.C) {
			b.keeper.Cancel(9, "a", b.now+time.Minute, b.now)
			b.write(c)
		}, Cancelled, []Verdict{Accepted}},
		{"it is cancelled twice", func(b *bench, c *qt.C) {
			b.keeper.Cancel(9, "a", b.now+time.Minute, b.now)
			b.keeper.Cancel(9, "a", b.now+time.Minute, b.now)
			b.write(c)
			b.keeper.Cancel(9, "a", b.now+time.Minute, b.now)
		}, Cancelled, []Verdict{Accepted, Accepted, Accepted}},
		{"it completes while it is being cancelled", func(b *bench, c *qt.C) {
			b.keeper.Cancel(9, "a", b.now+time.Minute, b.now)
			b.keeper.Finish("a", Completed)
			b.write(c)
		}, Cancelled, []Verdict{Accepted}},
		{"it is cancelled while its end is written", func(b *bench, c *qt.C) {
			b.keeper.Finish("a", Completed)
			b.keeper.Cancel(9, "a", b.now+time.Minute, b.now)
			b.write(c)
		}, Completed, []Verdict{Accepted}},
		{"the answer to its end is lost", func(b *bench, c *qt.C) {
			b.keeper.Finish("a", Failed)
			_, err := b.store.commit(b.next(c), b.now)
			c.Assert(err, qt.IsNil)
			b.keeper.Committed(tables.Result{}, errMaybe, b.now)
			b.write(c)
		}, Failed, nil},
		{"another keeper has ended it", func(b *bench, c *qt.C) {
			b.store.commit(tables.Transaction{
				Remove: []tables.Condition{{Table: TableOpen, Key: "a"}},
				Put:    []tables.Row{{Table: TableEnded, Key: "a", Value: encode(End{State: Cancelled, Cell: "x"})}},
			}, b.now)
			b.keeper.Finish("a", Completed)
			b.write(c)
		}, Cancelled, nil},
		{"another keeper has moved it", func(b *bench, c *qt.C) {
			b.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableOpen, Key: "a", Value: encode(record("a"))}}}, b.now)
			b.keeper.Finish("a", Completed)
			b.write(c)
			b.write(c)
		}, Completed, nil},
		{"the store is down for long", func(b *bench, c *qt.C) {
			b.keeper.Finish("a", Completed)
			for range 10 {
				b.next(c)
				b.keeper.Committed(tables.Result{}, errDown, b.now)
			}
			b.write(c)
		}, Completed, nil},
		{"a cancel outlasts its caller", func(b *bench, c *qt.C) {
			b.keeper.Cancel(9, "a", b.now+time.Second, b.now)
			b.next(c)
			b.keeper.Committed(tables.Result{}, errMaybe, b.now)
			b.now += time.Second
			b.keeper.Expire(b.now)
			b.write(c)
		}, Cancelled, []Verdict{Unknown}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			b := accepted(c, "a")
			s.events(b, c)
			effects := b.keeper.TakeEffects()
			c.Assert(effects.Ended, qt.DeepEquals, []EndedJob{{ID: "a", Cell: "x", State: s.ended}})
			state, known := b.keeper.State("a")
			c.Assert(known, qt.IsTrue)
			c.Assert(state, qt.Equals, s.ended)
			var cancels []Verdict
			for _, answer := range effects.Answers {
				cancels = append(cancels, answer.Answer.Verdict)
			}
			c.Assert(cancels, qt.DeepEquals, s.cancels)
			c.Assert(b.store.row(TableOpen, "a"), qt.IsNil)
			c.Assert(b.store.row(TableEnded, "a"), qt.Not(qt.IsNil))
		})
	}
}

func TestACancelBeforeTheJobLasts(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.keeper.Accept(1, record("a"), b.now+time.Minute, b.now)
	c.Assert(b.keeper.Cancel(2, "a", b.now+time.Minute, b.now), qt.IsTrue)
	b.write(c)
	b.write(c)
	effects := b.keeper.TakeEffects()
	c.Assert(effects.Follow, qt.HasLen, 0)
	c.Assert(effects.Ended, qt.HasLen, 1)
	c.Assert(effects.Answers, qt.HasLen, 2)
	c.Assert(b.keeper.Cancel(3, "b", b.now+time.Minute, b.now), qt.IsFalse)
}

func TestAMoveIsWrittenBeforeItIsFollowed(t *testing.T) {
	c := qt.New(t)
	b := accepted(c, "a")
	moved := record("a")
	moved.Cell, moved.Epoch = "y", 7
	b.keeper.Move(moved)
	c.Assert(b.keeper.TakeEffects().Follow, qt.HasLen, 0)
	b.write(c)
	follow := b.keeper.TakeEffects().Follow
	c.Assert(follow, qt.HasLen, 1)
	c.Assert(follow[0].Record.Cell, qt.Equals, "y")
	c.Assert(follow[0].Record.From, qt.Equals, "x")
	c.Assert(follow[0].Epoch > 7, qt.IsTrue)
}

func TestALateMoveDoesNotUndoTheNextOne(t *testing.T) {
	c := qt.New(t)
	b := accepted(c, "a")
	first := record("a")
	first.Cell = "y"
	b.keeper.Move(first)
	late := b.next(c)
	b.keeper.Committed(tables.Result{}, errMaybe, b.now)
	b.write(c)
	second := record("a")
	second.Cell = "z"
	b.keeper.Move(second)
	b.write(c)
	_, err := b.store.commit(late, b.now)
	c.Assert(err, qt.Not(qt.IsNil))
	read, _ := jsonCodec{}.DecodeRecord("a", b.store.row(TableOpen, "a").Value)
	c.Assert(read.Cell, qt.Equals, "z")
}

func TestGroupsHoldWhatCameMeanwhile(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.keeper.Accept(0, record("first"), b.now+time.Minute, b.now)
	t1, ok := b.keeper.Next(b.now)
	c.Assert(ok, qt.IsTrue)
	for i := range 70 {
		b.keeper.Accept(uint64(i), record(fmt.Sprintf("job%02d", i)), b.now+time.Minute, b.now)
	}
	_, ok = b.keeper.Next(b.now + time.Second)
	c.Assert(ok, qt.IsFalse, qt.Commentf("one group at a time"))
	result, err := b.store.commit(t1, b.now)
	b.keeper.Committed(result, err, b.now)
	_, ok = b.keeper.Next(b.now)
	c.Assert(ok, qt.IsFalse, qt.Commentf("not before the gap"))
	for _, entries := range []int{99, 99, 12} {
		next := b.next(c)
		c.Assert(next.Entries(), qt.Equals, entries)
		result, err := b.store.commit(next, b.now)
		b.keeper.Committed(result, err, b.now)
	}
	c.Assert(b.keeper.TakeEffects().Answers, qt.HasLen, 71)
	c.Assert(b.store.commits, qt.Equals, 4)
}

func TestOneRefusedChangeDoesNotKeepBackItsGroup(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableEnded, Key: "b", Value: encode(End{State: Cancelled})}}}, b.now)
	for i, id := range []string{"a", "b", "c"} {
		b.keeper.Accept(uint64(i), record(id), b.now+time.Minute, b.now)
	}
	b.write(c)
	effects := b.keeper.TakeEffects()
	c.Assert(effects.Answers, qt.DeepEquals, []CallAnswer{{Call: 1, Answer: Answer{Verdict: Accepted, State: Cancelled}}})
	b.write(c)
	c.Assert(b.keeper.TakeEffects().Answers, qt.HasLen, 2)
}

func TestANewKeeperFollowsWhatItFinds(t *testing.T) {
	c := qt.New(t)
	b := accepted(c, "a")
	b.now += 700 * ms
	next := NewCoordinator("p00", jsonCodec{}, &Health{})
	next.ObserveClock(b.now, b.now)
	next.ApplyOpenRows(b.store.read(TableOpen), b.now, b.now)
	follow := next.TakeEffects().Follow
	c.Assert(follow, qt.HasLen, 1)
	c.Assert(follow[0].Epoch, qt.Equals, 2+7)
	next.ApplyOpenRows(b.store.read(TableOpen), b.now, b.now)
	c.Assert(next.TakeEffects().Follow, qt.HasLen, 0, qt.Commentf("it is followed already"))
}

func TestAKeeperLooksAtWhatAReadingLacks(t *testing.T) {
	c := qt.New(t)
	b := accepted(c, "a")
	b.keeper.ApplyOpenRows(nil, b.now, b.now)
	c.Assert(b.keeper.TakeEffects().ReadRows, qt.DeepEquals, []string{"a"})
	b.keeper.ApplyRows("a", b.store.row(TableOpen, "a"), nil, b.now, b.now)
	c.Assert(b.keeper.TakeEffects(), qt.DeepEquals, Effects{}, qt.Commentf("it was a reading from before the commit"))
	b.keeper.ApplyRows("a", nil, &tables.Row{Table: TableEnded, Key: "a", Value: encode(End{State: Failed})}, b.now, b.now)
	c.Assert(b.keeper.TakeEffects().Ended, qt.HasLen, 1)
}

func TestARowThatCannotBeReadIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	b.keeper.ApplyOpenRows([]tables.Row{{Table: TableOpen, Key: "a", Value: []byte("?"), Version: 3}}, b.now, b.now)
	effects := b.keeper.TakeEffects()
	c.Assert(effects.Follow, qt.HasLen, 0)
	c.Assert(effects.Problems, qt.HasLen, 1)
}
