package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// Hosts relay all fields of an executor's row except its clock.
func TestRelayedListRoundTrip(t *testing.T) {
	executor := catalog.Executor{
		ID: "i-0", StartedAt: 1764000000000, Service: "s", Address: "10.0.0.1:80", Domain: "z", Draining: true, Remains: 1500 * time.Millisecond,
		Capacity: job.Resources{CPU: 16000, MemoryMB: 32768, GPU: 1}, Labels: []string{"kind-a", "rack-1"},
	}
	relayed := &catalog.RelayedList{Since: 3, Position: 5, Changes: catalog.ExecutorChanges{Revision: 4, Listed: []catalog.Executor{executor}}}
	qt.Assert(t, fromRelayedList(toRelayedList(relayed)), qt.DeepEquals, relayed)
}

// A kind that this build does not know, of a later build, must not be taken for another one.
func TestOutcomeOfAnUnknownKind(t *testing.T) {
	c := qt.New(t)
	for _, number := range []uint32{0, uint32(job.Lost) + 1, 256 + uint32(job.Failed), 256 + uint32(job.Refused)} {
		outcome := fromOutcome(&peerpb.Outcome{Kind: number})
		c.Assert(outcome.Kind, qt.Equals, job.Kind(0), qt.Commentf("%d", number))
	}
}

func TestOutcomeRoundTrip(t *testing.T) {
	outcome := job.Outcome{
		Kind: job.Moved, Reason: "fenced", RetryAfter: time.Second, Started: true, Chain: 2 * time.Second, NamesRuns: true,
		Progress: []job.Progress{{Key: job.TaskKey{Step: 1, Index: 2}, Failures: 1, Run: 3, Crashes: 2, CrashEvidence: 1, ActiveAt: "i-0", ActiveFor: time.Second}},
		OpenAt:   &job.OpenAt{Address: "front:1", Domain: "z", Process: "p", Remaining: time.Second},
	}
	qt.Assert(t, fromOutcome(toOutcome(outcome).GetOutcome()), qt.DeepEquals, outcome)
	outcome.OpenAt = nil
	qt.Assert(t, fromOutcome(toOutcome(outcome).GetOutcome()), qt.DeepEquals, outcome)
}
