package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// An executor forgets ends in order, so the end of a task of a kept job that takes long
// makes it retain all later ends, and it lists only 500. The progress of such a job is
// therefore reported to its coordinator, which writes it to the job's row. Then the
// executors may forget the ends.

const (
	// checkpointAfter is how long an end waits for the end of its job before it is reported.
	// It is longer than most jobs, and short enough for executors to retain few ends.
	checkpointAfter = 2 * time.Second
	// checkpointRetry is the time after which an unconfirmed report is repeated.
	checkpointRetry = 3 * time.Second
)

// Checkpoint is the progress of a kept job that is still running here.
type Checkpoint struct {
	ID       string
	Progress []job.Progress
}

// CountEnds returns how many ends of tasks a job's progress includes. It never decreases while
// the job is at its owner.
func CountEnds(progress []job.Progress) int {
	ends := 0
	for _, p := range progress {
		ends += p.Failures
		if p.Done {
			ends++
		}
	}
	return ends
}

// Checkpoints returns the progress that coordinators should write now.
func (c *Cell) Checkpoints(now time.Duration) []Checkpoint {
	var due []Checkpoint
	urgent := c.jobsAtLongLists()
	for _, w := range c.sortedJobs() {
		isDue := func(u *unpersistedEnd) bool { return u.isCheckpointDue(urgent[w.job.ID], now) }
		if ends := c.unpersisted[w.job.ID]; slices.ContainsFunc(ends, isDue) {
			progress := c.progress(w)
			for _, u := range ends {
				u.reportedAt, u.reportedEnds = now, CountEnds(progress)
				u.overdueAt = now + persistTime
			}
			due = append(due, Checkpoint{ID: w.job.ID, Progress: progress})
		}
	}
	return due
}

// jobsAtLongLists returns the jobs of which the oldest retained end keeps many others on an executor's
// list.
func (c *Cell) jobsAtLongLists() map[string]bool {
	jobs := map[string]bool{}
	for _, e := range c.sorted {
		if e.retainedEnds() > endsNearLimit {
			jobs[e.unpersisted[0].job] = true
		}
	}
	return jobs
}

// isCheckpointDue reports whether an end has to be reported to the job's coordinator.
func (u *unpersistedEnd) isCheckpointDue(urgent bool, now time.Duration) bool {
	if u.reportedEnds == 0 {
		return urgent || now >= u.listedAt+checkpointAfter
	}
	return now >= u.reportedAt+checkpointRetry
}

// CheckpointPersisted records that a job's row covers the given number of ends of its tasks.
func (c *Cell) CheckpointPersisted(id string, ends int, now time.Duration) {
	var left []*unpersistedEnd
	for _, u := range c.unpersisted[id] {
		u.persisted = u.reportedEnds > 0 && u.reportedEnds <= ends
		if !u.persisted {
			left = append(left, u)
		}
	}
	if len(left) == 0 {
		delete(c.unpersisted, id)
	} else {
		c.unpersisted[id] = left
	}
	for _, e := range c.sorted {
		c.releaseForgettable(e, now)
	}
	c.dirty = true // executors may take further kept jobs
	c.advance(now)
}
