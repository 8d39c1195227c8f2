package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// listing is one reading of the executors, by cell.
type listing struct {
	revision uint64
	askedAt  time.Duration // the store was asked for it
	snapshot Snapshot
	size     int // executors
	cells    map[string][]catalog.Executor
	followed map[string]bool // cells whose owners this node keeps links to
}

// followedPerZone is how many cells of each other zone a node may hand jobs to.
const followedPerZone = 2

// follow chooses the cells whose owners a node keeps links to.
func (l *listing) follow(self, zone string) {
	names := make([]string, 0, len(l.cells))
	for name := range l.cells {
		names = append(names, name)
	}
	l.followed = ownership.FollowedCells(names, self, zone, followedPerZone)
}

// newListing sorts a reading into cells.
func newListing(snapshot Snapshot, askedAt time.Duration, executors *catalog.Executors) *listing {
	sizes := map[string]int{}
	for _, executor := range executors.ByID {
		sizes[executor.Zone]++
	}
	l := &listing{revision: snapshot.Revision, askedAt: askedAt, snapshot: snapshot, size: len(executors.ByID), cells: map[string][]catalog.Executor{}}
	for _, executor := range executors.ByID {
		name := ownership.CellOf(executor.Zone, executor.Address, ownership.CellCount(sizes[executor.Zone]))
		l.cells[name] = append(l.cells[name], executor)
	}
	return l
}

// cellsOf returns the names of a zone's cells.
func (l *listing) cellsOf(zone string) []string {
	var names []string
	for name := range l.cells {
		if ownership.ZoneOf(name) == zone {
			names = append(names, name)
		}
	}
	return names
}

// inZone returns the executors of a zone.
func (l *listing) inZone(zone string) []catalog.Executor {
	var executors []catalog.Executor
	for name, listed := range l.cells {
		if ownership.ZoneOf(name) == zone {
			executors = append(executors, listed...)
		}
	}
	return executors
}
