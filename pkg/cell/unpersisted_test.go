package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// nextHold lets a moment pass and returns the next hold of the first executor.
func (d *driver) nextHold() Command {
	d.of(Hold)
	d.cell.executors[testLife(0)].holdInFlight = false
	d.tick(retainedHoldPause + 2*maxRetainedEnds*pausePerEnd)
	holds := d.of(Hold)
	d.c.Assert(holds, qt.HasLen, 1)
	return holds[0]
}

// keepBusy has a best-effort job run on the first executor, so that it gets holds.
func keepBusy(d *driver) Command {
	j := testJob("busy", 1, d.now)
	j.Deadline, j.Steps[0].Estimate = time.Hour, time.Minute
	d.submit(j, 1)
	start := d.of(Start)[0]
	d.startAnswer(start, Accepted)
	return start
}

func TestUntilWhenAnExecutorKeepsAnEnd(t *testing.T) {
	type scenario struct {
		testName string
		tasks    int
		kind     EndKind
		kept     bool
		waits    time.Duration
		noted    []string
		cancel   bool
		want     int64 // last seen
	}
	scenarios := []scenario{
		{testName: "a job that isn't kept", tasks: 1, kind: EndDone, want: 1},
		{testName: "a kept job that has ended", tasks: 1, kind: EndDone, kept: true},
		{testName: "its end lasts", tasks: 1, kind: EndDone, kept: true, noted: []string{"a"}, want: 1},
		{testName: "that of another one lasts", tasks: 1, kind: EndDone, kept: true, noted: []string{"b"}},
		{testName: "the word of it was lost", tasks: 1, kind: EndDone, kept: true, waits: UnpersistedEndRetention, want: 1},
		{testName: "one that goes on", tasks: 2, kind: EndDone, kept: true, waits: 3 * UnpersistedEndRetention},
		{testName: "one that goes on after a failure", tasks: 2, kind: EndFailed, kept: true, waits: 3 * UnpersistedEndRetention},
		{testName: "one that was cancelled", tasks: 2, kind: EndDone, kept: true, cancel: true, want: 1},
		{testName: "a run that was stopped", tasks: 2, kind: EndStopped, kept: true, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 1)
			d.tick(time.Second)
			busy := keepBusy(d)
			j := testJob("a", s.tasks, d.now)
			j.Kept, j.Deadline = s.kept, time.Hour
			d.submit(j, 1)
			starts := d.of(Start)
			c.Assert(starts, qt.HasLen, 1, qt.Commentf("there is room for one"))
			d.startAnswer(starts[0], Accepted)
			d.now += 100 * ms
			answer := HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listed(busy)}, Ended: []EndedTask{endOf(1, starts[0], s.kind)}}
			d.holdAnswer(0, answer, d.now)
			d.tick(ms)
			if s.cancel {
				d.cell.Withdraw("a", "cancelled", d.now)
				d.take()
			}
			if s.noted != nil {
				d.cell.EndsPersisted(s.noted, d.now)
				d.take()
			}
			for until := d.now + s.waits; d.now < until; {
				d.tick(50 * ms)
			}
			c.Assert(d.nextHold().AckedEnd, qt.Equals, s.want)
		})
	}
}

// An executor that has ends to list answers at once. It isn't asked all the time.
func TestAnExecutorThatKeepsEndsIsAskedNowAndThen(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Second)
	busy := keepBusy(d)
	start := startKept(c, d, keptJob("a", 1, d.now))
	answer := HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listed(busy)}, Ended: []EndedTask{endOf(1, start, EndDone)}}
	d.holdAnswer(0, answer, d.now)
	d.of(Hold)
	d.tick(retainedHoldPause - ms)
	c.Assert(d.of(Hold), qt.HasLen, 0)
	d.cell.EndsPersisted([]string{"a"}, d.now)
	d.take()
	holds := d.of(Hold)
	c.Assert(holds, qt.HasLen, 1, qt.Commentf("it has nothing to list any more"))
	c.Assert(holds[0].AckedEnd, qt.Equals, int64(1))
	c.Assert(holds[0].Wait > shortestHoldWait, qt.IsTrue)
}

func TestAnExecutorKeepsNoMoreEndsThanItLists(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Second)
	busy := keepBusy(d)
	d.submit(keptJob("a", 1, d.now), 1)
	const many = maxRetainedEnds + 10
	answer := HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listed(busy)}}
	for i := range many {
		end := EndedTask{Number: int64(i + 1), Task: fmt.Sprintf("a.0.0.%d", i+1), Run: firstKeptRun + 1, Kind: EndDone}
		answer.Ended = append(answer.Ended, end)
	}
	d.holdAnswer(0, answer, d.now)
	c.Assert(d.nextHold().AckedEnd, qt.Equals, int64(many-maxRetainedEnds))
}

