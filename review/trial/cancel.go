//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	cancelJobs      = 12
	cancelSteps     = 20
	cancelWorkMS    = 400
	cancelDeadline  = 15 * time.Second
	cancelSentAfter = 1500 * time.Millisecond
)

// cancelElsewhere cancels jobs that need not be kept while they run. The client sends the cancel on a new connection,
// which the platform passes to another machine of the zone than that of its job. Without the trouble nothing is cancelled.
func cancelElsewhere(w *world, trouble bool) bool {
	w.start([]int{2, 2, 2}, []int{3, 3, 3})
	var steps []step
	for i := range cancelSteps {
		s := step{Count: 1, CPU: 500, MemMB: 64, EstimateMS: cancelWorkMS}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	body := jobBody(cancelWorkMS, 500, "", true, steps)
	var group sync.WaitGroup
	var mu sync.Mutex
	broken := false
	for i := range cancelJobs {
		at := w.machines[i%len(w.machines)]
		other := w.machines[i%len(w.machines)^1] // the other machine of the zone
		id := newID()
		group.Go(func() {
			status, text := w.ask(at, http.MethodPost, id, body, cancelDeadline)
			w.note("job %s, sent to %s, is answered: %d %s", id, at.name, status, text)
		})
		group.Go(func() {
			if !trouble {
				return
			}
			time.Sleep(cancelSentAfter)
			before := len(w.ledger.RunsOf(id))
			status, text := w.ask(other, http.MethodDelete, id, nil, 1500*time.Millisecond)
			answered := time.Now()
			w.note("cancel of %s, sent to %s after %d starts, is answered: %d %s", id, other.name, before, status, text)
			if status/100 != 2 && status != http.StatusGone {
				return
			}
			time.Sleep(cancelDeadline - cancelSentAfter)
			late := 0
			for _, run := range w.ledger.RunsOf(id) {
				if run.Began.After(answered.Add(cancelTime + noteSlack)) {
					late++
				}
			}
			if late > 0 {
				w.note("UNASKED: %d tasks of job %s have started over cancel_ms = 3 s after its cancel was answered", late, id)
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return broken
}
