package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// keepBusy lets a time pass with ticks.
func (d *driver) keepBusy(total time.Duration) {
	for range int(total / (500 * ms)) {
		d.tick(500 * ms)
	}
}

// submitWideJobs submits three jobs that take an executor each, after a change to each of them.
func (d *driver) submitWideJobs(change func(j *job.Job)) {
	for _, id := range []string{"a", "b", "c"} {
		j := wideJob(id, d.now)
		change(j)
		d.submit(j, 1)
	}
}

// Guards against crashes that become evidence against a task once the other losses of the same moment are
// forgotten (lossRetention).
func TestCrashesOfAMassLossAreNoEvidenceLater(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 8)
	d.submitWideJobs(func(j *job.Job) { j.Kept, j.Steps[0].Estimate = true, time.Hour })
	d.crashAll(infos)
	c.Assert(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 0)
	d.acceptStarts()
	d.keepBusy(25 * time.Second)
	c.Assert(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 0)
}

// The same, as callers see it: three losses of all executors, each over lossRetention after the former.
func TestAJobDoesNotFailAfterMassLossesFarApart(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 8)
	d.submitWideJobs(func(j *job.Job) { j.Kept, j.Steps[0].Estimate = true, time.Hour })
	for range 3 {
		d.tick(5 * time.Second)
		starts := d.acceptStarts()
		c.Assert(starts, qt.HasLen, 3)
		d.keepBusy(25 * time.Second)
		for _, start := range starts {
			d.crash(infos, indexOf(infos, start))
		}
		d.assessCrashes()
		c.Assert(d.finished, qt.HasLen, 0)
	}
}

// Guards against counting a crash twice when a job is handed over again to the owner that reported it, as the next
// coordinator of a kept job does after a checkpoint.
func TestACrashCountsOnceAfterAFurtherHandover(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 8)
	j := wideJob("a", d.now)
	j.Kept = true
	d.submit(j, 1)
	d.crashAll(infos)
	progress := d.cell.Progress("a")
	c.Assert(progress[0].CrashEvidence, qt.Equals, 1)
	d.cell.Submit(Handover{Job: j, Epoch: 2, Progress: progress, RenewedAt: d.renewal()}, d.now)
	c.Assert(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 1)
}

// Guards against blaming a task for a crash among many that came while its executor was unreachable: the loss is
// dated to the beginning of the cut, those of the others to the crash.
func TestACrashDuringACutCoincidesWithTheOthers(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 8)
	d.submitWideJobs(func(*job.Job) {})
	starts := d.acceptStarts()
	cut := indexOf(infos, starts[0])
	d.loseExecutor(&infos[cut]) // its link is cut; a's lease expires
	d.tick(2 * time.Second)
	for _, start := range starts { // the zone loses power
		d.crash(infos, indexOf(infos, start))
	}
	d.assessCrashes()
	c.Assert(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 0)
}

// Guards against idle executors whose crash is not noticed where executors restart under other ids: the only loss
// beside that of the task has no runs, and its row is replaced by another one.
func TestTheCrashOfAnIdleExecutorWithANewIDIsALoss(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 3)
	d.submit(wideJob("a", d.now), 1)
	start := d.acceptStarts()[0]
	for i := range infos { // all crash, and come back under other ids
		old := infos[i]
		infos[i].ID += "-next"
		infos[i].StartedAt = 0
		if old.ID == start.Executor.ID {
			d.answerHold(&old, HoldResponse{Verdict: WrongIncarnation})
		}
	}
	d.cell.SetExecutors(infos, d.now)
	d.takeActions()
	d.assessCrashes()
	c.Assert(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 0)
}

// Guards against a task that waits for ever for an executor without runs: executors that were lost under it for good
// count until the job ends.
func TestATaskOfRemovedExecutorsStartsAgain(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 4)
	j := smallJob("a", 1, d.now)
	j.Kept = true
	j.Steps[0].Estimate = time.Hour
	d.submit(j, 1)
	for range maxUnresolvedLosses { // two spot machines go for good
		at := indexOf(infos, d.acceptStarts()[0])
		d.loseExecutor(&infos[at])
		infos = slices.Delete(slices.Clone(infos), at, at+1)
		d.cell.SetExecutors(infos, d.now)
		d.takeActions()
	}
	for i := range 2 { // long jobs leave three quarters of each remaining executor free
		long := smallJob("long"+string(rune('0'+i)), 1, d.now)
		long.Kept, long.Steps[0].Needs.MemoryMB, long.Steps[0].Estimate = true, 600, time.Hour
		d.submit(long, 1)
	}
	c.Assert(d.acceptStarts(), qt.HasLen, 2)
	for range 60 {
		d.tick(time.Second)
		for i := range infos {
			d.listRuns(&infos[i])
		}
	}
	c.Assert(d.takeCommands(Start), qt.HasLen, 1)
	c.Assert(d.finished, qt.HasLen, 0)
}

