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
	// unnotedUnclaimed bounds it for jobs that aren't here: after a takeover their
	// keepers hand them over within a second or two, later ones have to read the
	// platform's tables first.
	unnotedUnclaimed = 10 * time.Second
	// unnotedGivenBack bounds it for jobs that were given back and may go on elsewhere.
	// Executors without runs for as long as a lease have no word to keep any more.
	unnotedGivenBack = time.Minute
	// mostListed is how many ends an executor is left to list at most, from the oldest
	// that it has to keep on: it lists 500 at once, the newest last.
	mostListed = 450
	// manyListed is how many keep an executor from getting tasks of further kept jobs:
	// those that have ends there already need room for what is left of them.
	manyListed = 300
	// unnotedPause is the time between the answer to a hold and the next one while an
	// executor keeps ends: it answers at once then, as there are ends to list, and
	// listPause is added for each of these.
	unnotedPause = 25 * time.Millisecond
	listPause    = 250 * time.Microsecond
)

// unnoted is an end of a kept job's task that an executor may not forget yet.
type unnoted struct {
	number int64
	job    string
	noted  bool          // the end of its job lasts, or this one stands in the job's row
	at     time.Duration // it was listed first
	told   int           // ends of the job that its keeper has been told of, this one among them; 0 for none
	toldAt time.Duration
	until  time.Duration // it may be forgotten then; 0 as long as its job is here
}

// holdBack has an executor keep an end of a task of a kept job.
func (c *Cell) holdBack(e *executor, end EndedTask, now time.Duration) {
	id, key, ok := parseTask(end.Task)
	if !ok || !isKeptRun(end.Run) || end.Kind != EndDone && end.Kind != EndFailed {
		return
	}
	c.remember(id, key, end)
	u := &unnoted{number: end.Number, job: id, at: now}
	if c.works[id] == nil {
		u.until = now + unnotedUnclaimed
	}
	e.unnoted = append(e.unnoted, u)
	c.unnoted[id] = append(c.unnoted[id], u)
}

// keepEnds takes how a job ends here, and bounds how long executors keep its ends.
func (c *Cell) keepEnds(w *work, kind job.Kind) {
	if !w.job.Kept {
		return
	}
	until := c.latest + UnpersistedEndRetention
	if kind == job.Moved {
		until = c.latest + unnotedGivenBack
	}
	for _, u := range c.unnoted[w.job.ID] {
		u.until = until
	}
	if len(c.unnoted[w.job.ID]) == 0 {
		delete(c.former, w.job.ID)
	}
}

// EndsPersisted takes that the ends of kept jobs last at the platform: executors may forget
// those of their tasks.
func (c *Cell) EndsPersisted(ids []string, now time.Duration) {
	for _, id := range ids {
		c.letGoAll(id)
	}
	for _, e := range c.sorted {
		c.lastSeen(e, now)
	}
	c.dirty = true // executors may take further kept jobs
	c.advance(now)
}

// letGoAll has executors forget the ends of a job.
func (c *Cell) letGoAll(id string) {
	for _, u := range c.unnoted[id] {
		u.noted = true
	}
	delete(c.unnoted, id)
	delete(c.former, id)
}

// lastSeen returns up to which end an executor may forget.
func (c *Cell) lastSeen(e *executor, now time.Duration) int64 {
	for len(e.unnoted) > 0 && (e.unnoted[0].isOver(now) || e.listedEnds() > mostListed) {
		c.letGo(e.unnoted[0])
		e.unnoted = e.unnoted[1:]
	}
	if len(e.unnoted) > 0 {
		return e.unnoted[0].number - 1
	}
	return e.listedTo
}

// listedEnds returns how many ends an executor is left to list.
func (e *executor) listedEnds() int64 {
	if len(e.unnoted) == 0 {
		return 0
	}
	return e.listedTo - e.unnoted[0].number + 1
}

// takesEndsOf reports whether an executor may get tasks of a job: one that has many ends
// to list gets none of further kept ones.
func (c *Cell) takesEndsOf(e *executor, w *work) bool {
	return !w.job.Kept || len(c.unnoted[w.job.ID]) > 0 || e.listedEnds() < manyListed
}

func (u *unnoted) isOver(now time.Duration) bool {
	return u.noted || u.until > 0 && now >= u.until
}

// letGo drops an end from those of its job.
func (c *Cell) letGo(u *unnoted) {
	rest := slices.DeleteFunc(c.unnoted[u.job], func(other *unnoted) bool { return other == u })
	if len(rest) > 0 {
		c.unnoted[u.job] = rest
		return
	}
	delete(c.unnoted, u.job)
	if c.works[u.job] == nil {
		delete(c.former, u.job)
	}
}

// letGoOf drops the ends of an executor that is gone.
func (c *Cell) letGoOf(e *executor) {
	for _, u := range e.unnoted {
		c.letGo(u)
	}
	e.unnoted = nil
}
