package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// Executors forget an end once a hold has told them that it was seen. Until the end
// of its kept job lasts at the platform, the executors are the only ones that are
// sure to know that a task has ended, when owner and keeper die: so holds don't let
// them forget it before. The next owner finds it at its first look.

const (
	// UnpersistedEndRetention bounds that once the job has ended here, for a word of its keeper
	// that was lost. Keepers say so 1 s after their commit; with the platform's tables
	// out of reach for as long as 20 s, a task whose end was forgotten sooner could start
	// again after its owner and its keeper have died.
	UnpersistedEndRetention = 20 * time.Second
	// unknownJobEndRetention bounds it for jobs that aren't here: after a takeover their
	// keepers hand them over within a second or two, later ones have to read the
	// platform's tables first.
	unknownJobEndRetention = 10 * time.Second
	// returnedJobEndRetention bounds it for jobs that were given back and may go on elsewhere.
	// Executors without runs for as long as a lease have no word to keep any more.
	returnedJobEndRetention = time.Minute
	// maxRetainedEnds is how many ends an executor is left to list at most, from the oldest
	// that it has to keep on: it lists 500 at once, the newest last.
	maxRetainedEnds = 450
	// maxRetainedForNewJobs is how many keep an executor from getting tasks of further kept jobs:
	// those that have ends there already need room for what is left of them.
	maxRetainedForNewJobs = 300
	// retainedHoldPause is the time between the answer to a hold and the next one while an
	// executor keeps ends: it answers at once then, as there are ends to list, and
	// listPause is added for each of these.
	retainedHoldPause = 25 * time.Millisecond
	pausePerEnd       = 250 * time.Microsecond
)

// unpersistedEnd is an end of a kept job's task that an executor may not forget yet.
type unpersistedEnd struct {
	number       int64
	job          string
	persisted    bool          // the end of its job lasts, or this one stands in the job's row
	listedAt     time.Duration // it was listed first
	reportedEnds int           // ends of the job that its keeper has been told of, this one among them; 0 for none
	reportedAt   time.Duration
	retainUntil  time.Duration // it may be forgotten then; 0 as long as its job is here
}

// retainEnd has an executor keep an end of a task of a kept job.
func (c *Cell) retainEnd(e *executor, end EndedTask, now time.Duration) {
	id, key, ok := parseTaskName(end.Task)
	if !ok || !isKeptRun(end.Run) || end.Kind != EndDone && end.Kind != EndFailed {
		return
	}
	c.recordEnd(id, key, end)
	u := &unpersistedEnd{number: end.Number, job: id, listedAt: now}
	if c.jobs[id] == nil {
		u.retainUntil = now + unknownJobEndRetention
	}
	e.unpersisted = append(e.unpersisted, u)
	c.unpersisted[id] = append(c.unpersisted[id], u)
}

// limitRetention takes how a job ends here, and bounds how long executors keep its ends.
func (c *Cell) limitRetention(w *jobState, kind job.Kind) {
	if !w.job.Kept {
		return
	}
	until := c.lastEventAt + UnpersistedEndRetention
	if kind == job.Moved {
		until = c.lastEventAt + returnedJobEndRetention
	}
	for _, u := range c.unpersisted[w.job.ID] {
		u.retainUntil = until
	}
	if len(c.unpersisted[w.job.ID]) == 0 {
		delete(c.histories, w.job.ID)
	}
}

// EndsPersisted takes that the ends of kept jobs last at the platform: executors may forget
// those of their tasks.
func (c *Cell) EndsPersisted(ids []string, now time.Duration) {
	for _, id := range ids {
		c.releaseEndsOfJob(id)
	}
	for _, e := range c.sorted {
		c.releaseForgettable(e, now)
	}
	c.dirty = true // executors may take further kept jobs
	c.advance(now)
}

// releaseEndsOfJob has executors forget the ends of a job.
func (c *Cell) releaseEndsOfJob(id string) {
	for _, u := range c.unpersisted[id] {
		u.persisted = true
	}
	delete(c.unpersisted, id)
	delete(c.histories, id)
}

// releaseForgettable returns up to which end an executor may forget.
func (c *Cell) releaseForgettable(e *executor, now time.Duration) int64 {
	for len(e.unpersisted) > 0 && (e.unpersisted[0].mayBeForgotten(now) || e.retainedEnds() > maxRetainedEnds) {
		c.releaseEnd(e.unpersisted[0])
		e.unpersisted = e.unpersisted[1:]
	}
	if len(e.unpersisted) > 0 {
		return e.unpersisted[0].number - 1
	}
	return e.lastEndNumber
}

// retainedEnds returns how many ends an executor is left to list.
func (e *executor) retainedEnds() int64 {
	if len(e.unpersisted) == 0 {
		return 0
	}
	return e.lastEndNumber - e.unpersisted[0].number + 1
}

// mayRetainEndsOf reports whether an executor may get tasks of a job: one that has many ends
// to list gets none of further kept ones.
func (c *Cell) mayRetainEndsOf(e *executor, w *jobState) bool {
	return !w.job.Kept || len(c.unpersisted[w.job.ID]) > 0 || e.retainedEnds() < maxRetainedForNewJobs
}

func (u *unpersistedEnd) mayBeForgotten(now time.Duration) bool {
	return u.persisted || u.retainUntil > 0 && now >= u.retainUntil
}

// releaseEnd drops an end from those of its job.
func (c *Cell) releaseEnd(u *unpersistedEnd) {
	rest := slices.DeleteFunc(c.unpersisted[u.job], func(other *unpersistedEnd) bool { return other == u })
	if len(rest) > 0 {
		c.unpersisted[u.job] = rest
		return
	}
	delete(c.unpersisted, u.job)
	if c.jobs[u.job] == nil {
		delete(c.histories, u.job)
	}
}

// releaseEndsOfExecutor drops the ends of an executor that is gone.
func (c *Cell) releaseEndsOfExecutor(e *executor) {
	for _, u := range e.unpersisted {
		c.releaseEnd(u)
	}
	e.unpersisted = nil
}
