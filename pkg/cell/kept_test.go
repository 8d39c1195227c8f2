package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// keptJob is a test job that is kept: it has no deadline. Its tasks are so long that
// none is taken for one that stands still.
func keptJob(id string, tasks int, now time.Duration) *job.Job {
	j := testJob(id, tasks, now)
	j.Kept, j.Deadline = true, 0
	j.Steps[0].Estimate = time.Minute
	return j
}

// listed returns a run as a hold lists it.
func listed(start Command) RunningTask {
	return RunningTask{Task: start.Task, Run: start.Run, Percent: 50}
}

// endOf returns the end of a run as a hold lists it.
func endOf(number int64, start Command, kind EndKind) EndedTask {
	return EndedTask{Number: number, Task: start.Task, Run: start.Run, Kind: kind}
}

// startKept has a kept job's only task run on the first executor, asked for at now.
func startKept(c *qt.C, d *driver, j *job.Job) Command {
	d.submit(j, 1)
	starts := d.of(Start)
	c.Assert(starts, qt.HasLen, 1)
	d.startAnswer(starts[0], Accepted)
	return starts[0]
}

// goOn lets time pass in steps of 50 ms while the executors list what runs. It
// returns the furthest lease that holds have set.
func (d *driver) goOn(time time.Duration, running ...RunningTask) (furthest time.Duration) {
	for until := d.now + time; d.now < until; {
		d.tick(50 * ms)
		furthest = max(furthest, d.answerHolds(running...))
	}
	return furthest
}

func TestAKeptJobGoesOnWithoutRenewals(t *testing.T) {
	type scenario struct {
		testName string
		unasked  time.Duration // since the last renewal
		stood    bool          // the process stood still before that
		goesOn   bool
	}
	scenarios := []scenario{
		{testName: "a moment", unasked: 100 * ms, goesOn: true},
		{testName: "longer than the lease of a job", unasked: 2 * testJobLease, goesOn: true},
		{testName: "almost as long as owners go on", unasked: keptRenewalTimeout - 100*ms, goesOn: true},
		{testName: "longer", unasked: keptRenewalTimeout + 100*ms},
		{testName: "longer than a lease, in a process that stood still", unasked: testJobLease, stood: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 1)
			d.tick(time.Second)
			start := startKept(c, d, keptJob("a", 1, d.now))
			d.silent = true
			if s.stood {
				d.cell.PauseStarts(d.now + ms)
			}
			furthest := d.goOn(s.unasked, listed(start))
			_, ended := d.finished["a"]
			c.Assert(!ended, qt.Equals, s.goesOn)
			if s.goesOn {
				c.Assert(furthest > time.Minute+d.now+d.cell.params.Lease/2, qt.IsTrue, qt.Commentf("its lease at the executor is renewed"))
				c.Assert(d.of(Stop), qt.HasLen, 0)
				return
			}
			c.Assert(d.finished["a"].Reason, qt.Equals, ReasonNotRenewed)
			c.Assert(d.of(Stop), qt.HasLen, 1, qt.Commentf("what runs of it is stopped"))
		})
	}
}

// The leases beside a kept job are those of the others.
func TestAJobBesideAKeptOneHasItsLease(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(2 * time.Second)
	kept := startKept(c, d, keptJob("kept", 1, d.now))
	j := testJob("a", 1, d.now)
	j.Deadline, j.Steps[0].Estimate = time.Hour, time.Minute
	start := startKept(c, d, j)
	d.tick(50 * ms)
	lastRenewal := d.now
	d.silent = true
	var furthest time.Duration
	for d.finished["a"].Kind != job.Moved {
		c.Assert(d.now < lastRenewal+testJobLease, qt.IsTrue, qt.Commentf("it isn't given back"))
		furthest = max(furthest, d.goOn(50*ms, listed(kept), listed(start)))
	}
	c.Assert(furthest <= time.Minute+lastRenewal+testJobLease, qt.IsTrue)
	c.Assert(d.of(Stop), qt.HasLen, 1)
	c.Assert(d.goOn(200*ms, listed(kept)) > time.Minute+d.now, qt.IsTrue, qt.Commentf("the kept one goes on"))
	c.Assert(d.finished, qt.HasLen, 1)
}

