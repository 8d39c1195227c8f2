package keeping

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
)

// doubtLife is how long a host remembers that a job may be kept, from the last unclear
// answer on: longer than callers send it again after one.
const doubtLife = 30 * time.Second

// reasonSentBefore marks an answer about a job that may be kept by an earlier sending.
const reasonSentBefore = "sent_before"

// doubts are the jobs of which this host has said that they may be kept. Where a later
// sending alone can't be kept, the job isn't refused: its caller would take it for one that
// never runs, and an earlier sending may have its row written.
type doubts struct {
	mu     sync.Mutex
	until  map[string]time.Duration // by job id
	raised []doubt                  // the oldest first; some were renewed or settled since
}

// doubt is a job that may be kept, and until when that is remembered.
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

// add raises a doubt, or renews it: the row of the last sending may be written as late as
// that of the first.
func (d *doubts) add(id string, now time.Duration) {
	until := now + doubtLife
	d.until[id] = until
	d.raised = append(d.raised, doubt{id: id, until: until})
}

// expire forgets doubts that are old, but for those that were renewed.
func (d *doubts) expire(now time.Duration) {
	for len(d.raised) > 0 && now >= d.raised[0].until {
		oldest := d.raised[0]
		d.raised = d.raised[1:]
		if d.until[oldest.id] == oldest.until {
			delete(d.until, oldest.id)
		}
	}
}
