package keeping

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	qt "github.com/frankban/quicktest"
)

// divide removes cell x, whose owner is gone, and has others replace it.
func divide(successors ...string) func(f *fakeCells) {
	return func(f *fakeCells) {
		f.removed, f.ownerless = map[string]bool{"x": true}, map[string]bool{"x": true}
		f.successors = successors
	}
}

// fenced is the outcome of a job whose owner was fenced while a run of it was alive.
func fenced() job.Outcome {
	return job.Outcome{Kind: job.Moved, Reason: "fenced", Started: true, NamesRuns: true,
		Progress: []job.Progress{{Key: job.TaskKey{Index: 1}, Run: 501, ActiveAt: "i-1", ActiveFor: time.Minute}}}
}

// A domain that is divided anew fences the owner of a kept job. The job goes on in one of the new
// cells as soon as it can't run anywhere else.
func TestAJobFollowsItsExecutorsToANewCell(t *testing.T) {
	type scenario struct {
		testName      string
		outcome       job.Outcome // at the former cell
		wantNamesRuns bool
	}
	scenarios := []scenario{
		{testName: "its owner was fenced and has returned it", outcome: fenced(), wantNamesRuns: true},
		{testName: "its owner was lost", outcome: job.Outcome{Kind: job.Lost}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, _, first := keepOne(c, t.Cleanup)
			host.cells.change(divide("x/2.0", "x/2.1"))
			first.end <- s.outcome
			next := within(c, host.dispatches)
			c.Assert(next.cell, qt.Equals, "x/2.0")
			c.Assert(next.epoch > first.epoch, qt.IsTrue)
			c.Assert(next.namesRuns, qt.Equals, s.wantNamesRuns)
			if s.wantNamesRuns {
				c.Assert(next.progress, qt.HasLen, 1)
				c.Assert(next.progress[0].ActiveFor > 50*time.Second, qt.IsTrue, qt.Commentf("the run may be alive"))
			}
		})
	}
}

// Without a proof that nothing of the job can start in its former cell, it waits.
func TestAJobWaitsForTheProofThatItCanLeaveItsCell(t *testing.T) {
	type scenario struct {
		testName string
		missing  func(f *fakeCells)
		proven   func(f *fakeCells)
	}
	scenarios := []scenario{
		{
			testName: "executors have not answered the owner of another new cell",
			missing:  func(f *fakeCells) { f.unadopted = map[string]bool{"x/2.1": true} },
			proven:   func(f *fakeCells) { f.unadopted = nil },
		},
		{
			testName: "executors of another new cell run it",
			missing:  func(f *fakeCells) { f.runs = map[string][]string{"x/2.1": {"a"}} },
			proven:   func(f *fakeCells) { f.runs = nil },
		},
		{
			testName: "its cell may not have been removed",
			missing:  func(f *fakeCells) { f.removed = nil },
			proven:   func(f *fakeCells) { f.removed = map[string]bool{"x": true} },
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, service, first := keepOne(c, t.Cleanup)
			host.cells.change(divide("x/2.0", "x/2.1"))
			host.cells.change(s.missing)
			first.end <- fenced()
			time.Sleep(loggedCellWait + 3*ownerCheckInterval)
			c.Assert(host.dispatches, qt.HasLen, 0)
			c.Assert(service.AwaitingCell(), qt.Equals, 1)
			host.cells.change(s.proven)
			c.Assert(within(c, host.dispatches).cell, qt.Equals, "x/2.0")
			c.Assert(service.AwaitingCell(), qt.Equals, 0)
		})
	}
}

// A task that has ended at an executor of another new cell, after the former owner returned the job,
// isn't started again.
func TestAJobIsDispatchedWithTheEndsAtOtherNewCells(t *testing.T) {
	c := qt.New(t)
	host, _, first := keepOne(c, t.Cleanup)
	done := job.Progress{Key: job.TaskKey{Index: 1}, Done: true, Run: 501}
	host.cells.change(divide("x/2.0", "x/2.1"))
	host.cells.change(func(f *fakeCells) { f.ends = []job.Progress{done} })
	first.end <- fenced()
	c.Assert(within(c, host.dispatches).progress, qt.DeepEquals, []job.Progress{done})
}