// An executor that has many ends to list gets no more kept jobs, until it has fewer.
func TestAnExecutorWithManyEndsGetsNoFurtherKeptJobs(t *testing.T) {
	type scenario struct {
		testName string
		ends     int
		kept     bool
		known    bool // ends of the job are among them
		starts   int
	}
	scenarios := []scenario{
		{testName: "few ends", ends: maxRetainedForNewJobs - 1, kept: true, starts: 1},
		{testName: "many ends", ends: maxRetainedForNewJobs, kept: true},
		{testName: "a job that has ends there", ends: maxRetainedForNewJobs, kept: true, known: true, starts: 1},
		{testName: "a job that isn't kept", ends: maxRetainedForNewJobs, starts: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 1)
			d.tick(time.Second)
			busy := keepBusy(d)
			answer := HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{listed(busy)}}
			for i := range s.ends {
				id := "other"
				if s.known {
					id = "a"
				}
				answer.Ended = append(answer.Ended, EndedTask{Number: int64(i + 1), Task: fmt.Sprintf("%s.0.0.%d", id, i+1), Run: firstKeptRun + 1, Kind: EndDone})
			}
			d.holdAnswer(0, answer, d.now)
			j := testJob("a", 1, d.now)
			j.Kept = s.kept
			d.submit(j, 1)
			c.Assert(d.of(Start), qt.HasLen, s.starts)
			d.cell.EndsPersisted([]string{"other", "a"}, d.now)
			d.take()
			c.Assert(d.of(Start), qt.HasLen, 1-s.starts)
		})
	}
}

func TestWhichJobsWait(t *testing.T) {
	type scenario struct {
		testName string
		kept     bool
		epoch    int
		progress []job.Progress
		ended    bool // an executor lists an end of it
		want     int
	}
	told := []job.Progress{{Run: firstKeptRun}}
	scenarios := []scenario{
		{testName: "a new one", kept: true, epoch: 1, want: 1},
		{testName: "a new one that isn't kept", epoch: 1, want: 1},
		{testName: "handed on, of which nothing is known", kept: true, epoch: 7, want: 1},
		{testName: "handed on, not kept", epoch: 7},
		{testName: "handed on with what was run", kept: true, epoch: 7, progress: told},
		{testName: "handed on, with an end at an executor", kept: true, epoch: 7, ended: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, testExecutor(0))
			d.cell.SetClosed(false, d.now)
			if s.ended {
				end := EndedTask{Number: 1, Task: "a.0.0.0", Run: firstKeptRun, Kind: EndFailed}
				d.holdAnswer(0, HoldResponse{Clock: time.Minute, Ended: []EndedTask{end}}, d.now)
			}
			j := testJob("a", 1, d.now)
			j.Kept, j.Steps[0].Needs.CPU = s.kept, 1_000_000 // there is no room for it
			d.cell.Submit(Handover{Job: j, Epoch: s.epoch, Progress: s.progress, RenewedAt: d.renewal()}, d.now)
			c.Assert(d.cell.Waiting()["route"], qt.Equals, s.want)
		})
	}
}

// The ends that a new owner finds at its first look at an executor.
func TestAnOwnerTakesWhatFormerOnesLeft(t *testing.T) {
	type scenario struct {
		testName string
		ended    []EndedTask
		progress []job.Progress
		before   bool // the job is here before the executor answers
		kept     bool
		want     job.Kind // 0: it goes on
		starts   int
		run      int64 // least number of the next start
	}
	done := EndedTask{Task: "a.0.0.0", Run: firstKeptRun + 1, Kind: EndDone}
	failed := EndedTask{Task: "a.0.0.0", Run: firstKeptRun + 1, Kind: EndFailed}
	again := EndedTask{Task: "a.0.0.0", Run: firstKeptRun + 2, Kind: EndFailed}
	far := EndedTask{Task: "a.0.0.0", Run: 7*runsPerEpoch + firstKeptRun, Kind: EndFailed}
	told := []job.Progress{{Key: job.TaskKey{}, Failures: 1, Run: firstKeptRun + 1}}
	scenarios := []scenario{
		{testName: "nothing", kept: true, starts: 1, run: runsPerEpoch + firstKeptRun},
		{testName: "it is done", ended: []EndedTask{done}, kept: true, want: job.Completed},
		{testName: "it is done, and here before", ended: []EndedTask{done}, kept: true, before: true, want: job.Completed},
		{testName: "it has failed once", ended: []EndedTask{failed}, kept: true, starts: 1},
		{testName: "it has failed as often as it may", ended: []EndedTask{failed, again}, kept: true, want: job.Failed},
		{testName: "it has failed as often as it may, and is here before", ended: []EndedTask{failed, again}, kept: true, before: true, want: job.Failed},
		{testName: "one failure that the former owner told of, too", ended: []EndedTask{failed}, progress: told, kept: true, starts: 1},
		{testName: "two failures, one of which the former owner told of", ended: []EndedTask{failed, again}, progress: told, kept: true, want: job.Failed},
		{testName: "a failure with a number far above", ended: []EndedTask{far}, kept: true, starts: 1, run: far.Run + 1},
		{testName: "failures of a job that isn't kept", ended: []EndedTask{{Task: "a.0.0.0", Run: 1, Kind: EndFailed}, {Task: "a.0.0.0", Run: 2, Kind: EndFailed}}, starts: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, testExecutor(0), testExecutor(1))
			j := testJob("a", 1, d.now)
			j.Kept, j.Deadline = s.kept, time.Hour
			submit := func() {
				d.cell.Submit(Handover{Job: j, Epoch: 2, Progress: s.progress, RenewedAt: d.renewal()}, d.now)
				d.take()
			}
			if s.before {
				submit()
			}
			for i := range s.ended {
				s.ended[i].Number = int64(i + 1)
			}
			d.holdAnswer(0, HoldResponse{Clock: time.Minute, Ended: s.ended}, d.now)
			d.holdAnswer(1, HoldResponse{Clock: time.Minute}, d.now)
			d.tick(20 * ms)
			if !s.before {
				submit()
			}
			c.Assert(d.finished["a"].Kind, qt.Equals, s.want)
			starts := d.of(Start)
			c.Assert(starts, qt.HasLen, s.starts)
			for _, start := range starts {
				c.Assert(start.Run >= s.run, qt.IsTrue, qt.Commentf("%d", start.Run))
				c.Assert(isKeptRun(start.Run), qt.Equals, s.kept)
			}
		})
	}
}

