package keeping

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
)

// doubtLife is how long a host remembers that a job may be kept: longer than callers send
// it again after the last such answer.
const doubtLife = 30 * time.Second

// reasonSentBefore marks an answer about a job that may be kept by an earlier sending.
const reasonSentBefore = "sent_before"

// doubts are the jobs of which this host has said that they may be kept. Where a later
// sending alone can't be kept, the job isn't refused: its caller would take it for one that
// never runs, and an earlier sending may have its row written.
type doubts struct {
	mu    sync.Mutex
	until map[string]time.Duration
	ids   []doubt // one for each answer, the oldest first
}

// doubt is an answer that left open whether a job is kept.
type doubt struct {
	id    string
	until time.Duration
}

func newDoubts() *doubts { return &doubts{until: map[string]time.Duration{}} }

// judge returns the answer that is true of all sendings of a job.
func (d *doubts) judge(id string, answer kept.Answer, now time.Duration) kept.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	switch answer.Verdict {
	case kept.Accepted:
		delete(d.until, id)
	case kept.Unknown:
		d.add(id, now)
	case kept.Refused:
		if _, doubted := d.until[id]; doubted {
			answer.Verdict, answer.Reason = kept.Unknown, reasonSentBefore
		}
	}
	return answer
}

// has reports whether a job may be kept by an earlier sending.
func (d *doubts) has(id string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	_, doubted := d.until[id]
	return doubted
}

func (d *doubts) add(id string, now time.Duration) {
	d.until[id] = now + doubtLife
	d.ids = append(d.ids, doubt{id: id, until: now + doubtLife})
}

// expire forgets what is old. What has been doubted again since stays until that is old.
func (d *doubts) expire(now time.Duration) {
	for len(d.ids) > 0 && now >= d.ids[0].until {
		oldest := d.ids[0]
		d.ids = d.ids[1:]
		if d.until[oldest.id] == oldest.until {
			delete(d.until, oldest.id)
		}
	}
}
