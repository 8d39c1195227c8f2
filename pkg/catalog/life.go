package catalog

import "strconv"

// Incarnation names one life of an executor. An executor may start again under the id that it
// had: it then knows and holds nothing of before, and its clock, its fencing token and the
// numbers of its ends begin anew. So whatever an executor has told, or was told, belongs to
// one life of it, and is kept under this name.
type Incarnation string

// Incarnation returns the name of the executor's life: its id alone where it doesn't tell when it
// began.
func (e *Executor) Incarnation() Incarnation {
	if e.StartedAt == 0 {
		return Incarnation(e.ID)
	}
	return Incarnation(e.ID + "@" + strconv.FormatInt(e.StartedAt, 10))
}

// IsOtherIncarnation reports whether something was told by another life of the executor, by the
// time at which that began; 0 when not told.
func (e *Executor) IsOtherIncarnation(born int64) bool {
	return e.StartedAt != 0 && born != 0 && e.StartedAt != born
}
