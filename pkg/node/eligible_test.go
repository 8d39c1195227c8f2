package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/keeping"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

// kindListing lists executors of the kinds a and b in cell y, and of kind a in cell z, where some have GPUs.
func kindListing(z ...catalog.Executor) *listing {
	executor := func(labels ...string) catalog.Executor {
		return catalog.Executor{Service: "s", Labels: labels, Capacity: job.Resources{CPU: 1000}}
	}
	withGPU := executor("a")
	withGPU.Capacity.GPU = 1
	return &listing{cells: map[string][]catalog.Executor{
		"y": {executor("a"), executor("b")},
		"z": append(z, executor("a"), withGPU),
	}}
}

// Guards against jobs that are sent to a cell of whose executors none can run them.
func TestJobsAreSentToCellsThatCanRunThem(t *testing.T) {
	type scenario struct {
		testName   string
		steps      []job.Step
		progress   []job.Progress
		extra      catalog.Executor // in cell z
		want       []string
		unmeetable bool
	}
	gpu, b := job.Resources{GPU: 1}, "b"
	draining := catalog.Executor{Service: "s", Labels: []string{"b"}, Capacity: job.Resources{CPU: 1000}, Draining: true}
	withheld := draining.Withheld()
	scenarios := []scenario{
		{testName: "any executor", steps: []job.Step{{Count: 1}}, want: []string{"y", "z"}},
		{testName: "a label", steps: []job.Step{{Count: 1, Constraint: b}}, want: []string{"y"}},
		{testName: "a label of an executor that drains", steps: []job.Step{{Count: 1, Constraint: b}}, extra: draining, want: []string{"y"}},
		{testName: "a GPU", steps: []job.Step{{Count: 1, Needs: gpu}}, want: []string{"z"}},
		{testName: "both, in one task", steps: []job.Step{{Count: 1, Needs: gpu, Constraint: b}}, unmeetable: true},
		{testName: "both, in one task, while an executor is withheld", steps: []job.Step{{Count: 1, Needs: gpu, Constraint: b}}, extra: withheld},
		{testName: "more processors", steps: []job.Step{{Count: 1, Needs: job.Resources{CPU: 1001}}}, unmeetable: true},
		{testName: "steps of two cells", steps: []job.Step{{Count: 1, Needs: gpu}, {Count: 1, Constraint: b, After: []int{0}}}, want: []string{"z"}},
		{
			testName: "steps of two cells, the first is done", steps: []job.Step{{Count: 1, Needs: gpu}, {Count: 1, Constraint: b, After: []int{0}}},
			progress: []job.Progress{{Done: true}}, want: []string{"y"},
		},
		{testName: "steps of two cells at once", steps: []job.Step{{Count: 1, Needs: gpu}, {Count: 1, Constraint: b}}, want: []string{"y", "z"}},
		{testName: "a later step that nothing can run", steps: []job.Step{{Count: 1}, {Count: 1, Constraint: "c", After: []int{0}}}, want: []string{"y", "z"}, unmeetable: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			l := kindListing(s.extra)
			j := &job.Job{Service: "s", Steps: s.steps}
			var cells []string
			for _, claim := range l.eligible([]ownership.Claim{{Cell: "y"}, {Cell: "z"}}, j, s.progress) {
				cells = append(cells, claim.Cell)
			}
			c.Assert(cells, qt.DeepEquals, s.want)
			c.Assert(l.isUnmeetable(j), qt.Equals, s.unmeetable)
		})
	}
}

func TestWithoutAListAnyCellMayRunAJob(t *testing.T) {
	c := qt.New(t)
	var unknown *listing
	j := &job.Job{Service: "s", Steps: []job.Step{{Count: 1}}}
	c.Assert(unknown.eligible([]ownership.Claim{{Cell: "z"}}, j, nil), qt.HasLen, 1)
	c.Assert(unknown.isUnmeetable(j), qt.IsFalse)
	c.Assert(kindListing().isUnmeetable(&job.Job{Service: "other", Steps: j.Steps}), qt.IsFalse, qt.Commentf("its executors may come yet"))
}

// A job that no executor can run is refused at once; callers need not wait for their deadlines.
func TestAJobThatNoExecutorCanRunIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.executors.Store(kindListing())
	load := ownership.Load{Ready: true, Services: []string{"s"}, CapacityCPU: 1000, FreeCPU: 1000}
	n.claims.SetClaims(otherAddress, []ownership.Claim{{Cell: "y", Token: 1, Load: load}})
	now := n.Clock.Now()
	j := &job.Job{ID: "a", Service: "s", Steps: []job.Step{{Count: 1, Constraint: "c"}}, Received: now, Deadline: now + time.Minute}
	outcome := n.front.follow(context.Background(), j, attempt{epoch: 1})
	c.Assert(outcome, qt.DeepEquals, job.Outcome{Kind: job.Refused, Reason: keeping.ReasonNoneCanRun, RetryAfter: keeping.UnmeetableRetryAfter})
	c.Assert(n.Clock.Now()-now < time.Second, qt.IsTrue)
}
