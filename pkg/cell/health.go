package cell

import "time"

// Limits of taking executors out and back in.
const (
	firstEjection   = 300 * time.Millisecond
	longestEjection = 3 * time.Second
	trialsToClear   = 2
	paceWeightNew   = 0.1 // of a new time in the pace
	slowRatio       = 5.0 // of a time to its estimate that counts as slow
	ejectedShare    = 3   // one executor in so many may be out at once
	slowestJudged   = 30 * time.Millisecond
)

// health is what an executor's results tell of it.
type health struct {
	failures int           // in a row, or on trial
	pause    time.Duration // of the last ejection; 0 when in good standing
	until    time.Duration // no work until then
	passed   int           // trials passed in a row
	pace     float64       // time a task takes as a share of its estimate; 0 before the first
}

// allows reports whether the executor may get work now.
func (h *health) allows(now time.Duration) bool { return now >= h.until }

// onTrial reports whether the executor has to prove itself, a task at a time.
func (h *health) onTrial() bool { return h.pause > 0 }

// eject takes the executor out for a while, longer each time.
func (h *health) eject(now time.Duration) {
	if now < h.until {
		return
	}
	h.pause = min(max(2*h.pause, firstEjection), longestEjection)
	h.until = now + h.pause
	h.passed = 0
}

// clear restores good standing.
func (h *health) clear() {
	h.failures, h.pause, h.until, h.passed = 0, 0, 0, 0
}

// succeeded takes a task that ended well in time.
func (h *health) succeeded() {
	h.failures = 0
	if !h.onTrial() {
		return
	}
	h.passed++
	if h.passed >= trialsToClear {
		h.clear()
	}
}

// measure takes the time of a task that ended well.
func (h *health) measure(took, estimate time.Duration) {
	ratio := float64(took) / float64(max(estimate, time.Millisecond))
	if h.pace == 0 {
		h.pace = 1
	}
	h.pace += paceWeightNew * (ratio - h.pace)
}

// blame ejects an executor for a failed, stalled or slow task, unless so many
// are out already that the cause must lie elsewhere.
func (c *Cell) blame(e *executor, why, task string, now time.Duration) {
	e.health.failures++
	out := 0
	for _, other := range c.sorted {
		if !other.health.allows(now) {
			out++
		}
	}
	if ejectedShare*(out+1) > len(c.sorted) {
		return
	}
	if e.health.allows(now) {
		c.note(Notice{Event: "executor_ejected", Executor: e.info.ID, Task: task, Detail: why})
	}
	e.health.eject(now)
}

// exonerate restores the executors on which a task failed that fails
// everywhere: the fault is the task's.
func (c *Cell) exonerate(t *task) {
	for _, id := range t.failedOn {
		if e := c.executors[id]; e != nil {
			e.health.clear()
		}
	}
}
