package node

import (
	"sync/atomic"
	"time"
)

// listeners are calls that go on listening after they are overdue. A late answer and
// none are different things, and only a call that listens can tell them apart.
type listeners struct{ count atomic.Int64 }

const (
	// listenFor is how much longer than in time an answer may come: as long as the
	// round trips of late may grow.
	listenFor = longestRoundTrip
	// mostListeners is how many calls may be overdue at once; each one keeps a goroutine
	// and a connection, about 20 KB. Others end when they are overdue.
	mostListeners = 256
)

// listening is one call.
type listening struct {
	within  time.Duration // the call may take
	all     *listeners
	timer   *time.Timer
	overdue func()
	state   atomic.Int32
}

// States of a call.
const (
	awaited  int32 = iota // it may be answered in time
	overdue               // it has been called overdue
	answered              // it has ended in time
)

// listen has overdue called unless the call ends in time.
func (l *listeners) listen(inTime time.Duration, callOverdue func()) *listening {
	if l.count.Load() >= mostListeners {
		return &listening{within: inTime, all: l}
	}
	call := &listening{within: inTime + listenFor, all: l, overdue: callOverdue}
	call.timer = time.AfterFunc(inTime, call.becomeOverdue)
	return call
}

func (c *listening) becomeOverdue() {
	c.all.count.Add(1)
	if c.state.CompareAndSwap(awaited, overdue) {
		c.overdue()
		return
	}
	c.all.count.Add(-1)
}

// ended takes the end of the call, and reports whether it was overdue.
func (c *listening) ended() (late bool) {
	if c.timer != nil {
		c.timer.Stop()
	}
	if c.state.CompareAndSwap(awaited, answered) {
		return false
	}
	c.all.count.Add(-1)
	return true
}
