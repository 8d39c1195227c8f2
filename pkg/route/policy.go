package route

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/kernel"
)

// Policy picks the target of a task. Policies register themselves in Policies
// and are named by a service's routing key.
type Policy interface {
	// Pick returns a usable target, or nil when there is none now. unit is a
	// random number in [0, 1).
	Pick(s *Slots, now time.Duration, unit float64) *slotState
	// Shares reports whether slots are divided among the entry hosts; without,
	// each host counts every slot as its own and targets refuse the excess.
	Shares() bool
	// Lends reports whether idle slots are lent to peers.
	Lends() bool
}

// Policies are the routing policies that there are.
var Policies = kernel.NewRegistry[Policy]("routing policy")

func init() {
	Policies.Register("shares", sharesPolicy{lends: true})
	Policies.Register("shares-alone", sharesPolicy{})
	Policies.Register("random", randomPolicy{})
	Policies.Register("round-robin", roundRobinPolicy{})
	Policies.Register("least-in-flight", leastPolicy{})
	Policies.Register("two-choices", twoChoicesPolicy{})
}

// sharesPolicy uses the host's own share and what it borrowed, and avoids
// suspects.
type sharesPolicy struct{ lends bool }

func (p sharesPolicy) Shares() bool { return true }
func (p sharesPolicy) Lends() bool  { return p.lends }

// enoughCandidates is the number of usable targets that a pick compares; at
// full size a host has slots at a thousand.
const enoughCandidates = 16

// Pick takes the healthy target with the most room, of some.
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
		if candidates == enoughCandidates {
			break
		}
	}
	s.turn++
	return best
}

// baseline is what the policies without shares have in common.
type baseline struct{}

func (baseline) Shares() bool { return false }
func (baseline) Lends() bool  { return false }

type randomPolicy struct{ baseline }

func (randomPolicy) Pick(s *Slots, now time.Duration, unit float64) *slotState {
	usable := s.usable(now)
	if len(usable) == 0 {
		return nil
	}
	return usable[int(unit*float64(len(usable)))]
}

type roundRobinPolicy struct{ baseline }

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

type leastPolicy struct{ baseline }

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

type twoChoicesPolicy struct{ baseline }

func (twoChoicesPolicy) Pick(s *Slots, now time.Duration, unit float64) *slotState {
	usable := s.usable(now)
	n := len(usable)
	if n == 0 {
		return nil
	}
	// One random number gives both choices: its place among n*n pairs.
	pair := int(unit * float64(n*n))
	first, second := usable[pair/n], usable[pair%n]
	if second.busy < first.busy {
		return second
	}
	return first
}

func (s *Slots) usable(now time.Duration) []*slotState {
	var usable []*slotState
	for _, state := range s.order {
		if state.usable(now) {
			usable = append(usable, state)
		}
	}
	return usable
}
