package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// An owner that reads the list takes it in every 0.5 s, with the clocks of its first
// reading: those tell nothing new, and must not age the estimate or count as seen.
func TestAClockOfTheListIsNoNewsWhenItComesAgain(t *testing.T) {
	for _, idle := range []time.Duration{3 * time.Second, 4500 * ms, 6 * time.Second, 20 * time.Second, 60 * time.Second, 10 * time.Minute} {
		c := qt.New(t)
		d := adopted(c, 1)
		info := testExecutor(0)
		info.Clock = time.Minute                // as of the first reading
		d.submit(testJob("keeps", 1, d.now), 1) // so that there is work
		for until := d.now + idle; d.now < until; {
			d.now += 500 * ms
			d.cell.SetExecutors([]catalog.Executor{info}, d.now)
			d.take()
		}
		e := d.cell.executors[testLife(0)]
		lag := time.Minute + d.now - e.clock.estimate(d.now)
		t.Logf("idle for %s: the estimate is %s behind an exact clock", idle, lag)
		if lag > 60*ms {
			t.Errorf("idle for %s: %s behind", idle, lag)
		}
	}
}

func TestAnIdleExecutorOfTheListIsAskedForItsClock(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 2)
	infos := []catalog.Executor{testExecutor(0), testExecutor(1)}
	infos[0].Clock, infos[1].Clock = time.Minute, time.Minute
	// a job waits for room, so that there is work all the while
	j := testJob("big", 1, d.now)
	j.Steps[0].Needs.CPU = 99000
	j.Deadline = time.Hour
	d.submit(j, 1)
	holds := 0
	for range 60 {
		d.tick(500 * ms)
		d.cell.SetExecutors(infos, d.now)
		d.take()
		for _, h := range d.of(Hold) {
			holds++
			i := 0
			if h.Executor.ID == executorID(1) {
				i = 1
			}
			d.holdAnswer(i, HoldResponse{Clock: time.Minute + d.now}, d.now)
		}
	}
	lag := time.Minute + d.now - d.cell.executors[testLife(0)].clock.estimate(d.now)
	t.Logf("30 s, 2 idle executors: %d holds for clocks, estimate %s behind", holds, lag)
	c.Assert(holds > 0, qt.IsTrue)
}

// what a start meets then
func TestAStartAfterIdleTimeIsNotLate(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	info := testExecutor(0)
	info.Clock = time.Minute
	for until := d.now + 20*time.Second; d.now < until; {
		d.now += 500 * ms
		d.cell.SetExecutors([]catalog.Executor{info}, d.now)
		d.take()
	}
	d.submit(testJob("a", 1, d.now), 1)
	starts := d.of(Start)
	if len(starts) == 0 {
		t.Skip("it asks for the clock first")
	}
	c.Assert(starts[0].Deadline > time.Minute+d.now, qt.IsTrue, qt.Commentf("late by %s", time.Minute+d.now-starts[0].Deadline))
}

func TestAnExecutorThatTellsNoClockIsNotAskedWithoutPause(t *testing.T) {
	for _, verdict := range []Verdict{Accepted, Unhealthy} {
		c := qt.New(t)
		d := adopted(c, 1)
		j := testJob("big", 1, d.now)
		j.Steps[0].Needs.CPU = 99000
		j.Deadline = time.Hour
		d.now += 4 * time.Second
		d.submit(j, 1)
		holds := 0
		for until := d.now + time.Second; d.now < until; {
			d.now += 2 * ms
			if len(d.of(Hold)) > 0 {
				holds++
				d.cell.HoldAnswered(testLife(0), HoldResponse{Verdict: verdict}, d.now, d.now)
				d.take()
			}
		}
		t.Logf("%s without a clock, 2 ms a trip: %d holds in a second", verdict, holds)
		if holds > 12 {
			t.Errorf("%d holds in a second", holds)
		}
	}
}

// An answer that took longer than the best one so far tells nothing new of a clock
// that is as slow as it may be; the estimate then runs ahead by the drift for as long
// as no better answer comes: of leases that are set 0.7 s ahead and of starts.
func TestTheEstimateOfAClockStaysNearIt(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	clock := &remoteClock{}
	shows := func(now time.Duration) time.Duration {
		return time.Hour + time.Duration(float64(now)*(1-maxClockDrift))
	}
	var furthest time.Duration
	for now := time.Second; now < 2*time.Minute; now += 100 * ms {
		way := 2*ms + time.Duration(random.ExpFloat64()*1.5*float64(ms))
		clock.observe(shows(now-way).Truncate(ms), now)
		c.Assert(clock.lowerBound(now) <= shows(now), qt.IsTrue)
		furthest = max(furthest, clock.estimate(now)-shows(now))
	}
	c.Assert(furthest < 5*ms, qt.IsTrue, qt.Commentf("it ran ahead by %s", furthest))
}

// Leases are set by the least that an executor's clock can show, so that a slow clock
// doesn't make them longer.
func TestLeasesEndInTimeOnASlowClock(t *testing.T) {
	c := qt.New(t)
	shows := func(now time.Duration) time.Duration {
		return time.Hour + time.Duration(float64(now)*(1-maxClockDrift))
	}
	clock := &remoteClock{}
	clock.observe(shows(time.Second), time.Second)
	for _, age := range []time.Duration{0, 100 * ms, 5 * time.Second} {
		now := time.Second + age
		for _, left := range []time.Duration{-time.Second, 0, ms, testJobLease} {
			c.Assert(clock.lowerBoundFuture(now+left, now) <= shows(now+left), qt.IsTrue, qt.Commentf("%s after the answer, %s ahead", age, left))
		}
	}
}
