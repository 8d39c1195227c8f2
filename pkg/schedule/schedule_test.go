package schedule

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/admit"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/route"
	qt "github.com/frankban/quicktest"
)

func half() float64 { return 0.5 }

// newScheduler returns the scheduler of host "a" with one target of its own and
// a peer "b" with the given load.
func newScheduler(t *testing.T, slots int, peer route.PeerLoad) *Scheduler[string] {
	policy, err := route.Policies.Get("shares")
	qt.Assert(t, err, qt.IsNil)
	order, err := admit.Orderings.Get("fifo")
	qt.Assert(t, err, qt.IsNil)
	s := New[string]("a", 0.1)
	rules := Rules{Policy: policy, Order: order, Shares: func(string) admit.Share { return admit.Share{Weight: 1} }}
	s.Configure(rules, []route.Target{{Address: "10.0.0.1:1", Slots: slots}}, []string{"a"}, []route.Lender{{Host: "b", Near: true, PeerLoad: peer}})
	return s
}

func add(s *Scheduler[string], job string, tasks int) {
	s.Add(&admit.Item[string]{Job: job, Team: "t", Left: tasks})
}

func TestTasksWaitForSlots(t *testing.T) {
	s := newScheduler(t, 2, route.PeerLoad{})
	add(s, "j", 3)
	starts, _ := s.Pump(0, half)
	qt.Assert(t, starts, qt.HasLen, 2)
	s.Complete(starts[0], route.Served, false, time.Second)
	next, _ := s.Pump(time.Second, half)
	qt.Assert(t, next, qt.HasLen, 1)
	qt.Assert(t, s.Load(time.Second).Waiting, qt.Equals, 0)
}

func TestTaskThatDidNotStartIsRequeued(t *testing.T) {
	s := newScheduler(t, 1, route.PeerLoad{})
	add(s, "j", 1)
	starts, _ := s.Pump(0, half)
	s.Complete(starts[0], route.Full, true, 0)
	starts, _ = s.Pump(0, half)
	qt.Assert(t, starts, qt.HasLen, 0, qt.Commentf("a full target is paused"))
	at, ok := s.WakeAt(0)
	qt.Assert(t, ok, qt.IsTrue)
	starts, _ = s.Pump(at, half)
	qt.Assert(t, starts, qt.HasLen, 1)
}

// Guards against a borrower that uses recalled slots for its own queued tasks,
// or returns more slots than were recalled.
func TestRecalledSlotsAreReturnedFirst(t *testing.T) {
	s := newScheduler(t, 1, route.PeerLoad{Idle: 3, Usable: 3})
	add(s, "large", 20)
	_, messages := s.Pump(0, half)
	qt.Assert(t, messages, qt.HasLen, 1)
	qt.Assert(t, messages[0].Kind, qt.Equals, route.KindBorrow)
	s.Lending().OnLend("b", []route.Grant{{Address: "10.0.0.9:1", Count: 3}})
	starts, _ := s.Pump(0, half)
	qt.Assert(t, starts, qt.HasLen, 3)
	s.Lending().OnBorrow(route.Wish{Host: "b", Want: 1})
	for i, start := range starts {
		s.Complete(start, route.Served, false, time.Second)
		next, messages := s.Pump(time.Second, half)
		if i == 0 {
			qt.Assert(t, next, qt.HasLen, 0)
			qt.Assert(t, messages[0].Kind, qt.Equals, route.KindReturn)
			qt.Assert(t, route.CountSlots(messages[0].Grants), qt.Equals, 1)
			continue
		}
		qt.Assert(t, next, qt.HasLen, 1, qt.Commentf("slots that were not recalled are used again"))
	}
}

func TestAdmitCountsThePeers(t *testing.T) {
	scenarios := []struct {
		testName string
		peer     route.PeerLoad
		tasks    int
		expected errkind.Kind
	}{
		{"idle peer", route.PeerLoad{Idle: 8, Usable: 8}, 50, ""},
		{"busy peer", route.PeerLoad{Usable: 8, Waiting: 400}, 50, errkind.Overloaded},
		{"no slots anywhere else", route.PeerLoad{}, 50, errkind.Overloaded},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			s := newScheduler(t, 2, sc.peer)
			add(s, "j", 1)
			starts, _ := s.Pump(0, half)
			s.Complete(starts[0], route.Served, false, time.Second)
			err := s.Admit(Request{Team: "t", Tasks: sc.tasks, Left: 10 * time.Second, MaxQueue: 1000}, 0)
			if sc.expected == "" {
				qt.Assert(t, err == nil, qt.IsTrue)
				return
			}
			qt.Assert(t, err.Kind, qt.Equals, sc.expected)
		})
	}
}

// Guards against refusals by a host that owns no slots while all slots of its
// peers are in transit. Only a domain without usable targets refuses.
func TestAdmitWithoutOwnSlots(t *testing.T) {
	scenarios := []struct {
		testName string
		leaving  bool // the one target
		expected errkind.Kind
	}{
		{"slots in transit", false, ""},
		{"no target", true, errkind.NoTarget},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			s := newScheduler(t, 4, route.PeerLoad{})
			s.Configure(s.rules, []route.Target{{Address: "10.0.0.1:1", Slots: 4}}, []string{"b"}, []route.Lender{{Host: "b", Near: true}})
			s.SetLeaving("10.0.0.1:1", sc.leaving)
			err := s.Admit(Request{Team: "t", Tasks: 1, Left: time.Second, MaxQueue: 10}, 0)
			if sc.expected == "" {
				qt.Assert(t, err == nil, qt.IsTrue)
				return
			}
			qt.Assert(t, err.Kind, qt.Equals, sc.expected)
		})
	}
}

func TestRetriesPauseWhenBudgetIsUsedUp(t *testing.T) {
	s := newScheduler(t, 1000, route.PeerLoad{})
	add(s, "j", 500)
	starts, _ := s.Pump(0, half)
	qt.Assert(t, starts, qt.HasLen, 500)
	for _, start := range starts {
		s.Complete(start, route.Withdrawn, true, 0)
	}
	again, _ := s.Pump(0, half)
	qt.Assert(t, again, qt.HasLen, 0, qt.Commentf("500 retries exceed the budget"))
	at, ok := s.WakeAt(0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, at, qt.Equals, retryPause)
}
