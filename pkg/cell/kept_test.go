package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// keptJob returns a kept job, which has no deadline. Its tasks are so long that none counts as
// stalled.
func keptJob(id string, tasks int, now time.Duration) *job.Job {
	j := testJob(id, tasks, now)
	j.Kept, j.Deadline = true, 0
	j.Steps[0].Estimate = time.Minute
	return j
}

// listedRun returns a run as a hold response lists it.
func listedRun(start Command) RunningTask {
	return RunningTask{Task: start.Task, Run: start.Run, Percent: 50}
}

// listedEnd returns the end of a run as a hold response lists it.
func listedEnd(number int64, start Command, kind EndKind) EndedTask {
	return EndedTask{Number: number, Task: start.Task, Run: start.Run, Kind: kind}
}

// startOneTask submits a job of one task and accepts its start.
func startOneTask(c *qt.C, d *driver, j *job.Job) Command {
	d.submit(j, 1)
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 1)
	d.startAnswered(starts[0], Accepted)
	return starts[0]
}

// runFor advances the time in steps of 50 ms while the executors list the given runs. It
// returns the latest lease deadline that holds have set.
func (d *driver) runFor(duration time.Duration, running ...RunningTask) (furthest time.Duration) {
	for until := d.now + duration; d.now < until; {
		d.tick(50 * ms)
		furthest = max(furthest, d.answerHolds(running...))
	}
	return furthest
}

// A kept job continues while its coordinator is replaced, but not without limit, and not after
// a suspension of the owner.
func TestAKeptJobContinuesWithoutRenewals(t *testing.T) {
	type scenario struct {
		testName     string
		unrenewedFor time.Duration // since the last renewal
		suspended    bool          // the process was suspended before
		continues    bool
	}
	scenarios := []scenario{
		{testName: "for a moment", unrenewedFor: 100 * ms, continues: true},
		{testName: "longer than the lease of a job", unrenewedFor: 2 * testJobLease, continues: true},
		{testName: "almost as long as the renewal timeout", unrenewedFor: keptRenewalTimeout - 100*ms, continues: true},
		{testName: "longer than the renewal timeout", unrenewedFor: keptRenewalTimeout + 100*ms},
		{testName: "as long as the lease of a job, in a process that was suspended", unrenewedFor: testJobLease, suspended: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.tick(time.Second)
			start := startOneTask(c, d, keptJob("a", 1, d.now))
			d.renewalsStopped = true
			if s.suspended {
				d.cell.PauseStarts(d.now + ms)
			}
			furthest := d.runFor(s.unrenewedFor, listedRun(start))
			_, ended := d.finished["a"]
			c.Assert(!ended, qt.Equals, s.continues)
			if s.continues {
				c.Assert(furthest > time.Minute+d.now+d.cell.params.Lease/2, qt.IsTrue, qt.Commentf("its lease at the executor is renewed"))
				c.Assert(d.takeCommands(Stop), qt.HasLen, 0)
				return
			}
			c.Assert(d.finished["a"].Reason, qt.Equals, ReasonNotRenewed)
			c.Assert(d.takeCommands(Stop), qt.HasLen, 1, qt.Commentf("its run is stopped"))
		})
	}
}

// A kept job on the same executor must not extend the leases of other jobs.
func TestAJobBesideAKeptJobHasItsOwnLease(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(2 * time.Second)
	kept := startOneTask(c, d, keptJob("kept", 1, d.now))
	j := testJob("a", 1, d.now)
	j.Deadline, j.Steps[0].Estimate = time.Hour, time.Minute
	start := startOneTask(c, d, j)
	d.tick(50 * ms)
	lastRenewal := d.now
	d.renewalsStopped = true
	var furthest time.Duration
	for d.finished["a"].Kind != job.Moved {
		c.Assert(d.now < lastRenewal+testJobLease, qt.IsTrue, qt.Commentf("the job is not returned"))
		furthest = max(furthest, d.runFor(50*ms, listedRun(kept), listedRun(start)))
	}
	c.Assert(furthest <= time.Minute+lastRenewal+testJobLease, qt.IsTrue)
	c.Assert(d.takeCommands(Stop), qt.HasLen, 1)
	c.Assert(d.runFor(200*ms, listedRun(kept)) > time.Minute+d.now, qt.IsTrue, qt.Commentf("the kept job continues"))
	c.Assert(d.finished, qt.HasLen, 1)
}