// A run that was to be stopped is not renewed for as long as its kept job was.
func TestARunOfAKeptJobThatIsGoneHasALease(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Second)
	start := startKept(c, d, keptJob("a", 1, d.now))
	d.goOn(time.Second, listed(start))
	d.cell.Withdraw("a", "cancelled", d.now)
	d.take()
	stopped := d.now
	c.Assert(d.goOn(2*time.Second, listed(start)) <= time.Minute+stopped+testJobLease+50*ms, qt.IsTrue)
}

func TestAKeptJobHasNoDeadline(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Second)
	first := startKept(c, d, keptJob("a", 1, d.now))
	second := startKept(c, d, keptJob("b", 1, d.now))
	waits := keptJob("waits", 1, d.now)
	waits.Steps[0].Estimate = 200 * ms // worth nothing after a second
	d.submit(waits, 1)
	d.submit(testJob("late", 1, d.now), 1)
	d.goOn(10*time.Second, listed(first), listed(second))
	c.Assert(d.finished["late"].Kind, qt.Equals, job.Refused, qt.Commentf("as before"))
	c.Assert(d.finished, qt.HasLen, 1, qt.Commentf("kept jobs are neither refused nor over"))
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listed(second)}, Ended: []EndedTask{endOf(1, first, EndDone)}}, d.now)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
	c.Assert(d.of(Start), qt.HasLen, 1, qt.Commentf("the one that waited starts"))
}

// A process that stood still may have been replaced: it starts nothing of a kept job
// before a keeper has asked again.
func TestAfterAStandStillAKeptJobWaitsForItsKeeper(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Second)
	d.submit(keptJob("a", 3, d.now), 1)
	starts := d.of(Start)
	c.Assert(starts, qt.HasLen, 2)
	d.startAnswer(starts[0], Accepted)
	d.startAnswer(starts[1], Accepted)
	d.silent = true
	d.now += testJobLease
	d.cell.PauseStarts(d.now + 100*ms)
	d.now += 200 * ms
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{endOf(1, starts[0], EndDone), endOf(2, starts[1], EndDone)}}, d.now)
	c.Assert(d.of(Start), qt.HasLen, 0)
	d.silent = false
	d.renew()
	d.take()
	c.Assert(d.of(Start), qt.HasLen, 1)
}

// A keeper that died may have cancelled it.
func TestAKeptJobThatNobodyAsksForStartsNothingMore(t *testing.T) {
	type scenario struct {
		testName string
		unasked  time.Duration
		starts   int
	}
	scenarios := []scenario{
		{testName: "for a moment", unasked: time.Second, starts: 1},
		{testName: "for too long", unasked: keptStartTimeout + 50*ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 1)
			d.tick(time.Second)
			d.submit(keptJob("a", 3, d.now), 1)
			starts := d.of(Start)
			c.Assert(starts, qt.HasLen, 2)
			for _, start := range starts {
				d.startAnswer(start, Accepted)
			}
			d.silent = true
			d.goOn(s.unasked, listed(starts[0]), listed(starts[1]))
			d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listed(starts[1])}, Ended: []EndedTask{endOf(1, starts[0], EndDone)}}, d.now)
			c.Assert(d.of(Start), qt.HasLen, s.starts)
			c.Assert(d.finished, qt.HasLen, 0)
			d.silent = false
			d.renew()
			d.take()
			c.Assert(d.of(Start), qt.HasLen, 1-s.starts, qt.Commentf("asked for again"))
		})
	}
}

// A task that has failed on all executors but one on trial would wait for ever.
func TestAKeptTaskIsTriedAgainWhereItFailed(t *testing.T) {
	type scenario struct {
		testName string
		kept     bool
		onTrial  bool // the second executor
		starts   int
	}
	scenarios := []scenario{
		{testName: "the other executor is on trial", kept: true, onTrial: true, starts: 1},
		{testName: "the other executor is full", kept: true},
		{testName: "a job that isn't kept", onTrial: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 2)
			d.tick(time.Second)
			j := testJob("a", 1, d.now)
			j.Kept, j.Deadline, j.MaxAttempts = s.kept, time.Hour, 5
			start := startKept(c, d, j)
			e, other := d.cell.executors[start.Executor.Incarnation()], d.cell.executors[testLife(1)]
			if e == other {
				other = d.cell.executors[testLife(0)]
			}
			if s.onTrial {
				other.health.ejection = firstEjection
			} else {
				other.used = other.info.Capacity
			}
			d.now += 100 * ms
			d.cell.HoldAnswered(e.incarnation, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{endOf(1, start, EndFailed)}}, d.now, d.now)
			d.tick(50 * ms)
			d.tick(50 * ms)
			c.Assert(d.of(Start), qt.HasLen, s.starts)
		})
	}
}

