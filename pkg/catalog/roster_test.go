package catalog

import (
	"strconv"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// testExecutor returns an executor that passes Check.
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

func relayedList(revision uint64, ids ...string) *RelayedList {
	other := NewRoster()
	other.ApplyFull(listOf(revision, ids...), 0)
	return other.Since(0)
}

func first(a, _ bool) bool  { return a }
func second(_, b bool) bool { return b }

func TestRosterFollowsTheList(t *testing.T) {
	type scenario struct {
		testName     string
		events       func(r *Roster) bool // returns whether the last event changed the list
		wantChanged  bool
		wantIDs      []string
		wantPosition uint64
		wantFull     bool // the full list has to be read next
	}
	begin := listOf(10, "a", "b")
	scenarios := []scenario{
		{
			testName: "nothing has changed", wantIDs: []string{"a", "b"}, wantPosition: 12,
			events: func(r *Roster) bool { return r.ApplyChanges(&ExecutorChanges{Revision: 12}) },
		},
		{
			testName: "one added, one removed", wantChanged: true, wantIDs: []string{"a", "c"}, wantPosition: 13,
			events: func(r *Roster) bool {
				return r.ApplyChanges(&ExecutorChanges{Revision: 13, Listed: []Executor{testExecutor("c")}, Removed: []string{"b"}})
			},
		},
		{
			testName: "the store no longer has the changes", wantIDs: []string{"a", "b"}, wantPosition: 10, wantFull: true,
			events: func(r *Roster) bool { r.MarkIncomplete(); return false },
		},
		{
			testName: "the full list is read again", wantChanged: true, wantIDs: []string{"c"}, wantPosition: 20,
			events: func(r *Roster) bool { r.MarkIncomplete(); return second(r.ApplyFull(listOf(20, "c"), time.Minute)) },
		},
		{
			testName: "a store that lags behind", wantIDs: []string{"a", "b"}, wantPosition: 10, wantFull: true,
			events: func(r *Roster) bool { r.MarkIncomplete(); return second(r.ApplyFull(listOf(9, "old"), time.Minute)) },
		},
		{
			testName: "a newer list of a peer", wantChanged: true, wantIDs: []string{"c"}, wantPosition: 20,
			events: func(r *Roster) bool { return first(r.ApplyRelayed(relayedList(20, "c"))) },
		},
		{
			testName: "an older list of a peer", wantIDs: []string{"a", "b"}, wantPosition: 10,
			events: func(r *Roster) bool { return first(r.ApplyRelayed(relayedList(9, "c"))) },
		},
		{
			testName: "changes older than a list relayed by a peer", wantIDs: []string{"c"}, wantPosition: 20,
			events: func(r *Roster) bool {
				r.ApplyRelayed(relayedList(20, "c"))
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
			c.Assert(s.events(r), qt.Equals, s.wantChanged)
			c.Assert(r.Executors().ByID, qt.HasLen, len(s.wantIDs))
			for _, id := range s.wantIDs {
				c.Assert(r.Executors().ByID[id].ID, qt.Equals, id)
			}
			c.Assert(r.Position(), qt.Equals, s.wantPosition)
			c.Assert(r.NeedsFull(), qt.Equals, s.wantFull)
			c.Assert(begin.ByID, qt.HasLen, 2, qt.Commentf("the roster does not change a reading"))
		})
	}
}

// An executor that restarts under its id is a change, and replaces its former incarnation.
func TestTheNextIncarnationOfAnExecutorIsAChange(t *testing.T) {
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
	c.Assert(r.ApplyChanges(&ExecutorChanges{Revision: 10, Listed: []Executor{former}}), qt.IsFalse) // an older revision
	listed = r.Executors().ByID["a"]
	c.Assert(listed.StartedAt, qt.Equals, int64(2000))
}

func TestIncarnationsOfExecutors(t *testing.T) {
	type scenario struct {
		testName    string
		startedAt   int64
		reported    int64
		incarnation Incarnation
		other       bool
	}
	scenarios := []scenario{
		{testName: "the same", startedAt: 5, reported: 5, incarnation: "a@5"},
		{testName: "a later one", startedAt: 5, reported: 6, incarnation: "a@5", other: true},
		{testName: "one whose clock was set back", startedAt: 5, reported: 4, incarnation: "a@5", other: true},
		{testName: "no start time in the row", reported: 5, incarnation: "a"},
		{testName: "no start time in the response", startedAt: 5, incarnation: "a@5"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			e := Executor{ID: "a", StartedAt: s.startedAt}
			qt.Assert(t, e.Incarnation(), qt.Equals, s.incarnation)
			qt.Assert(t, e.IsOtherIncarnation(s.reported), qt.Equals, s.other)
		})
	}
}

