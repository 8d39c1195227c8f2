// Package schedule joins the decisions on the tasks of one pool at one entry
// host: admission, whose turn it is, which slot is taken, when slots are
// borrowed or lent, and how often what did not start is tried again. It does
// no I/O; time and random numbers are passed in.
package schedule

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/admit"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/retry"
	"github.com/foxcroft/foxcroft/pkg/route"
)

const (
	meanTaskWeight = 0.05 // of a new sample in the mean of task times
	retryBurst     = 100  // retries that may come at once
	retryPause     = 20 * time.Millisecond
)

// Rules are what the configuration says about a pool.
type Rules struct {
	Policy      route.Policy
	Order       admit.Ordering
	BorrowAfter time.Duration
	Shares      func(team string) admit.Share
}

// Start is a task that has a slot. J is the caller's type of jobs.
type Start[J any] struct {
	Item    *admit.Item[J]
	Address string        // of the target
	Began   time.Duration // when the slot was taken
}

// Scheduler holds the waiting jobs and the account of slots of one pool. It is
// not safe for concurrent use.
type Scheduler[J any] struct {
	rules       Rules
	queue       *admit.Queue[J]
	slots       *route.Slots
	lending     *route.Lending
	budget      *retry.Budget
	meanTask    time.Duration
	pausedUntil time.Duration // the retries have used up their budget
}

// New makes a scheduler for a host. retryRatio is the retries allowed a first
// attempt. Configure has to be called before anything else.
func New[J any](host string, retryRatio float64) *Scheduler[J] {
	s := &Scheduler[J]{budget: retry.NewBudget(retryRatio, retryBurst)}
	s.queue = admit.NewQueue[J](nil, func(team string) admit.Share { return s.rules.Shares(team) })
	s.slots = route.NewSlots(host, nil)
	s.lending = route.NewLending(s.slots)
	return s
}

// Configure takes new rules, the targets of the own domain, the hosts that
// share them, and the peers to borrow from.
func (s *Scheduler[J]) Configure(rules Rules, targets []route.Target, owners []string, lenders []route.Lender) {
	s.rules = rules
	s.queue.SetOrder(rules.Order)
	s.slots.SetPolicy(rules.Policy)
	s.slots.SetTargets(targets, owners)
	s.lending.SetLenders(lenders)
}

// Request is a job that asks to be taken in.
type Request struct {
	Team     string
	Tasks    int
	Left     time.Duration // to the deadline
	MaxQueue int           // tasks of one team that may wait
}

// Admit returns nil when a job is taken in, or why not.
func (s *Scheduler[J]) Admit(r Request, unit float64) *errkind.Error {
	share := s.rules.Shares(r.Team)
	peers := s.lendingPeers()
	capacity := max(s.slots.Usable(), s.slots.Busy()) + peers.Usable
	if capacity == 0 && s.rules.Policy.Lends() && s.slots.Capacity() > 0 {
		capacity = 1 // all slots are on their way between hosts
	}
	load := admit.Load{
		Waiting:     s.queue.Waiting() + peers.Waiting,
		TeamWaiting: s.teamWaiting(r.Team, peers),
		Capacity:    capacity,
		Weight:      share.Weight,
		WeightSum:   s.queue.WeightSum(r.Team),
		Quota:       share.Quota,
		MeanTask:    s.meanTask,
		MaxQueue:    r.MaxQueue,
	}
	return admit.Decide(load, r.Tasks, r.Left, unit)
}

// lendingPeers returns the load of the peers, with whom this host makes one
// pool as far as slots are lent: a task waits about as long as all hosts'
// tasks take on all hosts' slots.
func (s *Scheduler[J]) lendingPeers() route.PeerLoad {
	if !s.rules.Policy.Lends() {
		return route.PeerLoad{}
	}
	return s.lending.TotalPeerLoad()
}

