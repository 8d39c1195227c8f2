package ownership

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// cellSize is how many executors a cell holds before its domain has more cells.
// The number of cells doubles from there, so that it changes rarely: a change
// moves executors from owner to owner.
const cellSize = 76

// CellCount returns the number of cells of a domain with so many executors.
func CellCount(executors int) int {
	count := 1
	for executors > count*cellSize {
		count *= 2
	}
	return count
}

// CellOf returns the cell of an executor in a domain of so many cells. The
// address outlives the executor's restarts, its id doesn't.
func CellOf(domain, address string, count int) string {
	if count == 1 {
		return domain
	}
	index := xxhash.Sum64String(address) % uint64(count)
	return domain + "/" + strconv.Itoa(count) + "." + strconv.FormatUint(index, 10)
}

// DomainOf returns the domain of a cell.
func DomainOf(cell string) string {
	if i := strings.LastIndexByte(cell, '/'); i >= 0 {
		return cell[:i]
	}
	return cell
}
