package catalog

import "time"

// History joins readings of the executors. Entries lapse while their executors
// can't reach the store, and come back some time after they can; so one that
// has vanished is kept for a while.
type History struct {
	keep     time.Duration
	seen     map[string]sighting // by id
	vanished int                 // of the last joined reading
}

// sighting is an executor as it was listed last.
type sighting struct {
	executor Executor
	at       time.Duration
}

// NewHistory makes a history that keeps vanished executors so long.
func NewHistory(keep time.Duration) *History {
	return &History{keep: keep, seen: map[string]sighting{}}
}

// Join takes a reading of now, and returns it with the executors that vanished
// a short time ago. Another life at the same address takes an entry's place, and that
// of one that is withheld.
func (h *History) Join(reading *Executors, now time.Duration) *Executors {
	joined := &Executors{Revision: reading.Revision, ByID: make(map[string]Executor, len(reading.ByID))}
	addresses := make(map[string]bool, len(reading.ByID))
	for _, executor := range reading.ByID {
		if executor.TakesWork() {
			addresses[executor.Address] = true
		}
	}
	replaced := 0
	for id, executor := range reading.ByID {
		if !executor.TakesWork() && addresses[executor.Address] {
			replaced++
			continue
		}
		joined.ByID[id] = executor
		h.seen[id] = sighting{executor: executor, at: now}
	}
	for id, last := range h.seen {
		if _, listed := reading.ByID[id]; listed {
			continue
		}
		if now > last.at+h.keep || addresses[last.executor.Address] {
			delete(h.seen, id)
			continue
		}
		joined.ByID[id] = last.executor
	}
	h.vanished = len(joined.ByID) - (len(reading.ByID) - replaced)
	return joined
}

// Vanished returns how many executors the last joined reading lacked.
func (h *History) Vanished() int { return h.vanished }
