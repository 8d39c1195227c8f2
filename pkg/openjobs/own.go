package openjobs

import (
	"slices"
	"strings"
	"time"
)

// Own are the jobs that a front holds open itself and may have to tell of. It is
// not safe for concurrent use.
type Own struct {
	resubmitAfter time.Duration
	settle        time.Duration // how long after its deadline runs of a job may go on
	open          map[string]*ownJob
	untold        int           // of them
	lastBatch     time.Duration // when the last one was told
}

type ownJob struct {
	received time.Duration
	deadline time.Duration
	told     bool
}

// NewOwn makes it for a time after which callers send again, and one that runs of
// a job may outlive its front's wait.
func NewOwn(resubmitAfter, settle time.Duration) *Own {
	return &Own{resubmitAfter: resubmitAfter, settle: settle, open: map[string]*ownJob{}}
}

// Opened takes that this front has started to follow a job. One that ends before
// it could come again is never told.
func (o *Own) Opened(id string, received, deadline time.Duration) {
	if deadline <= received+o.resubmitAfter {
		return
	}
	o.Closed(id)
	o.open[id] = &ownJob{received: received, deadline: deadline}
	o.untold++
}

// Closed takes that a job has ended here, and reports whether it had been told.
func (o *Own) Closed(id string) bool {
	j := o.open[id]
	if j == nil {
		return false
	}
	delete(o.open, id)
	if !j.told {
		o.untold--
	}
	return j.told
}

// Batch returns the jobs to tell of now, sorted by id. It is empty when there is
// no news, or when the last batch was a moment ago.
func (o *Own) Batch(now time.Duration) []Told {
	if o.untold == 0 || (o.lastBatch > 0 && now < o.lastBatch+tellPause) {
		return nil
	}
	age := TellAfter(o.resubmitAfter)
	var batch []Told
	for id, j := range o.open {
		if !j.told && now >= j.received+age {
			j.told = true
			o.untold--
			batch = append(batch, o.toldOf(id, j, now))
		}
	}
	if len(batch) > 0 {
		o.lastBatch = now
	}
	return sorted(batch)
}

// All returns all that has been told, for a host that may not have heard it.
func (o *Own) All(now time.Duration) []Told {
	var all []Told
	for id, j := range o.open {
		if j.told {
			all = append(all, o.toldOf(id, j, now))
		}
	}
	return sorted(all)
}

func (o *Own) toldOf(id string, j *ownJob, now time.Duration) Told {
	return Told{ID: id, Left: max(0, j.deadline-now) + o.settle}
}

func sorted(told []Told) []Told {
	slices.SortFunc(told, func(a, b Told) int { return strings.Compare(a.ID, b.ID) })
	return told
}
