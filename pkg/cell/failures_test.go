package cell

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// An executor that was forgotten and is listed again lists the ends anew that it retains. They
// count once.
func TestFailuresOfAnExecutorThatIsListedAgainCountOnce(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	d.tick(time.Second)
	d.submit(keptJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)[0]
	d.startAnswered(start, Accepted)
	at := 0
	if start.Executor.ID != testExecutor(0).ID {
		at = 1
	}
	failed := []EndedTask{listedEnd(1, start, EndFailed)}
	d.holdAnswered(at, HoldResponse{Clock: time.Minute + d.now, Ended: failed}, d.now)
	c.Assert(d.cell.jobs["a"].steps[0][0].failures.count, qt.Equals, 1)

	d.cell.SetExecutors([]catalog.Executor{testExecutor(1 - at)}, d.now)
	for range 300 {
		d.tick(10 * ms)
		d.cell.HoldAnswered(testIncarnation(at), HoldResponse{Verdict: Unreached}, d.now, d.now)
	}
	c.Assert(d.cell.executors[testIncarnation(at)], qt.IsNil)
	d.cell.SetExecutors([]catalog.Executor{testExecutor(0), testExecutor(1)}, d.now)
	d.holdAnswered(at, HoldResponse{Clock: time.Minute + d.now, Ended: failed}, d.now)
	c.Assert(d.finished["a"], qt.DeepEquals, job.Outcome{})
	c.Assert(d.cell.jobs["a"].steps[0][0].failures.count, qt.Equals, 1)
}

func TestFailedEndsCountOnce(t *testing.T) {
	scenarios := []struct {
		testName string
		events   func(f *failures)
		want     int
	}{
		{"listed and ended here", func(f *failures) { f.merge([]int64{1}); f.add(1) }, 1},
		{"listed twice", func(f *failures) { f.merge([]int64{1}); f.merge([]int64{1}) }, 1},
		{"reported by its number of ends, then listed", func(f *failures) { f.mergeCount(1, 1); f.merge([]int64{1}) }, 1},
		{"listed, then reported by its number of ends", func(f *failures) { f.merge([]int64{1}); f.mergeCount(1, 1) }, 1},
		{"ended here, and the checkpoint returns", func(f *failures) { f.add(1); f.mergeCount(1, 1) }, 1},
		{"reported, then ended here, and the checkpoint returns", func(f *failures) { f.mergeCount(1, 1); f.add(1001); f.mergeCount(2, 1001) }, 2},
		{"reported twice", func(f *failures) { f.mergeCount(1, 1); f.mergeCount(1, 1) }, 1},
		{"reported, and another one is listed", func(f *failures) { f.mergeCount(1, 1); f.merge([]int64{2}) }, 2},
		{"reported, and two are listed", func(f *failures) { f.mergeCount(1, 1); f.merge([]int64{1, 2}) }, 2},
		{"reported, and one that was active then ends here", func(f *failures) { f.mergeCount(1, 2); f.add(2) }, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			var f failures
			s.events(&f)
			c.Assert(f.count, qt.Equals, s.want)
		})
	}
}

// Whatever is listed and reported in whatever order, no failed end counts twice, and all count
// once each of them has been listed.
func TestExploredFailedEndsCountOnce(t *testing.T) {
	for seed := range uint64(20000) {
		random := rand.New(rand.NewPCG(seed, 1))
		const runs = 5
		subset := func() []int64 {
			var some []int64
			for run := range int64(runs) {
				if random.IntN(3) == 0 {
					some = append(some, run)
				}
			}
			return some
		}
		var f failures
		told := map[int64]bool{}
		for range 1 + random.IntN(6) {
			some := subset()
			for _, run := range some {
				told[run] = true
			}
			switch {
			case len(some) == 0:
			case random.IntN(2) == 0:
				f.merge(some)
			default:
				f.mergeCount(len(some), some[len(some)-1]+random.Int64N(2))
			}
			if f.count > len(told) {
				t.Fatalf("seed %d: %d failures of %d", seed, f.count, len(told))
			}
		}
		f.merge(slices.Collect(maps.Keys(told)))
		if f.count != len(told) {
			t.Fatalf("seed %d: %d failures of %d at last", seed, f.count, len(told))
		}
	}
}

// The former owner may have counted the end of a run that an earlier hold response still lists as
// running.
func TestAnEndThatTheFormerOwnerHasCountedCountsOnce(t *testing.T) {
	const run = firstKeptRun + 2
	scenarios := []struct {
		testName string
		kept     bool
		progress job.Progress
		want     job.Kind // 0: it continues
	}{
		{"it has counted this end", true, job.Progress{Failures: 1, Run: run, FailedRuns: []int64{run}}, 0},
		{"it has counted an earlier one", true, job.Progress{Failures: 1, Run: run, FailedRuns: []int64{run - 1}}, job.Failed},
		{"it has counted this end of a job that is not kept", false, job.Progress{Failures: 1, Run: run, FailedRuns: []int64{run}}, 0},
		{"it has counted an earlier one of a job that is not kept", false, job.Progress{Failures: 1, Run: run, FailedRuns: []int64{run - 1}}, job.Failed},
		{"it has an earlier build, and doesn't tell which", true, job.Progress{Failures: 1, Run: run}, job.Failed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, testExecutor(0), testExecutor(1))
			j := testJob("a", 1, d.now)
			j.Kept, j.Deadline = s.kept, time.Hour
			d.holdAnswered(0, HoldResponse{Clock: time.Minute, Running: []RunningTask{{Task: "a.0.0.0", Run: run}}}, d.now)
			d.holdAnswered(1, HoldResponse{Clock: time.Minute}, d.now)
			d.cell.Submit(Handover{Job: j, Epoch: 2, RenewedAt: d.renewal(), Progress: []job.Progress{s.progress}}, d.now)
			d.takeActions()
			d.tick(10 * ms)
			d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now, Ended: []EndedTask{{Number: 1, Task: "a.0.0.0", Run: run, Kind: EndFailed}}}, d.now)
			c.Assert(d.finished["a"].Kind, qt.Equals, s.want)
			if s.want == 0 {
				c.Assert(d.cell.Progress("a")[0].FailedRuns, qt.DeepEquals, s.progress.FailedRuns)
			}
		})
	}
}
