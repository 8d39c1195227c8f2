package common

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// apartTolerance is how far the time of day may move against the steady clock before a
// clock looks whether the machine was suspended. A time of day that is slewed moves by half
// a millisecond a second, and a look costs a few system calls.
const apartTolerance = time.Millisecond

// NewSystemClock returns a clock that counts from now.
func NewSystemClock() Clock {
	clock, _ := newSystemClock(systemTime{start: time.Now()}) // without an error it is as good as the steady clock
	return clock
}

// timeSource is what a system clock is read from.
type timeSource interface {
	// now returns the steady time since the start, which stands still while the machine is
	// suspended, and the time of day, in nanoseconds since 1970.
	now() (steady time.Duration, day int64)
	// suspended returns for how long the machine has been suspended since it was booted, or
	// a little less.
	suspended() (time.Duration, error)
}

// systemClock is the steady clock and the time for which the machine was suspended. That is
// asked for only when the time of day has moved against the steady clock, as it does then:
// asking costs a system call, and the clock is read at every event.
type systemClock struct {
	source timeSource
	before time.Duration // suspended before the start
	apart  atomic.Int64  // time of day less steady time at the last look, in nanoseconds
	asleep atomic.Int64  // suspended since the start, in nanoseconds
}

func newSystemClock(source timeSource) (Clock, error) {
	c := &systemClock{source: source}
	steady, day := source.now()
	c.apart.Store(day - int64(steady))
	before, err := source.suspended()
	c.before = before
	return c, err
}

// Now implements Clock.
func (c *systemClock) Now() time.Duration {
	steady, day := c.source.now()
	apart := day - int64(steady)
	if moved := time.Duration(apart - c.apart.Load()); moved.Abs() > apartTolerance {
		c.look(apart)
	}
	return steady + time.Duration(c.asleep.Load())
}

// look takes in for how long the machine was suspended. Where that can't be told any more,
// the clock goes on as the steady one.
func (c *systemClock) look(apart int64) {
	if total, err := c.source.suspended(); err == nil {
		c.raise(int64(total - c.before))
	}
	c.apart.Store(apart)
}

// raise sets the time suspended, which never goes down.
func (c *systemClock) raise(asleep int64) {
	for {
		known := c.asleep.Load()
		if asleep <= known || c.asleep.CompareAndSwap(known, asleep) {
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

// readings is how often the two clocks are read for one look, and longestReading how long it
// may take between them: a process that is held up there would count that time.
const (
	readings       = 5
	longestReading = 200 * time.Microsecond
)

func (systemTime) suspended() (time.Duration, error) {
	var least time.Duration
	for range readings {
		boot, err := clockTime(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		steady, err := clockTime(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		after, err := clockTime(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		least = max(least, boot-steady) // the steady clock is read later, so that this is never too much
		if after-boot <= longestReading {
			break
		}
	}
	return least, nil
}

func clockTime(id int32) (time.Duration, error) {
	var spec unix.Timespec
	if err := unix.ClockGettime(id, &spec); err != nil {
		return 0, errors.Wrap(err, "the machine's clocks can't be read")
	}
	return time.Duration(spec.Nano()), nil
}
