package cell

import "slices"

// The failed end of a run may be reported several times: by its executor, which lists it anew after
// it has been forgotten here, by a former owner, and by the job's row. Ends are therefore counted by
// their run numbers, which are unique within a task. Earlier builds report only how many there are,
// and the highest run number.

// failures counts the failed ends of a task's runs.
type failures struct {
	count     int
	runs      []int64 // run numbers of those that are known one by one
	anonymous int     // those of count that are known only by number
	upTo      int64   // highest run number that an anonymous one can have
}

// add counts the failed end of a run that was known to be active here.
func (f *failures) add(run int64) {
	if slices.Contains(f.runs, run) {
		return
	}
	f.runs = append(f.runs, run)
	f.count++
}

// merge counts failed ends that were listed or reported, some of which may be among those that
// were counted without their run numbers.
func (f *failures) merge(runs []int64) {
	for _, run := range runs {
		if f.anonymous > 0 && run <= f.upTo && !slices.Contains(f.runs, run) {
			f.runs = append(f.runs, run)
			f.anonymous--
			continue
		}
		f.add(run)
	}
}

// mergeCount counts failed ends of runs up to upTo that were reported by their number. Only the
// excess over those already counted is added.
func (f *failures) mergeCount(count int, upTo int64) {
	if count <= f.count {
		return
	}
	f.anonymous += count - f.count
	f.upTo = max(f.upTo, upTo)
	f.count = count
}
