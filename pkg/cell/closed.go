package cell

import "time"

// ReasonClosed marks a job that was returned to its front because its cell is closed to new work.
// It has no runs here, so any other cell may start it at once.
const ReasonClosed = "cell_closed"

// SetClosed sets whether operators have closed the cell to new work. A closed cell starts nothing:
// its runs may end, and jobs with tasks to start are returned once they have no runs here.
func (c *Cell) SetClosed(closed bool, now time.Duration) {
	if c.closed == closed {
		return
	}
	c.closed = closed
	c.dirty = true
	c.advance(now)
}

// returnWhenClosed returns to their fronts the jobs that a closed cell cannot continue.
func (c *Cell) returnWhenClosed(now time.Duration) {
	if !c.closed {
		return
	}
	for _, w := range c.sortedJobs() {
		if w.hasRuns() || c.mayHaveUnknownRuns(w, now) {
			continue
		}
		c.returnJob(w, ReasonClosed)
	}
}

// hasRuns reports whether a task of the job may be running.
func (w *jobState) hasRuns() bool { return len(w.runs()) > 0 }
