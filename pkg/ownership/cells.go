package ownership

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits of the number of executors in a cell.
const (
	maxCellSize = 76 // what an owner with 0.8 cores can serve
	minCellSize = 4  // room for jobs of several tasks
	// executorsPerCore depends on the tasks that an executor finishes a second and on the
	// processor time that all hosts together spend on a task.
	executorsPerCore = 100.0
	// executorsPerMbit is the number of executors that a link of 1 Mbit/s serves with
	// commands that carry texts, so that half of the link stays free for other traffic. With
	// texts of 2.4 kB, commands take 6 to 10 kB/s for each executor (docs/design/thin-links.md).
	executorsPerMbit = 6.0
)

// Capacity is the processor time and bandwidth that a host may use.
type Capacity struct {
	CPU      int     // thousandths of a core; 0 when unknown
	LinkMbps float64 // of its own link, in each direction; 0 when unknown
}

// CellSize returns how many executors a host can serve as the owner of a cell.
func CellSize(host Capacity) int {
	size := float64(maxCellSize)
	if host.CPU > 0 {
		size = min(size, executorsPerCore*float64(host.CPU)/1000)
	}
	if host.LinkMbps > 0 {
		size = min(size, executorsPerMbit*host.LinkMbps)
	}
	return max(int(size), minCellSize)
}

// CellCount returns the number of cells of a domain with the given number of executors,
// whose strongest host can serve cellSize of them. The number is a power of two, so that it
// changes rarely: each change moves executors between owners.
func CellCount(executors, cellSize int) int {
	count := 1
	for executors > count*max(cellSize, 1) {
		count *= 2
	}
	return count
}

// A domain keeps its number of cells as long as the executors fill the cells within these
// bounds. A change would move executors between owners while they run tasks, and replaced
// executors are listed for a while beside their replacements.
const (
	maxCellFill = 1.5  // executors, as a multiple of what the owners of the cells can serve (CellSize)
	minCellFill = 0.25 // likewise
)

// StableCellCount returns the number of cells for a domain whose owners have claimed inUse cells,
// 0 if none: inUse while the executors fill those cells within the bounds, and CellCount
// otherwise.
func StableCellCount(executors, cellSize, inUse int) int {
	wanted := CellCount(executors, cellSize)
	room := float64(inUse * cellSize)
	if inUse > 0 && float64(executors) <= maxCellFill*room && float64(executors) >= minCellFill*room {
		return inUse
	}
	return wanted
}

// countFromName returns the number of cells of a domain, which is part of the name of each
// of its cells.
func countFromName(cell string) int {
	count, _ := Position(cell)
	return count
}

// Position returns the number of cells of a cell's domain and its index among them, by its name.
func Position(cell string) (count, index int) {
	_, name, many := strings.Cut(cell[len(DomainOf(cell)):], "/")
	if !many {
		return 1, 0
	}
	parts := strings.SplitN(name, ".", 2)
	count, err := strconv.Atoi(parts[0])
	if err != nil {
		return 1, 0 // no cell name: the domain's own name contains a slash
	}
	if len(parts) > 1 {
		index, _ = strconv.Atoi(parts[1])
	}
	return count, index
}

// CellAt returns the name of the cell at a Position.
func CellAt(domain string, count, index int) string {
	if count <= 1 {
		return domain
	}
	return cellName(domain, count, uint64(index))
}

// ClaimedCellCount returns the number of cells of a domain according to the newest claim on one
// of them, or 0 if there is no claim.
func (t *Table) ClaimedCellCount(domain string) int {
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
	return countFromName(newest.Cell)
}

// CellOf returns the cell of an executor in a domain with count cells. It depends on the
// executor's address, which stays the same when the executor restarts, unlike its id.
func CellOf(domain, address string, count int) string {
	if count == 1 {
		return domain
	}
	return cellName(domain, count, cellIndex(address, count))
}

// cellName returns the name of one of several cells of a domain, such as "zone/4.2" for the
// third of four. The only cell of a domain has the name of the domain.
func cellName(domain string, count int, index uint64) string {
	return domain + "/" + strconv.Itoa(count) + "." + strconv.FormatUint(index, 10)
}

func cellIndex(address string, count int) uint64 {
	return xxhash.Sum64String(address) % uint64(count)
}

// Division divides the executors of a domain into cells. It returns the same cells as
// CellOf, but builds each cell name only once.
type Division struct{ names []string }

// NewDivision returns the division of a domain into count cells, at least one.
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

func (d Division) Count() int { return len(d.names) }

// DomainOf returns the domain of the cell with the given name.
func DomainOf(cell string) string {
	if i := strings.LastIndexByte(cell, '/'); i >= 0 {
		return cell[:i]
	}
	return cell
}
