package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// answerHolds answers the holds that are under way, each with the runs that the
// first executor lists, and returns the furthest lease that they set.
func (d *driver) answerHolds(running ...RunningTask) time.Duration {
	var furthest time.Duration
	for _, hold := range d.of(Hold) {
		furthest = max(furthest, hold.Deadline)
		d.cell.HoldAnswered(hold.Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Running: running}, d.now, d.now)
	}
	d.take()
	return furthest
}

func TestLeasesEndWithThatOfTheJob(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	d.tick(100 * ms)
	lastRenewal := d.now
	d.silent = true
	var furthest time.Duration
	for d.finished["a"].Kind != job.Moved {
		c.Assert(d.now < lastRenewal+testJobLease, qt.IsTrue, qt.Commentf("it isn't given back"))
		d.tick(50 * ms)
		furthest = max(furthest, d.answerHolds(RunningTask{Task: start.Task, Run: start.Run}))
	}
	c.Assert(furthest <= time.Minute+lastRenewal+testJobLease, qt.IsTrue, qt.Commentf("%s", furthest))
	c.Assert(d.finished["a"].Reason, qt.Equals, ReasonNotRenewed)
	c.Assert(d.of(Stop), qt.HasLen, 1, qt.Commentf("before the lease ends, so that runs beside it go on"))
	c.Assert(d.now < lastRenewal+testJobLease, qt.IsTrue)

	// The stop is lost: the run is still listed, and its lease isn't renewed.
	for range 20 {
		d.tick(50 * ms)
		furthest = d.answerHolds(RunningTask{Task: start.Task, Run: start.Run})
		c.Assert(furthest <= time.Minute+lastRenewal+testJobLease, qt.IsTrue)
	}
}

func TestRunsOfAFormerOwnerAreNotRenewedBeforeTheirJobIsHere(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	left := RunningTask{Task: "a.0.0.0", Run: 1}
	d.answerHolds(left)
	for range 3 {
		d.tick(50 * ms)
		holds := d.commands
		c.Assert(holds[0].Wait <= shortestHoldWait, qt.IsTrue, qt.Commentf("the next hold may renew"))
		c.Assert(d.answerHolds(left), qt.Equals, time.Duration(0))
	}
	d.submit(testJob("a", 1, d.now), 2)
	d.answerHolds(left)
	c.Assert(d.answerHolds(left) > time.Minute+d.now, qt.IsTrue)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("the run is the job's"))
}

func TestAStartNeedsALeaseThatCoversIt(t *testing.T) {
	type scenario struct {
		testName string
		age      time.Duration // of the job's renewal when it is handed over
		known    bool
		beside   bool // another job runs at the executor, with a full lease
		want     int  // starts
	}
	scenarios := []scenario{
		{testName: "renewed a moment ago", known: true, want: 1},
		{testName: "not renewed yet"},
		{testName: "too long ago", known: true, age: testJobLease - shortestLease/2},
		{testName: "long ago, at an idle executor", known: true, age: 700 * ms, want: 1},
		{testName: "long ago, beside a run whose lease would be its own", known: true, age: 700 * ms, beside: true},
		{testName: "a moment ago, beside a run", known: true, beside: true, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 1)
			d.tick(2 * time.Second)
			if s.beside {
				d.submit(testJob("beside", 1, d.now), 1)
				d.startAnswer(d.of(Start)[0], Accepted)
			}
			handover := Handover{Job: testJob("a", 1, d.now), Epoch: 1}
			if s.known {
				handover.RenewedAt = d.now - s.age
			}
			d.cell.Submit(handover, d.now)
			d.take()
			c.Assert(d.of(Start), qt.HasLen, s.want)
			d.tick(ms) // renews it
			c.Assert(d.of(Start), qt.HasLen, 1-s.want)
		})
	}
}

// Of a clock that was read long ago little is known: it may be 2% slow.
func TestAnExecutorThatWasIdleForLongGetsWork(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Hour)
	c.Assert(d.of(Hold), qt.HasLen, 0, qt.Commentf("there is no work"))
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.of(Start), qt.HasLen, 0)
	holds := d.of(Hold)
	c.Assert(holds, qt.HasLen, 1)
	c.Assert(holds[0].Wait, qt.Equals, time.Duration(0))
	d.now += 2 * ms
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 1)
}

func TestAStartDoesNotProlongARunWhoseJobIsNotRenewed(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(2 * time.Second)
	d.submit(testJob("left", 1, d.now), 1)
	d.startAnswer(d.of(Start)[0], Accepted)
	lastRenewal := d.now
	d.cell.Withdraw("left", "caller_left", d.now)
	d.take()
	d.now += testJobLease - shortestLease - 50*ms
	d.submit(testJob("b", 1, d.now), 1)
	start := d.of(Start)
	c.Assert(start, qt.HasLen, 1)
	c.Assert(start[0].Deadline <= time.Minute+lastRenewal+testJobLease, qt.IsTrue)
}

// What an orphan takes isn't known. It still takes it while it is being stopped.
func TestNothingStartsBesideAnOrphanThatIsBeingStopped(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	left := RunningTask{Task: "left.0.0.0", Run: 1}
	d.answerHolds(left)
	d.tick(d.cell.params.OrphanGrace + ms)
	c.Assert(d.of(Stop), qt.HasLen, 1)
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.of(Start), qt.HasLen, 0)
	d.answerHolds(left)
	d.answerHolds(left)
	c.Assert(d.of(Start), qt.HasLen, 0)
}

func TestRenewalsOnlyProlong(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.now = 2 * time.Second
	j := testJob("a", 1, d.now)
	d.cell.Submit(Handover{Job: j, Epoch: 1, RenewedAt: d.now - 100*ms}, d.now)
	d.cell.Renew([]string{"a"}, d.now-500*ms, d.now)
	c.Assert(d.cell.jobs["a"].renewedAt, qt.Equals, d.now-100*ms, qt.Commentf("one that came late"))
	d.cell.Submit(Handover{Job: j, Epoch: 2, RenewedAt: d.now - 50*ms}, d.now)
	c.Assert(d.cell.jobs["a"].renewedAt, qt.Equals, d.now-50*ms, qt.Commentf("it came again"))
	d.cell.Submit(Handover{Job: j, Epoch: 3}, d.now)
	c.Assert(d.cell.jobs["a"].renewedAt, qt.Equals, d.now-50*ms, qt.Commentf("by a front that knows no time of this owner"))
}
