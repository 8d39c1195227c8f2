package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// Guards against runs of kept jobs that outlive the time after which others have the jobs run elsewhere, at an
// owner that is cut off with their coordinator.
func TestKeptRunsEndWithTheLeaseOfAllKeptJobs(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Second)
	start := startOneTask(c, d, keptJob("a", 1, d.now))
	end := d.now + 3*time.Second
	d.cell.SetKeptLeaseEnd(end, d.now)
	var furthest time.Duration
	for d.finished["a"].Kind != job.Moved {
		c.Assert(d.now < end, qt.IsTrue, qt.Commentf("the job is not returned"))
		d.tick(50 * ms)
		furthest = max(furthest, d.answerHolds(listedRun(start)))
	}
	c.Assert(furthest <= time.Minute+end, qt.IsTrue, qt.Commentf("%s", furthest-time.Minute))
	c.Assert(d.now > end-testJobLease, qt.IsTrue, qt.Commentf("it is returned too early"))
	c.Assert(d.finished["a"].Reason, qt.Equals, ReasonNotRenewed)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 1)
	for range 20 { // the stop is lost
		d.tick(50 * ms)
		c.Assert(d.answerHolds(listedRun(start)) <= time.Minute+end, qt.IsTrue)
	}
}

// The lease only limits kept jobs, and only while it isn't extended.
func TestTheLeaseOfAllKeptJobsIsExtended(t *testing.T) {
	type scenario struct {
		testName  string
		kept      bool
		extended  bool
		continues bool
	}
	scenarios := []scenario{
		{testName: "a kept job", kept: true},
		{testName: "a kept job whose lease is extended", kept: true, extended: true, continues: true},
		{testName: "a best-effort job", continues: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.tick(time.Second)
			j := keptJob("a", 1, d.now)
			if !s.kept {
				j.Kept, j.Deadline = false, time.Minute
			}
			start := startOneTask(c, d, j)
			d.cell.SetKeptLeaseEnd(d.now+time.Second, d.now)
			for range 4 {
				if s.extended {
					d.cell.SetKeptLeaseEnd(d.now+time.Second, d.now)
				}
				d.runFor(500*ms, listedRun(start))
			}
			_, ended := d.finished["a"]
			c.Assert(ended, qt.Equals, !s.continues)
		})
	}
}

// Guards against an owner that goes on with kept jobs after a cut, though others may have had them run
// elsewhere meanwhile: it may not have acted in time, as after a suspension.
func TestKeptJobsWhoseLeaseWasOverAreReturnedBeforeItIsExtended(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Second)
	startOneTask(c, d, keptJob("a", 1, d.now))
	d.cell.SetKeptLeaseEnd(d.now+time.Second, d.now)
	d.now += 2 * time.Second
	d.cell.SetKeptLeaseEnd(d.now+time.Minute, d.now)
	d.takeActions()
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Moved)
}
