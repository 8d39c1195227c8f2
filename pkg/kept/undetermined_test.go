package kept

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
	qt "github.com/frankban/quicktest"
)

// A row that cannot be decoded shows neither how its job ended nor that this system wrote it.
func TestUndeterminedEnds(t *testing.T) {
	damaged := tables.Row{Table: TableEnded, Key: "a", Value: []byte("?")}
	later := tables.Row{Table: TableEnded, Key: "a", Value: encode(End{State: Cancelled + 1, Cell: "x"})}
	replaceBy := func(f *fixture, row tables.Row) {
		f.store.commit(tables.Transaction{Remove: []tables.Condition{{Table: TableOpen, Key: "a"}}, Put: []tables.Row{row}}, f.now)
	}
	scenarios := []struct {
		testName string
		events   func(f *fixture, c *qt.C)
	}{
		{"its own row is read", func(f *fixture, _ *qt.C) { f.coordinator.ApplyRows("a", nil, &damaged, f.now, f.now) }},
		{"its row has the state of a later build", func(f *fixture, _ *qt.C) { f.coordinator.ApplyRows("a", nil, &later, f.now, f.now) }},
		{"its end is to be written", func(f *fixture, c *qt.C) {
			replaceBy(f, damaged)
			f.coordinator.Finish("a", Completed)
			f.write(c)
		}},
		{"it is to be moved", func(f *fixture, c *qt.C) {
			replaceBy(f, damaged)
			f.coordinator.Move(Record{ID: "a", Cell: "y"})
			f.write(c)
		}},
		{"it is to be moved, and both rows are removed", func(f *fixture, c *qt.C) {
			f.store.commit(tables.Transaction{Remove: []tables.Condition{{Table: TableOpen, Key: "a"}}}, f.now)
			f.coordinator.Move(Record{ID: "a", Cell: "y"})
			f.write(c)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			f := newAccepted(c, "a")
			open := *f.store.row(TableOpen, "a")
			s.events(f, c)
			effects := f.coordinator.TakeEffects()
			c.Assert(effects.Ended, qt.DeepEquals, []EndedJob{{ID: "a", Cell: "x"}}, qt.Commentf("it is no longer followed"))
			_, known := f.coordinator.State("a")
			c.Assert(known, qt.IsFalse)
			f.coordinator.Cancel(2, "a", f.now+time.Minute, f.now)
			f.coordinator.Accept(3, record("a"), f.now+time.Minute, f.now)
			for _, answer := range f.coordinator.TakeEffects().Answers {
				c.Assert(answer.Answer.Verdict, qt.Equals, Unknown, qt.Commentf("call %d", answer.Call))
			}
			c.Assert(f.coordinator.queue, qt.HasLen, 0)

			for range 3 { // it has an open row as well
				f.now += endedRetention
				f.coordinator.ApplyOpenRows([]tables.Row{open}, f.now, f.now)
				f.coordinator.Expire(f.now)
				c.Assert(f.coordinator.TakeEffects().Follow, qt.HasLen, 0)
			}
			f.coordinator.ApplyRows("a", nil, &tables.Row{Table: TableEnded, Key: "a", Value: encode(End{State: Completed})}, f.now, f.now)
			state, _ := f.coordinator.State("a")
			c.Assert(state, qt.Equals, Completed, qt.Commentf("the row has been repaired"))
		})
	}
}

// The calls that wait while a conflict shows an undetermined end get no final answer.
func TestCallsThatWaitForAnUndeterminedEnd(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableEnded, Key: "a", Value: []byte("?")}}}, f.now)
	f.coordinator.Accept(1, record("a"), f.now+time.Minute, f.now)
	f.coordinator.Cancel(2, "a", f.now+time.Minute, f.now)
	f.write(c)
	effects := f.coordinator.TakeEffects()
	c.Assert(effects.Answers, qt.HasLen, 2)
	for _, answer := range effects.Answers {
		c.Assert(answer.Answer.Verdict, qt.Equals, Unknown)
	}
	c.Assert(effects.Follow, qt.HasLen, 0)
}

// The end of a job that is known here is written also if another writer has damaged its open row.
func TestEndOfAJobWithADamagedOpenRow(t *testing.T) {
	scenarios := []struct {
		testName string
		end      func(f *fixture)
		want     State
	}{
		{"it completes", func(f *fixture) { f.coordinator.Finish("a", Completed) }, Completed},
		{"it fails", func(f *fixture) { f.coordinator.Finish("a", Failed) }, Failed},
		{"it is cancelled", func(f *fixture) { f.coordinator.Cancel(2, "a", f.now+time.Minute, f.now) }, Cancelled},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			f := newAccepted(c, "a")
			f.store.commit(tables.Transaction{Put: []tables.Row{{Table: TableOpen, Key: "a", Value: []byte("?")}}}, f.now)
			f.coordinator.ApplyOpenRows(f.store.read(TableOpen), f.now, f.now)
			s.end(f)
			f.write(c)
			f.write(c)
			effects := f.coordinator.TakeEffects()
			c.Assert(effects.Ended, qt.DeepEquals, []EndedJob{{ID: "a", Cell: "x", State: s.want}})
			c.Assert(effects.Follow, qt.HasLen, 0)
			for _, answer := range effects.Answers {
				c.Assert(answer.Answer.Verdict, qt.Equals, Accepted)
			}
			c.Assert(f.store.row(TableOpen, "a"), qt.IsNil)
			c.Assert(f.store.row(TableEnded, "a"), qt.Not(qt.IsNil))
		})
	}
}
