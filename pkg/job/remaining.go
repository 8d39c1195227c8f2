package job

import "slices"

// RemainingSteps returns the steps that have tasks which aren't done by the known progress, and those of them
// whose tasks may start now.
func (j *Job) RemainingSteps(progress []Progress) (remaining, ready []int) {
	done := make([]int, len(j.Steps))
	for _, p := range progress {
		if p.Done && p.Key.Step >= 0 && p.Key.Step < len(done) {
			done[p.Key.Step]++
		}
	}
	isDone := func(step int) bool { return done[step] >= j.Steps[step].Count }
	for step := range j.Steps {
		if isDone(step) {
			continue
		}
		remaining = append(remaining, step)
		if !slices.ContainsFunc(j.Steps[step].After, func(earlier int) bool { return !isDone(earlier) }) {
			ready = append(ready, step)
		}
	}
	return remaining, ready
}
