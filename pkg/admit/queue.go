// Package admit decides which jobs are taken in and which waiting task runs
// next: weighted fair shares between teams within their quotas, an ordering
// inside a team, and refusals of what cannot meet its deadline. It does no
// I/O; time is passed in.
package admit

import (
	"container/heap"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kernel"
)

// Item is a job with tasks that wait for slots. The job type J is the
// caller's own.
type Item[J any] struct {
	Job      J
	Team     string
	Left     int           // tasks that wait
	Arrived  time.Duration // when the job was taken in
	Deadline time.Duration

	place time.Duration // inside the team, lowest first
	spot  int           // in the team's heap, counted from 1; 0 while not queued
}

// Share is a team's part under contention.
type Share struct {
	Weight int // 1 or more
	Quota  int // slots held at once; 0 for no limit
}

// Ordering gives a waiting job its place inside its team: the lowest runs
// first. A place is a time by the host's clock, so that its distance from now
// compares between hosts. Orderings register themselves in Orderings and are named by a
// service's order key.
type Ordering func(left int, arrived, deadline time.Duration) time.Duration

// Orderings are the orderings that there are.
var Orderings = kernel.NewRegistry[Ordering]("order")

// patiencePerTask is the head start in arrival that one task less is worth
// under "fewest". A later job overtakes an earlier one by at most its number
// of tasks times this, which bounds starvation.
const patiencePerTask = 5 * time.Millisecond

func init() {
	Orderings.Register("fifo", func(_ int, arrived, _ time.Duration) time.Duration {
		return arrived
	})
	Orderings.Register("fewest", func(left int, arrived, _ time.Duration) time.Duration {
		return arrived + time.Duration(left)*patiencePerTask
	})
	Orderings.Register("slack", func(_ int, _, deadline time.Duration) time.Duration {
		return deadline
	})
}

// Queue holds the waiting jobs of one pool. It is not safe for concurrent use.
type Queue[J any] struct {
	order   Ordering
	shares  func(team string) Share
	teams   map[string]*teamQueue[J]
	virtual float64 // virtual time of the latest start
	waiting int     // tasks
}

type teamQueue[J any] struct {
	items   itemHeap[J]
	waiting int
	running int
	virtual float64 // grows by 1/weight a start
}

// NewQueue makes an empty queue. shares tells each team's part and is asked
// anew at each decision.
func NewQueue[J any](order Ordering, shares func(team string) Share) *Queue[J] {
	return &Queue[J]{order: order, shares: shares, teams: map[string]*teamQueue[J]{}}
}

// SetOrder changes the ordering for what is added from now on.
func (q *Queue[J]) SetOrder(order Ordering) { q.order = order }

// Add takes in a job whose Left tasks wait.
func (q *Queue[J]) Add(item *Item[J]) {
	team := q.team(item.Team)
	if team.waiting == 0 {
		// A team that was idle starts level with the others; it saves nothing up.
		team.virtual = max(team.virtual, q.virtual)
	}
	item.place = q.order(item.Left, item.Arrived, item.Deadline)
	heap.Push(&team.items, item)
	team.waiting += item.Left
	q.waiting += item.Left
}

// CanStart reports whether a task waits that quotas let start.
func (q *Queue[J]) CanStart() bool {
	team, _ := q.nextTeam()
	return team != nil
}

// Next takes one task of the job whose turn it is, or returns nil when no
// task may start. Call Done when the task's slot is free again.
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
	item.place = q.order(item.Left, item.Arrived, item.Deadline)
	heap.Fix(&team.items, 0)
	return item
}

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

// Done notes that a task of a team no longer holds a slot.
func (q *Queue[J]) Done(team string) {
	state := q.team(team)
	state.running = max(0, state.running-1)
}

// Requeue puts a task back that Next had taken and that did not start.
func (q *Queue[J]) Requeue(item *Item[J]) {
	team := q.team(item.Team)
	item.Left++
	team.waiting++
	q.waiting++
	if item.spot == 0 {
		heap.Push(&team.items, item)
	}
}

// Drop takes a job's waiting tasks out.
func (q *Queue[J]) Drop(item *Item[J]) {
	if item.spot == 0 {
		return
	}
	team := q.team(item.Team)
	heap.Remove(&team.items, item.spot-1)
	team.waiting -= item.Left
	q.waiting -= item.Left
	item.Left = 0
}

// Waiting returns the number of tasks that wait.
func (q *Queue[J]) Waiting() int { return q.waiting }

// WaitingOf returns the number of a team's tasks that wait.
func (q *Queue[J]) WaitingOf(team string) int { return q.team(team).waiting }

// Startable returns the number of waiting tasks that quotas let start.
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

// Oldest returns when the longest waiting job arrived, or false when none
// waits.
func (q *Queue[J]) Oldest() (time.Duration, bool) {
	oldest, found := time.Duration(0), false
	for _, team := range q.teams {
		// The first of the heap is the oldest under fifo and near it otherwise.
		if len(team.items) > 0 && (!found || team.items[0].Arrived < oldest) {
			oldest, found = team.items[0].Arrived, true
		}
	}
	return oldest, found
}

// First returns the lowest place of the waiting jobs that quotas let start, or
// false when there is none.
func (q *Queue[J]) First() (time.Duration, bool) {
	first, found := time.Duration(0), false
	for name, team := range q.teams {
		quota := q.shares(name).Quota
		if team.waiting == 0 || quota > 0 && team.running >= quota {
			continue
		}
		if place := team.items[0].place; !found || place < first {
			first, found = place, true
		}
	}
	return first, found
}

// WeightSum returns the weights of the teams that have tasks waiting or
// running, counting team in any case.
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

// itemHeap implements heap.Interface over the places.
type itemHeap[J any] []*Item[J]

func (h itemHeap[J]) Len() int           { return len(h) }
func (h itemHeap[J]) Less(i, j int) bool { return h[i].place < h[j].place }

func (h itemHeap[J]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].spot, h[j].spot = i+1, j+1
}

func (h *itemHeap[J]) Push(x any) {
	item := x.(*Item[J])
	*h = append(*h, item)
	item.spot = len(*h)
}

func (h *itemHeap[J]) Pop() any {
	old := *h
	item := old[len(old)-1]
	item.spot = 0
	*h = old[:len(old)-1]
	return item
}
