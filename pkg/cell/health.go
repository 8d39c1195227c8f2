package cell

import "time"

// Limits of ejecting executors and of ending their probation.
const (
	firstEjection    = 300 * time.Millisecond
	longestEjection  = 3 * time.Second
	failuresToEject  = 2 // consecutive failed tasks; a single one may be the task's own fault
	successesToClear = 2
	slowRatio        = 5.0 // ratio of a time to its estimate that counts as slow
	ejectedShare     = 3   // at most one executor in so many is ejected at a time
	slowMargin       = 30 * time.Millisecond
)

// penaltyTaskFailed is the reason of an ejection for failed tasks.
const penaltyTaskFailed = "task_failed"

// health is what an executor's results show of its condition.
type health struct {
	failures     int           // consecutive ones, or those on probation
	ejection     time.Duration // length of the last ejection; 0 when not on probation
	ejectedUntil time.Duration
	successes    int           // consecutive ones on probation
	inTimeAt     time.Duration // when a run last completed in time
}

// allows reports whether the executor may get work now.
func (h *health) allows(now time.Duration) bool { return now >= h.ejectedUntil }

// onProbation reports whether the executor was ejected and has not been cleared since. It gets
// one task at a time.
func (h *health) onProbation() bool { return h.ejection > 0 }

// eject ejects the executor for a while, for longer each time.
func (h *health) eject(now time.Duration) {
	if now < h.ejectedUntil {
		return
	}
	h.ejection = min(max(2*h.ejection, firstEjection), longestEjection)
	h.ejectedUntil = now + h.ejection
	h.successes = 0
}

// clear ends the probation.
func (h *health) clear() {
	*h = health{inTimeAt: h.inTimeAt}
}

// succeeded records a task that completed in time.
func (h *health) succeeded() {
	h.failures = 0
	if !h.onProbation() {
		return
	}
	h.successes++
	if h.successes >= successesToClear {
		h.clear()
	}
}

// penalize ejects an executor for a failed, stalled or slow task, unless so many executors are
// ejected already that the cause is probably elsewhere.
func (c *Cell) penalize(e *executor, reason, task string, now time.Duration) {
	e.health.failures++
	if reason == penaltyTaskFailed && !e.health.onProbation() && e.health.failures < failuresToEject {
		return
	}
	ejected := 0
	for _, other := range c.sorted {
		if !other.health.allows(now) {
			ejected++
		}
	}
	if ejectedShare*(ejected+1) > len(c.sorted) {
		return
	}
	if e.health.allows(now) {
		c.addNotice(Notice{Event: "executor_ejected", Executor: e.info.ID, Task: task, Detail: reason})
	}
	e.health.eject(now)
}
