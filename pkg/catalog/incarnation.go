package catalog

import "strconv"

// Incarnation identifies one run of an executor process. An executor may restart under
// the same id: it then has no state, and its clock, its fencing token and the numbers of
// its ends restart. All state about an executor is therefore keyed by its incarnation.
type Incarnation string

// Incarnation returns the executor's id and start time, or the id alone when the start
// time is unknown.
func (e *Executor) Incarnation() Incarnation {
	if e.StartedAt == 0 {
		return Incarnation(e.ID)
	}
	return Incarnation(e.ID + "@" + strconv.FormatInt(e.StartedAt, 10))
}

// IsOtherIncarnation reports whether a start time is that of another incarnation of the
// executor. A start time of 0 is unknown.
func (e *Executor) IsOtherIncarnation(startedAt int64) bool {
	return e.StartedAt != 0 && startedAt != 0 && e.StartedAt != startedAt
}
