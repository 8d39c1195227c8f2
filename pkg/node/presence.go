package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// presence is which cells have executors in the store's list itself. A listing retains executors for some
// time after they have left that list.
type presence struct {
	cells       map[string]bool          // nil: all cells of the listing
	absentSince map[string]time.Duration // when this host learned that a cell has no executors any more
	since       time.Duration            // when this host got its first list
}

// recordPresence determines the presence of cells as of a list that this host has got at now. retains is
// whether the listing retains executors that the list lacks. former is the listing before; nil for none.
func (l *listing) recordPresence(former *listing, list *catalog.Executors, retains bool, now time.Duration) {
	l.presence = presence{absentSince: map[string]time.Duration{}, since: now}
	if retains {
		l.presence.cells = map[string]bool{}
		divisions := divisionsOf(l.counts)
		for _, executor := range list.ByID {
			l.presence.cells[divisions(executor.Domain).CellOf(executor.Address)] = true
		}
	}
	if former == nil {
		return
	}
	l.presence.since = former.presence.since
	for cell, since := range former.presence.absentSince {
		l.recordAbsence(cell, since)
	}
	for cell := range former.cells {
		if former.isPresent(cell) {
			l.recordAbsence(cell, now)
		}
	}
}

func (l *listing) recordAbsence(cell string, since time.Duration) {
	if !l.isPresent(cell) {
		l.presence.absentSince[cell] = since
	}
}

// isPresent reports whether the store's list has an executor of a cell.
func (l *listing) isPresent(cell string) bool {
	if l.presence.cells != nil {
		return l.presence.cells[cell]
	}
	_, listed := l.cells[cell]
	return listed
}

// isAbsent reports whether this host has known since a time or longer that the store's list has no executor of
// a cell.
func (l *listing) isAbsent(cell string, since time.Duration) bool {
	if l.isPresent(cell) {
		return false
	}
	absentSince, known := l.presence.absentSince[cell]
	if !known {
		absentSince = l.presence.since
	}
	return absentSince <= since
}

// isDividedAnew reports whether the executors of a cell may be in other cells now, as its domain has
// executors and another number of cells.
func (l *listing) isDividedAnew(cell string) bool {
	domain := ownership.DomainOf(cell)
	count, _ := ownership.Position(cell)
	return l.sizes[domain] > 0 && max(l.counts[domain], 1) != count
}
