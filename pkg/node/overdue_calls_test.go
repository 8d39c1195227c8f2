package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	qt "github.com/frankban/quicktest"
)

// A call must be reported as overdue once, and still accept a late answer.
func TestAnOverdueCallAcceptsALateAnswer(t *testing.T) {
	type scenario struct {
		testName string
		takes    time.Duration
		late     bool
	}
	scenarios := []scenario{
		{testName: "answered in time", takes: 0},
		{testName: "answered late", takes: 60 * time.Millisecond, late: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			var all overdueCalls
			var reports atomic.Int32
			call := all.begin(20*time.Millisecond, func() { reports.Add(1) })
			c.Assert(call.timeout > 20*time.Millisecond, qt.IsTrue, qt.Commentf("a late answer is accepted"))
			time.Sleep(s.takes)
			c.Assert(call.finish(), qt.Equals, s.late)
			time.Sleep(40 * time.Millisecond)
			c.Assert(reports.Load() == 1, qt.Equals, s.late)
			c.Assert(all.count.Load(), qt.Equals, int64(0))
		})
	}
}

func TestOverdueCallsAreBounded(t *testing.T) {
	c := qt.New(t)
	var all overdueCalls
	all.count.Store(maxOverdueCalls)
	call := all.begin(20*time.Millisecond, func() { t.Error("reported as overdue, although the call ends at its timeout") })
	c.Assert(call.timeout, qt.Equals, 20*time.Millisecond)
	time.Sleep(40 * time.Millisecond)
	c.Assert(call.finish(), qt.IsFalse)
	c.Assert(all.count.Load(), qt.Equals, int64(maxOverdueCalls))
}

// Lost commands must not count as round trips: they would raise the timeout, and each
// further loss would be detected later.
func TestLostCommandsDoNotRaiseTheTimeout(t *testing.T) {
	c := qt.New(t)
	calls := newCalls(nil, nil, 0)
	for i := range 100 {
		verdict, trip := cell.Accepted, 3*time.Millisecond
		if i%5 == 0 {
			verdict, trip = cell.Unanswered, minRoundTrip+lateAnswerWindow
		}
		calls.observe(verdict, trip)
	}
	c.Assert(calls.roundTrips.Timeout(), qt.Equals, minRoundTrip)
	for range 20 {
		calls.observe(cell.Accepted, 150*time.Millisecond) // late answers on a congested link
	}
	c.Assert(calls.roundTrips.Timeout() > 150*time.Millisecond, qt.IsTrue)
}
