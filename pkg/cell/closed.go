package cell

import "time"

// ReasonClosed marks a job that was handed back because its cell takes no new
// work. No run of it goes on, so that any other cell may have it at once.
const ReasonClosed = "cell_closed"

// SetClosed takes whether operators have closed the cell to new work. A closed
// cell starts nothing: what runs may end, and jobs with tasks to start are handed
// back as soon as none of their tasks runs here.
func (c *Cell) SetClosed(closed bool, now time.Duration) {
	if c.closed == closed {
		return
	}
	c.closed = closed
	c.dirty = true
	c.advance(now)
}

// returnWhenClosed gives the jobs back that a closed cell can't go on with.
func (c *Cell) returnWhenClosed(now time.Duration) {
	if !c.closed {
		return
	}
	for _, w := range c.sortedJobs() {
		// Before settleAt runs may go on that this owner hasn't seen.
		if w.hasRuns() || now < w.notBefore {
			continue
		}
		c.finish(w, w.returnedOutcome(ReasonClosed))
	}
}

// hasRuns reports whether a task of the job may be running.
func (w *jobState) hasRuns() bool {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if t.current != nil {
				return true
			}
		}
	}
	return false
}
