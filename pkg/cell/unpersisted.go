package cell

import (
	"slices"
	"time"
)

// Executors forget an end once a hold has acknowledged it. Until the end of a kept job is
// persisted by its coordinator, only the executors are certain to know that a task has
// ended, as owner and coordinator may both die. Holds therefore do not acknowledge it
// before, and the next owner finds it in the first hold response.

const (
	// retainedHoldPause is the pause after a hold response while an executor retains ends: it
	// answers the next hold at once as it has ends to list. pausePerEnd is added for each of
	// them.
	retainedHoldPause = 25 * time.Millisecond
	pausePerEnd       = 250 * time.Microsecond
	// persistTime is within what time ends are usually persisted, the notice included, once a
	// coordinator knows them.
	persistTime = time.Second
	// handoverTime is within what time after a takeover coordinators usually hand jobs over.
	handoverTime = 4 * time.Second
)

// unpersistedEnd is an end of a kept job's task that an executor has to retain.
type unpersistedEnd struct {
	number       int64
	job          string
	persisted    bool          // the end of its job, or a checkpoint that covers this end, is in the store
	listedAt     time.Duration // when it was first listed
	reportedEnds int           // number of the job's ends in the last checkpoint that covers this one; 0 for none
	reportedAt   time.Duration
	verifyAt     time.Duration // when to read the rows of its job; 0 while the job is here
	abandoned    bool          // it may be forgotten though it is not persisted
	overdueAt    time.Duration // it is usually persisted by then; 0 while nothing has asked for that
}

// retainEnd makes an executor retain an end of a kept job's task.
func (c *Cell) retainEnd(e *executor, end EndedTask, now time.Duration) {
	id, key, ok := parseTaskName(end.Task)
	if !ok || !isKeptRun(end.Run) || end.Kind != EndDone && end.Kind != EndFailed {
		return
	}
	c.recordEnd(id, key, end)
	u := &unpersistedEnd{number: end.Number, job: id, listedAt: now}
	if c.jobs[id] == nil {
		u.verifyAt = now + verifyAfter
		u.overdueAt = now + handoverTime
	}
	e.unpersisted = append(e.unpersisted, u)
	c.unpersisted[id] = append(c.unpersisted[id], u)
}

// expectPersisted records that a job has ended here, so that its coordinator will have its end persisted.
func (c *Cell) expectPersisted(w *jobState) {
	if !w.job.Kept {
		return
	}
	for _, u := range c.unpersisted[w.job.ID] {
		u.verifyAt = c.lastEventAt + verifyAfter
		u.overdueAt = c.lastEventAt + persistTime
	}
	if len(c.unpersisted[w.job.ID]) == 0 {
		delete(c.histories, w.job.ID)
	}
}

// EndsPersisted records that the ends of kept jobs are in the store: executors may forget the ends
// of their tasks.
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

// releaseEndsOfJob lets executors forget the ends of a job.
func (c *Cell) releaseEndsOfJob(id string) {
	for _, u := range c.unpersisted[id] {
		u.persisted = true
	}
	delete(c.unpersisted, id)
	delete(c.histories, id)
}

// releaseForgettable releases the ends that an executor may forget, and returns the number of the
// newest one up to which it may forget all.
func (c *Cell) releaseForgettable(e *executor, now time.Duration) int64 {
	for len(e.unpersisted) > 0 && e.unpersisted[0].mayBeForgotten() {
		u := e.unpersisted[0]
		if !u.persisted {
			c.addNotice(Notice{Event: "unpersisted_end_forgotten", Executor: e.info.ID, Job: u.job, Age: now - u.listedAt})
		}
		c.releaseEnd(u)
		e.unpersisted = e.unpersisted[1:]
	}
	if len(e.unpersisted) > 0 {
		return e.unpersisted[0].number - 1
	}
	return e.lastEndNumber
}

func (u *unpersistedEnd) mayBeForgotten() bool { return u.persisted || u.abandoned }

// isOverdue reports whether the end should have been persisted by now.
func (u *unpersistedEnd) isOverdue(now time.Duration) bool {
	return u.overdueAt > 0 && now >= u.overdueAt && !u.persisted
}

// releaseEnd removes an end from those of its job.
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

// releaseEndsOfExecutor removes the ends of an executor that is forgotten. Those of jobs that are not here
// are remembered for as long as an executor would retain them: the job may be handed over after a takeover.
func (c *Cell) releaseEndsOfExecutor(e *executor) {
	for _, u := range e.unpersisted {
		if c.jobs[u.job] == nil && !u.mayBeForgotten() {
			c.unlistedEnds = append(c.unlistedEnds, u)
			continue
		}
		c.releaseEnd(u)
	}
	e.unpersisted = nil
}

// releaseUnlistedEnds removes the remembered ends of forgotten executors that need not be kept any more.
func (c *Cell) releaseUnlistedEnds() {
	c.unlistedEnds = slices.DeleteFunc(c.unlistedEnds, func(u *unpersistedEnd) bool {
		if u.mayBeForgotten() {
			c.releaseEnd(u)
			return true
		}
		return false
	})
}
