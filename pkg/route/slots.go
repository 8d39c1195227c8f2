// Package route decides which target runs a task. It divides the slots of a
// failure domain among its entry hosts by rendezvous hashing, keeps account of
// slots lent and borrowed, and finds slow targets. It does no I/O; time is
// passed in.
package route

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
)

// Target is a target as the configuration names it.
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
	self    string
	policy  Policy
	targets map[string]*slotState // by address
	order   []*slotState          // sorted by address
	health  *Health
	turn    int // for policies that take turns
	divided division
}

// division is what the shares were last worked out from.
type division struct {
	targets []Target
	owners  []string
	shares  bool
}

func (d *division) equals(other *division) bool {
	return d.shares == other.shares && slices.Equal(d.owners, other.owners) && slices.Equal(d.targets, other.targets)
}

// slotState is the account at one target.
type slotState struct {
	address  string
	capacity int            // slots in all, 0 when only borrowed
	owned    int            // this host's share
	busy     int            // attempts of this host under way
	lent     map[string]int // by borrower
	borrowed map[string]int // by lender
	lentSum  int
	borrSum  int
	avoid    bool          // leaving, by the platform's list
	retryAt  time.Duration // no attempt before, after a failure
	failures int           // in a row
	health   targetHealth
}

// NewSlots makes an account for a host.
func NewSlots(self string, policy Policy) *Slots {
	return &Slots{self: self, policy: policy, targets: map[string]*slotState{}, health: newHealth()}
}

// SetPolicy changes the routing policy.
func (s *Slots) SetPolicy(policy Policy) { s.policy = policy }

// SetTargets takes the targets of the own domain and the hosts that share
// them. Attempts under way are kept in the account.
func (s *Slots) SetTargets(targets []Target, owners []string) {
	next := division{targets: targets, owners: owners, shares: s.policy.Shares()}
	if s.divided.equals(&next) {
		return // most changes of a configuration are not about targets
	}
	s.divided = next
	present := map[string]bool{}
	for _, target := range targets {
		present[target.Address] = true
		state := s.known(target.Address)
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
		if state.busy == 0 && state.borrSum == 0 {
			delete(s.targets, address)
		}
	}
	s.reorder()
}

// Share returns how many of a target's slots belong to self when owners
// divide them by rendezvous hashing of target and slot.
func Share(target Target, owners []string, self string) int {
	share := 0
	for slot := range target.Slots {
		key := target.Address + "#" + strconv.Itoa(slot)
		if highest(key, owners) == self {
			share++
		}
	}
	return share
}

func highest(key string, owners []string) string {
	best, bestScore := "", uint64(0)
	for _, owner := range owners {
		if score := member.Score(key, owner); best == "" || score > bestScore {
			best, bestScore = owner, score
		}
	}
	return best
}

// known returns the account at a target, made when there is none. reorder has
// to follow.
func (s *Slots) known(address string) *slotState {
	state := s.targets[address]
	if state == nil {
		state = &slotState{address: address, lent: map[string]int{}, borrowed: map[string]int{}}
		s.targets[address] = state
	}
	return state
}

func (s *Slots) reorder() {
	s.order = s.order[:0]
	for _, state := range s.targets {
		s.order = append(s.order, state)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].address < s.order[j].address })
	s.health.count(s.order)
}

// room is the number of further attempts that the account allows.
func (t *slotState) room() int {
	return max(0, t.owned+t.borrSum-t.lentSum-t.busy)
}

// usable reports whether a task may go to the target now.
func (t *slotState) usable(now time.Duration) bool {
	return !t.avoid && now >= t.retryAt && t.room() > 0
}

// Acquire takes a slot for a task and returns its target, or false when there
// is none now. unit is a random number in [0, 1).
func (s *Slots) Acquire(now time.Duration, unit float64) (string, bool) {
	chosen := s.policy.Pick(s, now, unit)
	if chosen == nil {
		return "", false
	}
	chosen.busy++
	s.health.begin(chosen, now)
	return chosen.address, true
}

// Release gives a slot back after an attempt that was acquired at began.
func (s *Slots) Release(address string, began time.Duration, outcome Outcome, now time.Duration) {
	state := s.targets[address]
	if state == nil {
		return
	}
	state.busy = max(0, state.busy-1)
	s.health.end(state, began, outcome, now)
	state.note(outcome, now)
}

// Outcome is how an attempt ended, as far as routing cares.
type Outcome uint8

// The outcomes of attempts.
const (
	Served      Outcome = iota + 1 // the target ran the task
	Full                           // refused: all slots are taken
	LeavingNow                     // refused: the target is leaving
	Unreachable                    // not dialled, or broken off
	Withdrawn                      // never sent
)

const (
	firstPause   = 100 * time.Millisecond
	longestPause = 5 * time.Second
	fullPause    = 5 * time.Millisecond
	leavingPause = 10 * time.Second // then one task asks whether the target is back
)

// note takes a target's state from how an attempt ended.
func (t *slotState) note(outcome Outcome, now time.Duration) {
	switch outcome {
	case Served:
		t.failures = 0
	case Full:
		t.retryAt = now + fullPause
	case LeavingNow:
		t.retryAt = now + leavingPause
	case Unreachable:
		t.retryAt = now + min(longestPause, firstPause<<min(t.failures, 10))
		t.failures++
	}
}

// SetLeaving takes the news, from any source, that a target is leaving or
// has come back.
func (s *Slots) SetLeaving(address string, leaving bool) {
	if state := s.targets[address]; state != nil {
		state.avoid = leaving
	}
}

// Free returns the number of slots that a task could take now.
func (s *Slots) Free(now time.Duration) int {
	free := 0
	for _, state := range s.order {
		if state.usable(now) {
			free += state.room()
		}
	}
	return free
}

// Usable returns the slots that this host may fill at once.
func (s *Slots) Usable() int {
	usable := 0
	for _, state := range s.order {
		if !state.avoid {
			usable += max(0, state.owned+state.borrSum-state.lentSum)
		}
	}
	return usable
}

// Capacity returns the slots of the own domain, whoever uses them, without
// those of targets that are avoided.
func (s *Slots) Capacity() int {
	capacity := 0
	for _, state := range s.order {
		if !state.avoid {
			capacity += state.capacity
		}
	}
	return capacity
}

// Busy returns the number of attempts under way.
func (s *Slots) Busy() int {
	busy := 0
	for _, state := range s.order {
		busy += state.busy
	}
	return busy
}

// NextUsable returns when the soonest pause of a target with room ends, or the
// next trial of a suspect is due, or false when there is neither.
func (s *Slots) NextUsable(now time.Duration) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, state := range s.order {
		at := max(state.retryAt, s.health.nextTrial(state))
		if state.avoid || state.room() == 0 || at <= now {
			continue
		}
		if !found || at < soonest {
			soonest, found = at, true
		}
	}
	return soonest, found
}
