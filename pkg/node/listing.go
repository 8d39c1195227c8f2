package node

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// listing is one reading of the executors, by cell.
type listing struct {
	revision uint64
	askedAt  time.Duration  // the store was asked for it
	checked  bool           // a configuration has told which services there are
	steady   bool           // readings had gone well for so long that no entry can be missing by a lapse
	sizes    map[string]int // executors of each domain
	counts   map[string]int // cells of each domain
	cells    map[string][]catalog.Executor
	followed map[string]bool // cells whose owners this node keeps links to
}

// followedPerDomain is how many cells of each other domain a node may hand jobs to.
const followedPerDomain = 2

// follow chooses the cells whose owners a node keeps links to.
func (l *listing) follow(self, domain string) {
	names := make([]string, 0, len(l.cells))
	for name := range l.cells {
		names = append(names, name)
	}
	l.followed = ownership.FollowedCells(names, self, domain, followedPerDomain)
}

// sizesOf returns the number of executors of each domain.
func sizesOf(executors *catalog.Executors) map[string]int {
	sizes := map[string]int{}
	for _, executor := range executors.ByID {
		sizes[executor.Domain]++
	}
	return sizes
}

// newListing sorts a reading into cells. counts is the number of cells that each
// domain should have.
func newListing(askedAt time.Duration, executors *catalog.Executors, sizes, counts map[string]int) *listing {
	l := &listing{
		revision: executors.Revision, askedAt: askedAt, sizes: sizes, counts: counts,
		cells: map[string][]catalog.Executor{},
	}
	divisions := map[string]ownership.Division{}
	for _, executor := range executors.ByID {
		division, known := divisions[executor.Domain]
		if !known {
			division = ownership.NewDivision(executor.Domain, counts[executor.Domain])
			divisions[executor.Domain] = division
		}
		name := division.CellOf(executor.Address)
		if l.cells[name] == nil {
			l.cells[name] = make([]catalog.Executor, 0, roomFor(sizes[executor.Domain], division.Count()))
		}
		l.cells[name] = append(l.cells[name], executor)
	}
	return l
}

// roomFor returns how many executors a cell is made to hold at first: a third more than
// the mean, since their addresses are spread over the cells by chance.
func roomFor(size, cells int) int { return size*4/(3*cells) + 1 }

// confirmed returns the same listing as of a later question to the store.
func (l *listing) confirmed(askedAt time.Duration) *listing {
	next := *l
	next.askedAt = askedAt
	return &next
}

// completeFor reports whether the list names all executors that a former owner
// of a cell, claimed at claimedAt, can have given work to.
func (l *listing) completeFor(claimedAt time.Duration) bool {
	return l.steady && l.askedAt >= claimedAt
}

// cellOf returns the name of the cell that an executor belongs to.
func (l *listing) cellOf(executor *catalog.Executor) string {
	return ownership.CellOf(executor.Domain, executor.Address, max(l.counts[executor.Domain], 1))
}

// lists reports whether an executor is listed.
func (l *listing) lists(executor *catalog.Executor) bool {
	return slices.ContainsFunc(l.cells[l.cellOf(executor)], func(e catalog.Executor) bool { return e.ID == executor.ID })
}

// cellsOf returns the names of a domain's cells.
func (l *listing) cellsOf(domain string) []string {
	var names []string
	for name := range l.cells {
		if ownership.DomainOf(name) == domain {
			names = append(names, name)
		}
	}
	return names
}

// inDomain returns the executors of a domain.
func (l *listing) inDomain(domain string) []catalog.Executor {
	var executors []catalog.Executor
	for name, listed := range l.cells {
		if ownership.DomainOf(name) == domain {
			executors = append(executors, listed...)
		}
	}
	return executors
}
