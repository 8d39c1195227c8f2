// Package route decides which target runs a task. It divides the slots of a
// failure domain among its entry hosts by rendezvous hashing, accounts for slots
// lent to and borrowed from peers, and detects slow targets. It does no I/O;
// time is passed in.
package route

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
)

// Target is a target of the configuration.
type Target struct {
	Address string
	Slots   int
}

// Grant is a number of slots at a target.
type Grant struct {
	Address string
	Count   int
}

// Slots is a host's account of the slots that it may use in one pool. It is
// not safe for concurrent use.
type Slots struct {
	self         string
	policy       Policy
	targets      map[string]*slotState // by address
	order        []*slotState          // sorted by address
	health       *Health
	turn         int // rotates the target that a pick starts at
	lastDivision division
}

// division is the input from which the shares are computed.
type division struct {
	targets []Target
	owners  []string
	shares  bool
}

func (d *division) equals(other *division) bool {
	return d.shares == other.shares && slices.Equal(d.owners, other.owners) && slices.Equal(d.targets, other.targets)
}

// slotState is the account of the slots at one target.
type slotState struct {
	address     string
	capacity    int            // slots of the target; 0 if only borrowed
	owned       int            // this host's share
	busy        int            // open attempts of this host
	lent        map[string]int // by borrower
	borrowed    map[string]int // by lender
	lentSum     int
	borrowedSum int
	leaving     bool          // gets no tasks
	retryAt     time.Duration // no attempt before this time
	failures    int           // in a row
	health      targetHealth
}

// NewSlots returns an empty account for the host self.
func NewSlots(self string, policy Policy) *Slots {
	return &Slots{self: self, policy: policy, targets: map[string]*slotState{}, health: newHealth()}
}

// SetPolicy changes the routing policy.
func (s *Slots) SetPolicy(policy Policy) { s.policy = policy }

// SetTargets sets the targets of the host's domain and the hosts that share
// them. A removed target stays in the account while it has open attempts or
// borrowed slots.
func (s *Slots) SetTargets(targets []Target, owners []string) {
	next := division{targets: targets, owners: owners, shares: s.policy.Shares()}
	if s.lastDivision.equals(&next) {
		return // most configuration changes do not affect targets
	}
	s.lastDivision = next
	present := map[string]bool{}
	for _, target := range targets {
		present[target.Address] = true
		state := s.stateOf(target.Address)
		state.capacity = target.Slots
		state.owned = target.Slots
		if s.policy.Shares() {
			state.owned = Share(target, owners, s.self)
		}
	}
	for address, state := range s.targets {
		if present[address] {
			continue
		}
		state.capacity, state.owned = 0, 0
		if state.busy == 0 && state.borrowedSum == 0 {
			delete(s.targets, address)
		}
	}
	s.reorder()
}

// Share returns how many of a target's slots belong to self if owners
// divide them by rendezvous hashing of target and slot.
func Share(target Target, owners []string, self string) int {
	share := 0
	for slot := range target.Slots {
		key := target.Address + "#" + strconv.Itoa(slot)
		if highestScoring(key, owners) == self {
			share++
		}
	}
	return share
}

// highestScoring returns the owner with the highest score for key.
func highestScoring(key string, owners []string) string {
	best, bestScore := "", uint64(0)
	for _, owner := range owners {
		if score := member.Score(key, owner); best == "" || score > bestScore {
			best, bestScore = owner, score
		}
	}
	return best
}

// stateOf returns the account of a target and creates it if there is none. The
// caller must call reorder afterwards.
func (s *Slots) stateOf(address string) *slotState {
	state := s.targets[address]
	if state == nil {
		state = &slotState{address: address, lent: map[string]int{}, borrowed: map[string]int{}}
		s.targets[address] = state
	}
	return state
}

