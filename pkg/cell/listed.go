package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// SetExecutors takes a new reading of the cell's executors. One that is no
// longer listed gets no new work, and is forgotten once its leases are over.
func (c *Cell) SetExecutors(listed []catalog.Executor, now time.Duration) {
	seen := make(map[catalog.Incarnation]bool, len(listed))
	for _, info := range listed {
		info = c.withKnownIncarnation(info)
		seen[info.Incarnation()] = true
		c.setExecutor(info, now)
	}
	for life, e := range c.executors {
		e.listed = seen[life]
	}
	c.dirty = true
	c.advance(now)
}

func (c *Cell) setExecutor(info catalog.Executor, now time.Duration) {
	life := info.Incarnation()
	e := c.executors[life]
	if e == nil {
		c.endOtherIncarnations(info.ID, now)
		e = newExecutor(info)
		c.executors[life] = e
		c.sorted = append(c.sorted, e)
		slices.SortFunc(c.sorted, func(a, b *executor) int { return strings.Compare(string(a.incarnation), string(b.incarnation)) })
	}
	if info.Draining && !e.info.Draining {
		c.addNotice(Notice{Event: "executor_draining", Executor: info.ID})
	}
	// A reading may be older than what the executor itself has told.
	info.Draining = info.Draining || e.info.Draining
	e.info = info
	if info.Clock > 0 {
		e.clock.observeIfAhead(info.Clock, now)
	}
}

// forgetExecutors drops the executors that are no longer listed, once nothing they ran can
// go on.
func (c *Cell) forgetExecutors(now time.Duration) {
	kept := c.sorted[:0]
	for _, e := range c.sorted {
		unused := !e.listed && len(e.runs) == 0 && !e.holdInFlight && !e.awaitsRestartCheck(now)
		if unused && (e.adopted || e.ended || c.formerLeasesOver(e, now)) {
			c.releaseEndsOfExecutor(e)
			delete(c.executors, e.incarnation)
			continue
		}
		kept = append(kept, e)
	}
	c.sorted = kept
}
