package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// returnRunningJob has the owner of two executors start a job's only task, and release the cell
// while the task runs. It returns the start and what the owner reports of the job.
func returnRunningJob(c *qt.C) (*driver, Command, job.Outcome) {
	d := newAdoptedDriver(c, 2)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.startAnswered(start, Accepted)
	d.tick(100 * ms)
	d.cell.Release("fenced")
	d.takeActions()
	return d, start, d.finished["a"]
}

// newNextOwner returns the next owner of the cell. Its list lacks the executor of a start, whose
// row has left the store.
func newNextOwner(c *qt.C, start Command) *driver {
	var listed []catalog.Executor
	for i := range 2 {
		if info := testExecutor(i); info.ID != start.Executor.ID {
			listed = append(listed, info)
		}
	}
	d := newDriver(c, listed...)
	d.cell.HoldAnswered(listed[0].Incarnation(), HoldResponse{Clock: time.Minute}, 0, d.now)
	d.takeActions()
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
	return d
}

// A task ran twice at once when the former owner of its cell had started it at an executor that the
// next owner did not know.
func TestAReturnedTaskWaitsForItsRunAtAnUnknownExecutor(t *testing.T) {
	c := qt.New(t)
	former, start, outcome := returnRunningJob(c)
	c.Assert(outcome.Kind, qt.Equals, job.Moved)
	c.Assert(outcome.NamesRuns, qt.IsTrue)
	next := newNextOwner(c, start)
	next.cell.Submit(Handover{Job: testJob("a", 1, 0), Epoch: 2, Progress: outcome.Progress, NamesRuns: outcome.NamesRuns, RenewedAt: next.renewal()}, next.now)
	next.takeActions()
	c.Assert(next.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the run may be alive until its lease ends"))

	leaseEnds := former.cell.executors[start.Executor.Incarnation()].grantedUntil - time.Minute - former.now
	for next.now < leaseEnds {
		c.Assert(next.takeCommands(Start), qt.HasLen, 0, qt.Commentf("%s after the takeover, the lease ends at %s", next.now, leaseEnds))
		next.tick(10 * ms)
		next.holdAnswered(indexOfOther(start), HoldResponse{Clock: time.Minute + next.now}, next.now)
	}
	next.tick(200 * ms)
	next.holdAnswered(indexOfOther(start), HoldResponse{Clock: time.Minute + next.now}, next.now)
	c.Assert(next.takeCommands(Start), qt.HasLen, 1, qt.Commentf("the lease of the run has ended"))
}

// A task ran twice at once when the former owner of its cell had died with a run at an executor
// that had left the list long before.
func TestAJobOfALostOwnerWaitsIfItsRunsMayBeAtVanishedExecutors(t *testing.T) {
	const claimedAt = 10 * time.Second
	type scenario struct {
		testName    string
		age         time.Duration // of the job at the claim
		formerLost  bool
		startsAfter time.Duration
	}
	scenarios := []scenario{
		{testName: "received lately, owner lost", age: time.Second, formerLost: true},
		{testName: "received long ago, owner lost", age: 4 * time.Second, formerLost: true, startsAfter: testJobLease},
		{testName: "received long ago, returned by its owner", age: 4 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := &driver{c: c, cell: New(DefaultParams(time.Second, testJobLease, 50*ms), 7, claimedAt), now: claimedAt, finished: map[string]job.Outcome{}}
			d.cell.MarkListComplete()
			d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
			d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
			j := testJob("a", 1, claimedAt-s.age)
			j.Deadline = claimedAt + time.Minute
			d.cell.Submit(Handover{Job: j, Epoch: 2, RenewedAt: d.renewal(), NamesRuns: !s.formerLost}, d.now)
			d.assertStartsAfter(s.startsAfter)
		})
	}
}

