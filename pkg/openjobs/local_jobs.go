package openjobs

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// LocalJobs holds the jobs that this front holds open itself and may have to announce. It
// is not safe for concurrent use.
type LocalJobs struct {
	resubmitAfter   time.Duration
	unrenewedRunTTL time.Duration // how long a run may outlive the last renewal of its lease, which may be as late as the job's deadline
	open            map[string]*localJob
	unannounced     byDueTime
	lastBatch       time.Duration // time of the last batch
	isUrgent        bool          // a job was received so late that it is announced at once
}

type localJob struct {
	id          string
	dueAt       time.Duration
	deadline    time.Duration
	isClosed    bool
	isAnnounced bool
}

// byDueTime is a heap of jobs by when they are to be announced, so that a scan does not visit jobs that
// are too young for that.
type byDueTime []*localJob

// Len implements heap.Interface.
func (q byDueTime) Len() int { return len(q) }

// Less implements heap.Interface.
func (q byDueTime) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }

// Swap implements heap.Interface.
func (q byDueTime) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *byDueTime) Push(x any) { *q = append(*q, x.(*localJob)) }

// Pop implements heap.Interface.
func (q *byDueTime) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return j
}

// NewLocalJobs returns an empty LocalJobs. resubmitAfter is the time after which callers
// resubmit a job, and unrenewedRunTTL the time after its last renewal at which a run can't
// be alive any more.
func NewLocalJobs(resubmitAfter, unrenewedRunTTL time.Duration) *LocalJobs {
	return &LocalJobs{resubmitAfter: resubmitAfter, unrenewedRunTTL: unrenewedRunTTL, open: map[string]*localJob{}}
}

// IsAnnounced reports whether a job is announced if it does not end before. One whose deadline comes
// before it can be resubmitted isn't.
func IsAnnounced(received, deadline, resubmitAfter time.Duration) bool {
	return deadline > received+resubmitAfter
}

// Add records that this front holds a job open from now on. sentAfter is the earliest time at which
// its caller may have sent it. A job that was received so late that it is due already is urgent, as the
// process may soon stand still again.
func (l *LocalJobs) Add(id string, sentAfter, received, deadline time.Duration) {
	if !IsAnnounced(received, deadline, l.resubmitAfter) {
		return
	}
	l.Remove(id)
	j := &localJob{id: id, dueAt: sentAfter + AnnounceAfter(l.resubmitAfter), deadline: deadline}
	l.open[id] = j
	l.isUrgent = l.isUrgent || sentAfter < received && j.dueAt <= received
	heap.Push(&l.unannounced, j)
}

// AnnounceNow has a job announced with the next batch, as another front that holds it open too has to know.
func (l *LocalJobs) AnnounceNow(id string) {
	j := l.open[id]
	if j == nil || j.isAnnounced {
		return
	}
	j.isClosed = true // in unannounced
	due := &localJob{id: id, deadline: j.deadline}
	l.open[id], l.isUrgent = due, true
	heap.Push(&l.unannounced, due)
}

// Remove records that a job has ended here, and reports whether it had been announced, so
// that other fronts may ask for its outcome.
func (l *LocalJobs) Remove(id string) bool {
	j := l.open[id]
	if j == nil {
		return false
	}
	j.isClosed = true
	delete(l.open, id)
	return j.isAnnounced
}

// NextBatch returns the jobs to announce now, sorted by id. It is empty when there are
// none, or when the last batch was less than minBatchInterval ago and no job is urgent.
func (l *LocalJobs) NextBatch(now time.Duration) []Announcement {
	if l.lastBatch > 0 && now < l.lastBatch+minBatchInterval && !l.isUrgent {
		return nil
	}
	l.isUrgent = false
	var batch []Announcement
	for len(l.unannounced) > 0 && now >= l.unannounced[0].dueAt {
		j := heap.Pop(&l.unannounced).(*localJob)
		if !j.isClosed {
			j.isAnnounced = true
			batch = append(batch, l.announcementOf(j, now))
		}
	}
	if len(batch) > 0 {
		l.lastBatch = now
	}
	return sorted(batch)
}

// Announced returns all jobs that have been announced, for a host that may have missed
// that.
func (l *LocalJobs) Announced(now time.Duration) []Announcement {
	var all []Announcement
	for _, j := range l.open {
		if j.isAnnounced {
			all = append(all, l.announcementOf(j, now))
		}
	}
	return sorted(all)
}

func (l *LocalJobs) announcementOf(j *localJob, now time.Duration) Announcement {
	return Announcement{ID: j.id, Remaining: max(0, j.deadline-now) + l.unrenewedRunTTL}
}

func sorted(announcements []Announcement) []Announcement {
	slices.SortFunc(announcements, func(a, b Announcement) int { return strings.Compare(a.ID, b.ID) })
	return announcements
}