// The run of a withdrawn kept job must not be renewed for longer than the lease of a job.
func TestARunOfAWithdrawnKeptJobHasALease(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Second)
	start := startOneTask(c, d, keptJob("a", 1, d.now))
	d.runFor(time.Second, listedRun(start))
	d.cell.Withdraw("a", "cancelled", d.now)
	d.takeActions()
	stopped := d.now
	c.Assert(d.runFor(2*time.Second, listedRun(start)) <= time.Minute+stopped+testJobLease+50*ms, qt.IsTrue)
}

func TestAKeptJobHasNoDeadline(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Second)
	first := startOneTask(c, d, keptJob("a", 1, d.now))
	second := startOneTask(c, d, keptJob("b", 1, d.now))
	waits := keptJob("waits", 1, d.now)
	waits.Steps[0].Estimate = 200 * ms // its answer has no value after a second
	d.submit(waits, 1)
	d.submit(testJob("late", 1, d.now), 1)
	d.runFor(10*time.Second, listedRun(first), listedRun(second))
	c.Assert(d.finished["late"].Kind, qt.Equals, job.Refused, qt.Commentf("a job that is not kept has a deadline"))
	c.Assert(d.finished, qt.HasLen, 1, qt.Commentf("kept jobs neither are refused nor expire"))
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listedRun(second)}, Ended: []EndedTask{listedEnd(1, first, EndDone)}}, d.now)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1, qt.Commentf("the waiting job starts"))
}

// A suspended process may have been replaced as the owner. It must not start tasks of a kept
// job before a coordinator has renewed the job.
func TestAKeptJobWaitsForItsCoordinatorAfterASuspension(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Second)
	d.submit(keptJob("a", 3, d.now), 1)
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 2)
	d.startAnswered(starts[0], Accepted)
	d.startAnswered(starts[1], Accepted)
	d.renewalsStopped = true
	d.now += testJobLease
	d.cell.PauseStarts(d.now + 100*ms)
	d.now += 200 * ms
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(1, starts[0], EndDone), listedEnd(2, starts[1], EndDone)}}, d.now)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
	d.renewalsStopped = false
	d.renew()
	d.takeActions()
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

// A kept job that is no longer renewed may have been cancelled by a coordinator that died
// since.
func TestAnUnrenewedKeptJobStartsNoFurtherTasks(t *testing.T) {
	type scenario struct {
		testName     string
		unrenewedFor time.Duration
		starts       int
	}
	scenarios := []scenario{
		{testName: "unrenewed for a moment", unrenewedFor: time.Second, starts: 1},
		{testName: "unrenewed for too long", unrenewedFor: keptStartTimeout + 50*ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.tick(time.Second)
			d.submit(keptJob("a", 3, d.now), 1)
			starts := d.takeCommands(Start)
			c.Assert(starts, qt.HasLen, 2)
			for _, start := range starts {
				d.startAnswered(start, Accepted)
			}
			d.renewalsStopped = true
			d.runFor(s.unrenewedFor, listedRun(starts[0]), listedRun(starts[1]))
			d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listedRun(starts[1])}, Ended: []EndedTask{listedEnd(1, starts[0], EndDone)}}, d.now)
			c.Assert(d.takeCommands(Start), qt.HasLen, s.starts)
			c.Assert(d.finished, qt.HasLen, 0)
			d.renewalsStopped = false
			d.renew()
			d.takeActions()
			c.Assert(d.takeCommands(Start), qt.HasLen, 1-s.starts, qt.Commentf("the job is renewed again"))
		})
	}
}

