package cell

import (
	"sort"
	"time"

	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// Load returns how busy the cell is. Executors that can't list the ends of further tasks are no capacity.
func (c *Cell) Load(now time.Duration) ownership.Load {
	var load ownership.Load
	if c.closed {
		return load
	}
	services := map[string]bool{}
	for _, e := range c.sorted {
		if !e.usable(now) {
			continue
		}
		load.Ready = true
		if e.hasRoomForBestEffort() {
			load.CapacityCPU += e.info.Capacity.CPU
			load.FreeCPU += max(0, e.free().CPU)
		}
		if !services[e.info.Service] {
			services[e.info.Service] = true
			load.Services = append(load.Services, e.info.Service)
		}
	}
	sort.Strings(load.Services)
	var bytes int64
	for _, w := range c.jobs {
		load.QueuedWork += w.waitingWork()
		bytes += w.waitingBytes()
	}
	// Work that waits for the link counts like work that waits for capacity.
	linkWork := c.pacer.transferTime(bytes).Milliseconds() * load.CapacityCPU
	load.QueuedWork = max(load.QueuedWork, linkWork)
	return load
}

// Waiting counts, by route, the jobs of which no task has started. A split job counts once, by its
// first part.
func (c *Cell) Waiting() map[string]int {
	counts := map[string]int{}
	for _, w := range c.jobs {
		if w.isWaiting() && w.job.Part.First == 0 {
			counts[w.job.Route]++
		}
	}
	return counts
}