// Guards against returned jobs that wait for an executor which has left the list and answers nobody.
// Their former owner has named the executors at which they may have runs.
func TestAReturnedJobDoesNotWaitForExecutorsThatAreLeaving(t *testing.T) {
	leaving := testExecutor(1)
	name := string(leaving.Incarnation())
	type scenario struct {
		testName    string
		listed      []catalog.Executor
		progress    []job.Progress
		formerLost  bool
		startsAfter time.Duration
	}
	withheld := []catalog.Executor{testExecutor(0), leaving.Withheld()}
	scenarios := []scenario{
		{testName: "withheld, returned", listed: withheld},
		{testName: "withheld, its owner was lost", listed: withheld, formerLost: true, startsAfter: testJobLease},
		{testName: "withheld, with a run of the job", listed: withheld, progress: []job.Progress{{Run: 1, ActiveAt: name, ActiveFor: 500 * ms}}, startsAfter: 500 * ms},
		{testName: "withheld, with a run of the job somewhere", listed: withheld, progress: []job.Progress{{ActiveFor: 700 * ms}}, startsAfter: 700 * ms},
		{testName: "off the list since the claim, returned", listed: []catalog.Executor{testExecutor(0)}},
		{testName: "off the list since the claim, its owner was lost", listed: []catalog.Executor{testExecutor(0)}, formerLost: true, startsAfter: testJobLease},
		{testName: "on the list: it may only be slow", listed: []catalog.Executor{testExecutor(0), leaving}, startsAfter: testJobLease},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, testExecutor(0), leaving)
			d.holdAnswered(0, HoldResponse{Clock: time.Minute}, 0)
			d.cell.SetExecutors(s.listed, d.now)
			j := testJob("a", 1, d.now)
			j.Deadline = time.Minute
			d.cell.Submit(Handover{Job: j, Epoch: 2, Progress: s.progress, RenewedAt: d.renewal(), NamesRuns: !s.formerLost}, d.now)
			d.assertStartsAfter(s.startsAfter)
		})
	}
}

// assertStartsAfter asserts that a task starts after the given time, at an executor that answers all
// holds meanwhile.
func (d *driver) assertStartsAfter(want time.Duration) {
	submittedAt := d.now
	for d.takeActions(); len(d.takeCommands(Start)) == 0; {
		d.tick(10 * ms)
		d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
		d.c.Assert(d.now-submittedAt < 2*testJobLease, qt.IsTrue)
	}
	d.c.Assert(d.now-submittedAt >= want, qt.IsTrue, qt.Commentf("started after %s", d.now-submittedAt))
	d.c.Assert(d.now-submittedAt <= want+20*ms, qt.IsTrue, qt.Commentf("started after %s", d.now-submittedAt))
}

// indexOfOther returns the index of the executor, out of two, to which a start was not sent.
func indexOfOther(start Command) int {
	if start.Executor.ID == executorID(0) {
		return 1
	}
	return 0
}

// Guards against kept jobs that count as started because a former owner waited for unknown runs of
// them.
func TestAKeptJobWaitsUntilATaskIsKnownToHaveStarted(t *testing.T) {
	type scenario struct {
		testName string
		progress job.Progress
		waiting  bool
	}
	scenarios := []scenario{
		{testName: "a run may be active somewhere", progress: job.Progress{ActiveFor: time.Second}, waiting: true},
		{testName: "a run may be active at an executor", progress: job.Progress{Run: 501, ActiveAt: "i-1", ActiveFor: time.Second}},
		{testName: "a task has run", progress: job.Progress{Run: 501}},
		{testName: "a task is done", progress: job.Progress{Done: true}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			j := testJob("a", 2, d.now)
			j.Kept = true
			d.cell.Submit(Handover{Job: j, Epoch: 2, Progress: []job.Progress{s.progress}, NotBefore: d.now + time.Second, RenewedAt: d.renewal()}, d.now)
			c.Assert(d.cell.jobs["a"].isWaiting(), qt.Equals, s.waiting)
		})
	}
}

