// Package admit decides which jobs are admitted and which queued task starts
// next. It shares slots between teams by weighted fair queueing within their
// quotas, orders the jobs of each team, and refuses jobs that cannot meet
// their deadline. It does no I/O; time is passed in.
package admit

import (
	"container/heap"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kernel"
)

// Item is a queued job. J is the caller's type of jobs.
type Item[J any] struct {
	Job      J
	Team     string
	Left     int           // queued tasks
	Arrived  time.Duration // when the job was admitted
	Deadline time.Duration

	orderKey     time.Duration // the team's job with the lowest key runs first
	heapPosition int           // in the team's heap, counted from 1; 0 while not in the heap
}

// Share is a team's weight in the fair queueing, and its quota.
type Share struct {
	Weight int // at least 1
	Quota  int // slots held at once; 0 for no limit
}

// Ordering computes the order key of a queued job: within a team, the job with
// the lowest key runs first. An order key is a time by the host's clock; its
// offset from now is comparable between hosts. Orderings are registered in
// Orderings and selected by a service's order key in the configuration.
type Ordering func(left int, arrived, deadline time.Duration) time.Duration

// Orderings holds the registered orderings by name.
var Orderings = kernel.NewRegistry[Ordering]("order")

// delayPerTask is what each queued task adds to a job's order key under
// "fewest". A job is overtaken only by jobs that arrive within its number of
// tasks times delayPerTask, which bounds starvation.
const delayPerTask = 5 * time.Millisecond

func init() {
	Orderings.Register("fifo", func(_ int, arrived, _ time.Duration) time.Duration {
		return arrived
	})
	Orderings.Register("fewest", func(left int, arrived, _ time.Duration) time.Duration {
		return arrived + time.Duration(left)*delayPerTask
	})
	Orderings.Register("slack", func(_ int, _, deadline time.Duration) time.Duration {
		return deadline
	})
}

// Queue holds the queued jobs of one pool. It is not safe for concurrent use.
type Queue[J any] struct {
	order   Ordering
	shares  func(team string) Share
	teams   map[string]*teamQueue[J]
	virtual float64 // virtual time of the latest start
	waiting int     // queued tasks of all teams
}

type teamQueue[J any] struct {
	items   itemHeap[J]
	waiting int     // queued tasks
	running int     // tasks that hold a slot
	virtual float64 // virtual time; advances by 1/weight with each start
}

// NewQueue returns an empty queue. shares returns a team's share and is called
// at each decision.
func NewQueue[J any](order Ordering, shares func(team string) Share) *Queue[J] {
	return &Queue[J]{order: order, shares: shares, teams: map[string]*teamQueue[J]{}}
}

// SetOrder changes the ordering. Queued jobs keep their order key until their
// next task starts.
func (q *Queue[J]) SetOrder(order Ordering) { q.order = order }

// Add queues the Left tasks of a job.
func (q *Queue[J]) Add(item *Item[J]) {
	team := q.team(item.Team)
	if team.waiting == 0 {
		// A team accumulates no credit while it has no queued tasks.
		team.virtual = max(team.virtual, q.virtual)
	}
	item.orderKey = q.order(item.Left, item.Arrived, item.Deadline)
	heap.Push(&team.items, item)
	team.waiting += item.Left
	q.waiting += item.Left
}

// CanStart reports whether there is a queued task whose team is below its
// quota.
func (q *Queue[J]) CanStart() bool {
	team, _ := q.nextTeam()
	return team != nil
}

// Next dequeues one task of the first job of the team that is served next, or
// returns nil if no task may start. The caller must call TaskEnded when the
// task's slot is free again.
func (q *Queue[J]) Next() *Item[J] {
	team, share := q.nextTeam()
	if team == nil {
		return nil
	}
	item := team.items[0]
	item.Left--
	team.waiting--
	q.waiting--
	team.running++
	q.virtual = team.virtual
	team.virtual += 1 / float64(share.Weight)
	if item.Left == 0 {
		heap.Pop(&team.items)
		return item
	}
	item.orderKey = q.order(item.Left, item.Arrived, item.Deadline)
	heap.Fix(&team.items, 0)
	return item
}