// teamWaiting returns a team's waiting tasks on all hosts, taking its part at
// the peers to be its part here; of an idle host's peers it assumes the most.
func (s *Scheduler[J]) teamWaiting(team string, peers route.PeerLoad) int {
	own, ofTeam := s.queue.Waiting(), s.queue.WaitingOf(team)
	if own == 0 {
		return peers.Waiting
	}
	return ofTeam + peers.Waiting*ofTeam/own
}

// Add takes in a job that may start. Pump must follow.
func (s *Scheduler[J]) Add(item *admit.Item[J]) { s.queue.Add(item) }

// Drop takes a job's waiting tasks out. Pump must follow.
func (s *Scheduler[J]) Drop(item *admit.Item[J]) { s.queue.Remove(item) }

// Pump gives slots to waiting tasks for as long as both are there, then
// decides on borrowing and lending. unit draws a random number in [0, 1).
func (s *Scheduler[J]) Pump(now time.Duration, unit func() float64) ([]Start[J], []route.Message) {
	var starts []Start[J]
	var messages []route.Message
	if s.rules.Policy.Lends() {
		messages = s.lending.ReturnRecalled()
	}
	for now >= s.pausedUntil && s.queue.CanStart() {
		address, ok := s.slots.Acquire(now, unit())
		if !ok {
			break
		}
		s.budget.Attempt()
		starts = append(starts, Start[J]{Item: s.queue.Next(), Address: address, Began: now})
	}
	if !s.rules.Policy.Lends() {
		return starts, nil
	}
	return starts, append(messages, s.lending.Balance(s.need(now), now)...)
}

func (s *Scheduler[J]) need(now time.Duration) route.Need {
	oldest, _ := s.queue.OldestArrival()
	first, _ := s.queue.FirstOrderKey()
	return route.Need{Tasks: s.queue.Startable(), Waited: now - oldest, Place: first, After: s.rules.BorrowAfter}
}

// Complete frees the slot of an attempt. again says that the task did not
// start and waits once more. Pump must follow.
func (s *Scheduler[J]) Complete(start Start[J], outcome route.Outcome, again bool, now time.Duration) {
	s.slots.Release(start.Address, start.Began, outcome, now)
	s.queue.TaskEnded(start.Item.Team)
	if outcome == route.Served {
		s.addTaskTime(now - start.Began)
	}
	if !again {
		return
	}
	s.queue.Requeue(start.Item)
	if !s.budget.Take() {
		s.pausedUntil = now + retryPause
	}
}

func (s *Scheduler[J]) addTaskTime(elapsed time.Duration) {
	if s.meanTask == 0 {
		s.meanTask = elapsed
		return
	}
	s.meanTask += time.Duration(meanTaskWeight * float64(elapsed-s.meanTask))
}

// WakeAt returns when Pump should be called again although nothing happens,
// or false when there is no such time.
func (s *Scheduler[J]) WakeAt(now time.Duration) (time.Duration, bool) {
	if s.queue.Waiting() == 0 {
		return 0, false
	}
	at, found := s.slots.NextUsableAt(now)
	if s.pausedUntil > now && (!found || s.pausedUntil < at) {
		at, found = s.pausedUntil, true
	}
	if wait, ok := s.need(now).NextThreshold(); ok && (!found || now+wait < at) {
		at, found = now+wait, true
	}
	return at, found
}

// SetLeaving takes the news that a target is leaving or has come back.
func (s *Scheduler[J]) SetLeaving(address string, leaving bool) { s.slots.SetLeaving(address, leaving) }

// Lending returns the part that takes the messages of lending. Pump must
// follow each.
func (s *Scheduler[J]) Lending() *route.Lending { return s.lending }

// Load tells what a scheduler is doing.
type Load struct {
	Waiting  int      // tasks
	Busy     int      // slots
	Free     int      // slots
	Usable   int      // slots that this host may fill at once
	Suspects []string // addresses of slow targets
}

// Load returns the present load.
func (s *Scheduler[J]) Load(now time.Duration) Load {
	return Load{Waiting: s.queue.Waiting(), Busy: s.slots.Busy(), Free: s.slots.Free(now), Usable: s.slots.Usable(), Suspects: s.slots.Suspects()}
}
