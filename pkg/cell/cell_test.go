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

// driver simulates the executors and fronts of a cell.
type driver struct {
	c               *qt.C
	cell            *Cell
	now             time.Duration
	commands        []Command
	finished        map[string]job.Outcome
	renewalsStopped bool // fronts do not renew their jobs
}

// renewal returns the time of a renewal that is made now. It is never 0, which stands for no
// known renewal.
func (d *driver) renewal() time.Duration { return max(d.now, 1) }

// renew renews all jobs, as their fronts do.
func (d *driver) renew() {
	if d.renewalsStopped {
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
	d.takeActions()
	return d
}

// newAdoptedDriver returns a driver whose executors have answered their first hold.
func newAdoptedDriver(c *qt.C, count int) *driver {
	var executors []catalog.Executor
	for i := range count {
		executors = append(executors, testExecutor(i))
	}
	d := newDriver(c, executors...)
	for i := range count {
		d.holdAnswered(i, HoldResponse{Clock: time.Minute + d.now}, d.now)
	}
	d.commands = nil
	return d
}

func executorID(i int) string { return fmt.Sprintf("executor-%d", i) }

// testIncarnation returns the incarnation of an executor without a start time.
func testIncarnation(i int) catalog.Incarnation { return catalog.Incarnation(executorID(i)) }

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

func (d *driver) takeActions() {
	commands, finished, _ := d.cell.TakeActions()
	d.commands = append(d.commands, commands...)
	for _, f := range finished {
		d.finished[f.ID] = f.Outcome
	}
}

func (d *driver) submit(j *job.Job, epoch int) {
	d.cell.Submit(Handover{Job: j, Epoch: epoch, RenewedAt: d.renewal()}, d.now)
	d.takeActions()
}

func (d *driver) tick(after time.Duration) {
	d.now += after
	d.renew()
	d.cell.Tick(d.now)
	d.takeActions()
}

func (d *driver) holdAnswered(i int, response HoldResponse, sentAt time.Duration) {
	d.renew()
	d.cell.HoldAnswered(testIncarnation(i), response, sentAt, d.now)
	d.takeActions()
}

func (d *driver) startAnswered(command Command, verdict Verdict) {
	d.cell.StartAnswered(command.Executor.Incarnation(), command.Task, command.Run, verdict, time.Minute+d.now, d.now)
	d.takeActions()
}

// takeCommands returns the pending commands of a kind and removes them.
func (d *driver) takeCommands(kind CommandKind) []Command {
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

// A hold that is sent before its start is answered may reach the executor first. Its list must
// not make a run count as absent.
func TestAHoldSentDuringAStartDoesNotConfirmAbsence(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.now += ms
	sentAt := d.now // the hold is sent while the start is in flight
	d.now += ms
	d.startAnswered(start, Accepted)
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, sentAt)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)

	d.now += ms
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1, qt.Commentf("a hold sent after the answer confirms that the run is absent"))
}

// Runs of the former owner may be alive on an executor that has not answered yet.
func TestAReturnedJobWaitsForExecutorsThatHaveNotAnswered(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswered(0, HoldResponse{Clock: time.Minute}, 0)
	d.tick(5 * time.Second) // the other executor is unreachable for longer than any lease
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the former owner may have reached the other executor until now"))
	d.tick(testJobLease - ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the job's lease at the former owner has not ended"))
	d.tick(ms)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

func TestAReturnedJobAdoptsItsRunOnceAllExecutorsHaveAnswered(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswered(0, HoldResponse{Clock: time.Minute}, 0)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	d.now += 10 * ms
	running := []RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 10}}
	d.holdAnswered(1, HoldResponse{Clock: time.Minute, Running: running}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("the run of the former owner is adopted"))
	d.now += 10 * ms
	ends := []EndedTask{{Number: 1, Task: "a.0.0.0", Run: 1, Kind: EndDone}}
	d.holdAnswered(1, HoldResponse{Clock: time.Minute, Ended: ends}, d.now)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}

func TestATaskWaitsForTheEndOfAnOrphanThatIsBeingStopped(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	running := []RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 10}}
	d.holdAnswered(0, HoldResponse{Clock: time.Minute, Running: running}, d.now)
	d.holdAnswered(1, HoldResponse{Clock: time.Minute}, d.now)
	d.tick(500 * ms)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 1)
	d.submit(testJob("a", 1, d.now), 2)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	ends := []EndedTask{{Number: 1, Task: "a.0.0.0", Run: 1, Kind: EndStopped}}
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Ended: ends}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

func TestAReturnedJobWaitsForACompleteList(t *testing.T) {
	c := qt.New(t)
	d := &driver{c: c, cell: New(DefaultParams(time.Second, testJobLease, 50*ms), 7, 0), finished: map[string]job.Outcome{}}
	d.submit(testJob("a", 1, d.now), 2) // arrives before the first list
	d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
	d.takeActions()
	d.holdAnswered(0, HoldResponse{Clock: time.Minute}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("an old list may lack the executor that runs the task"))

	d.cell.MarkListComplete()
	d.cell.SetExecutors([]catalog.Executor{testExecutor(0), testExecutor(1)}, d.now)
	d.takeActions()
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	d.holdAnswered(1, HoldResponse{Clock: time.Minute}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

// A single failure may be the task's own fault; two in a row count against the executor.
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
			d := newAdoptedDriver(c, 4)
			e := d.cell.executors[testIncarnation(0)]
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

func TestAFailureOnProbationEjectsAgain(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 4)
	e := d.cell.executors[testIncarnation(0)]
	e.health.eject(d.now)
	first := e.health.ejectedUntil
	d.cell.penalize(e, penaltyTaskFailed, "task", first)
	c.Assert(e.health.ejectedUntil > first, qt.IsTrue)
}

// Guards against starts after a job's deadline: its front handed it on late, after a resync.
func TestAJobThatArrivesAtItsDeadlineIsNotStarted(t *testing.T) {
	scenarios := []struct {
		testName string
		epoch    int
		late     time.Duration
		want     job.Kind
	}{
		{testName: "handed on", epoch: 2, want: job.Expired},
		{testName: "handed on after its deadline", epoch: 2, late: 400 * ms, want: job.Expired},
		{testName: "first handover", epoch: 1, late: 400 * ms, want: job.Refused},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.now = 2 * time.Second
			j := testJob("a", 1, 0)
			j.Deadline = d.now - s.late
			d.submit(j, s.epoch)
			c.Assert(d.takeCommands(Start), qt.HasLen, 0)
			c.Assert(d.finished["a"].Kind, qt.Equals, s.want)
		})
	}
}

// Guards against a run that ends at its job's deadline without a trace in the owner's log.
func TestAJobThatReachesItsDeadlineIsLoggedWithTheRunsThatAreStopped(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	j := testJob("a", 1, d.now)
	j.Deadline = 500 * ms
	d.submit(j, 1)
	start := d.takeCommands(Start)[0]
	d.now = j.Deadline + ms
	d.renew()
	d.cell.TakeActions()
	d.cell.Tick(d.now)
	_, _, notices := d.cell.TakeActions()
	c.Assert(notices[0], qt.Equals, Notice{Event: "job_expired", Job: "a", Age: d.now - j.Received})
	c.Assert(notices[1], qt.Equals, Notice{Event: "run_stopped", Executor: start.Executor.ID, Task: start.Task, Detail: "expired", Run: start.Run})
}
