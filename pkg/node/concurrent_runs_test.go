package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	qt "github.com/frankban/quicktest"
)

// Two runs of a task at once left no line that names both, who ordered them and under which claim.
func TestTwoRunsOfATaskAreLogged(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	lines := logOf(n)
	o := makeOwner(n, "z/2.1")
	o.log(cell.Notice{
		Event: cell.EventConcurrentRuns, Executor: "i-2", Job: "a", Task: "a.0.0.0", Run: 1001,
		Other: &cell.RunAt{Executor: "i-1", Number: 1, IsOwn: true, SeenAgo: 30 * time.Millisecond},
	})
	for _, field := range []string{
		"WARN task_runs_twice", "cell=z/2.1", "executor=i-2", "job=a", "run=1001", "token=1",
		"other_executor=i-1", "other_run=1", "other_own=true", "other_seen_ms=30",
	} {
		c.Check(lines.String(), qt.Contains, field)
	}
}