// nextTeam returns the team with the lowest virtual time among those with
// queued tasks and below their quota, or nil.
func (q *Queue[J]) nextTeam() (*teamQueue[J], Share) {
	var best *teamQueue[J]
	var bestShare Share
	for name, team := range q.teams {
		if team.waiting == 0 {
			continue
		}
		share := q.shares(name)
		if share.Quota > 0 && team.running >= share.Quota {
			continue
		}
		if best == nil || team.virtual < best.virtual {
			best, bestShare = team, share
		}
	}
	return best, bestShare
}

// TaskEnded records that a task of a team no longer holds a slot.
func (q *Queue[J]) TaskEnded(team string) {
	state := q.team(team)
	state.running = max(0, state.running-1)
}

// Requeue returns a task to the queue that Next dequeued and that did not
// start.
func (q *Queue[J]) Requeue(item *Item[J]) {
	team := q.team(item.Team)
	item.Left++
	team.waiting++
	q.waiting++
	if item.heapPosition == 0 {
		heap.Push(&team.items, item)
	}
}

// Remove removes a job's queued tasks. It does nothing if the job is not
// queued.
func (q *Queue[J]) Remove(item *Item[J]) {
	if item.heapPosition == 0 {
		return
	}
	team := q.team(item.Team)
	heap.Remove(&team.items, item.heapPosition-1)
	team.waiting -= item.Left
	q.waiting -= item.Left
	item.Left = 0
}

// Waiting returns the number of queued tasks.
func (q *Queue[J]) Waiting() int { return q.waiting }

// WaitingOf returns the number of queued tasks of a team.
func (q *Queue[J]) WaitingOf(team string) int { return q.team(team).waiting }

// Startable returns the number of queued tasks that the quotas allow to start.
func (q *Queue[J]) Startable() int {
	startable := 0
	for name, team := range q.teams {
		if quota := q.shares(name).Quota; quota > 0 {
			startable += max(0, min(team.waiting, quota-team.running))
			continue
		}
		startable += team.waiting
	}
	return startable
}

// OldestArrival returns the earliest arrival among the first jobs of all
// teams, or false if no job is queued.
func (q *Queue[J]) OldestArrival() (time.Duration, bool) {
	oldest, found := time.Duration(0), false
	for _, team := range q.teams {
		// The first job of the heap is the oldest one under "fifo" and
		// approximates it under the other orderings.
		if len(team.items) > 0 && (!found || team.items[0].Arrived < oldest) {
			oldest, found = team.items[0].Arrived, true
		}
	}
	return oldest, found
}

// FirstOrderKey returns the lowest order key among the queued jobs of teams
// below their quota, or false if there is none.
func (q *Queue[J]) FirstOrderKey() (time.Duration, bool) {
	first, found := time.Duration(0), false
	for name, team := range q.teams {
		quota := q.shares(name).Quota
		if team.waiting == 0 || quota > 0 && team.running >= quota {
			continue
		}
		if place := team.items[0].orderKey; !found || place < first {
			first, found = place, true
		}
	}
	return first, found
}

// WeightSum returns the sum of the weights of the given team and of all teams
// with queued or running tasks.
func (q *Queue[J]) WeightSum(team string) int {
	sum := 0
	for name, state := range q.teams {
		if name == team || state.waiting+state.running > 0 {
			sum += q.shares(name).Weight
		}
	}
	return sum
}

func (q *Queue[J]) team(name string) *teamQueue[J] {
	team := q.teams[name]
	if team == nil {
		team = &teamQueue[J]{}
		q.teams[name] = team
	}
	return team
}

// itemHeap implements heap.Interface, ordered by order key.
type itemHeap[J any] []*Item[J]

func (h itemHeap[J]) Len() int           { return len(h) }
func (h itemHeap[J]) Less(i, j int) bool { return h[i].orderKey < h[j].orderKey }

func (h itemHeap[J]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = i+1, j+1
}

func (h *itemHeap[J]) Push(x any) {
	item := x.(*Item[J])
	*h = append(*h, item)
	item.heapPosition = len(*h)
}

func (h *itemHeap[J]) Pop() any {
	old := *h
	item := old[len(old)-1]
	item.heapPosition = 0
	*h = old[:len(old)-1]
	return item
}
