package node

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// listing is the list of executors as of one read, by cell.
type listing struct {
	revision        uint64
	askedAt         time.Duration  // when it was requested from the store
	servicesChecked bool           // only executors of configured services are in it
	steady          bool           // reads have succeeded for longer than missingEntriesPeriod, so that no entry is missing
	sizes           map[string]int // number of executors by domain, see sizesOf
	counts          map[string]int // number of cells by domain
	cells           map[string][]catalog.Executor
	presence        presence
	followed        map[string]bool // cells of other domains whose owners this node keeps links to
}

// followedPerDomain is the number of cells of each other domain to which a node may
// dispatch jobs.
const followedPerDomain = 2

// chooseFollowed chooses the cells of other domains whose owners a node keeps links to.
func (l *listing) chooseFollowed(self, domain string) {
	names := make([]string, 0, len(l.cells))
	for name := range l.cells {
		names = append(names, name)
	}
	l.followed = ownership.FollowedCells(names, self, domain, followedPerDomain)
}

// sizesOf returns the number of executors of each domain. Incarnations of one executor, which have
// the same address, count once: after a crash, the row of the former one stays in the store until
// it expires.
func sizesOf(executors *catalog.Executors) map[string]int {
	rows := map[string]int{}
	for _, executor := range executors.ByID {
		rows[executor.Domain]++
	}
	addresses := make(map[string]map[string]bool, len(rows))
	for domain, count := range rows {
		addresses[domain] = make(map[string]bool, count)
	}
	for _, executor := range executors.ByID {
		addresses[executor.Domain][executor.Address] = true
	}
	sizes := make(map[string]int, len(rows))
	for domain := range rows {
		sizes[domain] = len(addresses[domain])
	}
	return sizes
}

// newListing groups executors by cell. counts is the number of cells that each domain
// should have.
func newListing(askedAt time.Duration, executors *catalog.Executors, sizes, counts map[string]int) *listing {
	l := &listing{
		revision: executors.Revision, askedAt: askedAt, sizes: sizes, counts: counts,
		cells: map[string][]catalog.Executor{},
	}
	divisions := divisionsOf(counts)
	for _, executor := range executors.ByID {
		division := divisions(executor.Domain)
		name := division.CellOf(executor.Address)
		if l.cells[name] == nil {
			l.cells[name] = make([]catalog.Executor, 0, initialCellCapacity(sizes[executor.Domain], division.Count()))
		}
		l.cells[name] = append(l.cells[name], executor)
	}
	return l
}

// divisionsOf returns the division of each domain by its number of cells. Each is made once.
func divisionsOf(counts map[string]int) func(domain string) ownership.Division {
	divisions := map[string]ownership.Division{}
	return func(domain string) ownership.Division {
		division, known := divisions[domain]
		if !known {
			division = ownership.NewDivision(domain, counts[domain])
			divisions[domain] = division
		}
		return division
	}
}

// initialCellCapacity returns the capacity to allocate for the executors of a cell. It
// exceeds the mean by a third, since hashing spreads addresses unevenly.
func initialCellCapacity(size, cells int) int { return size*4/(3*cells) + 1 }

// withAskedAt returns the same listing as of a later request to the store.
func (l *listing) withAskedAt(askedAt time.Duration) *listing {
	next := *l
	next.askedAt = askedAt
	return &next
}

// completeFor reports whether the list holds all executors on which a former owner of a
// cell, claimed at claimedAt, can have started runs.
func (l *listing) completeFor(claimedAt time.Duration) bool {
	return l.steady && l.askedAt >= claimedAt
}

// cellOf returns the name of the cell that an executor belongs to.
func (l *listing) cellOf(executor *catalog.Executor) string {
	return ownership.CellOf(executor.Domain, executor.Address, max(l.counts[executor.Domain], 1))
}

func (l *listing) contains(executor *catalog.Executor) bool {
	return slices.ContainsFunc(l.cells[l.cellOf(executor)], func(e catalog.Executor) bool { return e.ID == executor.ID })
}

// cellsOf returns the names of a domain's cells that have executors.
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
