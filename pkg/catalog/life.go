package catalog

import "strconv"

// Life names one life of an executor. An executor may start again under the id that it
// had: it then knows and holds nothing of before, and its clock, its fencing token and the
// numbers of its ends begin anew. So whatever an executor has told, or was told, belongs to
// one life of it, and is kept under this name.
type Life string

// Life returns the name of the executor's life: its id alone where it doesn't tell when it
// began.
func (e *Executor) Life() Life {
	if e.Born == 0 {
		return Life(e.ID)
	}
	return Life(e.ID + "@" + strconv.FormatInt(e.Born, 10))
}

// IsOtherLife reports whether something was told by another life of the executor, by the
// time at which that began; 0 when not told.
func (e *Executor) IsOtherLife(born int64) bool {
	return e.Born != 0 && born != 0 && e.Born != born
}
