package common

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

type fakeTime struct {
	monotonic      time.Duration
	wall           time.Duration
	suspendedFor   time.Duration
	suspendedCalls int
	err            error
}

func (f *fakeTime) now() (time.Duration, int64) { return f.monotonic, int64(f.wall) }

func (f *fakeTime) suspended() (time.Duration, error) {
	f.suspendedCalls++
	return f.suspendedFor, f.err
}

func (f *fakeTime) pass(d time.Duration) {
	f.monotonic += d
	f.wall += d
}

func (f *fakeTime) suspend(d time.Duration) {
	f.wall += d
	f.suspendedFor += d
}

func TestTheSystemClockCountsSuspension(t *testing.T) {
	type scenario struct {
		testName  string
		happens   func(f *fakeTime)
		want      time.Duration
		wantCalls int // calls of suspended after the first
	}
	scenarios := []scenario{
		{testName: "time passes", happens: func(f *fakeTime) { f.pass(time.Second) }, want: time.Second},
		{testName: "the machine is suspended", happens: func(f *fakeTime) {
			f.pass(time.Second)
			f.suspend(3 * time.Second)
		}, want: 4 * time.Second, wantCalls: 1},
		{testName: "it is suspended and its wall clock is set back by slightly more", happens: func(f *fakeTime) {
			f.suspend(3 * time.Second)
			f.wall -= 3*time.Second + 2*offsetTolerance
		}, want: 3 * time.Second, wantCalls: 1},
		{testName: "the wall clock jumps", happens: func(f *fakeTime) {
			f.pass(time.Second)
			f.wall -= time.Hour
		}, want: time.Second, wantCalls: 1},
		{testName: "the wall clock is slewed", happens: func(f *fakeTime) {
			f.pass(time.Second)
			f.wall += offsetTolerance / 2
		}, want: time.Second},
		{testName: "the suspended time can't be read", happens: func(f *fakeTime) {
			f.err = errors.New("no such clock")
			f.pass(time.Second)
			f.suspend(3 * time.Second)
		}, want: time.Second, wantCalls: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			f := &fakeTime{wall: 1000 * time.Hour, suspendedFor: time.Hour}
			clock, err := newSystemClock(f)
			c.Assert(err, qt.IsNil)
			c.Assert(clock.Now(), qt.Equals, time.Duration(0))
			s.happens(f)
			c.Assert(clock.Now(), qt.Equals, s.want)
			c.Assert(clock.Now(), qt.Equals, s.want)
			c.Assert(f.suspendedCalls, qt.Equals, 1+s.wantCalls)
		})
	}
}

func TestTheSystemClockNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	f := &fakeTime{}
	clock, err := newSystemClock(f)
	c.Assert(err, qt.IsNil)
	f.suspend(3 * time.Second)
	c.Assert(clock.Now(), qt.Equals, 3*time.Second)
	f.suspendedFor -= time.Millisecond // a lower reading
	f.wall += time.Second
	c.Assert(clock.Now(), qt.Equals, 3*time.Second)
}

func TestSystemTimeReadsTheSuspendedTime(t *testing.T) {
	c := qt.New(t)
	suspended, err := systemTime{start: time.Now()}.suspended()
	c.Assert(err, qt.IsNil)
	c.Assert(suspended >= 0, qt.IsTrue)
}

// BenchmarkSystemClock reads the clock, as every event does.
func BenchmarkSystemClock(b *testing.B) {
	clock := NewSystemClock()
	for b.Loop() {
		clock.Now()
	}
}
