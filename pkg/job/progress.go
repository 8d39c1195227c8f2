package job

import (
	"cmp"
	"slices"
)

// SortProgress sorts progress by task.
func SortProgress(progress []Progress) {
	slices.SortFunc(progress, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.Key.Step, b.Key.Step), cmp.Compare(a.Key.Index, b.Key.Index))
	})
}

// MergeEnds returns progress with what is known of ends of the same job's tasks elsewhere, sorted by
// task. Failures of which the run numbers are known count once each; of the others, both may count the
// same ones, so the higher number holds.
func MergeEnds(progress, ends []Progress) []Progress {
	if len(ends) == 0 {
		return progress
	}
	merged := slices.Clone(progress)
	for _, end := range ends {
		i := slices.IndexFunc(merged, func(p Progress) bool { return p.Key == end.Key })
		if i < 0 {
			merged = append(merged, end)
			continue
		}
		p := &merged[i]
		p.Done = p.Done || end.Done
		p.FailedRuns = mergeRuns(p.FailedRuns, end.FailedRuns)
		p.Failures, p.Run = max(p.Failures, end.Failures, len(p.FailedRuns)), max(p.Run, end.Run)
		if p.Done {
			p.ActiveAt, p.ActiveFor = "", 0
		}
	}
	SortProgress(merged)
	return merged
}

// mergeRuns returns the run numbers that are in one of two lists.
func mergeRuns(runs, others []int64) []int64 {
	merged := slices.Clone(runs)
	for _, run := range others {
		if !slices.Contains(merged, run) {
			merged = append(merged, run)
		}
	}
	return merged
}

// StoredEnds is what the rows of a kept job hold of the ends of its tasks.
type StoredEnds struct {
	Final     bool       // no task of the job will start any more: it has ended, or has no row
	Elsewhere bool       // another cell goes on with the job, or a later build of this program
	Progress  []Progress // of a job that is open
}

// CoversEnds reports whether progress includes all ends of tasks.
func CoversEnds(progress, ends []Progress) bool {
	for _, end := range ends {
		i := slices.IndexFunc(progress, func(p Progress) bool { return p.Key == end.Key })
		if i < 0 || end.Done && !progress[i].Done || end.Failures > progress[i].Failures {
			return false
		}
	}
	return true
}
