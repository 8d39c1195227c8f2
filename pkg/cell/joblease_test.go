package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// answerHolds answers all pending holds, each with the runs given, and returns the latest
// lease deadline that they set.
func (d *driver) answerHolds(running ...RunningTask) time.Duration {
	var furthest time.Duration
	for _, hold := range d.takeCommands(Hold) {
		furthest = max(furthest, hold.Deadline)
		d.cell.HoldAnswered(hold.Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Running: running}, d.now, d.now)
	}
	d.takeActions()
	return furthest
}

// A run must not continue after the lease of its job, even if its stop is lost.
func TestLeasesEndWithTheJobLease(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	d.tick(100 * ms)
	lastRenewal := d.now
	d.renewalsStopped = true
	var furthest time.Duration
	for d.finished["a"].Kind != job.Moved {
		c.Assert(d.now < lastRenewal+testJobLease, qt.IsTrue, qt.Commentf("the job is not returned"))
		d.tick(50 * ms)
		furthest = max(furthest, d.answerHolds(RunningTask{Task: start.Task, Run: start.Run}))
	}
	c.Assert(furthest <= time.Minute+lastRenewal+testJobLease, qt.IsTrue, qt.Commentf("%s", furthest))
	c.Assert(d.finished["a"].Reason, qt.Equals, ReasonNotRenewed)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 1, qt.Commentf("the stop is sent before the lease ends, so that runs beside it continue"))
	c.Assert(d.now < lastRenewal+testJobLease, qt.IsTrue)

	// The stop is lost: the run is still listed, and its lease is not renewed.
	for range 20 {
		d.tick(50 * ms)
		furthest = d.answerHolds(RunningTask{Task: start.Task, Run: start.Run})
		c.Assert(furthest <= time.Minute+lastRenewal+testJobLease, qt.IsTrue)
	}
}

// A run whose job is not here may be an orphan, so its lease is not renewed before the job
// arrives.
func TestRunsOfAFormerOwnerAreNotRenewedBeforeTheirJobArrives(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	orphan := RunningTask{Task: "a.0.0.0", Run: 1}
	d.answerHolds(orphan)
	for range 3 {
		d.tick(50 * ms)
		holds := d.commands
		c.Assert(holds[0].Wait <= shortestHoldWait, qt.IsTrue, qt.Commentf("the next hold may renew"))
		c.Assert(d.answerHolds(orphan), qt.Equals, time.Duration(0))
	}
	d.submit(testJob("a", 1, d.now), 2)
	d.answerHolds(orphan)
	c.Assert(d.answerHolds(orphan) > time.Minute+d.now, qt.IsTrue)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the job has adopted the run"))
}

// A start must wait for a renewal of its job if its lease would be too short, or if the
// executor's lease would outlast that of the job.
func TestAStartNeedsALeaseThatCoversIt(t *testing.T) {
	type scenario struct {
		testName     string
		age          time.Duration // of the job's renewal when it is handed over
		renewalKnown bool
		beside       bool // another job runs on the executor, with a full lease
		want         int  // starts
	}
	scenarios := []scenario{
		{testName: "renewed a moment ago", renewalKnown: true, want: 1},
		{testName: "not renewed yet"},
		{testName: "too long ago", renewalKnown: true, age: testJobLease - shortestLease/2},
		{testName: "long ago, at an idle executor", renewalKnown: true, age: 700 * ms, want: 1},
		{testName: "long ago, beside a run whose lease it would get", renewalKnown: true, age: 700 * ms, beside: true},
		{testName: "a moment ago, beside a run", renewalKnown: true, beside: true, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.tick(2 * time.Second)
			if s.beside {
				d.submit(testJob("beside", 1, d.now), 1)
				d.startAnswered(d.takeCommands(Start)[0], Accepted)
			}
			handover := Handover{Job: testJob("a", 1, d.now), Epoch: 1}
			if s.renewalKnown {
				handover.RenewedAt = d.now - s.age
			}
			d.cell.Submit(handover, d.now)
			d.takeActions()
			c.Assert(d.takeCommands(Start), qt.HasLen, s.want)
			d.tick(ms) // renews the job
			c.Assert(d.takeCommands(Start), qt.HasLen, 1-s.want)
		})
	}
}

// After long idle time the clock, which may run 2% slow, is too uncertain for a start. The
// cell has to request it and then start the task.
func TestAnExecutorThatWasIdleForLongGetsWork(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Hour)
	c.Assert(d.takeCommands(Hold), qt.HasLen, 0, qt.Commentf("there is no work"))
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	holds := d.takeCommands(Hold)
	c.Assert(holds, qt.HasLen, 1)
	c.Assert(holds[0].Wait, qt.Equals, time.Duration(0))
	d.now += 2 * ms
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

func TestAStartDoesNotProlongARunWhoseJobIsNotRenewed(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(2 * time.Second)
	d.submit(testJob("left", 1, d.now), 1)
	d.startAnswered(d.takeCommands(Start)[0], Accepted)
	lastRenewal := d.now
	d.cell.Withdraw("left", "caller_left", d.now)
	d.takeActions()
	d.now += testJobLease - shortestLease - 50*ms
	d.submit(testJob("b", 1, d.now), 1)
	start := d.takeCommands(Start)
	c.Assert(start, qt.HasLen, 1)
	c.Assert(start[0].Deadline <= time.Minute+lastRenewal+testJobLease, qt.IsTrue)
}

// The resources that an orphan uses are unknown, and it uses them until its stop has
// completed.
func TestNothingStartsBesideAnOrphanThatIsBeingStopped(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	orphan := RunningTask{Task: "left.0.0.0", Run: 1}
	d.answerHolds(orphan)
	d.tick(d.cell.params.OrphanGrace + ms)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 1)
	d.submit(testJob("a", 1, d.now), 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	d.answerHolds(orphan)
	d.answerHolds(orphan)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
}

func TestRenewalTimesNeverDecrease(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.now = 2 * time.Second
	j := testJob("a", 1, d.now)
	d.cell.Submit(Handover{Job: j, Epoch: 1, RenewedAt: d.now - 100*ms}, d.now)
	d.cell.Renew([]string{"a"}, d.now-500*ms, d.now)
	c.Assert(d.cell.jobs["a"].renewedAt, qt.Equals, d.now-100*ms, qt.Commentf("a renewal that arrived late"))
	d.cell.Submit(Handover{Job: j, Epoch: 2, RenewedAt: d.now - 50*ms}, d.now)
	c.Assert(d.cell.jobs["a"].renewedAt, qt.Equals, d.now-50*ms, qt.Commentf("the job was submitted again"))
	d.cell.Submit(Handover{Job: j, Epoch: 3}, d.now)
	c.Assert(d.cell.jobs["a"].renewedAt, qt.Equals, d.now-50*ms, qt.Commentf("the job was submitted by a front without a renewal time"))
}
