package keeping

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
)

// unresolvedRetention is how long a host remembers, since the last unclear answer, that a
// job may have been kept. It exceeds the time within which callers resubmit a job after
// such an answer.
const unresolvedRetention = 30 * time.Second

// reasonSentBefore marks an answer about a job that an earlier submission may have kept.
const reasonSentBefore = "sent_before"

// unresolvedJobs are the jobs of which this host has answered that they may have been
// kept. If a resubmission of such a job fails, the job is not refused: the caller would
// conclude that it never runs, but the row of an earlier submission may have been written.
type unresolvedJobs struct {
	mu       sync.Mutex
	until    map[string]time.Duration // by job id
	byExpiry []unresolvedJob          // oldest first; some entries have been renewed or resolved since
}

// unresolvedJob is a job that may have been kept.
type unresolvedJob struct {
	id    string
	until time.Duration
}

func newUnresolvedJobs() *unresolvedJobs { return &unresolvedJobs{until: map[string]time.Duration{}} }

// reconcile returns the answer that holds for all submissions of a job.
func (u *unresolvedJobs) reconcile(id string, answer kept.Answer, now time.Duration) kept.Answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	switch answer.Verdict {
	case kept.Accepted:
		delete(u.until, id)
	case kept.Unknown:
		u.add(id, now)
	case kept.Refused:
		if _, unresolved := u.until[id]; unresolved {
			answer.Verdict, answer.Reason = kept.Unknown, reasonSentBefore
		}
	}
	return answer
}

// contains reports whether an earlier submission may have kept a job.
func (u *unresolvedJobs) contains(id string, now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	_, unresolved := u.until[id]
	return unresolved
}

// add records an unresolved job, or renews it: the row of the last submission may be
// written as late as that of the first.
func (u *unresolvedJobs) add(id string, now time.Duration) {
	until := now + unresolvedRetention
	u.until[id] = until
	u.byExpiry = append(u.byExpiry, unresolvedJob{id: id, until: until})
}

// expire removes entries that are old and were not renewed.
func (u *unresolvedJobs) expire(now time.Duration) {
	for len(u.byExpiry) > 0 && now >= u.byExpiry[0].until {
		oldest := u.byExpiry[0]
		u.byExpiry = u.byExpiry[1:]
		if u.until[oldest.id] == oldest.until {
			delete(u.until, oldest.id)
		}
	}
}
