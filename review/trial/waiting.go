//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"context"
)

// waiting compares what machines give as waiting with the accepted jobs that haven't begun.
func waiting(w *world, trouble bool) bool {
	w.start([]int{3, 2, 2}, []int{4, 4, 4})
	t := &traffic{w: w}
	body := jobBody(900, 1000, "", false, chain(1, 16, 1000, 900))
	for range 130 {
		go t.send(newID(), 16, body)
		time.Sleep(15 * time.Millisecond)
	}
	if trouble {
		go func() {
			time.Sleep(time.Second)
			if e := os.Getenv("EVENTS"); e != "" {
				events[e](w, newRandom())
			}
		}()
	}
	broken := false
	for range 24 {
		time.Sleep(500 * time.Millisecond)
		due := 0
		t.mu.Lock()
		jobs := append([]*keptJob(nil), t.jobs...)
		t.mu.Unlock()
		for _, j := range jobs {
			if time.Since(j.accepted) > 5*time.Second && !w.ledger.Started(j.id) {
				due++
			}
		}
		var counts []int
		for _, m := range w.machines {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			status, data := call(ctx, http.MethodGet, "http://"+m.front()+prefix, nil, nil)
			cancel()
			var told struct {
				Waiting int `json:"waiting"`
			}
			_ = json.Unmarshal(data, &told)
			if status != http.StatusOK {
				told.Waiting = -status
			}
			counts = append(counts, told.Waiting)
			if status == http.StatusOK && 2*told.Waiting < due {
				broken = true
				w.note("MIXED: %s gives %d, due %d", m.name, told.Waiting, due)
			}
		}
		w.note("accepted %d, waiting for over 5 s %d; told %v", len(jobs), due, counts)
	}
	return broken
}
