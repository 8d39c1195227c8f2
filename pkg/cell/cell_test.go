package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

const (
	ms           = time.Millisecond
	testJobLease = 1200 * ms
)

// driver plays executors and fronts against a cell.
type driver struct {
	c        *qt.C
	cell     *Cell
	now      time.Duration
	commands []Command
	finished map[string]job.Outcome
	silent   bool // no front renews its jobs any more
}

// renewal returns now as the time of a renewal, which isn't known at 0.
func (d *driver) renewal() time.Duration { return max(d.now, 1) }

// renew has the fronts of all jobs renew them.
func (d *driver) renew() {
	if d.silent {
		return
	}
	for id := range d.cell.jobs {
		d.cell.Renew([]string{id}, d.renewal(), d.now)
	}
}

func newDriver(c *qt.C, executors ...catalog.Executor) *driver {
	d := &driver{c: c, cell: New(DefaultParams(time.Second, testJobLease, 50*ms), 7, 0), finished: map[string]job.Outcome{}}
	d.cell.MarkListComplete()
	d.cell.SetExecutors(executors, d.now)
	d.take()
	return d
}

// adopted makes a driver whose executors have answered their first hold.
func adopted(c *qt.C, count int) *driver {
	var executors []catalog.Executor
	for i := range count {
		executors = append(executors, testExecutor(i))
	}
	d := newDriver(c, executors...)
	for i := range count {
		d.holdAnswer(i, HoldResponse{Clock: time.Minute + d.now}, d.now)
	}
	d.commands = nil
	return d
}

func executorID(i int) string { return fmt.Sprintf("executor-%d", i) }

// testLife returns the life of an executor that doesn't tell when it began.
func testLife(i int) catalog.Incarnation { return catalog.Incarnation(executorID(i)) }

func testExecutor(i int) catalog.Executor {
	return catalog.Executor{ID: executorID(i), Service: "service", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Capacity: job.Resources{CPU: 16000, MemoryMB: 1000}}
}

func testJob(id string, tasks int, now time.Duration) *job.Job {
	return &job.Job{
		ID: id, Route: "route", Service: "service", MaxAttempts: 2, Spec: "spec",
		Steps:    []job.Step{{Count: tasks, Needs: job.Resources{CPU: 6800, MemoryMB: 10}, Estimate: 200 * ms}},
		Received: now, Deadline: now + 3*time.Second, Stretch: 1, Target: 200 * ms,
	}
}

func (d *driver) take() {
	commands, finished, _ := d.cell.TakeActions()
	d.commands = append(d.commands, commands...)
	for _, f := range finished {
		d.finished[f.ID] = f.Outcome
	}
}

func (d *driver) submit(j *job.Job, epoch int) {
	d.cell.Submit(Handover{Job: j, Epoch: epoch, RenewedAt: d.renewal()}, d.now)
	d.take()
}

func (d *driver) tick(after time.Duration) {
	d.now += after
	d.renew()
	d.cell.Tick(d.now)
	d.take()
}

func (d *driver) holdAnswer(i int, answer HoldResponse, sentAt time.Duration) {
	d.renew()
	d.cell.HoldAnswered(testLife(i), answer, sentAt, d.now)
	d.take()
}

func (d *driver) startAnswer(command Command, verdict Verdict) {
	d.cell.StartAnswered(command.Executor.Incarnation(), command.Task, command.Run, verdict, time.Minute+d.now, d.now)
	d.take()
}

// of returns and forgets the commands of a kind.
func (d *driver) of(kind CommandKind) []Command {
	var found, rest []Command
	for _, command := range d.commands {
		if command.Kind == kind {
			found = append(found, command)
		} else {
			rest = append(rest, command)
		}
	}
	d.commands = rest
	return found
}

func TestHoldThatOvertookAStartIsNoProofOfAbsence(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.of(Start)[0]
	d.now += ms
	sentAt := d.now // the hold leaves while the start is under way
	d.now += ms
	d.startAnswer(start, Accepted)
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now}, sentAt)
	c.Assert(d.of(Start), qt.HasLen, 0)

	d.now += ms
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 1, qt.Commentf("a hold sent later proves that the run is gone"))
}