// A kept task must not wait forever when it has failed on all executors but one on probation.
func TestAKeptTaskIsRetriedWhereItFailed(t *testing.T) {
	type scenario struct {
		testName    string
		kept        bool
		onProbation bool // the second executor
		starts      int
	}
	scenarios := []scenario{
		{testName: "the other executor is on probation", kept: true, onProbation: true, starts: 1},
		{testName: "the other executor is full", kept: true},
		{testName: "a job that is not kept", onProbation: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 2)
			d.tick(time.Second)
			j := testJob("a", 1, d.now)
			j.Kept, j.Deadline, j.MaxAttempts = s.kept, time.Hour, 5
			start := startOneTask(c, d, j)
			e, other := d.cell.executors[start.Executor.Incarnation()], d.cell.executors[testIncarnation(1)]
			if e == other {
				other = d.cell.executors[testIncarnation(0)]
			}
			if s.onProbation {
				other.health.ejection = firstEjection
			} else {
				other.used = other.info.Capacity
			}
			d.now += 100 * ms
			d.cell.HoldAnswered(e.incarnation, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(1, start, EndFailed)}}, d.now, d.now)
			d.tick(50 * ms)
			d.tick(50 * ms)
			c.Assert(d.takeCommands(Start), qt.HasLen, s.starts)
		})
	}
}

// Guards against kept jobs that never end: a task has failed, all executors are on probation, and no other work
// comes that would clear one.
func TestAKeptTaskIsRetriedWhereAllExecutorsAreOnProbation(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	d.tick(time.Second)
	j := testJob("a", 1, d.now)
	j.Kept, j.Deadline, j.MaxAttempts = true, time.Hour, 5
	start := startOneTask(c, d, j)
	for _, e := range d.cell.executors {
		e.health.ejection = firstEjection
	}
	d.now += 100 * ms
	d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(1, start, EndFailed)}}, d.now, d.now)
	d.tick(50 * ms)
	d.tick(longestEjection)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
}

// A stalled run of a kept job must also be found after a takeover.
func TestAStalledAdoptedKeptRunIsStopped(t *testing.T) {
	for kept, want := range map[bool]int{true: 1, false: 0} {
		c := qt.New(t)
		d := newDriver(c, testExecutor(0), testExecutor(1))
		d.now = time.Second
		run := RunningTask{Task: "a.0.0.0", Run: firstKeptRun}
		d.holdAnswered(0, HoldResponse{Clock: time.Minute, Running: []RunningTask{run}}, d.now)
		d.holdAnswered(1, HoldResponse{Clock: time.Minute}, d.now)
		j := testJob("a", 1, d.now)
		j.Kept, j.Deadline = kept, time.Hour
		d.submit(j, 2)
		for range 80 {
			d.tick(50 * ms)
			d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{run}}, d.now)
		}
		c.Assert(d.takeCommands(Stop), qt.HasLen, want)
	}
}

func TestStepsOfAKeptJobRunInOrder(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	d.tick(time.Second)
	j := keptJob("a", 2, d.now)
	j.Steps = append(j.Steps, j.Steps[0], j.Steps[0])
	j.Steps[1].After, j.Steps[2].After = []int{0}, []int{1}
	d.submit(j, 1)
	number := int64(0)
	for step := range 3 {
		starts := d.takeCommands(Start)
		c.Assert(starts, qt.HasLen, 2)
		for i, start := range starts {
			c.Assert(start.Task, qt.Equals, fmt.Sprintf("a.0.%d.%d", step, i))
			d.startAnswered(start, Accepted)
		}
		for i, start := range starts {
			c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("tasks of step %d still run", step))
			number++
			d.now += 10 * ms
			response := HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(number, start, EndDone)}}
			for _, other := range starts[i+1:] {
				response.Running = append(response.Running, listedRun(other))
			}
			d.holdAnswered(0, response, d.now)
			d.tick(retainedHoldPause)
		}
	}
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}

