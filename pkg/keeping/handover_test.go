package keeping

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
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
			host := newFakeHost()
			service := startService(t.Cleanup, host, newFakeStore())
			service.Keep(context.Background(), testJob("a"))
			first := within(c, host.dispatches)
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
			host := newFakeHost()
			service := startService(t.Cleanup, host, newFakeStore())
			service.Keep(context.Background(), testJob("a"))
			first := within(c, host.dispatches)
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

// A cell that is claimed again before the job has left it keeps the job.
func TestAJobReturnsToItsCellIfItRunsThere(t *testing.T) {
	c := qt.New(t)
	host := newFakeHost()
	service := startService(t.Cleanup, host, newFakeStore())
	service.Keep(context.Background(), testJob("a"))
	first := within(c, host.dispatches)
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
