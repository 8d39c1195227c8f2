package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func lendingOf(owners ...string) *Lending {
	l := NewLending(newSlots("shares", owners...))
	var lenders []Lender
	for _, owner := range owners {
		lenders = append(lenders, Lender{Host: owner, Near: true, PeerLoad: PeerLoad{Idle: 4, Usable: 8}})
	}
	l.SetLenders(lenders)
	return l
}

func kinds(messages []Message) []MessageKind {
	var list []MessageKind
	for _, message := range messages {
		list = append(list, message.Kind)
	}
	return list
}

func TestBorrowRequestsFromAsFewPeersAsNeeded(t *testing.T) {
	scenarios := []struct {
		testName string
		need     Need
		asked    int
	}{
		{"no queued task", Need{}, 0},
		{"one peer's idle slots cover it", Need{Tasks: 3}, 1},
		{"two peers cover it", Need{Tasks: 6}, 2},
		{"a large job asks all", Need{Tasks: 960}, 3},
		{"not waited long enough", Need{Tasks: 6, Waited: time.Millisecond, After: time.Second}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			l := lendingOf("b", "c", "d")
			messages := l.Balance(s.need, 0)
			qt.Assert(t, messages, qt.HasLen, s.asked)
			qt.Assert(t, l.Balance(s.need, 0), qt.HasLen, 0, qt.Commentf("asked again"))
		})
	}
}

// Guards against the rest not being requested from another peer when a peer
// lends fewer slots than it reported idle.
func TestLoanSmallerThanReportedIdleSlots(t *testing.T) {
	l := lendingOf("b", "c")
	l.SetLoad("b", PeerLoad{Idle: 20, Usable: 20})
	messages := l.Balance(Need{Tasks: 10}, 0)
	qt.Assert(t, messages, qt.HasLen, 1)
	l.OnLend("b", []Grant{{Address: "10.0.0.0:1", Count: 3}})
	messages = l.Balance(Need{Tasks: 7}, 0)
	qt.Assert(t, messages, qt.HasLen, 1)
	qt.Assert(t, messages[0].Host, qt.Equals, "c")
	qt.Assert(t, messages[0].Want, qt.Equals, 7)
}

func TestNearPeersAreAskedFirst(t *testing.T) {
	l := NewLending(newSlots("shares", "b"))
	l.SetLenders([]Lender{
		{Host: "far", PeerLoad: PeerLoad{Idle: 9}},
		{Host: "leaving", Near: true, Leaving: true, PeerLoad: PeerLoad{Idle: 9}},
		{Host: "b", Near: true, PeerLoad: PeerLoad{Idle: 1}},
	})
	messages := l.Balance(Need{Tasks: 1}, 0)
	qt.Assert(t, messages, qt.HasLen, 1)
	qt.Assert(t, messages[0].Host, qt.Equals, "b")
}

func TestIdleSlotsAreLentByOrderKey(t *testing.T) {
	l := lendingOf("b", "c")
	l.OnBorrow(Wish{Host: "b", Want: 2, Place: 5})
	l.OnBorrow(Wish{Host: "c", Want: 3, Place: 4})
	messages := l.Balance(Need{}, 10)
	qt.Assert(t, kinds(messages), qt.DeepEquals, []MessageKind{KindLend, KindLend})
	qt.Assert(t, messages[0].Host, qt.Equals, "c")
	qt.Assert(t, CountSlots(messages[0].Grants), qt.Equals, 3)
}

func TestLenderWithWaitingTasksKeepsItsSlots(t *testing.T) {
	l := lendingOf("b")
	l.OnBorrow(Wish{Host: "b", Want: 2})
	for _, message := range l.Balance(Need{Tasks: 5}, 0) {
		qt.Assert(t, message.Kind, qt.Equals, KindBorrow)
	}
}

func TestBorrowedSlotsAreReturned(t *testing.T) {
	scenarios := []struct {
		testName string
		need     Need
		recall   bool
		expected []MessageKind
	}{
		{"when no task is queued", Need{}, false, []MessageKind{KindReturn}},
		{"when the lender recalls them", Need{Tasks: 1}, true, []MessageKind{KindReturn, KindBorrow}},
		{"not while tasks are queued", Need{Tasks: 1}, false, []MessageKind{KindBorrow}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			l := lendingOf("b")
			l.OnLend("b", []Grant{{Address: "10.0.0.0:1", Count: 2}})
			if s.recall {
				l.OnBorrow(Wish{Host: "b", Want: 1})
			}
			messages := append(l.ReturnRecalled(), l.Balance(s.need, 0)...)
			qt.Assert(t, kinds(messages), qt.DeepEquals, s.expected)
		})
	}
}

// Guards against a recall that stays open after the slots were returned, and
// against one that does not grow with the demand.
func TestRecallAgain(t *testing.T) {
	l := lendingOf("b")
	l.OnBorrow(Wish{Host: "b", Want: 6})
	lent := l.Balance(Need{}, 0)[0].Grants
	l.SetLoad("b", PeerLoad{})
	qt.Assert(t, kinds(l.Balance(Need{Tasks: 1}, 0)), qt.DeepEquals, []MessageKind{KindBorrow})
	more := l.Balance(Need{Tasks: 4}, 0)
	qt.Assert(t, more, qt.HasLen, 1)
	qt.Assert(t, more[0].Want, qt.Equals, 4)
	l.OnReturn("b", []Grant{{Address: lent[0].Address, Count: 1}})
	l.OnReturn("b", []Grant{{Address: lent[0].Address, Count: 3}})
	qt.Assert(t, kinds(l.Balance(Need{Tasks: 1}, 0)), qt.DeepEquals, []MessageKind{KindBorrow})
}

func TestUndeliveredMessages(t *testing.T) {
	l := lendingOf("b")
	before := l.slots.Usable()
	l.OnBorrow(Wish{Host: "b", Want: 2})
	messages := l.Balance(Need{}, 0)
	qt.Assert(t, l.slots.Usable(), qt.Equals, before-2)
	l.Undelivered(messages[0])
	qt.Assert(t, l.slots.Usable(), qt.Equals, before)
	asked := l.Balance(Need{Tasks: 1}, 0)
	l.Undelivered(asked[0])
	qt.Assert(t, kinds(l.Balance(Need{Tasks: 1}, 0)), qt.DeepEquals, []MessageKind{KindBorrow})
}

// Guards against loans that outlive a removed host, in either direction.
func TestRemovedHost(t *testing.T) {
	l := lendingOf("b", "c")
	before := l.slots.Usable()
	l.OnBorrow(Wish{Host: "b", Want: 2})
	l.Balance(Need{}, 0)
	l.OnLend("b", []Grant{{Address: "10.9.9.9:1", Count: 3}})
	l.SetLenders([]Lender{{Host: "c", Near: true}})
	qt.Assert(t, l.slots.Usable(), qt.Equals, before)
}
