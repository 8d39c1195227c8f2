package catalog

import (
	"strconv"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// testExecutor makes an executor that could be called.
func testExecutor(id string) Executor {
	return Executor{ID: id, Service: "s", Address: "10.0.0.1:80", Domain: "z", Capacity: job.Resources{CPU: 1000}}
}

func withClock(e Executor, clock time.Duration) Executor {
	e.Clock = clock
	return e
}

func draining(e Executor) Executor {
	e.Draining = true
	return e
}

func listOf(revision uint64, ids ...string) *Executors {
	list := &Executors{Revision: revision, ByID: map[string]Executor{}}
	for _, id := range ids {
		list.ByID[id] = testExecutor(id)
	}
	return list
}

func passedList(revision uint64, ids ...string) *RelayedList {
	other := NewRoster()
	other.ApplyFull(listOf(revision, ids...), 0)
	return other.Since(0)
}

func first(a, _ bool) bool  { return a }
func second(_, b bool) bool { return b }

func TestRosterFollowsTheList(t *testing.T) {
	type scenario struct {
		testName     string
		events       func(r *Roster) bool // the last of them was news
		wantNews     bool
		wantIDs      []string
		wantPosition uint64
		wantWhole    bool // the list is to be read whole next
	}
	begin := listOf(10, "a", "b")
	scenarios := []scenario{
		{
			testName: "nothing has changed", wantIDs: []string{"a", "b"}, wantPosition: 12,
			events: func(r *Roster) bool { return r.ApplyChanges(&ExecutorChanges{Revision: 12}) },
		},
		{
			testName: "one has come, one has gone", wantNews: true, wantIDs: []string{"a", "c"}, wantPosition: 13,
			events: func(r *Roster) bool {
				return r.ApplyChanges(&ExecutorChanges{Revision: 13, Listed: []Executor{testExecutor("c")}, Removed: []string{"b"}})
			},
		},
		{
			testName: "the history is gone", wantIDs: []string{"a", "b"}, wantPosition: 10, wantWhole: true,
			events: func(r *Roster) bool { r.MarkIncomplete(); return false },
		},
		{
			testName: "read whole again", wantNews: true, wantIDs: []string{"c"}, wantPosition: 20,
			events: func(r *Roster) bool { r.MarkIncomplete(); return second(r.ApplyFull(listOf(20, "c"), time.Minute)) },
		},
		{
			testName: "a store that lags behind", wantIDs: []string{"a", "b"}, wantPosition: 10, wantWhole: true,
			events: func(r *Roster) bool { r.MarkIncomplete(); return second(r.ApplyFull(listOf(9, "old"), time.Minute)) },
		},
		{
			testName: "a newer list of a peer", wantNews: true, wantIDs: []string{"c"}, wantPosition: 20,
			events: func(r *Roster) bool { return first(r.ApplyRelayed(passedList(20, "c"))) },
		},
		{
			testName: "an older list of a peer", wantIDs: []string{"a", "b"}, wantPosition: 10,
			events: func(r *Roster) bool { return first(r.ApplyRelayed(passedList(9, "c"))) },
		},
		{
			testName: "changes that a newer list of a peer has overtaken", wantIDs: []string{"c"}, wantPosition: 20,
			events: func(r *Roster) bool {
				r.ApplyRelayed(passedList(20, "c"))
				return r.ApplyChanges(&ExecutorChanges{Revision: 15, Listed: []Executor{testExecutor("old")}})
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			r := NewRoster()
			c.Assert(r.NeedsFull(), qt.IsTrue)
			r.ApplyFull(begin, 0)
			c.Assert(s.events(r), qt.Equals, s.wantNews)
			c.Assert(r.Executors().ByID, qt.HasLen, len(s.wantIDs))
			for _, id := range s.wantIDs {
				c.Assert(r.Executors().ByID[id].ID, qt.Equals, id)
			}
			c.Assert(r.Position(), qt.Equals, s.wantPosition)
			c.Assert(r.NeedsFull(), qt.Equals, s.wantWhole)
			c.Assert(begin.ByID, qt.HasLen, 2, qt.Commentf("a reading stays as it is"))
		})
	}
}

// A store whose history goes again and again has the list read whole once a
// pause, not at every question.
// An executor that comes again under its id is news, and takes its former life's place.
func TestTheNextLifeOfAnExecutorIsNews(t *testing.T) {
	c := qt.New(t)
	former := testExecutor("a")
	former.StartedAt = 1000
	next := testExecutor("a")
	next.StartedAt = 2000
	r := NewRoster()
	r.ApplyFull(&Executors{Revision: 10, ByID: map[string]Executor{"a": former}}, 0)
	c.Assert(r.ApplyChanges(&ExecutorChanges{Revision: 11, Listed: []Executor{next}}), qt.IsTrue)
	c.Assert(r.Executors().ByID, qt.HasLen, 1)
	listed := r.Executors().ByID["a"]
	c.Assert(listed.Incarnation(), qt.Equals, Incarnation("a@2000"))
	c.Assert(r.Since(10).Changes.Listed, qt.HasLen, 1)
	c.Assert(r.ApplyChanges(&ExecutorChanges{Revision: 10, Listed: []Executor{former}}), qt.IsFalse) // older word
	listed = r.Executors().ByID["a"]
	c.Assert(listed.StartedAt, qt.Equals, int64(2000))
}

func TestLivesOfExecutors(t *testing.T) {
	type scenario struct {
		testName string
		born     int64
		told     int64
		life     Incarnation
		other    bool
	}
	scenarios := []scenario{
		{testName: "the same", born: 5, told: 5, life: "a@5"},
		{testName: "a later one", born: 5, told: 6, life: "a@5", other: true},
		{testName: "one whose clock was set back", born: 5, told: 4, life: "a@5", other: true},
		{testName: "the row doesn't tell", told: 5, life: "a"},
		{testName: "the answer doesn't tell", born: 5, life: "a@5"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			e := Executor{ID: "a", StartedAt: s.born}
			qt.Assert(t, e.Incarnation(), qt.Equals, s.life)
			qt.Assert(t, e.IsOtherIncarnation(s.told), qt.Equals, s.other)
		})
	}
}

