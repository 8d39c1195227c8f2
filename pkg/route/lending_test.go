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

func kinds(deals []Deal) []DealKind {
	var list []DealKind
	for _, deal := range deals {
		list = append(list, deal.Kind)
	}
	return list
}

func TestBorrowAsksOnlyAsManyAsNeeded(t *testing.T) {
	scenarios := []struct {
		testName string
		need     Need
		asked    int
	}{
		{"nothing waits", Need{}, 0},
		{"one peer's idle slots cover it", Need{Tasks: 3}, 1},
		{"two peers cover it", Need{Tasks: 6}, 2},
		{"a large job asks all", Need{Tasks: 960}, 3},
		{"not waited long enough", Need{Tasks: 6, Waited: time.Millisecond, After: time.Second}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			l := lendingOf("b", "c", "d")
			deals := l.Balance(s.need, 0)
			qt.Assert(t, deals, qt.HasLen, s.asked)
			qt.Assert(t, l.Balance(s.need, 0), qt.HasLen, 0, qt.Commentf("asked again"))
		})
	}
}

// TestStaleIdleCounts: a peer that turns out to have less than it told does
// not keep the others from being asked for the rest.
func TestStaleIdleCounts(t *testing.T) {
	l := lendingOf("b", "c")
	l.SetLoad("b", PeerLoad{Idle: 20, Usable: 20})
	deals := l.Balance(Need{Tasks: 10}, 0)
	qt.Assert(t, deals, qt.HasLen, 1)
	l.OnHand("b", []Grant{{Address: "10.0.0.0:1", Count: 3}})
	deals = l.Balance(Need{Tasks: 7}, 0)
	qt.Assert(t, deals, qt.HasLen, 1)
	qt.Assert(t, deals[0].Host, qt.Equals, "c")
	qt.Assert(t, deals[0].Want, qt.Equals, 7)
}

func TestNearPeersAreAskedFirst(t *testing.T) {
	l := NewLending(newSlots("shares", "b"))
	l.SetLenders([]Lender{
		{Host: "far", PeerLoad: PeerLoad{Idle: 9}},
		{Host: "parted", Near: true, Parted: true, PeerLoad: PeerLoad{Idle: 9}},
		{Host: "b", Near: true, PeerLoad: PeerLoad{Idle: 1}},
	})
	deals := l.Balance(Need{Tasks: 1}, 0)
	qt.Assert(t, deals, qt.HasLen, 1)
	qt.Assert(t, deals[0].Host, qt.Equals, "b")
}

func TestIdleSlotsGoToTheFirstInOrder(t *testing.T) {
	l := lendingOf("b", "c")
	l.OnAsk(Wish{Host: "b", Want: 2, Place: 5})
	l.OnAsk(Wish{Host: "c", Want: 3, Place: 4})
	deals := l.Balance(Need{}, 10)
	qt.Assert(t, kinds(deals), qt.DeepEquals, []DealKind{Hand, Hand})
	qt.Assert(t, deals[0].Host, qt.Equals, "c")
	qt.Assert(t, CountSlots(deals[0].Grants), qt.Equals, 3)
}

// TestYield: a host whose tasks wait gives slots up only for a job that comes
// well before its own first, no more than wanted, its own slots and borrowed.
func TestYield(t *testing.T) {
	scenarios := []struct {
		testName string
		want     int
		place    time.Duration
		expected []DealKind
	}{
		{"a later job", 2, 2 * time.Second, nil},
		{"hardly earlier", 2, time.Second - yieldMargin/2, nil},
		{"much earlier", 2, 0, []DealKind{Hand}},
		{"much earlier, wants much", 99, 0, []DealKind{Hand, HandBack}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			l := lendingOf("b", "c")
			l.OnHand("c", []Grant{{Address: "10.9.9.9:1", Count: 3}})
			l.OnAsk(Wish{Host: "b", Want: s.want, Place: s.place})
			qt.Assert(t, kinds(l.Yield(Need{Tasks: 1, Place: time.Second, Yield: true}, 0)), qt.DeepEquals, s.expected)
		})
	}
}

func TestLenderWithWaitingTasksKeepsItsSlots(t *testing.T) {
	l := lendingOf("b")
	l.OnAsk(Wish{Host: "b", Want: 2})
	for _, deal := range l.Balance(Need{Tasks: 5}, 0) {
		qt.Assert(t, deal.Kind, qt.Equals, Ask)
	}
}

func TestBorrowedSlotsGoBack(t *testing.T) {
	scenarios := []struct {
		testName string
		need     Need
		recall   bool
		expected []DealKind
	}{
		{"when no task waits", Need{}, false, []DealKind{HandBack}},
		{"when the lender wants them", Need{Tasks: 1}, true, []DealKind{HandBack, Ask}},
		{"not while tasks wait", Need{Tasks: 1}, false, []DealKind{Ask}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			l := lendingOf("b")
			l.OnHand("b", []Grant{{Address: "10.0.0.0:1", Count: 2}})
			if s.recall {
				l.OnAsk(Wish{Host: "b", Want: 1})
			}
			deals := append(l.Yield(s.need, 0), l.Balance(s.need, 0)...)
			qt.Assert(t, kinds(deals), qt.DeepEquals, s.expected)
		})
	}
}

// TestRecallAgain: slots that came back count as what was wished for, so that
// the next task asks again, and a greater need asks for more.
func TestRecallAgain(t *testing.T) {
	l := lendingOf("b")
	l.OnAsk(Wish{Host: "b", Want: 6})
	lent := l.Balance(Need{}, 0)[0].Grants
	l.SetLoad("b", PeerLoad{})
	qt.Assert(t, kinds(l.Balance(Need{Tasks: 1}, 0)), qt.DeepEquals, []DealKind{Ask})
	more := l.Balance(Need{Tasks: 4}, 0)
	qt.Assert(t, more, qt.HasLen, 1)
	qt.Assert(t, more[0].Want, qt.Equals, 4)
	l.OnHandBack("b", []Grant{{Address: lent[0].Address, Count: 1}})
	l.OnHandBack("b", []Grant{{Address: lent[0].Address, Count: 3}})
	qt.Assert(t, kinds(l.Balance(Need{Tasks: 1}, 0)), qt.DeepEquals, []DealKind{Ask})
}

func TestUndeliveredDeals(t *testing.T) {
	l := lendingOf("b")
	before := l.slots.Usable()
	l.OnAsk(Wish{Host: "b", Want: 2})
	deals := l.Balance(Need{}, 0)
	qt.Assert(t, l.slots.Usable(), qt.Equals, before-2)
	l.Undelivered(deals[0])
	qt.Assert(t, l.slots.Usable(), qt.Equals, before)
	asked := l.Balance(Need{Tasks: 1}, 0)
	l.Undelivered(asked[0])
	qt.Assert(t, kinds(l.Balance(Need{Tasks: 1}, 0)), qt.DeepEquals, []DealKind{Ask})
}

// TestGoneHost: what was lent to a host that is gone comes back, and what was
// borrowed from it is not used any more.
func TestGoneHost(t *testing.T) {
	l := lendingOf("b", "c")
	before := l.slots.Usable()
	l.OnAsk(Wish{Host: "b", Want: 2})
	l.Balance(Need{}, 0)
	l.OnHand("b", []Grant{{Address: "10.9.9.9:1", Count: 3}})
	l.SetLenders([]Lender{{Host: "c", Near: true}})
	qt.Assert(t, l.slots.Usable(), qt.Equals, before)
}
