package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func order(name string) Ordering {
	o, err := Orderings.Get(name)
	if err != nil {
		panic(err)
	}
	return o
}

func newQueue(orderName string, shares map[string]Share) *Queue[string] {
	return NewQueue[string](order(orderName), func(team string) Share { return shares[team] })
}

func add(q *Queue[string], job, team string, tasks int, arrived, deadline time.Duration) *Item[string] {
	item := &Item[string]{Job: job, Team: team, Left: tasks, Arrived: arrived, Deadline: deadline}
	q.Add(item)
	return item
}

func TestOrderings(t *testing.T) {
	scenarios := []struct {
		order    string
		expected []string
	}{
		{"fifo", []string{"long", "short", "urgent"}},
		{"fewest", []string{"short", "urgent", "long"}},
		{"slack", []string{"urgent", "long", "short"}},
	}
	for _, s := range scenarios {
		t.Run(s.order, func(t *testing.T) {
			q := newQueue(s.order, map[string]Share{"t": {Weight: 1}})
			add(q, "long", "t", 100, 0, 20*time.Second)
			add(q, "short", "t", 1, time.Millisecond, 30*time.Second)
			add(q, "urgent", "t", 1, 2*time.Millisecond, time.Second)
			var got []string
			seen := map[string]bool{}
			for item := q.Next(); item != nil; item = q.Next() {
				if !seen[item.Job] {
					seen[item.Job] = true
					got = append(got, item.Job)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, s.expected)
		})
	}
}

// Guards against starvation of a large job by later small ones under "fewest".
func TestFewestDoesNotStarve(t *testing.T) {
	q := newQueue("fewest", map[string]Share{"t": {Weight: 1}})
	add(q, "large", "t", 100, 0, time.Minute)
	for i := range 2000 {
		now := time.Duration(i) * time.Millisecond
		add(q, "small", "t", 1, now, time.Minute)
		if q.Next().Job == "large" {
			qt.Assert(t, now <= 100*delayPerTask, qt.IsTrue)
			return
		}
	}
	t.Fatal("no task of the large job started within 2000 starts of small jobs")
}

func TestFairShares(t *testing.T) {
	shares := map[string]Share{"heavy": {Weight: 3}, "light": {Weight: 1}}
	q := newQueue("fifo", shares)
	add(q, "h", "heavy", 1000, 0, time.Minute)
	add(q, "l", "light", 1000, 0, time.Minute)
	starts := map[string]int{}
	for range 400 {
		item := q.Next()
		starts[item.Team]++
		q.TaskEnded(item.Team)
	}
	qt.Assert(t, starts["heavy"] >= 298 && starts["heavy"] <= 302, qt.IsTrue, qt.Commentf("%v", starts))
}

// Guards against a team that was idle taking all slots to make up for the time
// without queued tasks.
func TestIdleTeamAccumulatesNoCredit(t *testing.T) {
	q := newQueue("fifo", map[string]Share{"busy": {Weight: 1}, "idle": {Weight: 1}})
	add(q, "b", "busy", 1000, 0, time.Minute)
	for range 500 {
		q.Next()
	}
	add(q, "i", "idle", 100, 0, time.Minute)
	starts := map[string]int{}
	for range 20 {
		starts[q.Next().Team]++
	}
	qt.Assert(t, starts["busy"] >= 9, qt.IsTrue, qt.Commentf("%v", starts))
}

// Guards against the removal of another job when a job ends before it was
// added, while the backup's acknowledgement is outstanding.
func TestRemoveBeforeAdd(t *testing.T) {
	q := newQueue("fifo", map[string]Share{"t": {Weight: 1}})
	add(q, "other", "t", 3, 0, time.Minute)
	q.Remove(&Item[string]{Job: "early", Team: "t", Left: 2})
	qt.Assert(t, q.Waiting(), qt.Equals, 3)
	qt.Assert(t, q.Next().Job, qt.Equals, "other")
}

func TestQuota(t *testing.T) {
	q := newQueue("fifo", map[string]Share{"t": {Weight: 1, Quota: 2}, "u": {Weight: 1}})
	add(q, "j", "t", 5, 0, time.Minute)
	qt.Assert(t, q.Startable(), qt.Equals, 2)
	q.Next()
	q.Next()
	qt.Assert(t, q.Next(), qt.IsNil)
	add(q, "k", "u", 1, 0, time.Minute)
	qt.Assert(t, q.Next().Team, qt.Equals, "u", qt.Commentf("a team at its quota must not block other teams"))
	q.TaskEnded("t")
	qt.Assert(t, q.Next().Team, qt.Equals, "t")
}

// Guards against task counts that drift under random sequences of calls.
func TestQueueCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue("fewest", map[string]Share{"a": {Weight: 1}, "b": {Weight: 2}})
		var items []*Item[string]
		var taken []*Item[string]
		expected := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				n := rapid.IntRange(1, 5).Draw(t, "tasks")
				items = append(items, add(q, fmt.Sprint(len(items)), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), n, 0, 0))
				expected += n
			},
			"next": func(*rapid.T) {
				if item := q.Next(); item != nil {
					taken = append(taken, item)
					expected--
				}
			},
			"requeue": func(t *rapid.T) {
				if len(taken) == 0 {
					t.Skip()
				}
				q.TaskEnded(taken[0].Team)
				q.Requeue(taken[0])
				taken = taken[1:]
				expected++
			},
			"remove": func(t *rapid.T) {
				if len(items) == 0 {
					t.Skip()
				}
				expected -= items[0].Left
				q.Remove(items[0])
				items = items[1:]
			},
			"": func(t *rapid.T) {
				same(t, q.Waiting(), expected)
				same(t, q.WaitingOf("a")+q.WaitingOf("b"), expected)
			},
		})
	})
}

