package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// An executor forgets ends in their order. So the end of one task of a kept job that
// waits for long, for room or for an earlier step, keeps all that come after it, and
// an executor lists 500 only. What is known of such a job is therefore told to its
// keeper, who writes it into the job's row; then the executors may forget it.

const (
	// checkpointAfter is how long an end waits for the end of its job before that. An
	// executor of two places lists ten to twenty ends meanwhile; most jobs are shorter.
	checkpointAfter = 2 * time.Second
	// checkpointRetry is when it is told once more, if nobody has said that it lasts.
	checkpointRetry = 3 * time.Second
)

// Checkpoint is what is known of the tasks of a kept job that goes on here.
type Checkpoint struct {
	ID       string
	Progress []job.Progress
}

// EndsOf returns how many ends of tasks some progress tells of. It only rises while a
// job is at its owner.
func EndsOf(progress []job.Progress) int {
	ends := 0
	for _, p := range progress {
		ends += p.Failures
		if p.Done {
			ends++
		}
	}
	return ends
}

// Checkpoints returns what keepers should write now.
func (c *Cell) Checkpoints(now time.Duration) []Checkpoint {
	var due []Checkpoint
	for _, w := range c.sortedJobs() {
		if ends := c.unpersisted[w.job.ID]; slices.ContainsFunc(ends, func(u *unpersistedEnd) bool { return u.isCheckpointDue(now) }) {
			progress := w.progress()
			for _, u := range ends {
				u.reportedAt, u.reportedEnds = now, EndsOf(progress)
			}
			due = append(due, Checkpoint{ID: w.job.ID, Progress: progress})
		}
	}
	return due
}

// isCheckpointDue reports whether an end should be told to the job's keeper.
func (u *unpersistedEnd) isCheckpointDue(now time.Duration) bool {
	if u.reportedEnds == 0 {
		return now >= u.listedAt+checkpointAfter
	}
	return now >= u.reportedAt+checkpointRetry
}

// CheckpointPersisted takes that so many ends of a job's tasks stand in its row.
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