func TestJobGivenBackWaitsForExecutorsThatHaveNotAnswered(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswer(0, HoldResponse{Clock: time.Minute}, 0)
	d.tick(5 * time.Second) // the other executor has been out of reach for long
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("the former owner may have reached it until now"))
	d.tick(testJobLease - ms)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("the lease of the job at the former owner"))
	d.tick(ms)
	c.Assert(d.of(Start), qt.HasLen, 1)
}

func TestJobGivenBackStartsOnceAllExecutorsHaveAnswered(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswer(0, HoldResponse{Clock: time.Minute}, 0)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.of(Start), qt.HasLen, 0)
	d.now += 10 * ms
	running := []RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 10}}
	d.holdAnswer(1, HoldResponse{Clock: time.Minute, Running: running}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("its run is adopted"))
	d.now += 10 * ms
	ends := []EndedTask{{Number: 1, Task: "a.0.0.0", Run: 1, Kind: EndDone}}
	d.holdAnswer(1, HoldResponse{Clock: time.Minute, Ended: ends}, d.now)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}

func TestTaskWaitsForTheEndOfAnOrphanThatIsBeingStopped(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	running := []RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 10}}
	d.holdAnswer(0, HoldResponse{Clock: time.Minute, Running: running}, d.now)
	d.holdAnswer(1, HoldResponse{Clock: time.Minute}, d.now)
	d.tick(500 * ms)
	c.Assert(d.of(Stop), qt.HasLen, 1)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.of(Start), qt.HasLen, 0)
	ends := []EndedTask{{Number: 1, Task: "a.0.0.0", Run: 1, Kind: EndStopped}}
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Ended: ends}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 1)
}

func TestJobGivenBackWaitsForACompleteList(t *testing.T) {
	c := qt.New(t)
	d := &driver{c: c, cell: New(DefaultParams(time.Second, testJobLease, 50*ms), 7, 0), finished: map[string]job.Outcome{}}
	d.submit(testJob("a", 1, d.now), 2) // comes before the first list
	d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
	d.take()
	d.holdAnswer(0, HoldResponse{Clock: time.Minute}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("an old list may lack the executor that runs it"))

	d.cell.MarkListComplete()
	d.cell.SetExecutors([]catalog.Executor{testExecutor(0), testExecutor(1)}, d.now)
	d.take()
	c.Assert(d.of(Start), qt.HasLen, 0)
	d.holdAnswer(1, HoldResponse{Clock: time.Minute}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 1)
}

// A task that fails may be at fault itself; two in a row tell of the executor.
func TestWhenFailedTasksEjectTheirExecutor(t *testing.T) {
	type scenario struct {
		testName string
		ends     []EndKind
		ejected  bool
	}
	scenarios := []scenario{
		{testName: "one failure", ends: []EndKind{EndFailed}},
		{testName: "failures with a success between", ends: []EndKind{EndFailed, EndDone, EndFailed}},
		{testName: "two in a row", ends: []EndKind{EndFailed, EndFailed}, ejected: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 4)
			e := d.cell.executors[testLife(0)]
			for i, kind := range s.ends {
				w := newJobState(Handover{Job: testJob(fmt.Sprintf("job%d", i), 1, d.now), Epoch: 1}, newTaskTimes(), d.now)
				r := &run{executor: e, name: w.job.TaskName(job.TaskKey{}), number: 1, job: w, task: w.steps[0][0], firstSentAt: d.now, estimate: 200 * ms}
				e.addRun(r)
				d.now += 200 * ms
				d.cell.applyEnd(e, r, kind, d.now)
			}
			c.Assert(e.health.onProbation(), qt.Equals, s.ejected)
		})
	}
}

func TestAFailureOnTrialEjectsAgain(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 4)
	e := d.cell.executors[testLife(0)]
	e.health.eject(d.now)
	first := e.health.ejectedUntil
	d.cell.penalize(e, penaltyTaskFailed, "task", first)
	c.Assert(e.health.ejectedUntil > first, qt.IsTrue)
}
