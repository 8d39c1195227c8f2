package route

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/kernel"
)

// Policy picks the target of a task. Policies are registered in Policies and
// selected by a service's routing key in the configuration.
type Policy interface {
	// Pick returns a usable target, or nil if there is none now. unit is a
	// random number in [0, 1).
	Pick(s *Slots, now time.Duration, unit float64) *slotState
	// Shares reports whether slots are divided among the entry hosts. If not,
	// each host may use every slot, and targets refuse the excess.
	Shares() bool
	// Lends reports whether idle slots are lent to peers.
	Lends() bool
}

// Policies holds the registered routing policies by name.
var Policies = kernel.NewRegistry[Policy]("routing policy")

func init() {
	Policies.Register("shares", sharesPolicy{lends: true})
	Policies.Register("shares-alone", sharesPolicy{})
	Policies.Register("random", randomPolicy{})
	Policies.Register("round-robin", roundRobinPolicy{})
	Policies.Register("least-in-flight", leastPolicy{})
	Policies.Register("two-choices", twoChoicesPolicy{})
}

// sharesPolicy uses the host's own share of the slots and those it borrowed, and
// avoids suspects.
type sharesPolicy struct{ lends bool }

func (p sharesPolicy) Shares() bool { return true }
func (p sharesPolicy) Lends() bool  { return p.lends }

// maxCandidates is the number of usable targets that a pick compares. It bounds
// the time of a pick in large domains.
const maxCandidates = 16

// Pick returns the target with the most free slots among the next maxCandidates
// usable targets.
func (p sharesPolicy) Pick(s *Slots, now time.Duration, _ float64) *slotState {
	var best *slotState
	candidates := 0
	for i := range s.order {
		state := s.order[(s.turn+i)%len(s.order)]
		if !state.usable(now) || !s.health.allows(state, now) {
			continue
		}
		if best == nil || state.room() > best.room() {
			best = state
		}
		candidates++
		if candidates == maxCandidates {
			break
		}
	}
	s.turn++
	return best
}

// unsharedPolicy is embedded by the policies that do not divide slots.
type unsharedPolicy struct{}

func (unsharedPolicy) Shares() bool { return false }
func (unsharedPolicy) Lends() bool  { return false }

type randomPolicy struct{ unsharedPolicy }

func (randomPolicy) Pick(s *Slots, now time.Duration, unit float64) *slotState {
	usable := s.usable(now)
	if len(usable) == 0 {
		return nil
	}
	return usable[int(unit*float64(len(usable)))]
}

type roundRobinPolicy struct{ unsharedPolicy }

func (roundRobinPolicy) Pick(s *Slots, now time.Duration, _ float64) *slotState {
	for range s.order {
		state := s.order[s.turn%len(s.order)]
		s.turn++
		if state.usable(now) {
			return state
		}
	}
	return nil
}

type leastPolicy struct{ unsharedPolicy }

func (leastPolicy) Pick(s *Slots, now time.Duration, unit float64) *slotState {
	usable := s.usable(now)
	if len(usable) == 0 {
		return nil
	}
	start := int(unit * float64(len(usable)))
	best := usable[start]
	for i := range usable {
		if state := usable[(start+i)%len(usable)]; state.busy < best.busy {
			best = state
		}
	}
	return best
}

type twoChoicesPolicy struct{ unsharedPolicy }

func (twoChoicesPolicy) Pick(s *Slots, now time.Duration, unit float64) *slotState {
	usable := s.usable(now)
	n := len(usable)
	if n == 0 {
		return nil
	}
	// unit selects one of the n*n pairs of targets.
	pair := int(unit * float64(n*n))
	first, second := usable[pair/n], usable[pair%n]
	if second.busy < first.busy {
		return second
	}
	return first
}

// usable returns the targets that a task may go to now.
func (s *Slots) usable(now time.Duration) []*slotState {
	var usable []*slotState
	for _, state := range s.order {
		if state.usable(now) {
			usable = append(usable, state)
		}
	}
	return usable
}
