package node

import (
	"sync/atomic"
	"time"
)

// overdueCalls counts the calls that still wait for an answer after their timeout. They
// keep waiting so that a late answer can be distinguished from a lost one.
type overdueCalls struct{ count atomic.Int64 }

const (
	// lateAnswerWindow is how long after its timeout a call still accepts an answer: as
	// much as the timeout itself may grow.
	lateAnswerWindow = maxRoundTrip
	// maxOverdueCalls is how many calls may be overdue at once, as each one holds a goroutine
	// and a connection, about 20 KB. Beyond that, calls end at their timeout.
	maxOverdueCalls = 256
)

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	timeout      time.Duration // of the underlying call; includes the window for late answers
	overdueCalls *overdueCalls
	timer        *time.Timer
	onOverdue    func()
	state        atomic.Int32
}

// States of a pending call.
const (
	callPending  int32 = iota // not answered yet, within its timeout
	callOverdue               // not answered within its timeout; onOverdue has been called
	callAnswered              // ended within its timeout
)

// begin returns a pending call. Unless the call ends within timeout, onOverdue is
// called and a late answer is still accepted. When too many calls are overdue already, the
// call ends at its timeout instead.
func (l *overdueCalls) begin(timeout time.Duration, onOverdue func()) *pendingCall {
	if l.count.Load() >= maxOverdueCalls {
		return &pendingCall{timeout: timeout, overdueCalls: l}
	}
	call := &pendingCall{timeout: timeout + lateAnswerWindow, overdueCalls: l, onOverdue: onOverdue}
	call.timer = time.AfterFunc(timeout, call.markOverdue)
	return call
}

func (c *pendingCall) markOverdue() {
	c.overdueCalls.count.Add(1)
	if c.state.CompareAndSwap(callPending, callOverdue) {
		c.onOverdue()
		return
	}
	c.overdueCalls.count.Add(-1)
}

// finish records the end of the call and reports whether it was overdue.
func (c *pendingCall) finish() (late bool) {
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.state.CompareAndSwap(callPending, callAnswered) {
		return false
	}
	c.overdueCalls.count.Add(-1)
	return true
}
