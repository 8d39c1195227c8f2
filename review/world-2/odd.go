//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd"] = playOdd }

// The release replaces three workers a second, of one zone after the other.
const (
	releasedAtOnce = 3
	releaseGap     = time.Second
	drainTime      = 2500 * time.Millisecond
)

// playOdd has another writer leave one entry among those of the executors, a text of which isn't UTF-8.
// Later all workers are replaced, as planned.
func playOdd(w *world, trouble bool) bool {
	kept := w.flow(34*time.Second, 200*time.Millisecond, func() *keptJob { return w.simpleJob(2, 1000, 300*time.Millisecond) })
	calls := w.callsFor(34*time.Second, 200*time.Millisecond)
	time.Sleep(2 * time.Second)
	if trouble {
		odd := `{"service":"other","address":"` + fmt.Sprintf("127.%d.120.1:%d", w.network, workerPort) +
			`","zone":"zone-1","version":"1","slots":8,"state":"ready","capacity":{"cpu":1000,"mem_mb":1024},"labels":["caf` + "\xe9" + `"],"seq_no":1}`
		w.store.PutBytes("servers", "i-of-another-writer", []byte(odd))
		w.note("another writer puts the row i-of-another-writer: %q", odd)
	}
	time.Sleep(3 * time.Second)
	for zone := 1; zone <= len(machinesOf); zone++ {
		w.release(zone)
	}
	w.note("all workers are replaced")
	w.note("answers to jobs that need not be kept, by status: %v", calls())
	return w.judgeAtEnd(kept())
}

// release replaces the workers of a zone: for each of them a new one starts, and then it drains and leaves.
func (w *world) release(zone int) {
	var group sync.WaitGroup
	for i, old := range w.workersOf(zoneName(zone)) {
		w.addWorkerAt(110+zone, zone, i+1)
		w.note("worker %s drains, another one has started", old.ID())
		w.drain(old)
		group.Go(func() {
			time.Sleep(drainTime)
			w.unlist(old)
			w.crash(old, false)
		})
		if i%releasedAtOnce == releasedAtOnce-1 {
			time.Sleep(releaseGap)
		}
	}
	group.Wait()
}

// callsFor has clients submit jobs that need not be kept, one each interval, and counts the answers.
func (w *world) callsFor(lasts, interval time.Duration) (wait func() map[string]int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	group.Go(func() {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(interval) {
			group.Go(func() {
				machines := w.alive()
				m := machines[w.draw(len(machines))]
				id := fmt.Sprintf("%016x", w.drawID())
				body := []byte(`{"best_effort":true,"spec":"100 500","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":100}]}`)
				a := w.call(m, http.MethodPost, id, body, patience)
				mu.Lock()
				defer mu.Unlock()
				answers[fmt.Sprint(a.status)]++
				w.note("POST %s (best effort, 2 tasks) at %s: %d %s after %d ms", id, m.name, a.status, a.body, a.took.Milliseconds())
			})
		}
	})
	return func() map[string]int {
		group.Wait()
		mu.Lock()
		defer mu.Unlock()
		return answers
	}
}
