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

// handBack gives the jobs back that a closed cell can't go on with.
func (c *Cell) handBack(now time.Duration) {
	if !c.closed {
		return
	}
	for _, w := range c.sortedWorks() {
		// Before settleAt runs may go on that this owner hasn't seen.
		if w.hasRuns() || now < w.settleAt {
			continue
		}
		c.finish(w, w.givenBack(ReasonClosed))
	}
}

// hasRuns reports whether a task of the job may be running.
func (w *work) hasRuns() bool {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if t.current != nil {
				return true
			}
		}
	}
	return false
}
