package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	qt "github.com/frankban/quicktest"
)

func TestACallIsOverdueOnceAndListensOn(t *testing.T) {
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
			var all listeners
			var overdueCalls atomic.Int32
			call := all.listen(20*time.Millisecond, func() { overdueCalls.Add(1) })
			c.Assert(call.within > 20*time.Millisecond, qt.IsTrue, qt.Commentf("an answer may come later"))
			time.Sleep(s.takes)
			c.Assert(call.ended(), qt.Equals, s.late)
			time.Sleep(40 * time.Millisecond)
			c.Assert(overdueCalls.Load() == 1, qt.Equals, s.late)
			c.Assert(all.count.Load(), qt.Equals, int64(0))
		})
	}
}

func TestCallsThatListenOnAreBounded(t *testing.T) {
	c := qt.New(t)
	var all listeners
	all.count.Store(mostListeners)
	call := all.listen(20*time.Millisecond, func() { t.Error("it ends in place of that") })
	c.Assert(call.within, qt.Equals, 20*time.Millisecond)
	time.Sleep(40 * time.Millisecond)
	c.Assert(call.ended(), qt.IsFalse)
	c.Assert(all.count.Load(), qt.Equals, int64(mostListeners))
}

// One order in five that is lost would else raise the timeout to its limit, in which
// time the answer to each further one that is lost is waited for.
func TestLostOrdersDoNotLengthenTheWaitForOthers(t *testing.T) {
	c := qt.New(t)
	calls := newCalls(nil, nil, 0)
	for i := range 100 {
		verdict, trip := cell.Accepted, 3*time.Millisecond
		if i%5 == 0 {
			verdict, trip = cell.Unanswered, shortestRoundTrip+listenFor
		}
		calls.observe(verdict, trip)
	}
	c.Assert(calls.trips.Timeout(), qt.Equals, shortestRoundTrip)
	for range 20 {
		calls.observe(cell.Accepted, 150*time.Millisecond) // late answers of a full link
	}
	c.Assert(calls.trips.Timeout() > 150*time.Millisecond, qt.IsTrue)
}