// reorder rebuilds the sorted list of targets.
func (s *Slots) reorder() {
	s.order = s.order[:0]
	for _, state := range s.targets {
		s.order = append(s.order, state)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].address < s.order[j].address })
	s.health.setTargets(s.order)
}

// room returns the number of free slots.
func (t *slotState) room() int {
	return max(0, t.owned+t.borrowedSum-t.lentSum-t.busy)
}

// usable reports whether a task may go to the target now.
func (t *slotState) usable(now time.Duration) bool {
	return !t.leaving && now >= t.retryAt && t.room() > 0
}

// Acquire takes a slot for a task and returns the address of its target, or
// false if no slot is usable now. unit is a random number in [0, 1).
func (s *Slots) Acquire(now time.Duration, unit float64) (string, bool) {
	chosen := s.policy.Pick(s, now, unit)
	if chosen == nil {
		return "", false
	}
	chosen.busy++
	s.health.begin(chosen, now)
	return chosen.address, true
}

// Release frees a slot after an attempt that acquired it at the time began.
func (s *Slots) Release(address string, began time.Duration, outcome Outcome, now time.Duration) {
	state := s.targets[address]
	if state == nil {
		return
	}
	state.busy = max(0, state.busy-1)
	s.health.end(state, began, outcome, now)
	state.applyOutcome(outcome, now)
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	Served      Outcome = iota + 1 // the target ran the task
	Full                           // refused: no free slot at the target
	LeavingNow                     // refused: the target is leaving
	Unreachable                    // not connected, or the connection broke
	Withdrawn                      // not sent
)

const (
	minUnreachablePause = 100 * time.Millisecond
	maxUnreachablePause = 5 * time.Second
	fullPause           = 5 * time.Millisecond
	leavingPause        = 10 * time.Second // then one task probes whether the target is back
)

// applyOutcome sets how long a target gets no further attempt. The pause after
// Unreachable doubles with each failure in a row.
func (t *slotState) applyOutcome(outcome Outcome, now time.Duration) {
	switch outcome {
	case Served:
		t.failures = 0
	case Full:
		t.retryAt = now + fullPause
	case LeavingNow:
		t.retryAt = now + leavingPause
	case Unreachable:
		t.retryAt = now + min(maxUnreachablePause, minUnreachablePause<<min(t.failures, 10))
		t.failures++
	}
}

// SetLeaving records whether a target is leaving. A leaving target gets no
// tasks.
func (s *Slots) SetLeaving(address string, leaving bool) {
	if state := s.targets[address]; state != nil {
		state.leaving = leaving
	}
}

// Free returns the number of free slots that are usable now.
func (s *Slots) Free(now time.Duration) int {
	free := 0
	for _, state := range s.order {
		if state.usable(now) {
			free += state.room()
		}
	}
	return free
}

// Usable returns the number of slots that this host may use, busy or free,
// without those of leaving targets.
func (s *Slots) Usable() int {
	usable := 0
	for _, state := range s.order {
		if !state.leaving {
			usable += max(0, state.owned+state.borrowedSum-state.lentSum)
		}
	}
	return usable
}

// Capacity returns the number of slots of the domain, whichever host owns them,
// without those of leaving targets.
func (s *Slots) Capacity() int {
	capacity := 0
	for _, state := range s.order {
		if !state.leaving {
			capacity += state.capacity
		}
	}
	return capacity
}

// Busy returns the number of open attempts of this host.
func (s *Slots) Busy() int {
	busy := 0
	for _, state := range s.order {
		busy += state.busy
	}
	return busy
}

// NextUsableAt returns the earliest time after now at which a target with free
// slots becomes usable again, because its pause ends or its next probe is due.
// It returns false if there is none.
func (s *Slots) NextUsableAt(now time.Duration) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, state := range s.order {
		at := max(state.retryAt, s.health.nextAllowed(state))
		if state.leaving || state.room() == 0 || at <= now {
			continue
		}
		if !found || at < soonest {
			soonest, found = at, true
		}
	}
	return soonest, found
}
