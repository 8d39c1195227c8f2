package cell

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// SetExecutors applies a new list of the cell's executors. One that is no longer listed gets no
// starts, and is forgotten once its leases have expired.
func (c *Cell) SetExecutors(listed []catalog.Executor, now time.Duration) {
	seen := make(map[catalog.Incarnation]bool, len(listed))
	for _, info := range listed {
		info = c.withKnownIncarnation(info)
		seen[info.Incarnation()] = true
		c.setExecutor(info, now)
	}
	for incarnation, e := range c.executors {
		if e.listed && !seen[incarnation] && len(e.runs) > 0 {
			c.addNotice(Notice{Event: "executor_unlisted", Executor: string(incarnation), Detail: strconv.Itoa(len(e.runs))})
		}
		e.listed = seen[incarnation]
	}
	c.dirty = true
	c.advance(now)
}

func (c *Cell) setExecutor(info catalog.Executor, now time.Duration) {
	incarnation := info.Incarnation()
	e := c.executors[incarnation]
	if e == nil {
		c.endOtherIncarnations(info.ID, now)
		c.recordReplacement(info, now)
		e = newExecutor(info)
		c.executors[incarnation] = e
		c.sorted = append(c.sorted, e)
		slices.SortFunc(c.sorted, func(a, b *executor) int { return strings.Compare(string(a.incarnation), string(b.incarnation)) })
	}
	if info.Draining && !e.info.Draining {
		c.addNotice(Notice{Event: "executor_draining", Executor: info.ID})
	}
	// The list may be older than the executor's own answers.
	info.Draining = info.Draining || e.info.Draining
	e.info = info
	if info.Clock > 0 {
		e.clock.observeListed(info.Clock, now)
	}
}

// forgetExecutors removes the executors that are no longer listed once none of their runs can be
// alive.
func (c *Cell) forgetExecutors(now time.Duration) {
	remaining := c.sorted[:0]
	for _, e := range c.sorted {
		unused := !e.listed && len(e.runs) == 0 && !e.holdInFlight && !e.awaitsRestartCheck(now)
		if unused && (e.adopted || e.ended || c.formerLeasesOver(e, now)) {
			if !e.adopted && !e.ended {
				c.forgotAt = now
			}
			c.clearLostRuns(e) // they are not known to have crashed it
			c.releaseEndsOfExecutor(e)
			delete(c.executors, e.incarnation)
			continue
		}
		remaining = append(remaining, e)
	}
	c.sorted = remaining
	c.releaseUnlistedEnds()
}