// A store that repeatedly lacks the changes causes at most one reading of the full
// list per pause.
func TestFullReadingsArePaced(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	c.Assert(r.MayReadFull(0, 2*time.Second), qt.IsTrue, qt.Commentf("the first one at once"))
	r.ApplyFull(listOf(1), 10*time.Second)
	r.MarkIncomplete()
	c.Assert(r.MayReadFull(11*time.Second, 2*time.Second), qt.IsFalse)
	c.Assert(r.MayReadFull(12*time.Second, 2*time.Second), qt.IsTrue)
}

// Executors write their clocks all the time; these updates are not relayed to other hosts.
func TestClockUpdatesAreNotChanges(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	r.ApplyFull(listOf(10, "a", "b"), 0)
	c.Assert(r.ApplyChanges(&ExecutorChanges{Revision: 12, Listed: []Executor{withClock(testExecutor("a"), time.Minute)}}), qt.IsFalse)
	accepted, changed := r.ApplyFull(listOf(15, "a", "b"), 0)
	c.Assert(accepted, qt.IsTrue)
	c.Assert(changed, qt.IsFalse)
	c.Assert(r.Revision(), qt.Equals, uint64(10))
	c.Assert(r.Position(), qt.Equals, uint64(15))
}

func TestChangesAreRelayed(t *testing.T) {
	reader := NewRoster()
	reader.ApplyFull(listOf(10, "a", "b"), 0)
	reader.ApplyChanges(&ExecutorChanges{Revision: 20, Listed: []Executor{testExecutor("c")}})
	reader.ApplyChanges(&ExecutorChanges{Revision: 30, Listed: []Executor{draining(testExecutor("a"))}, Removed: []string{"b"}})
	reader.ApplyChanges(&ExecutorChanges{Revision: 40})
	type scenario struct {
		testName    string
		known       *Executors // the list of the receiving host
		since       uint64     // the revision that the relayed changes start from
		wantChanged bool
		wantMissing bool
		wantListed  int // executors in the relayed list
	}
	scenarios := []scenario{
		{testName: "the newest change", known: listOf(20, "a", "b", "c"), since: 20, wantChanged: true, wantListed: 1},
		{testName: "two changes at once", known: listOf(10, "a", "b"), since: 10, wantChanged: true, wantListed: 2},
		{testName: "a change before it is missing", known: listOf(10, "a", "b"), since: 20, wantMissing: true, wantListed: 1},
		{testName: "the full list", known: listOf(5, "z"), since: 0, wantChanged: true, wantListed: 2},
		{testName: "to a host without a list", since: 0, wantChanged: true, wantListed: 2},
		{testName: "nothing new", known: listOf(30, "a", "c"), since: 30},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			other := NewRoster()
			if s.known != nil {
				other.ApplyFull(s.known, 0)
			}
			relayed := reader.Since(s.since)
			c.Assert(relayed.Changes.Listed, qt.HasLen, s.wantListed)
			changed, missing := other.ApplyRelayed(relayed)
			c.Assert(changed, qt.Equals, s.wantChanged)
			c.Assert(missing, qt.Equals, s.wantMissing)
			if !s.wantChanged {
				return
			}
			c.Assert(other.Executors().ByID, qt.DeepEquals, reader.Executors().ByID)
			c.Assert(other.Revision(), qt.Equals, uint64(30))
			c.Assert(other.Position(), qt.Equals, uint64(40))
		})
	}
}

func TestRecordsOfRemovedExecutorsAreBounded(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	var ids []string
	for i := range 2 * maxRemoved {
		ids = append(ids, strconv.Itoa(i))
	}
	r.ApplyFull(listOf(10, ids...), 0)
	r.ApplyChanges(&ExecutorChanges{Revision: 20, Removed: ids[1:]})
	relayed := r.Since(10)
	c.Assert(relayed.Since, qt.Equals, uint64(0), qt.Commentf("a host with an older list is sent the full list"))
	c.Assert(relayed.Changes.Listed, qt.HasLen, 1)
}
