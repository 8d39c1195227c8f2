package common

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeTime is a machine's clocks, moved by hand.
type fakeTime struct {
	steady time.Duration
	day    time.Duration
	asleep time.Duration
	looks  int
	err    error
}

func (f *fakeTime) now() (time.Duration, int64) { return f.steady, int64(f.day) }

func (f *fakeTime) suspended() (time.Duration, error) {
	f.looks++
	return f.asleep, f.err
}

func (f *fakeTime) pass(d time.Duration) {
	f.steady += d
	f.day += d
}

func (f *fakeTime) suspend(d time.Duration) {
	f.day += d
	f.asleep += d
}

func TestTheSystemClockCountsSuspension(t *testing.T) {
	type scenario struct {
		testName  string
		happens   func(f *fakeTime)
		want      time.Duration
		wantLooks int // beyond the first
	}
	scenarios := []scenario{
		{testName: "time passes", happens: func(f *fakeTime) { f.pass(time.Second) }, want: time.Second},
		{testName: "the machine is suspended", happens: func(f *fakeTime) {
			f.pass(time.Second)
			f.suspend(3 * time.Second)
		}, want: 4 * time.Second, wantLooks: 1},
		{testName: "it is suspended while its time of day is set back by as much", happens: func(f *fakeTime) {
			f.suspend(3 * time.Second)
			f.day -= 3*time.Second + 2*apartTolerance
		}, want: 3 * time.Second, wantLooks: 1},
		{testName: "the time of day jumps", happens: func(f *fakeTime) {
			f.pass(time.Second)
			f.day -= time.Hour
		}, want: time.Second, wantLooks: 1},
		{testName: "the time of day is slewed", happens: func(f *fakeTime) {
			f.pass(time.Second)
			f.day += apartTolerance / 2
		}, want: time.Second},
		{testName: "nothing tells of suspensions", happens: func(f *fakeTime) {
			f.err = errors.New("no such clock")
			f.pass(time.Second)
			f.suspend(3 * time.Second)
		}, want: time.Second, wantLooks: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			f := &fakeTime{day: 1000 * time.Hour, asleep: time.Hour}
			clock, err := newSystemClock(f)
			c.Assert(err, qt.IsNil)
			c.Assert(clock.Now(), qt.Equals, time.Duration(0))
			s.happens(f)
			c.Assert(clock.Now(), qt.Equals, s.want)
			c.Assert(clock.Now(), qt.Equals, s.want)
			c.Assert(f.looks, qt.Equals, 1+s.wantLooks)
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
	f.asleep -= time.Millisecond // as read
	f.day += time.Second
	c.Assert(clock.Now(), qt.Equals, 3*time.Second)
}

func TestTheMachinesClocksCanBeRead(t *testing.T) {
	c := qt.New(t)
	asleep, err := systemTime{start: time.Now()}.suspended()
	c.Assert(err, qt.IsNil)
	c.Assert(asleep >= 0, qt.IsTrue)
}

// BenchmarkSystemClock reads the clock, as every event does.
func BenchmarkSystemClock(b *testing.B) {
	clock := NewSystemClock()
	for b.Loop() {
		clock.Now()
	}
}