func TestWholeReadingsArePaced(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	c.Assert(r.MayReadFull(0, 2*time.Second), qt.IsTrue, qt.Commentf("the first one at once"))
	r.ApplyFull(listOf(1), 10*time.Second)
	r.MarkIncomplete()
	c.Assert(r.MayReadFull(11*time.Second, 2*time.Second), qt.IsFalse)
	c.Assert(r.MayReadFull(12*time.Second, 2*time.Second), qt.IsTrue)
}

// Each executor writes its clock every 1.5 s. That is no news for other hosts.
func TestClocksAreNoNews(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	r.ApplyFull(listOf(10, "a", "b"), 0)
	c.Assert(r.ApplyChanges(&ExecutorChanges{Revision: 12, Listed: []Executor{withClock(testExecutor("a"), time.Minute)}}), qt.IsFalse)
	accepted, news := r.ApplyFull(listOf(15, "a", "b"), 0)
	c.Assert(accepted, qt.IsTrue)
	c.Assert(news, qt.IsFalse)
	c.Assert(r.Revision(), qt.Equals, uint64(10))
	c.Assert(r.Position(), qt.Equals, uint64(15))
}

func TestChangesArePassedOn(t *testing.T) {
	reader := NewRoster()
	reader.ApplyFull(listOf(10, "a", "b"), 0)
	reader.ApplyChanges(&ExecutorChanges{Revision: 20, Listed: []Executor{testExecutor("c")}})
	reader.ApplyChanges(&ExecutorChanges{Revision: 30, Listed: []Executor{draining(testExecutor("a"))}, Removed: []string{"b"}})
	reader.ApplyChanges(&ExecutorChanges{Revision: 40})
	type scenario struct {
		testName    string
		known       *Executors // by the other host
		since       uint64     // what is passed on follows on it
		wantNews    bool
		wantMissing bool
		wantListed  int // executors in what is passed on
	}
	scenarios := []scenario{
		{testName: "the newest change", known: listOf(20, "a", "b", "c"), since: 20, wantNews: true, wantListed: 1},
		{testName: "two changes at once", known: listOf(10, "a", "b"), since: 10, wantNews: true, wantListed: 2},
		{testName: "a change before it is missing", known: listOf(10, "a", "b"), since: 20, wantMissing: true, wantListed: 1},
		{testName: "the whole list", known: listOf(5, "z"), since: 0, wantNews: true, wantListed: 2},
		{testName: "to a host that knows nothing", since: 0, wantNews: true, wantListed: 2},
		{testName: "nothing new", known: listOf(30, "a", "c"), since: 30},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			other := NewRoster()
			if s.known != nil {
				other.ApplyFull(s.known, 0)
			}
			passed := reader.Since(s.since)
			c.Assert(passed.Changes.Listed, qt.HasLen, s.wantListed)
			news, missing := other.ApplyRelayed(passed)
			c.Assert(news, qt.Equals, s.wantNews)
			c.Assert(missing, qt.Equals, s.wantMissing)
			if !s.wantNews {
				return
			}
			c.Assert(other.Executors().ByID, qt.DeepEquals, reader.Executors().ByID)
			c.Assert(other.Revision(), qt.Equals, uint64(30))
			c.Assert(other.Position(), qt.Equals, uint64(40))
		})
	}
}

func TestManyGoneExecutorsAreForgotten(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	var ids []string
	for i := range 2 * mostGone {
		ids = append(ids, strconv.Itoa(i))
	}
	r.ApplyFull(listOf(10, ids...), 0)
	r.ApplyChanges(&ExecutorChanges{Revision: 20, Removed: ids[1:]})
	passed := r.Since(10)
	c.Assert(passed.Since, qt.Equals, uint64(0), qt.Commentf("who knows the list from before gets it whole"))
	c.Assert(passed.Changes.Listed, qt.HasLen, 1)
}