// A run that stands still is found after a takeover, too.
func TestAnAdoptedKeptRunThatStandsStillIsStopped(t *testing.T) {
	for kept, want := range map[bool]int{true: 1, false: 0} {
		c := qt.New(t)
		d := newDriver(c, testExecutor(0), testExecutor(1))
		d.now = time.Second
		run := RunningTask{Task: "a.0.0.0", Run: firstKeptRun}
		d.holdAnswer(0, HoldResponse{Clock: time.Minute, Running: []RunningTask{run}}, d.now)
		d.holdAnswer(1, HoldResponse{Clock: time.Minute}, d.now)
		j := testJob("a", 1, d.now)
		j.Kept, j.Deadline = kept, time.Hour
		d.submit(j, 2)
		for range 80 {
			d.tick(50 * ms)
			d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{run}}, d.now)
		}
		c.Assert(d.of(Stop), qt.HasLen, want)
	}
}

func TestStepsOfAKeptJobRunInOrder(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 2)
	d.tick(time.Second)
	j := keptJob("a", 2, d.now)
	j.Steps = append(j.Steps, j.Steps[0], j.Steps[0])
	j.Steps[1].After, j.Steps[2].After = []int{0}, []int{1}
	d.submit(j, 1)
	number := int64(0)
	for step := range 3 {
		starts := d.of(Start)
		c.Assert(starts, qt.HasLen, 2)
		for i, start := range starts {
			c.Assert(start.Task, qt.Equals, fmt.Sprintf("a.0.%d.%d", step, i))
			d.startAnswer(start, Accepted)
		}
		for i, start := range starts {
			c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("tasks of step %d still run", step))
			number++
			d.now += 10 * ms
			answer := HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{endOf(number, start, EndDone)}}
			for _, other := range starts[i+1:] {
				answer.Running = append(answer.Running, listed(other))
			}
			d.holdAnswer(0, answer, d.now)
			d.tick(retainedHoldPause)
		}
	}
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}

func TestWhenAKeptJobIsGivenBackAsStranded(t *testing.T) {
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
		{testName: "not for as long", service: "service", waits: short, kept: true},
		{testName: "there is one of another service", service: "another", answers: true, waits: long, kept: true, want: true},
		{testName: "a job that isn't kept", service: "another", answers: true, waits: long},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			e := testExecutor(0)
			e.Service = s.service
			d := newDriver(c, e)
			if s.answers {
				d.holdAnswer(0, HoldResponse{Clock: time.Minute}, d.now)
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

func TestAKeptJobIsStrandedOnlyOnceNothingOfItRuns(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Second)
	d.submit(keptJob("a", 3, d.now), 1) // there is room for two
	starts := d.of(Start)
	c.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		d.startAnswer(start, Accepted)
	}
	draining := testExecutor(0)
	draining.Draining = true
	d.cell.SetExecutors([]catalog.Executor{draining}, d.now)
	d.goOn(2*noExecutorTimeout, listed(starts[0]), listed(starts[1]))
	c.Assert(d.finished, qt.HasLen, 0)
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{endOf(1, starts[0], EndDone), endOf(2, starts[1], EndDone)}}, d.now)
	d.tick(ms)
	outcome := d.finished["a"]
	c.Assert(outcome.Reason, qt.Equals, ReasonNoUsableExecutor)
	c.Assert(outcome.Progress, qt.HasLen, 2, qt.Commentf("the next cell runs the third task"))
}

func TestAKeptJobThatComesFromAnotherOwnerWaitsUntilATaskHasRun(t *testing.T) {
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
