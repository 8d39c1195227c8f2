package cell

import "time"

// Limits of taking executors out and back in.
const (
	firstEjection    = 300 * time.Millisecond
	longestEjection  = 3 * time.Second
	failuresToEject  = 2 // failed tasks in a row: a single one may be the task's own fault
	successesToClear = 2
	slowRatio        = 5.0 // of a time to its estimate that counts as slow
	ejectedShare     = 3   // one executor in so many may be out at once
	slowMargin       = 30 * time.Millisecond
)

// penaltyTaskFailed is the reason of an ejection for failed tasks.
const penaltyTaskFailed = "task_failed"

// health is what an executor's results tell of it.
type health struct {
	failures     int           // in a row, or on trial
	ejection     time.Duration // of the last ejection; 0 when in good standing
	ejectedUntil time.Duration // no work until then
	successes    int           // trials passed in a row
	inTimeAt     time.Duration // when a run last ended well in time
}

// allows reports whether the executor may get work now.
func (h *health) allows(now time.Duration) bool { return now >= h.ejectedUntil }

// onProbation reports whether the executor has to prove itself, a task at a time.
func (h *health) onProbation() bool { return h.ejection > 0 }

// eject takes the executor out for a while, longer each time.
func (h *health) eject(now time.Duration) {
	if now < h.ejectedUntil {
		return
	}
	h.ejection = min(max(2*h.ejection, firstEjection), longestEjection)
	h.ejectedUntil = now + h.ejection
	h.successes = 0
}

// reset restores good standing.
func (h *health) reset() {
	*h = health{inTimeAt: h.inTimeAt}
}

// succeeded takes a task that ended well in time.
func (h *health) succeeded() {
	h.failures = 0
	if !h.onProbation() {
		return
	}
	h.successes++
	if h.successes >= successesToClear {
		h.reset()
	}
}

// penalize ejects an executor for a failed, stalled or slow task, unless so many
// are out already that the cause must lie elsewhere.
func (c *Cell) penalize(e *executor, why, task string, now time.Duration) {
	e.health.failures++
	if why == penaltyTaskFailed && !e.health.onProbation() && e.health.failures < failuresToEject {
		return
	}
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
		c.addNotice(Notice{Event: "executor_ejected", Executor: e.info.ID, Task: task, Detail: why})
	}
	e.health.eject(now)
}
