package keeping

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
)

// doubtLife is how long a host remembers that a job may be kept: longer than callers send
// it again after such an answer.
const doubtLife = 30 * time.Second

// reasonSentBefore marks an answer about a job that may be kept by an earlier sending.
const reasonSentBefore = "sent_before"

// doubts are the jobs of which this host has said that they may be kept. Where a later
// sending alone can't be kept, the job isn't refused: its caller would take it for one that
// never runs, and an earlier sending may have its row written.
type doubts struct {
	mu    sync.Mutex
	until map[string]time.Duration
	ids   []string // of until, the oldest first
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
	if _, doubted := d.until[id]; doubted {
		return
	}
	d.until[id] = now + doubtLife
	d.ids = append(d.ids, id)
}

// expire forgets what is old. One that was kept meanwhile isn't there any more.
func (d *doubts) expire(now time.Duration) {
	for len(d.ids) > 0 {
		until, doubted := d.until[d.ids[0]]
		if doubted && now < until {
			return
		}
		delete(d.until, d.ids[0])
		d.ids = d.ids[1:]
	}
}