// Executors keep what former owners left until the jobs are here, for a while.
func TestAnOwnerKeepsTheEndsOfJobsThatAreNotHereYet(t *testing.T) {
	c := qt.New(t)
	d := newDriver(c, testExecutor(0))
	ended := []EndedTask{
		{Number: 1, Task: "plain.0.0.0", Run: 1, Kind: EndDone},
		{Number: 2, Task: "a.0.0.0", Run: firstKeptRun + 1, Kind: EndDone},
		{Number: 3, Task: "gone.0.0.0", Run: firstKeptRun + 1, Kind: EndDone},
	}
	d.holdAnswer(0, HoldResponse{Clock: time.Minute, Ended: ended}, d.now)
	keepBusy(d)
	c.Assert(d.nextHold().AckedEnd, qt.Equals, int64(1), qt.Commentf("what concerns no kept job"))
	d.submit(keptJob("a", 1, d.now), 2)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
	d.cell.EndsPersisted([]string{"a"}, d.now)
	d.take()
	c.Assert(d.nextHold().AckedEnd, qt.Equals, int64(2))
	d.now += unknownJobEndRetention
	c.Assert(d.nextHold().AckedEnd, qt.Equals, int64(3), qt.Commentf("nobody has asked for it"))
	c.Assert(d.cell.histories, qt.HasLen, 0)
	c.Assert(d.cell.unpersisted, qt.HasLen, 0)
}

// What ended here counts too when a job that was given back comes again.
func TestAKeptJobThatComesAgainDoesNotRunItsTasksAgain(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 1)
	d.tick(time.Second)
	j := keptJob("a", 3, d.now)
	d.submit(j, 1)
	starts := d.of(Start)
	c.Assert(starts, qt.HasLen, 2)
	for _, start := range starts {
		d.startAnswer(start, Accepted)
	}
	d.setClosed(true)
	d.now += ms
	d.holdAnswer(0, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{endOf(1, starts[0], EndDone), endOf(2, starts[1], EndFailed)}}, d.now)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Moved)
	d.setClosed(false)
	d.submit(j, 2) // by a keeper that knows nothing of what it came to
	again := d.of(Start)
	c.Assert(again, qt.HasLen, 2, qt.Commentf("the one that failed, and the one that waited"))
	c.Assert(d.cell.jobs["a"].steps[0][0].done, qt.IsTrue)
	c.Assert(d.cell.jobs["a"].steps[0][1].failures, qt.Equals, 1)
}

// A run that was taken for gone ends well after all while the task runs again.
func TestALateEndStopsTheRunThatFollowed(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 2)
	d.tick(time.Second)
	j := keptJob("a", 1, d.now)
	d.submit(j, 1)
	start := d.of(Start)[0]
	d.startAnswer(start, Accepted)
	e := d.cell.executors[start.Executor.Incarnation()]
	d.now += ms
	d.cell.HoldAnswered(e.incarnation, HoldResponse{Clock: time.Minute + d.now}, d.now, d.now)
	d.take()
	second := d.of(Start)
	c.Assert(second, qt.HasLen, 1)
	d.startAnswer(second[0], Accepted)
	d.now += ms
	d.cell.HoldAnswered(e.incarnation, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{endOf(1, start, EndDone)}}, d.now, d.now)
	d.take()
	c.Assert(d.of(Stop), qt.HasLen, 1)
	c.Assert(d.finished["a"].Kind, qt.Equals, job.Completed)
}