func TestWhenAKeptJobIsReturnedAsStranded(t *testing.T) {
	type scenario struct {
		testName string
		service  string // of the executor
		answers  bool
		waits    time.Duration
		kept     bool
		want     bool
	}
	const long, short = noExecutorTimeout + 50*ms, noExecutorTimeout - 100*ms
	scenarios := []scenario{
		{testName: "no executor answers", service: "service", waits: long, kept: true, want: true},
		{testName: "no executor answers, for a shorter time", service: "service", waits: short, kept: true},
		{testName: "the only executor is of another service", service: "another", answers: true, waits: long, kept: true, want: true},
		{testName: "a job that is not kept", service: "another", answers: true, waits: long},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			e := testExecutor(0)
			e.Service = s.service
			d := newDriver(c, e)
			if s.answers {
				d.holdAnswered(0, HoldResponse{Clock: time.Minute}, d.now)
			}
			j := testJob("a", 1, d.now)
			j.Kept, j.Deadline = s.kept, time.Hour
			d.submit(j, 1)
			for until := d.now + s.waits; d.now < until; {
				d.tick(50 * ms)
			}
			outcome := d.finished["a"]
			c.Assert(outcome.Kind == job.Moved, qt.Equals, s.want)
			c.Assert(outcome.Reason == ReasonNoUsableExecutor, qt.Equals, s.want)
			c.Assert(LeavesNoRuns(outcome.Reason), qt.Equals, s.want)
			c.Assert(outcome.Started, qt.IsFalse)
		})
	}
}

func TestAKeptJobIsReturnedAsStrandedOnlyWithoutRuns(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Second)
	d.submit(keptJob("a", 3, d.now), 1) // two of them fit on the executor
	starts := d.takeCommands(Start)
	c.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		d.startAnswered(start, Accepted)
	}
	draining := testExecutor(0)
	draining.Draining = true
	d.cell.SetExecutors([]catalog.Executor{draining}, d.now)
	d.runFor(2*noExecutorTimeout, listedRun(starts[0]), listedRun(starts[1]))
	c.Assert(d.finished, qt.HasLen, 0)
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(1, starts[0], EndDone), listedEnd(2, starts[1], EndDone)}}, d.now)
	d.tick(ms)
	outcome := d.finished["a"]
	c.Assert(outcome.Reason, qt.Equals, ReasonNoUsableExecutor)
	c.Assert(outcome.Progress, qt.HasLen, 2, qt.Commentf("the next cell runs the third task"))
}

func TestAKeptJobCountsAsWaitingUntilATaskHasRun(t *testing.T) {
	c := qt.New(t)
	scenarios := []struct {
		testName string
		kept     bool
		epoch    int
		progress []job.Progress
		waits    bool
	}{
		{"kept, new", true, 1, nil, true},
		{"kept, from another owner", true, 20, nil, true},
		{"kept, a task has run there", true, 20, []job.Progress{{Run: 1501}}, false},
		{"not kept, from another owner", false, 2, nil, false},
	}
	for _, s := range scenarios {
		state := New(DefaultParams(time.Second, testJobLease, 50*ms), 1, time.Second)
		j := &job.Job{ID: "a", Route: "r", Service: "s", Kept: s.kept, MaxAttempts: 3, Received: time.Second, Deadline: time.Hour, Steps: []job.Step{{Count: 2}}}
		state.Submit(Handover{Job: j, Epoch: s.epoch, RenewedAt: time.Second, Progress: s.progress}, time.Second)
		c.Assert(state.Waiting()["r"] == 1, qt.Equals, s.waits, qt.Commentf(s.testName))
	}
}