// Guards against jobs that wait for a run at an executor that has listed its runs to this owner and
// was forgotten since.
func TestAFormerRunIsKnownForGoodOnceItsExecutorHasAnswered(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	info := testExecutor(1)
	vanishes := info.Incarnation()
	progress := []job.Progress{{Run: 1, ActiveAt: string(vanishes), ActiveFor: time.Second}}
	d.cell.Submit(Handover{Job: testJob("a", 1, d.now), Epoch: 2, Progress: progress, NamesRuns: true, NotBefore: d.now + 200*ms, RenewedAt: d.renewal()}, d.now)
	d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
	c.Assert(d.cell.executors[vanishes], qt.IsNil)
	d.tick(210 * ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

// Guards against a task that runs twice at once when the former owner reached an executor that never
// answered the next one, which forgot it, and was lost only then.
func TestAJobOfALostOwnerWaitsIfItsRunsMayBeAtForgottenExecutors(t *testing.T) {
	const forgottenBy = 2 * time.Second
	type scenario struct {
		testName    string
		received    time.Duration
		formerLost  bool
		startsAfter time.Duration
	}
	scenarios := []scenario{
		{testName: "received before, owner lost", received: 500 * ms, formerLost: true, startsAfter: testJobLease},
		{testName: "received before, returned by its owner", received: 500 * ms},
		{testName: "received later, owner lost", received: forgottenBy, formerLost: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, testExecutor(0), testExecutor(1))
			d.holdAnswered(0, HoldResponse{Clock: time.Minute}, 0)
			d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
			silent := testExecutor(1)
			d.cell.HoldAnswered(silent.Incarnation(), HoldResponse{Verdict: Unreached}, 0, d.now)
			for d.now < forgottenBy {
				d.tick(10 * ms)
				d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
			}
			d.takeActions()
			c.Assert(d.cell.executors[silent.Incarnation()], qt.IsNil)
			j := testJob("a", 1, s.received)
			j.Deadline = time.Minute
			d.cell.Submit(Handover{Job: j, Epoch: 2, RenewedAt: d.renewal(), NamesRuns: !s.formerLost}, d.now)
			d.assertStartsAfter(s.startsAfter)
		})
	}
}

// Guards against a start beside runs that a former owner may have left, of which a second front tells
// while the job waits here for the first one.
func TestASecondHandoverOfAJobTellsOfItsRuns(t *testing.T) {
	type scenario struct {
		testName    string
		second      Handover
		startsAfter time.Duration
	}
	unknown := string(testIncarnation(5))
	scenarios := []scenario{
		{testName: "a lease of another cell has not ended", second: Handover{NotBefore: 900 * ms}, startsAfter: 900 * ms},
		{testName: "a run at an unknown executor", second: Handover{NamesRuns: true, Progress: []job.Progress{{Run: 1, ActiveAt: unknown, ActiveFor: 600 * ms}}}, startsAfter: 600 * ms},
		{testName: "a run that an executor here would list", second: Handover{NamesRuns: true, Progress: []job.Progress{{Run: 1, ActiveAt: executorID(0), ActiveFor: 600 * ms}}}},
		{testName: "nothing that goes on", second: Handover{NamesRuns: true}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.cell.PauseStarts(d.now + 5*ms)
			j := testJob("a", 1, d.now)
			d.submit(j, 1)
			s.second.Job, s.second.Epoch, s.second.RenewedAt = j, 2, d.renewal()
			c.Assert(d.cell.Submit(s.second, d.now), qt.IsFalse)
			d.assertStartsAfter(s.startsAfter)
		})
	}
}

// Guards against a task that runs here after a second handover has told that it is done.
func TestASecondHandoverOfAJobTellsOfItsEnds(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.cell.PauseStarts(d.now + 5*ms)
	j := testJob("a", 1, d.now)
	d.submit(j, 1)
	d.cell.Submit(Handover{Job: j, Epoch: 2, RenewedAt: d.renewal(), NamesRuns: true, Progress: []job.Progress{{Done: true, Run: 1}}}, d.now)
	d.tick(10 * ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}
