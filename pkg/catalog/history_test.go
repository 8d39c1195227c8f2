package catalog

import (
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestVanishedExecutorsAreKeptForAWhile(t *testing.T) {
	reading := func(executors ...Executor) *Executors {
		r := &Executors{ByID: map[string]Executor{}}
		for _, executor := range executors {
			r.ByID[executor.ID] = executor
		}
		return r
	}
	at := func(id, address string) Executor {
		executor := testExecutor(id)
		executor.Address = address
		return executor
	}
	stays, vanishes, nextIncarnation := at("i-1", "a:1"), at("i-2", "a:2"), at("i-3", "a:2")
	type scenario struct {
		testName string
		quiet    time.Duration // since the reading before the executor vanished
		next     *Executors
		after    time.Duration // another reading of the same list, so long after the first one
		withhold bool
		want     []string
		withheld []string
	}
	scenarios := []scenario{
		{testName: "vanished within the retention period", next: reading(stays), after: 2 * time.Second, want: []string{"i-1", "i-2"}},
		{testName: "vanished after a list without changes", quiet: time.Minute, next: reading(stays), after: 2 * time.Second, want: []string{"i-1", "i-2"}},
		{testName: "missing for longer than the retention period", next: reading(stays), after: 4 * time.Second, want: []string{"i-1", "i-2"}, withheld: []string{"i-2"}},
		{testName: "missing for two retention periods", next: reading(stays), after: 6*time.Second + 1, want: []string{"i-1"}},
		{testName: "missing for two retention periods while the store was readable", next: reading(stays), after: 6*time.Second + 1, withhold: true, want: []string{"i-1"}},
		{testName: "vanished while the store was readable", next: reading(stays), after: 2 * time.Second, withhold: true, want: []string{"i-1", "i-2"}, withheld: []string{"i-2"}},
		{testName: "its row can't be read: it is withheld", next: reading(stays, vanishes.Withheld()), after: time.Second, want: []string{"i-1", "i-2"}, withheld: []string{"i-2"}},
		{testName: "its row can't be read, and another incarnation is at its address", next: reading(stays, vanishes.Withheld(), nextIncarnation), after: time.Second, want: []string{"i-1", "i-3"}},
		{testName: "another incarnation at its address", next: reading(stays, nextIncarnation), after: time.Second, want: []string{"i-1", "i-3"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			h := NewHistory(3 * time.Second)
			h.Join(reading(stays, vanishes), time.Minute, s.withhold)
			vanishedAt := time.Minute + s.quiet + time.Second
			h.Join(s.next, vanishedAt, s.withhold)
			joined := h.Join(s.next, vanishedAt+s.after, s.withhold)
			c.Assert(joined.ByID, qt.HasLen, len(s.want))
			for _, id := range s.want {
				executor := joined.ByID[id]
				c.Assert(executor.ID, qt.Equals, id)
				c.Assert(executor.TakesWork(), qt.Equals, !slices.Contains(s.withheld, id))
			}
		})
	}
}

// Guards against a next owner that doesn't know an executor at which the former one has started
// tasks while its entry was missing and the store had not been readable for long.
func TestVanishedExecutorsStayAfterTheyHaveTakenWork(t *testing.T) {
	const retention = 3 * time.Second
	type step struct {
		after     time.Duration // since the executor vanished
		withhold  bool
		listed    bool
		takesWork bool
	}
	type scenario struct {
		testName string
		steps    []step
	}
	scenarios := []scenario{
		{testName: "the store stays unsteady", steps: []step{
			{listed: true, takesWork: true},
			{after: retention, listed: true, takesWork: true},
			{after: retention + 500*time.Millisecond, listed: true},
			{after: 2 * retention, listed: true},
			{after: 2*retention + 1},
		}},
		{testName: "the store becomes steady", steps: []step{
			{listed: true, takesWork: true},
			{after: 2 * time.Second, withhold: true, listed: true},
			{after: 2 * retention, withhold: true, listed: true},
			{after: 2*retention + 1, withhold: true},
		}},
		{testName: "the store is steady", steps: []step{
			{withhold: true, listed: true},
			{after: 2 * retention, withhold: true, listed: true},
			{after: 2*retention + 1, withhold: true},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			h := NewHistory(retention)
			stays, vanishes := testExecutor("i-1"), testExecutor("i-2")
			stays.Address, vanishes.Address = "a:1", "a:2"
			h.Join(&Executors{ByID: map[string]Executor{"i-1": stays, "i-2": vanishes}}, time.Minute, false)
			for _, step := range s.steps {
				joined := h.Join(&Executors{ByID: map[string]Executor{"i-1": stays}}, time.Minute+step.after, step.withhold)
				executor, listed := joined.ByID["i-2"]
				c.Assert(listed, qt.Equals, step.listed, qt.Commentf("after %s", step.after))
				c.Assert(executor.TakesWork(), qt.Equals, step.takesWork, qt.Commentf("after %s", step.after))
			}
		})
	}
}

// BenchmarkJoin joins a reading of a large fleet in which one executor has changed.
func BenchmarkJoin(b *testing.B) {
	reading := fleetOf(3500)
	h := NewHistory(3 * time.Second)
	h.Join(reading, 0, false)
	changed := testExecutor("0")
	changed.Draining = true
	next := reading.With(&ExecutorChanges{Revision: 2, Listed: []Executor{changed}})
	b.ReportAllocs()
	for b.Loop() {
		h.Join(next, time.Second, false)
	}
}

func fleetOf(count int) *Executors {
	list := &Executors{Revision: 1, ByID: map[string]Executor{}}
	for i := range count {
		executor := testExecutor(strconv.Itoa(i))
		list.ByID[executor.ID] = executor
	}
	return list
}

// Guards against a next owner that doesn't know an executor at which the former one, which alone
// could not reach the store for a while, has started tasks lately.
func TestListsOfOtherHostsKeepVanishedExecutorsThatTakeWorkHere(t *testing.T) {
	const retention, step = 3 * time.Second, 100 * time.Millisecond
	c := qt.New(t)
	stays, vanishes := testExecutor("i-1"), testExecutor("i-2")
	stays.Address, vanishes.Address = "a:1", "a:2"
	unsteady, steady := NewHistory(retention), NewHistory(retention)
	both := &Executors{ByID: map[string]Executor{"i-1": stays, "i-2": vanishes}}
	one := &Executors{ByID: map[string]Executor{"i-1": stays}}
	unsteady.Join(both, time.Minute, false)
	steady.Join(both, time.Minute, true)
	workedAt := time.Minute
	for now := time.Minute + step; now < time.Minute+3*retention; now += step {
		here, other := unsteady.Join(one, now, false), steady.Join(one, now, true)
		if executor, listed := here.ByID["i-2"]; listed && executor.TakesWork() {
			workedAt = now
		}
		_, known := other.ByID["i-2"]
		c.Assert(known || now > workedAt+retention-step, qt.IsTrue, qt.Commentf("%s after the last work there", now-workedAt))
	}
}
