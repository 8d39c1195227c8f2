// Package schedule combines the decisions on the tasks of one pool at one entry
// host: which jobs are admitted, which task starts next and on which slot, when
// slots are borrowed or lent, and how often tasks are retried that did not
// start. It does no I/O; time and random numbers are passed in.
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

// Rules are the settings of a pool.
type Rules struct {
	Policy      route.Policy
	Order       admit.Ordering
	BorrowAfter time.Duration
	Shares      func(team string) admit.Share
}

// Start is a task to be started on a slot. J is the caller's type of jobs.
type Start[J any] struct {
	Item    *admit.Item[J]
	Address string        // of the target
	Began   time.Duration // when the slot was acquired
}

// Scheduler holds the queued jobs and the account of slots of one pool. It is
// not safe for concurrent use.
type Scheduler[J any] struct {
	rules       Rules
	queue       *admit.Queue[J]
	slots       *route.Slots
	lending     *route.Lending
	budget      *retry.Budget
	meanTask    time.Duration
	pausedUntil time.Duration // no task starts before, after the retry budget was used up
}

// New returns a scheduler for a host. retryRatio is the number of retries
// allowed per first attempt. Configure must be called before any other method.
func New[J any](host string, retryRatio float64) *Scheduler[J] {
	s := &Scheduler[J]{budget: retry.NewBudget(retryRatio, retryBurst)}
	s.queue = admit.NewQueue[J](nil, func(team string) admit.Share { return s.rules.Shares(team) })
	s.slots = route.NewSlots(host, nil)
	s.lending = route.NewLending(s.slots)
	return s
}

// Configure sets the rules, the targets of the host's domain, the hosts that
// share them, and the peers to borrow from.
func (s *Scheduler[J]) Configure(rules Rules, targets []route.Target, owners []string, lenders []route.Lender) {
	s.rules = rules
	s.queue.SetOrder(rules.Order)
	s.slots.SetPolicy(rules.Policy)
	s.slots.SetTargets(targets, owners)
	s.lending.SetLenders(lenders)
}

// Request is the admission request of a job.
type Request struct {
	Team     string
	Tasks    int
	Left     time.Duration // until the deadline
	MaxQueue int           // queued tasks allowed per team
}

// Admit returns nil if the job is admitted, and the refusal otherwise. unit, a
// random number in [0, 1), spreads the RetryAfter of refusals.
func (s *Scheduler[J]) Admit(r Request, unit float64) *errkind.Error {
	share := s.rules.Shares(r.Team)
	peers := s.lendingPeers()
	capacity := max(s.slots.Usable(), s.slots.Busy()) + peers.Usable
	if capacity == 0 && s.rules.Policy.Lends() && s.slots.Capacity() > 0 {
		capacity = 1 // all slots are in transit between hosts
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

// lendingPeers returns the total load of the peers if slots are lent. The hosts
// then act as one pool, and the time in the queue depends on the tasks and the
// slots of all of them.
func (s *Scheduler[J]) lendingPeers() route.PeerLoad {
	if !s.rules.Policy.Lends() {
		return route.PeerLoad{}
	}
	return s.lending.TotalPeerLoad()
}

// teamWaiting estimates a team's queued tasks on all hosts: the team's share of
// the peers' queues is taken to be its share of this host's queue, or all of
// them if this host's queue is empty.
func (s *Scheduler[J]) teamWaiting(team string, peers route.PeerLoad) int {
	own, ofTeam := s.queue.Waiting(), s.queue.WaitingOf(team)
	if own == 0 {
		return peers.Waiting
	}
	return ofTeam + peers.Waiting*ofTeam/own
}

// Add queues a job whose tasks may start. The caller must call Pump afterwards.
func (s *Scheduler[J]) Add(item *admit.Item[J]) { s.queue.Add(item) }

// Drop removes a job's queued tasks. The caller must call Pump afterwards.
func (s *Scheduler[J]) Drop(item *admit.Item[J]) { s.queue.Remove(item) }

// Pump starts queued tasks while there are usable slots, then decides on
// borrowing and lending. It returns the tasks to start and the messages to send.
// unit returns a random number in [0, 1).
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

// need returns the demand for slots of the tasks that are still queued.
func (s *Scheduler[J]) need(now time.Duration) route.Need {
	oldest, _ := s.queue.OldestArrival()
	first, _ := s.queue.FirstOrderKey()
	return route.Need{Tasks: s.queue.Startable(), Waited: now - oldest, Place: first, After: s.rules.BorrowAfter}
}

// Complete frees the slot of an attempt that ended. If again is true, the task
// did not start and is queued again. The caller must call Pump afterwards.
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

// WakeAt returns when Pump must be called again if no event occurs before, or
// false if there is no such time.
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

// SetLeaving records whether a target is leaving.
func (s *Scheduler[J]) SetLeaving(address string, leaving bool) { s.slots.SetLeaving(address, leaving) }

// Lending returns the handler of lending messages. The caller must call Pump
// after each message.
func (s *Scheduler[J]) Lending() *route.Lending { return s.lending }

// Load is the load of a scheduler.
type Load struct {
	Waiting  int      // queued tasks
	Busy     int      // slots with open attempts
	Free     int      // slots that are usable now
	Usable   int      // slots that this host may use, busy or free
	Suspects []string // addresses of slow targets
}

// Load returns the current load.
func (s *Scheduler[J]) Load(now time.Duration) Load {
	return Load{Waiting: s.queue.Waiting(), Busy: s.slots.Busy(), Free: s.slots.Free(now), Usable: s.slots.Usable(), Suspects: s.slots.Suspects()}
}