// Guards against starting a task that crashes its executors before they answer again and again, at a steady pace.
func TestATaskThatCrashesExecutorsAtItsStartIsPausedForLonger(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 4)
	j := wideJob("a", d.now)
	j.Kept = true
	d.submit(j, 1)
	starts := 0
	for range 600 { // a minute
		d.tick(100 * ms)
		for _, start := range d.takeCommands(Start) {
			starts++
			for range maxStartCopies {
				d.startAnswered(start, Unanswered)
			}
			at := indexOf(infos, start)
			d.answerHold(&infos[at], HoldResponse{Verdict: WrongIncarnation})
			infos[at] = nextIncarnation(infos[at])
			d.cell.SetExecutors(infos, d.now)
			d.takeActions()
			d.answerHold(&infos[at], HoldResponse{Clock: time.Second})
		}
		for _, stop := range d.takeCommands(Stop) {
			d.cell.StopAnswered(stop.Executor.Incarnation(), stop.Task, stop.Run, AcceptedByOther, 0, d.now)
			d.takeActions()
		}
	}
	t.Logf("%d starts in a minute", starts)
	c.Assert(starts <= maxLikelyCrashes+maxPauseDoublings, qt.IsTrue)
}

// Guards against losses that are recorded again and again: where executors restart under other ids, the row of an ended
// one stays on the list for seconds, and each list adds the executor, polls it and records its end once more.
func TestAnEndedExecutorThatIsStillListedIsOneLoss(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 3)
	infos := []catalog.Executor{testExecutor(0), testExecutor(1), testExecutor(2)}
	d.submit(wideJob("a", d.now), 1)
	start := d.acceptStarts()[0]
	dead := infos[indexOf(infos, start)]
	d.answerHold(&dead, HoldResponse{Verdict: WrongIncarnation})
	for range 5 {
		d.tick(150 * ms)
		d.cell.SetExecutors(infos, d.now)
		d.takeActions()
		for _, hold := range d.takeCommands(Hold) {
			if hold.Executor.ID == dead.ID {
				d.answerHold(&dead, HoldResponse{Verdict: WrongIncarnation})
			}
		}
	}
	d.assessCrashes()
	c.Check(d.cell.executorLosses, qt.HasLen, 1)
	c.Check(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 1)
}

// Guards against losses that are left out because the task was being started there: the executor that it moved to had
// crashed at the same time, and was idle before.
func TestALossIsSeenWhereTheTaskWasBeingStarted(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 3)
	infos := []catalog.Executor{testExecutor(0), testExecutor(1), testExecutor(2)}
	d.submit(wideJob("a", d.now), 1)
	first := d.acceptStarts()[0]
	at := indexOf(infos, first)
	d.answerHold(&infos[at], HoldResponse{Verdict: WrongIncarnation})
	again := d.takeCommands(Start)
	c.Assert(again, qt.HasLen, 1)
	other := indexOf(infos, again[0])
	d.startAnswered(again[0], WrongIncarnation)
	d.cell.SetExecutors([]catalog.Executor{infos[3-at-other]}, d.now)
	d.takeActions()
	d.assessCrashes()
	c.Assert(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 0)
}

// Guards against a loss that no longer stands beside others once these have answered: a cut hits several executors, and
// one of them ends meanwhile.
func TestLossesOfACutCountOnceItIsOver(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 8)
	d.submitWideJobs(func(*job.Job) {})
	starts := d.acceptStarts()
	for _, start := range starts {
		d.loseExecutor(&infos[indexOf(infos, start)])
	}
	d.tick(2 * time.Second)
	for _, start := range starts[1:] { // they answer again
		d.answerHold(&infos[indexOf(infos, start)], HoldResponse{Clock: 2*time.Minute + d.now})
	}
	d.crash(infos, indexOf(infos, starts[0]))
	d.assessCrashes()
	c.Assert(d.cell.Progress("a")[0].CrashEvidence, qt.Equals, 0)
}

// Guards against the loss of an executor that is found at the address of another one being dated to that
// time although it has answered since.
func TestAnExecutorThatAnswersAfterItsReplacementWasListedIsNotLost(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 2)
	other := infos[0]
	other.ID += "-next"
	d.cell.SetExecutors(append(infos, other), d.now)
	d.takeActions()
	e := d.cell.executors[infos[0].Incarnation()]
	c.Assert(e.loss, qt.IsNotNil)
	d.answerHold(&infos[0], HoldResponse{Clock: time.Minute + d.now})
	c.Assert(e.loss, qt.IsNil)
}

// Guards against losses that add up in a cell without work, which gets no ticks.
func TestLossesDoNotAddUpWithoutTicks(t *testing.T) {
	c := qt.New(t)
	d, infos := newRestartableDriver(c, 3)
	for range 1000 {
		d.now += time.Minute
		d.crash(infos, 0)
		c.Assert(d.cell.NeedsTicks(), qt.IsFalse)
	}
	c.Assert(len(d.cell.executorLosses) < 10, qt.IsTrue, qt.Commentf("%d losses", len(d.cell.executorLosses)))
}

// Guards against one more start at every owner that a job comes to: the limit is checked when a crash is assessed only.
func TestAReturnedJobThatHasUsedUpItsCrashesIsNotStarted(t *testing.T) {
	c := qt.New(t)
	d, _ := newRestartableDriver(c, 4)
	j := wideJob("a", d.now)
	d.cell.Submit(Handover{Job: j, Epoch: 2, NamesRuns: true, RenewedAt: d.renewal(), Progress: []job.Progress{{Run: 3, Crashes: maxCrashes}}}, d.now)
	for range 40 {
		d.tick(100 * ms)
	}
	c.Assert(d.takeCommands(Start), qt.HasLen, 0)
}
