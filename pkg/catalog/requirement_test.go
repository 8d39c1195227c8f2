package catalog

import (
	"testing"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

func TestWhichExecutorsMeetARequirement(t *testing.T) {
	executor := Executor{Service: "s", Labels: []string{"kind-a", "r1"}, Capacity: job.Resources{CPU: 1000, MemoryMB: 100, GPU: 1}}
	type scenario struct {
		testName string
		service  string
		step     job.Step
		want     bool
	}
	scenarios := []scenario{
		{testName: "nothing but the service", service: "s", want: true},
		{testName: "another service", service: "other"},
		{testName: "a label that it has", service: "s", step: job.Step{Constraint: "r1"}, want: true},
		{testName: "a label that it lacks", service: "s", step: job.Step{Constraint: "r2"}},
		{testName: "its whole capacity", service: "s", step: job.Step{Needs: executor.Capacity}, want: true},
		{testName: "more processors", service: "s", step: job.Step{Needs: job.Resources{CPU: 1001}}},
		{testName: "more memory", service: "s", step: job.Step{Needs: job.Resources{MemoryMB: 101}}},
		{testName: "more GPUs", service: "s", step: job.Step{Needs: job.Resources{GPU: 2}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			j := &job.Job{Service: s.service, Steps: []job.Step{s.step}}
			qt.Assert(t, executor.Meets(RequirementOf(j, 0)), qt.Equals, s.want)
		})
	}
}
