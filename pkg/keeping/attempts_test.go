package keeping

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	qt "github.com/frankban/quicktest"
)

// A job keeps the number of attempts with which it was accepted, whatever the configuration says
// when it is submitted again, checkpointed, moved or read from its row by the next coordinator.
func TestAJobKeepsItsAttempts(t *testing.T) {
	c := qt.New(t)
	host, store := newFakeHost(), newFakeStore()
	s := startService(t.Cleanup, host, store)
	withAttempts := func(most int) *job.Job {
		j := testJob("a")
		j.MaxAttempts = most
		return j
	}
	c.Assert(s.Keep(context.Background(), withAttempts(3)), qt.Equals, accepted)
	first := within(c, host.dispatches)
	c.Assert(first.maxAttempts, qt.Equals, 3)
	c.Assert(s.Keep(context.Background(), withAttempts(1)).Verdict, qt.Equals, kept.Accepted)
	first.end <- job.Outcome{Kind: job.Moved, Reason: ReasonProgress, Started: true, Progress: []job.Progress{{Failures: 1, Run: 1, FailedRuns: []int64{1}}}}
	second := within(c, host.dispatches)
	c.Assert(second.maxAttempts, qt.Equals, 3)
	for range 200 { // until the checkpoint is in the row
		if row, _, _ := store.ReadRow(context.Background(), kept.TableOpen, kept.PartOf(kept.PartitionOf("a")), "a"); row.Version > 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}

	otherHost := newFakeHost()
	other := startService(t.Cleanup, otherHost, store)
	c.Assert(other.Keep(context.Background(), withAttempts(1)).Verdict, qt.Equals, kept.Accepted)
	third := within(c, otherHost.dispatches)
	c.Assert(third.maxAttempts, qt.Equals, 3)
	c.Assert(third.progress, qt.DeepEquals, []job.Progress{{Failures: 1, Run: 1, FailedRuns: []int64{1}}})
}

// The last attempt of a task that has failed on all targets of its cell is made in another cell that can run it, or in the
// same one after a pause.
func TestWhereTheLastAttemptOfAJobIsMade(t *testing.T) {
	type scenario struct {
		testName string
		chosen   string // among the other cells; empty for none
		wantCell string
		pauses   bool
	}
	scenarios := []scenario{
		{testName: "another cell can run it", chosen: "y", wantCell: "y"},
		{testName: "no other cell can run it", wantCell: "x", pauses: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, _, first := keepOne(c, t.Cleanup)
			host.cells.change(func(f *fakeCells) { f.chosen = s.chosen })
			failed := job.Progress{Failures: 2, FailedRuns: []int64{500, 501}, Run: 501}
			returnedAt := time.Now()
			first.end <- job.Outcome{Kind: job.Moved, Reason: cell.ReasonFailedOnAll, Started: true, NamesRuns: true, Progress: []job.Progress{failed}}
			next := within(c, host.dispatches)
			c.Assert(next.cell, qt.Equals, s.wantCell)
			c.Assert(next.progress, qt.HasLen, 1)
			c.Assert(next.progress[0].Failures, qt.Equals, 2)
			c.Assert(time.Since(returnedAt) >= cell.LastAttemptPause, qt.Equals, s.pauses)
		})
	}
}