// A cell that is claimed again before the job has left it keeps the job.
func TestAJobReturnsToItsCellIfItRunsThere(t *testing.T) {
	c := qt.New(t)
	host, _, first := keepOne(c, t.Cleanup)
	host.cells.change(divide("x/2.0", "x/2.1"))
	host.cells.change(func(f *fakeCells) { f.unadopted = map[string]bool{"x/2.1": true} })
	first.end <- fenced()
	within(c, host.notices)
	host.cells.change(func(f *fakeCells) {
		f.removed, f.ownerless = nil, nil
		f.runs = map[string][]string{"x": {"a"}}
	})
	next := within(c, host.dispatches)
	c.Assert(next.cell, qt.Equals, "x")
	c.Assert(next.namesRuns, qt.IsFalse, qt.Commentf("it may have run there since it was returned"))
}

// A job of which nothing has begun is counted as waiting by the host that follows it while no owner
// has it.
func TestJobsBetweenOwnersAreCountedAsWaiting(t *testing.T) {
	type scenario struct {
		testName string
		outcome  job.Outcome // of the first dispatch; the job then has no owner
		want     int
	}
	scenarios := []scenario{
		{testName: "returned before a task began", outcome: job.Outcome{Kind: job.Moved, Reason: "fenced", NamesRuns: true}, want: 1},
		{testName: "its owner was lost", outcome: job.Outcome{Kind: job.Lost}, want: 1},
		{testName: "returned with a run", outcome: fenced()},
		{testName: "returned after a task has ended", outcome: job.Outcome{Kind: job.Moved, Reason: "fenced", Started: true, Progress: []job.Progress{{Done: true, Run: 501}}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, service, first := keepOne(c, t.Cleanup)
			c.Assert(service.Waiting()["route"], qt.Equals, 0, qt.Commentf("its owner counts it"))
			host.cells.change(func(f *fakeCells) { f.ownerless = map[string]bool{"x": true} })
			first.end <- s.outcome
			time.Sleep(2 * viewInterval) // it determines meanwhile that it is the coordinator
			c.Assert(service.Waiting()["route"], qt.Equals, s.want)
			host.cells.change(func(f *fakeCells) { f.ownerless = nil })
			within(c, host.dispatches)
			c.Assert(service.Waiting()["route"], qt.Equals, 0)
		})
	}
}

func TestJobsWhoseEndsAreNotStoredDontWait(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	service := startService(t.Cleanup, host, store)
	service.Keep(context.Background(), testJob("a"))
	first := within(c, host.dispatches)
	store.setFail(errkind.New(errkind.PlatformDown, "try again", "down"))
	first.end <- job.Outcome{Kind: job.Completed}
	time.Sleep(2 * viewInterval)
	c.Assert(service.Open(), qt.Equals, 1)
	c.Assert(service.Waiting()["route"], qt.Equals, 0)
}

// A job that several hosts follow, as after a cut, is counted once.
func TestOnlyTheCoordinatorCountsJobsBetweenOwners(t *testing.T) {
	c := qt.New(t)
	host := newFakeHost()
	host.coordinator = CoordinatorHost{Address: "other"}
	host.ask = func(string) (kept.Answer, bool) { return kept.Answer{}, false }
	service := startService(t.Cleanup, host, newFakeStore())
	service.Keep(context.Background(), testJob("a"))
	first := within(c, host.dispatches)
	host.cells.change(func(f *fakeCells) { f.ownerless = map[string]bool{"x": true} })
	first.end <- job.Outcome{Kind: job.Moved, Reason: "fenced", NamesRuns: true}
	time.Sleep(2 * viewInterval)
	c.Assert(service.Waiting()["route"], qt.Equals, 0)
}
