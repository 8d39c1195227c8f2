package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// fillExecutor occupies an executor of 16 cores with two tasks of a long job.
func (d *driver) fillExecutor(c *qt.C) {
	long := testJob("long", 2, d.now)
	long.Deadline = d.now + time.Minute
	d.submit(long, 1)
	for _, start := range d.takeCommands(Start) {
		d.startAnswered(start, Accepted)
	}
	c.Assert(d.finished, qt.HasLen, 0)
}

func TestAJobBehindMoreWorkThanItsDeadlineAllowsIsRefused(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.fillExecutor(c)
	for _, id := range []string{"b", "c", "d"} {
		d.submit(testJob(id, 2, d.now), 1)
	}
	last := testJob("last", 4, d.now)
	last.Deadline = d.now + 500*ms
	d.submit(last, 1)
	d.tick(ms)
	c.Assert(d.finished["last"].Kind, qt.Equals, job.Refused)
	c.Assert(d.finished["last"].RetryAfter > 0, qt.IsTrue, qt.Commentf("with a time to retry"))
	c.Assert(d.finished, qt.HasLen, 1)
}

func TestALongQueueIsScannedAtIntervals(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.fillExecutor(c)
	for i := range 2 * longQueue {
		j := testJob(fmt.Sprintf("job%d", i), 1, d.now)
		j.Deadline = d.now + time.Hour
		d.submit(j, 1)
	}
	name := func(index int) string { return job.TaskName("long", job.TaskKey{Index: index}) }
	end := func(number int64, index int, running ...RunningTask) {
		ends := []EndedTask{{Number: number, Task: name(index), Run: 1, Kind: EndDone}}
		d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Ended: ends, Running: running}, d.now)
	}
	d.now += 10 * ms
	end(1, 0, RunningTask{Task: name(1), Run: 1})
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
	d.now += ms
	end(2, 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the queue was scanned a moment ago"))
	d.tick(placePause)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

// The caller waits for a minute, but the answer has value for 1.2 s only.
func TestAJobWhoseAnswerWouldHaveNoValueIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.fillExecutor(c)
	for _, id := range []string{"b", "c", "d"} {
		j := testJob(id, 2, d.now)
		j.Deadline = d.now + time.Minute
		d.submit(j, 1)
	}
	last := testJob("last", 8, d.now)
	last.Deadline = d.now + time.Minute
	d.submit(last, 1)
	d.tick(ms)
	c.Assert(d.finished, qt.HasLen, 0, qt.Commentf("it can still be done in time"))
	d.tick(600 * ms)
	c.Assert(d.finished["last"].Kind, qt.Equals, job.Refused)
	c.Assert(d.finished["last"].Started, qt.IsFalse)
	c.Assert(d.finished["last"].RetryAfter > 0, qt.IsTrue)
}

// Guards against jobs that are accepted and never started, as their tasks ask for no processors.
func TestTasksWithoutANeedOfProcessorsAreStarted(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept %t", kept), func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.tick(time.Second)
			j := testJob("a", 3, d.now)
			j.Kept = kept
			j.Steps[0].Needs = job.Resources{}
			d.submit(j, 1)
			c.Assert(d.takeCommands(Start), qt.HasLen, 3)
		})
	}
}
