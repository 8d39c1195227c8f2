package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

func TestCombinedOutcomes(t *testing.T) {
	completed := job.Outcome{Kind: job.Completed, Started: true, Chain: time.Second}
	refused := job.Outcome{Kind: job.Refused, Reason: "no_owner", RetryAfter: time.Second}
	failed := job.Outcome{Kind: job.Failed, Reason: "task_failed", Started: true}
	expired := job.Outcome{Kind: job.Expired, Reason: "deadline_passed", Started: true}
	type scenario struct {
		testName      string
		first, second job.Outcome
		want          job.Outcome
	}
	scenarios := []scenario{
		{testName: "all completed", first: completed, second: completed, want: completed},
		{testName: "one failed", first: completed, second: failed, want: job.Outcome{Kind: job.Failed, Reason: "task_failed", Started: true, Chain: time.Second}},
		{testName: "the first failure is returned", first: failed, second: expired, want: failed},
		{testName: "one refused, one failed", first: refused, second: failed, want: job.Outcome{Kind: job.Failed, Reason: "task_failed", Started: true}},
		{testName: "all refused", first: refused, second: refused, want: refused},
		{testName: "one completed, one refused: not a refusal, as a part has run", first: refused, second: completed,
			want: job.Outcome{Kind: job.Expired, Reason: "no_owner", Started: true, RetryAfter: time.Second, Chain: time.Second}},
		{testName: "the same in the other order", first: completed, second: refused,
			want: job.Outcome{Kind: job.Expired, Reason: "no_owner", Started: true, RetryAfter: time.Second, Chain: time.Second}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, combineOutcomes(s.first, s.second), qt.DeepEquals, s.want)
		})
	}
}

func TestJobsWithPlacementConstraintsAreNotSplit(t *testing.T) {
	type scenario struct {
		testName string
		change   func(j *job.Job)
		split    bool
	}
	scenarios := []scenario{
		{testName: "a wide job of one step", change: func(*job.Job) {}, split: true},
		{testName: "two steps", change: func(j *job.Job) { j.Steps = append(j.Steps, j.Steps[0]) }},
		{testName: "a required label", change: func(j *job.Job) { j.Steps[0].Constraint = "kind" }},
		{testName: "affinity", change: func(j *job.Job) { j.Steps[0].Affinity = "rack" }},
		{testName: "anti-affinity", change: func(j *job.Job) { j.Steps[0].AntiAffinity = 1 }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
			n.claims.SetClaims("a:1", []ownership.Claim{{Cell: "a", Token: 1, Load: load}})
			n.claims.SetClaims("b:1", []ownership.Claim{{Cell: "b", Token: 1, Load: load}})
			j := &job.Job{ID: "j", Service: "s", Steps: []job.Step{{Count: 8, Needs: job.Resources{CPU: 100}}}}
			s.change(j)
			c.Assert(len(n.front.split(j)) > 1, qt.Equals, s.split)
		})
	}
}

func TestPartsThatWereRefused(t *testing.T) {
	c := qt.New(t)
	first := &part{outcome: job.Outcome{Kind: job.Completed, Started: true}}
	second := &part{outcome: job.Outcome{Kind: job.Refused}}
	c.Assert(refusedParts([]*part{first, second}), qt.HasLen, 1)
	c.Assert(refusedParts([]*part{first, second})[0], qt.Equals, second)
}

// Guards against a job that is called completed though a part of it has ended otherwise, after the
// refusal of another one.
func TestRefusedPartsAreHandedInAgainBesideCompletedOnes(t *testing.T) {
	tests := []struct {
		name  string
		kinds []job.Kind
		want  bool
	}{
		{"all completed", []job.Kind{job.Completed, job.Completed}, false},
		{"all refused", []job.Kind{job.Refused, job.Refused}, false},
		{"one refused, one completed", []job.Kind{job.Refused, job.Completed}, true},
		{"one refused, one expired", []job.Kind{job.Refused, job.Expired}, false},
		{"one refused, one failed", []job.Kind{job.Refused, job.Failed}, false},
		{"one refused, one completed, one expired", []job.Kind{job.Refused, job.Completed, job.Expired}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var parts []*part
			for _, kind := range test.kinds {
				parts = append(parts, &part{outcome: job.Outcome{Kind: kind}})
			}
			qt.Assert(t, mayHandInAgain(parts), qt.Equals, test.want)
		})
	}
}
