package catalog

import (
	"maps"
	"time"
)

// History joins readings of the executors. Entries lapse while their executors
// can't reach the store, and come back some time after they can; so one that
// has vanished is kept for a while.
type History struct {
	keep     time.Duration
	last     map[string]Executor // the executors of the last reading that aren't replaced, by id
	lastAt   time.Duration
	missing  map[string]sighting // those of earlier readings, by id
	vanished int                 // of the last joined reading
}

// sighting is an executor as it was listed last.
type sighting struct {
	executor Executor
	at       time.Duration
}

// NewHistory makes a history that keeps vanished executors so long.
func NewHistory(keep time.Duration) *History {
	return &History{keep: keep, missing: map[string]sighting{}}
}

// Join takes a reading of now, and returns it with the executors that vanished
// a short time ago. Another life at the same address takes an entry's place, and that
// of one that is withheld. Most readings are returned as they are: a copy of 3,500
// executors takes 1.2 ms and 0.8 MB, at each change of the list, a look 0.13 ms.
func (h *History) Join(reading *Executors, now time.Duration) *Executors {
	current := reading.ByID
	if hasWithheld(reading) {
		current = withoutReplaced(reading.ByID, addressesInUse(reading))
	}
	h.noteMissing(current)
	if len(h.missing) > 0 {
		h.forgetMissing(reading, current, now)
	}
	h.last, h.lastAt = current, now
	h.vanished = 0
	if len(current) == len(reading.ByID) && len(h.missing) == 0 {
		return reading
	}
	joined := h.withMissing(reading, current)
	h.vanished = len(joined.ByID) - len(current)
	return joined
}

// noteMissing notes the executors of the last reading that aren't current any more.
func (h *History) noteMissing(current map[string]Executor) {
	for id, executor := range h.last {
		if _, isCurrent := current[id]; !isCurrent {
			h.missing[id] = sighting{executor: executor, at: h.lastAt}
		}
	}
}

// forgetMissing drops the missing executors that are back, that have been missing for
// too long, or whose addresses others use now.
func (h *History) forgetMissing(reading *Executors, current map[string]Executor, now time.Duration) {
	addresses := addressesInUse(reading)
	for id, last := range h.missing {
		_, isCurrent := current[id]
		_, listed := reading.ByID[id]
		isOver := now > last.at+h.keep || addresses[last.executor.Address]
		if isCurrent || !listed && isOver {
			delete(h.missing, id)
		}
	}
}

// withMissing returns the current executors of a reading and the missing ones that it
// doesn't list.
func (h *History) withMissing(reading *Executors, current map[string]Executor) *Executors {
	joined := &Executors{Revision: reading.Revision, ByID: maps.Clone(current)}
	for id, last := range h.missing {
		if _, listed := reading.ByID[id]; !listed {
			joined.ByID[id] = last.executor
		}
	}
	return joined
}

func hasWithheld(reading *Executors) bool {
	for _, executor := range reading.ByID {
		if !executor.TakesWork() {
			return true
		}
	}
	return false
}

// addressesInUse returns the addresses of the executors that take work.
func addressesInUse(reading *Executors) map[string]bool {
	addresses := make(map[string]bool, len(reading.ByID))
	for _, executor := range reading.ByID {
		if executor.TakesWork() {
			addresses[executor.Address] = true
		}
	}
	return addresses
}

// withoutReplaced returns the executors without those that are withheld and have others
// at their addresses.
func withoutReplaced(listed map[string]Executor, addresses map[string]bool) map[string]Executor {
	current := maps.Clone(listed)
	maps.DeleteFunc(current, func(_ string, executor Executor) bool {
		return !executor.TakesWork() && addresses[executor.Address]
	})
	return current
}

// Vanished returns how many executors the last joined reading lacked.
func (h *History) Vanished() int { return h.vanished }
