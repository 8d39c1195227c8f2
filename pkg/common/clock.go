package common

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// offsetTolerance is how far the wall clock may drift from the monotonic clock before a
// system clock checks whether the machine was suspended. The check costs a few system
// calls; a slewed wall clock drifts by half a millisecond per second.
const offsetTolerance = time.Millisecond

// NewSystemClock returns a clock that starts now.
func NewSystemClock() Clock {
	clock, _ := newSystemClock(systemTime{start: time.Now()}) // on an error it is the monotonic clock
	return clock
}

// timeSource reads the machine's clocks.
type timeSource interface {
	// now returns the monotonic time since the start, which stops while the machine is
	// suspended, and the wall clock in Unix nanoseconds.
	now() (monotonic time.Duration, wall int64)
	// suspended returns how long the machine has been suspended since it was booted. The
	// result may be slightly too low, never too high.
	suspended() (time.Duration, error)
}

// systemClock is the monotonic clock plus the time for which the machine was suspended.
// A suspension moves the wall clock against the monotonic clock, so the suspended time is
// read only after such a move: reading it costs system calls, and Now is called at every
// event.
type systemClock struct {
	source          timeSource
	suspendedBefore time.Duration // suspended time before the start
	offset          atomic.Int64  // wall clock less monotonic clock at the last check, in nanoseconds
	suspendedSince  atomic.Int64  // suspended time since the start, in nanoseconds
}

func newSystemClock(source timeSource) (Clock, error) {
	c := &systemClock{source: source}
	monotonic, wall := source.now()
	c.offset.Store(wall - int64(monotonic))
	before, err := source.suspended()
	c.suspendedBefore = before
	return c, err
}

// Now implements Clock.
func (c *systemClock) Now() time.Duration {
	monotonic, wall := c.source.now()
	offset := wall - int64(monotonic)
	if moved := time.Duration(offset - c.offset.Load()); moved.Abs() > offsetTolerance {
		c.updateSuspended(offset)
	}
	return monotonic + time.Duration(c.suspendedSince.Load())
}

// updateSuspended reads the suspended time. When it can't be read, the clock goes on
// without counting further suspensions.
func (c *systemClock) updateSuspended(offset int64) {
	if total, err := c.source.suspended(); err == nil {
		c.raiseSuspended(int64(total - c.suspendedBefore))
	}
	c.offset.Store(offset)
}

// raiseSuspended sets the suspended time unless that would lower it.
func (c *systemClock) raiseSuspended(suspended int64) {
	for {
		known := c.suspendedSince.Load()
		if suspended <= known || c.suspendedSince.CompareAndSwap(known, suspended) {
			return
		}
	}
}

// systemTime reads the machine's clocks.
type systemTime struct{ start time.Time }

func (s systemTime) now() (time.Duration, int64) {
	now := time.Now()
	return now.Sub(s.start), now.UnixNano()
}

// The two clocks are read up to maxReadings times, until a reading takes at most
// maxReadingTime. A process that is preempted between them reads too low a result.
const (
	maxReadings    = 5
	maxReadingTime = 200 * time.Microsecond
)

func (systemTime) suspended() (time.Duration, error) {
	var least time.Duration
	for range maxReadings {
		boot, err := clockTime(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		monotonic, err := clockTime(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		after, err := clockTime(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		least = max(least, boot-monotonic) // the monotonic clock is read later, so the difference is never too high
		if after-boot <= maxReadingTime {
			break
		}
	}
	return least, nil
}

func clockTime(id int32) (time.Duration, error) {
	var spec unix.Timespec
	if err := unix.ClockGettime(id, &spec); err != nil {
		return 0, errors.Wrap(err, "clock_gettime failed")
	}
	return time.Duration(spec.Nano()), nil
}
