package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// ReasonRoomElsewhere marks a kept job that was returned to its front because it has waited for long, and another cell
// has room for it. Nothing of it has run here.
const ReasonRoomElsewhere = "room_elsewhere"

// longKeptWait is how long kept jobs wait in a busy cell before they are returned to run in one that has room. Moving
// a job takes some 0.3 s and a write to the store.
const longKeptWait = time.Second

// ReturnWaiting returns to their fronts kept jobs that have waited for long, those that would start last first, while
// the work queued here takes long and hasRoom reports that another cell has room for a job.
func (c *Cell) ReturnWaiting(now time.Duration, hasRoom func(j *job.Job) bool) {
	if c.fenced || c.keptJobs == 0 {
		return
	}
	load := c.Load(now)
	if load.CapacityCPU == 0 || load.QueuedWork/load.CapacityCPU < longKeptWait.Milliseconds() {
		return
	}
	for _, w := range slices.Backward(c.rankedJobs(now)) {
		hasWaited := w.job.Kept && now >= w.submittedAt+longKeptWait
		if hasWaited && len(c.progress(w)) == 0 && !w.hasRuns() && hasRoom(w.job) {
			c.addNotice(Notice{Event: "job_moved_to_room", Job: w.job.ID, Age: now - w.submittedAt})
			c.returnJob(w, ReasonRoomElsewhere)
		}
	}
}
