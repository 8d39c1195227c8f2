package node

import (
	"slices"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// eligible returns those of some claims whose cells can run a job by the list of executors: all that remains of
// it, or if none can, what may start now, or a part of that. Without a list all claims are eligible.
func (l *listing) eligible(claims []ownership.Claim, j *job.Job, progress []job.Progress) []ownership.Claim {
	if l == nil {
		return claims
	}
	remaining, ready := j.RemainingSteps(progress)
	if all := l.meeting(claims, j, remaining, false); len(all) > 0 || len(remaining) == 1 {
		return all
	}
	if next := l.meeting(claims, j, ready, false); len(next) > 0 {
		return next
	}
	return l.meeting(claims, j, ready, true)
}

// meeting returns the claims whose cells have an executor for each of some steps of a job, or for any of them.
func (l *listing) meeting(claims []ownership.Claim, j *job.Job, steps []int, any bool) []ownership.Claim {
	var met []ownership.Claim
	for _, claim := range claims {
		meets := func(step int) bool { return l.hasExecutorFor(claim.Cell, catalog.RequirementOf(j, step)) }
		lacks := func(step int) bool { return !meets(step) }
		if any && slices.ContainsFunc(steps, meets) || !any && !slices.ContainsFunc(steps, lacks) {
			met = append(met, claim)
		}
	}
	return met
}

// hasExecutorFor reports whether a cell has an executor that takes work and can run such a task.
func (l *listing) hasExecutorFor(cell string, r catalog.Requirement) bool {
	return slices.ContainsFunc(l.cells[cell], func(e catalog.Executor) bool {
		return !e.Draining && e.TakesWork() && e.Meets(r)
	})
}

// isUnmeetable reports whether a job has tasks that no listed executor can ever run. It is false if none of its
// service is listed, as the list may be incomplete then, and while one is withheld, whose capacity isn't known.
func (l *listing) isUnmeetable(j *job.Job) bool {
	if l == nil {
		return false
	}
	unmet := make(map[catalog.Requirement]bool, len(j.Steps))
	for step := range j.Steps {
		unmet[catalog.RequirementOf(j, step)] = true
	}
	servesAny := false
	for _, executors := range l.cells {
		for i := range executors {
			e := &executors[i]
			if e.Service != j.Service {
				continue
			}
			if !e.TakesWork() {
				return false
			}
			servesAny = true
			for r := range unmet {
				if e.Meets(r) {
					delete(unmet, r)
				}
			}
			if len(unmet) == 0 {
				return false
			}
		}
	}
	return servesAny
}