// Guards against a second run of a kept job's task at an owner that doesn't reach an executor: a former
// owner that is isolated goes on with a kept job for much longer than with others.
func TestAKeptJobOfALostOwnerWaitsForExecutorsThatDoNotAnswer(t *testing.T) {
	const longestWait = 20 * time.Second
	type scenario struct {
		testName      string
		lost          bool
		unlistedAfter time.Duration // the silent executor leaves the list; 0 for never
		answersAfter  time.Duration // 0 for never
		mayLive       bool          // the cell was claimed from a minority
		boundedAfter  time.Duration // it reaches most hosts again; 0 for never
		startsAfter   time.Duration // 0: not within longestWait
	}
	scenarios := []scenario{
		{testName: "its owner may live", lost: true, mayLive: true},
		{testName: "its owner may live, and the executor answers", lost: true, mayLive: true, answersAfter: 3 * time.Second, startsAfter: 3 * time.Second},
		{testName: "its owner may live, and the executor leaves the list", lost: true, mayLive: true, unlistedAfter: 5 * time.Second},
		{testName: "its owner may live until most hosts are reached", lost: true, mayLive: true, boundedAfter: 2 * time.Second, startsAfter: 2*time.Second + keptRunsEndWithin},
		{testName: "its owner was lost", lost: true, startsAfter: keptRunsEndWithin},
		{testName: "the executor answers", lost: true, answersAfter: 3 * time.Second, startsAfter: 3 * time.Second},
		{testName: "the executor leaves the list", lost: true, unlistedAfter: 5 * time.Second, startsAfter: 5 * time.Second},
		{testName: "returned by its owner", startsAfter: testJobLease},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, testExecutor(0), testExecutor(1))
			if s.mayLive {
				d.cell.ExpectLivingOwner(false, 0)
			}
			d.holdAnswered(0, HoldResponse{Clock: time.Minute}, 0)
			d.cell.HoldAnswered(testIncarnation(1), HoldResponse{Verdict: Unanswered}, 0, 0)
			d.cell.Submit(Handover{Job: keptJob("a", 1, d.now), Epoch: 2, RenewedAt: d.renewal(), NamesRuns: !s.lost}, d.now)
			for d.takeActions(); len(d.takeCommands(Start)) == 0; {
				if s.startsAfter == 0 && d.now >= longestWait {
					return
				}
				c.Assert(d.now < longestWait, qt.IsTrue)
				d.tick(10 * ms)
				if s.boundedAfter > 0 && d.now == s.boundedAfter {
					d.cell.BoundFormerOwner(d.now)
				}
				d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, d.now)
				silent := HoldResponse{Verdict: Unanswered}
				if s.answersAfter > 0 && d.now >= s.answersAfter {
					silent = HoldResponse{Clock: time.Minute + d.now}
				}
				d.holdAnswered(1, silent, d.now)
				if s.unlistedAfter > 0 && d.now >= s.unlistedAfter {
					d.cell.SetExecutors([]catalog.Executor{testExecutor(0)}, d.now)
				}
			}
			c.Assert(d.now >= s.startsAfter, qt.IsTrue, qt.Commentf("started after %s", d.now))
			c.Assert(d.now <= s.startsAfter+30*ms, qt.IsTrue, qt.Commentf("started after %s", d.now))
		})
	}
}

// Guards against kept jobs that are released to another cell while a former owner may go on with them
// at executors that this one does not reach.
func TestWhenAllRunsOfKeptJobsAreKnown(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.holdAnswered(0, HoldResponse{Clock: time.Minute}, 0)
	c.Assert(d.cell.KnowsKeptRuns(2*time.Second), qt.IsFalse)
	c.Assert(d.cell.IsTakeoverComplete(2*time.Second), qt.IsTrue)
	c.Assert(d.cell.KnowsKeptRuns(keptRunsEndWithin+time.Second), qt.IsTrue)
	d.holdAnswered(1, HoldResponse{Clock: time.Minute}, 0)
	c.Assert(d.cell.KnowsKeptRuns(0), qt.IsTrue)
}

