package route

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func targets(n, slots int) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: slots})
	}
	return list
}

func policy(name string) Policy {
	p, err := Policies.Get(name)
	if err != nil {
		panic(err)
	}
	return p
}

func newSlots(name string, owners ...string) *Slots {
	s := NewSlots("a", policy(name))
	s.SetTargets(targets(4, 8), append(owners, "a"))
	return s
}

// Guards against slots that no host or two hosts own, and against a leaving host
// that takes slots from the others.
func TestSharesCoverEachSlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 9, rapid.ID[string]).Draw(t, "owners")
		target := Target{Address: rapid.StringMatching(`10\.0\.0\.[0-9]{1,3}:1`).Draw(t, "address"), Slots: rapid.IntRange(1, 64).Draw(t, "slots")}
		sum := 0
		for _, owner := range owners {
			share := Share(target, owners, owner)
			sum += share
			if len(owners) > 1 && owner != owners[0] {
				same(t, Share(target, owners[1:], owner) >= share, true)
			}
		}
		same(t, sum, target.Slots)
	})
}

// Guards against a host that uses more slots than it owns and has borrowed, less
// those it lent, under random sequences of calls.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSlots("shares", "b", "c")
		owned := s.Usable()
		var taken []string
		borrowed, lent := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) {
				if address, ok := s.Acquire(0, 0.5); ok {
					taken = append(taken, address)
				}
			},
			"release": func(t *rapid.T) {
				if len(taken) == 0 {
					t.Skip()
				}
				s.Release(taken[0], 0, Served, 0)
				taken = taken[1:]
			},
			"lend": func(t *rapid.T) {
				lent += CountSlots(s.Lend("b", rapid.IntRange(1, 9).Draw(t, "want"), 0))
			},
			"borrow": func(*rapid.T) {
				s.AddBorrowed("c", []Grant{{Address: "10.9.9.9:1", Count: 2}})
				borrowed += 2
			},
			"return idle": func(*rapid.T) {
				for _, grants := range s.ReturnIdle() {
					borrowed -= CountSlots(grants)
				}
			},
			"reclaim": func(*rapid.T) {
				s.Reclaim("b", []Grant{{Address: "10.0.0.1:1", Count: 8}})
				lent = s.LentTo("b")
			},
			"": func(t *rapid.T) {
				same(t, s.Busy(), len(taken))
				same(t, s.LentTo("b"), lent)
				same(t, s.BorrowedSum(), borrowed)
				same(t, s.Usable(), owned+borrowed-lent)
				same(t, s.Busy() <= s.Usable(), true)
			},
		})
	})
}

func TestOutcomesPauseTargets(t *testing.T) {
	scenarios := []struct {
		testName string
		outcome  Outcome
		pause    time.Duration
	}{
		{"served", Served, 0},
		{"full", Full, fullPause},
		{"leaving", LeavingNow, leavingPause},
		{"unreachable", Unreachable, minUnreachablePause},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			slots := NewSlots("a", policy("shares"))
			slots.SetTargets(targets(1, 1), []string{"a"})
			address, ok := slots.Acquire(0, 0)
			qt.Assert(t, ok, qt.IsTrue)
			slots.Release(address, 0, s.outcome, 0)
			if s.pause > 0 {
				_, ok = slots.Acquire(s.pause-1, 0)
				qt.Assert(t, ok, qt.IsFalse)
				at, pausing := slots.NextUsableAt(0)
				qt.Assert(t, pausing, qt.IsTrue)
				qt.Assert(t, at, qt.Equals, s.pause)
			}
			_, ok = slots.Acquire(s.pause, 0)
			qt.Assert(t, ok, qt.IsTrue)
		})
	}
}

func TestListedLeavingTargetGetsNothing(t *testing.T) {
	s := NewSlots("a", policy("shares"))
	s.SetTargets(targets(1, 2), []string{"a"})
	s.SetLeaving("10.0.0.0:1", true)
	_, ok := s.Acquire(0, 0)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, s.Lend("b", 2, 0), qt.HasLen, 0)
	s.SetLeaving("10.0.0.0:1", false)
	_, ok = s.Acquire(0, 0)
	qt.Assert(t, ok, qt.IsTrue)
}

