//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// keptJob is a job that is to be kept.
type keptJob struct {
	id         string
	tasks      int
	accepted   time.Time
	cancelSent time.Time
	cancelled  time.Time // the cancel's 2xx or 410
	told       string    // the state that was told last
	width      int       // tasks of a step
	spread     bool      // anti_affinity 1
	idleMax    time.Duration
}

// traffic hands in jobs that are to be kept.
type traffic struct {
	w       *world
	mu      sync.Mutex
	jobs    []*keptJob
	none    int // sendings that were not accepted
	wrongs  int
	loose   map[string]time.Time // jobs that need not be kept, and when they were sent
	refused []string             // jobs of which all sendings were rejected
}

// send hands a job in until it is accepted, or six sendings weren't.
func (t *traffic) send(id string, tasks int, body []byte) *keptJob {
	return t.sendTimes(6, id, tasks, body)
}

// sendTimes hands a job in until it is accepted, or so many sendings weren't.
func (t *traffic) sendTimes(times int, id string, tasks int, body []byte) *keptJob {
	rejected := 0
	for range times {
		status, text := t.w.ask(t.w.anyMachine(), http.MethodPost, id, body, 1500*time.Millisecond)
		t.mu.Lock()
		if status == http.StatusOK {
			j := &keptJob{id: id, tasks: tasks, accepted: time.Now()}
			t.jobs = append(t.jobs, j)
			t.mu.Unlock()
			return j
		}
		t.none++
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound {
			rejected++
		}
		few := t.none <= 10
		t.mu.Unlock()
		if few {
			t.w.note("job %s isn't accepted: %d %s", id, status, text)
		}
		time.Sleep(retransmitMS * time.Millisecond)
	}
	if rejected == times {
		t.mu.Lock()
		t.refused = append(t.refused, id)
		t.mu.Unlock()
	}
	return nil
}

// run hands in jobs of one kind for a time, so many a second.
func (t *traffic) run(perSecond int, length time.Duration, tasks int, body []byte) {
	var group sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		group.Go(func() { t.send(newID(), tasks, body) })
	}
	group.Wait()
}
