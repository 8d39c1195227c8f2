package catalog

import (
	"maps"
	"time"
)

// History combines successive readings of the executors. An executor's entry
// expires while the executor can't reach the store, and returns after it can
// again, so History keeps an executor for a retention period after it vanishes.
type History struct {
	retention time.Duration
	last      map[string]Executor // the executors of the last reading that aren't replaced, by id
	missing   map[string]missing  // executors of earlier readings that the last one lacks, by id
	vanished  int                 // executors that Join added to the last reading
}

// missing is an executor that a reading lacks.
type missing struct {
	executor Executor      // as it was last listed
	since    time.Duration // time of the first reading that lacks it
}

func NewHistory(retention time.Duration) *History {
	return &History{retention: retention, missing: map[string]missing{}}
}

// Join returns a reading taken at now together with the executors that have vanished in the
// last two retention periods. In the first one they take work unless withhold is set: then
// their entries can't have expired for want of the store, so they are leaving. In the second
// one they are withheld. So the next owner of a cell still knows the executors at which the
// former one, whose store may have been out of reach, has started tasks lately. Another
// incarnation at the same address replaces a vanished or withheld one. A reading that needs
// no change is returned without a copy, since copying a long list at each change of it is
// expensive.
func (h *History) Join(reading *Executors, now time.Duration, withhold bool) *Executors {
	current := reading.ByID
	if hasWithheld(reading) {
		current = withoutReplaced(reading.ByID, addressesInUse(reading))
	}
	h.recordMissing(current, now)
	if len(h.missing) > 0 {
		h.dropMissing(reading, current, now)
	}
	h.last = current
	h.vanished = 0
	if len(current) == len(reading.ByID) && len(h.missing) == 0 {
		return reading
	}
	joined := h.withMissing(reading, current, now, withhold)
	h.vanished = len(joined.ByID) - len(current)
	return joined
}

// recordMissing records the executors of the last reading that aren't current any more.
func (h *History) recordMissing(current map[string]Executor, now time.Duration) {
	for id, executor := range h.last {
		if _, isCurrent := current[id]; !isCurrent {
			h.missing[id] = missing{executor: executor, since: now}
		}
	}
}

// dropMissing drops the missing executors that are listed again, whose retention
// period has passed, or whose addresses others use now.
func (h *History) dropMissing(reading *Executors, current map[string]Executor, now time.Duration) {
	addresses := addressesInUse(reading)
	for id, m := range h.missing {
		_, isCurrent := current[id]
		_, listed := reading.ByID[id]
		isOver := now > m.since+2*h.retention || addresses[m.executor.Address]
		if isCurrent || !listed && isOver {
			delete(h.missing, id)
		}
	}
}

// withMissing returns the current executors of a reading and the missing ones
// that the reading doesn't list.
func (h *History) withMissing(reading *Executors, current map[string]Executor, now time.Duration, withhold bool) *Executors {
	joined := &Executors{Revision: reading.Revision, ByID: maps.Clone(current)}
	for id, m := range h.missing {
		if _, listed := reading.ByID[id]; listed {
			continue
		}
		joined.ByID[id] = m.executor
		if withhold || now > m.since+h.retention {
			joined.ByID[id] = m.executor.Withheld()
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

// addressesInUse returns the addresses of the executors that aren't withheld.
func addressesInUse(reading *Executors) map[string]bool {
	addresses := make(map[string]bool, len(reading.ByID))
	for _, executor := range reading.ByID {
		if executor.TakesWork() {
			addresses[executor.Address] = true
		}
	}
	return addresses
}

// withoutReplaced returns the listed executors except withheld ones whose addresses
// others use.
func withoutReplaced(listed map[string]Executor, addresses map[string]bool) map[string]Executor {
	current := maps.Clone(listed)
	maps.DeleteFunc(current, func(_ string, executor Executor) bool {
		return !executor.TakesWork() && addresses[executor.Address]
	})
	return current
}

// Vanished returns how many executors the last Join added to its reading.
func (h *History) Vanished() int { return h.vanished }