// Guards against a slow target that is not detected, is probed too often, or
// stays a suspect after it has recovered.
func TestSlowTarget(t *testing.T) {
	const slow = "10.0.0.0:1"
	s := newSlots("shares")
	now, attempts := time.Duration(0), map[string]int{}
	run := func(rounds int, slowTime time.Duration) {
		for range rounds {
			address, ok := s.Acquire(now, 0)
			qt.Assert(t, ok, qt.IsTrue)
			attempts[address]++
			took := 100 * time.Millisecond
			if address == slow {
				took = slowTime
			}
			s.Release(address, now, Served, now+took)
			now += 10 * time.Millisecond
		}
	}
	run(40, 100*time.Millisecond)
	qt.Assert(t, s.Suspects(), qt.HasLen, 0)
	run(40, time.Second)
	qt.Assert(t, s.Suspects(), qt.DeepEquals, []string{slow})
	attempts = map[string]int{}
	run(400, time.Second)
	qt.Assert(t, attempts[slow] > 0 && attempts[slow] <= 3, qt.IsTrue, qt.Commentf("%d probes in 4 s", attempts[slow]))
	run(6000, 100*time.Millisecond)
	qt.Assert(t, s.Suspects(), qt.HasLen, 0)
}

func TestHangingTargetIsSuspectedBeforeItAnswers(t *testing.T) {
	s := newSlots("shares")
	for range 20 {
		address, _ := s.Acquire(0, 0)
		s.Release(address, 0, Served, 100*time.Millisecond)
	}
	hanging, _ := s.Acquire(time.Second, 0)
	for range 31 {
		s.Acquire(2*time.Second, 0)
	}
	qt.Assert(t, s.Suspects(), qt.DeepEquals, []string{hanging})
}

// Guards against more than a third of the targets becoming suspects, and so
// against the only target becoming one.
func TestSuspectsAreLimited(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := NewSlots("a", policy("shares"))
			s.SetTargets(targets(n, 8), []string{"a"})
			for range 50 {
				address, _ := s.Acquire(0, 0)
				s.Release(address, 0, Served, time.Millisecond)
			}
			for range 7 * n {
				s.Acquire(time.Second, 0)
			}
			s.Acquire(time.Minute, 0)
			qt.Assert(t, s.Suspects(), qt.HasLen, n/3)
		})
	}
}

func TestNextUsableAtIsTheNextProbe(t *testing.T) {
	s := NewSlots("a", policy("shares"))
	s.SetTargets(targets(3, 2), []string{"a"})
	for range 50 {
		address, _ := s.Acquire(0, 0)
		s.Release(address, 0, Served, time.Millisecond)
	}
	for range 3 {
		s.Acquire(time.Second, 0)
	}
	for range 2 {
		s.Acquire(2*time.Second, 0) // detects the hanging attempts, and takes the remaining slots
	}
	qt.Assert(t, s.Suspects(), qt.HasLen, 1)
	s.Release(s.Suspects()[0], time.Second, Served, 2*time.Second)
	_, ok := s.Acquire(2*time.Second, 0)
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("only a suspect has room"))
	at, ok := s.NextUsableAt(2 * time.Second)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = s.Acquire(at, 0)
	qt.Assert(t, ok, qt.IsTrue)
}

func TestUnsharedPoliciesUseEverySlot(t *testing.T) {
	for _, name := range []string{"random", "round-robin", "least-in-flight", "two-choices"} {
		t.Run(name, func(t *testing.T) {
			s := newSlots(name, "b", "c")
			for i := range 32 {
				_, ok := s.Acquire(0, float64(i%10)/10)
				qt.Assert(t, ok, qt.IsTrue)
			}
			_, ok := s.Acquire(0, 0.5)
			qt.Assert(t, ok, qt.IsFalse)
		})
	}
}

// same replaces qt.Assert, which does not accept a rapid.T.
func same[T comparable](t *rapid.T, got, wanted T) {
	if got != wanted {
		t.Fatalf("got %v, wanted %v", got, wanted)
	}
}
