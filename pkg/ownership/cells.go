package ownership

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits of the number of executors in a cell.
const (
	// largestCell is what an owner of 0.8 cores serves well, from the users'
	// deployment of 350 executors.
	largestCell = 76
	// smallestCell keeps room for jobs of several tasks in a cell.
	smallestCell = 4
	// perCore is how many executors a core serves. An executor of two places
	// ends four to ten tasks a second, each of which takes 0.8 ms over all hosts
	// (docs/CAPACITY.md).
	perCore = 100.0
	// perMbit is how many executors a link of 1 Mbit/s serves. Orders with
	// texts of 2.4 kB take 6 to 10 kB/s an executor (docs/design/thin-links.md),
	// and half of a link is to stay free for the rest. Measured: 4 is worse.
	perMbit = 6.0
)

// Capacity is what a host may use.
type Capacity struct {
	CPU      int     // thousandths of a core; 0 when not known
	LinkMbps float64 // of its own link, each way; 0 when not known
}

// CellSize returns how many executors a host can serve as the owner of a cell.
func CellSize(host Capacity) int {
	size := float64(largestCell)
	if host.CPU > 0 {
		size = min(size, perCore*float64(host.CPU)/1000)
	}
	if host.LinkMbps > 0 {
		size = min(size, perMbit*host.LinkMbps)
	}
	return max(int(size), smallestCell)
}

// CellCount returns the number of cells of a domain with so many executors, of
// which its strongest host can serve cellSize. The number doubles, so that it
// changes rarely: a change moves executors from owner to owner.
func CellCount(executors, cellSize int) int {
	count := 1
	for executors > count*max(cellSize, 1) {
		count *= 2
	}
	return count
}

// Margins within which a domain keeps the number of cells that it has. A change
// moves its executors between owners in the midst of their work, and executors
// that are replaced are listed beside those that take their places for a while.
const (
	keepAbove = 1.5  // of what the cells are made for
	keepBelow = 0.25 // likewise
)

// KeepCount returns the number of cells of a domain that has some already: the
// number that its owners have claimed, or 0.
func KeepCount(executors, cellSize, inUse int) int {
	wanted := CellCount(executors, cellSize)
	room := float64(inUse * cellSize)
	if inUse > 0 && float64(executors) <= keepAbove*room && float64(executors) >= keepBelow*room {
		return inUse
	}
	return wanted
}

// countOf returns the number of cells of a domain that one of them tells by its
// name.
func countOf(cell string) int {
	_, name, many := strings.Cut(cell[len(DomainOf(cell)):], "/")
	if !many {
		return 1
	}
	count, err := strconv.Atoi(strings.SplitN(name, ".", 2)[0])
	if err != nil {
		return 1 // no name of ours: the domain's own name has a slash
	}
	return count
}

// CountInUse returns the number of cells of a domain that the newest claim on
// one of them goes by, or 0.
func (t *Table) CountInUse(domain string) int {
	var newest Claim
	for cell, byOwner := range t.claims {
		if DomainOf(cell) != domain {
			continue
		}
		for _, claim := range byOwner {
			if claim.Token > newest.Token {
				newest = claim
			}
		}
	}
	if newest.Cell == "" {
		return 0
	}
	return countOf(newest.Cell)
}

// CellOf returns the cell of an executor in a domain of so many cells. The
// address outlives the executor's restarts, its id doesn't.
func CellOf(domain, address string, count int) string {
	if count == 1 {
		return domain
	}
	return cellName(domain, count, cellIndex(address, count))
}

func cellName(domain string, count int, index uint64) string {
	return domain + "/" + strconv.Itoa(count) + "." + strconv.FormatUint(index, 10)
}

func cellIndex(address string, count int) uint64 {
	return xxhash.Sum64String(address) % uint64(count)
}

// Division is how the executors of a domain are divided into cells: CellOf for many of
// them: it makes each name once. Sorting 3,500 into 100 cells takes 1.1 ms in place of 1.5,
// and 0.7 MB in place of 1.4.
type Division struct{ names []string }

// NewDivision makes the division of a domain into so many cells, at least one.
func NewDivision(domain string, count int) Division {
	if count <= 1 {
		return Division{names: []string{domain}}
	}
	names := make([]string, count)
	for i := range names {
		names[i] = cellName(domain, count, uint64(i))
	}
	return Division{names: names}
}

// CellOf returns the cell of the executor at an address.
func (d Division) CellOf(address string) string {
	if len(d.names) == 1 {
		return d.names[0]
	}
	return d.names[cellIndex(address, len(d.names))]
}

// Count returns the number of cells.
func (d Division) Count() int { return len(d.names) }

// DomainOf returns the domain of a cell.
func DomainOf(cell string) string {
	if i := strings.LastIndexByte(cell, '/'); i >= 0 {
		return cell[:i]
	}
	return cell
}
