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
// task. Both may count the same failures of a task, so the higher number holds.
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
		p.Failures, p.Run = max(p.Failures, end.Failures), max(p.Run, end.Run)
		if p.Done {
			p.ActiveAt, p.ActiveFor = "", 0
		}
	}
	SortProgress(merged)
	return merged
}
