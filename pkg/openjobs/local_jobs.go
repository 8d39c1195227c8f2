package openjobs

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// LocalJobs are the jobs that a front holds open itself and may have to tell of. It is
// not safe for concurrent use.
type LocalJobs struct {
	resubmitAfter time.Duration
	settle        time.Duration // how long after its deadline runs of a job may go on
	open          map[string]*ownJob
	untold        byReceipt
	lastBatch     time.Duration // when the last one was told
}

type ownJob struct {
	id       string
	received time.Duration
	deadline time.Duration
	isClosed bool
	isTold   bool
}

// byReceipt is a heap of jobs, the oldest first: a look at thousands of young ones costs nothing.
type byReceipt []*ownJob

// Len implements heap.Interface.
func (q byReceipt) Len() int { return len(q) }

// Less implements heap.Interface.
func (q byReceipt) Less(i, j int) bool { return q[i].received < q[j].received }

// Swap implements heap.Interface.
func (q byReceipt) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *byReceipt) Push(x any) { *q = append(*q, x.(*ownJob)) }

// Pop implements heap.Interface.
func (q *byReceipt) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}

// NewLocalJobs makes it for a time after which callers send again, and one that runs of
// a job may outlive its front's wait.
func NewLocalJobs(resubmitAfter, settle time.Duration) *LocalJobs {
	return &LocalJobs{resubmitAfter: resubmitAfter, settle: settle, open: map[string]*ownJob{}}
}

// Add takes that this front holds a job open from now on. One that ends before
// it could come again is never told.
func (o *LocalJobs) Add(id string, received, deadline time.Duration) {
	if deadline <= received+o.resubmitAfter {
		return
	}
	o.Remove(id)
	j := &ownJob{id: id, received: received, deadline: deadline}
	o.open[id] = j
	heap.Push(&o.untold, j)
}

// Remove takes that a job has ended here, and reports whether it had been told.
func (o *LocalJobs) Remove(id string) bool {
	j := o.open[id]
	if j == nil {
		return false
	}
	j.isClosed = true
	delete(o.open, id)
	return j.isTold
}

// NextBatch returns the jobs to tell of now, sorted by id. It is empty when there is
// no news, or when the last batch was a moment ago.
func (o *LocalJobs) NextBatch(now time.Duration) []Announcement {
	if o.lastBatch > 0 && now < o.lastBatch+tellPause {
		return nil
	}
	age := AnnounceAfter(o.resubmitAfter)
	var batch []Announcement
	for len(o.untold) > 0 && now >= o.untold[0].received+age {
		j := heap.Pop(&o.untold).(*ownJob)
		if !j.isClosed {
			j.isTold = true
			batch = append(batch, o.toldOf(j, now))
		}
	}
	if len(batch) > 0 {
		o.lastBatch = now
	}
	return sorted(batch)
}

// Announced returns all that has been told, for a host that may not have heard it.
func (o *LocalJobs) Announced(now time.Duration) []Announcement {
	var all []Announcement
	for _, j := range o.open {
		if j.isTold {
			all = append(all, o.toldOf(j, now))
		}
	}
	return sorted(all)
}

func (o *LocalJobs) toldOf(j *ownJob, now time.Duration) Announcement {
	return Announcement{ID: j.id, Remaining: max(0, j.deadline-now) + o.settle}
}

func sorted(told []Announcement) []Announcement {
	slices.SortFunc(told, func(a, b Announcement) int { return strings.Compare(a.ID, b.ID) })
	return told
}