// The same where the former owner may live among most hosts, and an executor has left the list without an answer.
func TestWhenAllRunsOfKeptJobsAreKnownBesideALivingOwner(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0), testExecutor(1))
	d.cell.ExpectLivingOwner(false, 0)
	d.holdAnswered(0, HoldResponse{Clock: time.Minute}, 0)
	c.Assert(d.cell.KnowsKeptRuns(time.Hour), qt.IsFalse, qt.Commentf("an executor has not answered"))
	d.holdAnswered(1, HoldResponse{Clock: time.Minute}, 0)
	c.Assert(d.cell.KnowsKeptRuns(0), qt.IsTrue)
	d.cell.ExpectLivingOwner(true, time.Second)
	c.Assert(d.cell.KnowsKeptRuns(time.Hour), qt.IsFalse, qt.Commentf("one has left the list before the claim"))
	bounded := time.Minute
	d.cell.BoundFormerOwner(bounded)
	c.Assert(d.cell.KnowsKeptRuns(bounded), qt.IsTrue, qt.Commentf("those on the list have answered"))
}

// Guards against kept jobs that wait for good in a cell of whose executors none has what their next tasks ask for.
func TestAKeptJobIsReturnedWhenNoExecutorMeetsItsNeeds(t *testing.T) {
	label := func(s *job.Step) { s.Constraint = "kind-b" }
	type scenario struct {
		testName string
		needs    func(s *job.Step) // of the first step
		later    func(s *job.Step) // of a step after it; nil for none
		has      func(e *catalog.Executor)
		want     bool
	}
	scenarios := []scenario{
		{testName: "a label", needs: label, want: true},
		{testName: "a label that an executor has", needs: label, has: func(e *catalog.Executor) { e.Labels = []string{"kind-b"} }},
		{testName: "a GPU", needs: func(s *job.Step) { s.Needs.GPU = 1 }, want: true},
		{testName: "a GPU that an executor has", needs: func(s *job.Step) { s.Needs.GPU = 1 }, has: func(e *catalog.Executor) { e.Capacity.GPU = 1 }},
		{testName: "more memory", needs: func(s *job.Step) { s.Needs.MemoryMB = 1 << 40 }, want: true},
		{testName: "more processors", needs: func(s *job.Step) { s.Needs.CPU = 1 << 40 }, want: true},
		{testName: "a label of a later step", needs: func(*job.Step) {}, later: label},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			e := testExecutor(0)
			e.Labels = []string{"kind-a"}
			if s.has != nil {
				s.has(&e)
			}
			d := newDriver(c, e)
			d.holdAnswered(0, HoldResponse{Clock: time.Minute}, d.now)
			d.tick(time.Second)
			j := keptJob("a", 1, d.now)
			s.needs(&j.Steps[0])
			if s.later != nil {
				step := j.Steps[0]
				step.After = []int{0}
				s.later(&step)
				j.Steps = append(j.Steps, step)
			}
			d.submit(j, 1)
			var running []RunningTask
			for _, start := range d.takeCommands(Start) {
				d.startAnswered(start, Accepted)
				running = append(running, listedRun(start))
			}
			d.runFor(noFittingExecutorTimeout+100*ms, running...)
			c.Assert(d.finished["a"].Reason == ReasonNoUsableExecutor, qt.Equals, s.want)
			c.Assert(running, qt.HasLen, map[bool]int{true: 0, false: 1}[s.want])
		})
	}
}

// A job of several steps leaves its cell once the next of them can't run here.
func TestAKeptJobIsReturnedBeforeAStepThatCannotRunHere(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.tick(time.Second)
	j := keptJob("a", 1, d.now)
	step := j.Steps[0]
	step.After, step.Constraint = []int{0}, "kind-b"
	j.Steps = append(j.Steps, step)
	start := startOneTask(c, d, j)
	d.runFor(noExecutorTimeout, listedRun(start))
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{listedEnd(1, start, EndDone)}}, d.now)
	d.runFor(100 * ms)
	c.Assert(d.finished["a"].Reason, qt.Equals, ReasonNoUsableExecutor)
	c.Assert(d.finished["a"].Progress[0].Done, qt.IsTrue)
}
