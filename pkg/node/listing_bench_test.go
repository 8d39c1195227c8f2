package node

import (
	"strconv"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// BenchmarkListing groups the executors of a large deployment by cell, as each host does at
// each change of the list.
func BenchmarkListing(b *testing.B) {
	const fleet, domains, cells = 3500, 4, 25
	executors := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{}}
	counts := map[string]int{}
	for i := range fleet {
		domain := "d-" + strconv.Itoa(i%domains)
		counts[domain] = cells
		id := "i-" + strconv.Itoa(i)
		executors.ByID[id] = catalog.Executor{
			ID: id, Service: "s", Address: "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":80", Domain: domain,
			Capacity: job.Resources{CPU: 1000},
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		sizes := sizesOf(executors)
		newListing(0, executors, sizes, counts)
	}
}
