package keeping

import (
	"context"
	"testing"
	"time"

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