func TestDecide(t *testing.T) {
	noQueue := Load{Capacity: 100, Weight: 1, WeightSum: 1, MeanTask: 100 * time.Millisecond, MaxQueue: 1000}
	with := func(change func(*Load)) Load {
		l := noQueue
		change(&l)
		return l
	}
	scenarios := []struct {
		testName string
		load     Load
		tasks    int
		left     time.Duration
		expected errkind.Kind
	}{
		{"no queue", noQueue, 10, time.Second, ""},
		{"no capacity", with(func(l *Load) { l.Capacity = 0 }), 1, time.Second, errkind.NoTarget},
		{"deadline passed", noQueue, 1, 0, errkind.DeadlineTooShort},
		{"cannot meet its deadline", with(func(l *Load) { l.Waiting, l.TeamWaiting = 2000, 900 }), 10, time.Second, errkind.Overloaded},
		{"another team's backlog", with(func(l *Load) { l.Waiting, l.WeightSum = 2000, 2 }), 10, time.Second, ""},
		{"the team's queue is full", with(func(l *Load) { l.Waiting, l.TeamWaiting = 995, 995 }), 10, time.Hour, errkind.Overloaded},
		{"a job beyond max_queue on an empty queue", with(func(l *Load) { l.MaxQueue = 5 }), 10, time.Second, ""},
		{"a quota slows the team", with(func(l *Load) { l.Quota, l.Waiting, l.TeamWaiting = 1, 500, 50 }), 1, time.Second, ""},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for _, unit := range []float64{0, 0.99} {
				err := Decide(s.load, s.tasks, s.left, unit)
				if s.expected == "" {
					qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
					continue
				}
				qt.Assert(t, err.Kind, qt.Equals, s.expected)
				qt.Assert(t, err.RetryAfter >= minRetryAfter, qt.IsTrue)
			}
		})
	}
}

// Guards against callers that are refused together and retry together.
func TestRetryAfterIsSpread(t *testing.T) {
	load := Load{Capacity: 1, Weight: 1, WeightSum: 1, MeanTask: time.Second, Waiting: 10, TeamWaiting: 10, MaxQueue: 100}
	early := Decide(load, 1, time.Second, 0)
	late := Decide(load, 1, time.Second, 0.99)
	qt.Assert(t, late.RetryAfter > early.RetryAfter*3/2, qt.IsTrue)
}

// same replaces qt.Assert, which does not accept a rapid.T.
func same[T comparable](t *rapid.T, got, wanted T) {
	if got != wanted {
		t.Fatalf("got %v, wanted %v", got, wanted)
	}
}
