package catalog

import "github.com/foxcroft/foxcroft/pkg/job"

// Requirement is what a task needs of an executor, whatever else runs there.
type Requirement struct {
	Service    string
	Constraint string // label that the executor must have; empty for none
	Needs      job.Resources
}

// RequirementOf returns what each task of a job's step needs.
func RequirementOf(j *job.Job, step int) Requirement {
	s := &j.Steps[step]
	return Requirement{Service: j.Service, Constraint: s.Constraint, Needs: s.Needs}
}

// Meets reports whether an executor can run a task, once it has room.
func (e *Executor) Meets(r Requirement) bool {
	return e.Service == r.Service && (r.Constraint == "" || e.HasLabel(r.Constraint)) && e.Capacity.Fits(r.Needs)
}
