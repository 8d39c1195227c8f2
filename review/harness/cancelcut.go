//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	cutFor      = 11 * time.Second        // twice the 5.5 s of andina's zone_cut with how = "refuse"
	cancelAfter = 4500 * time.Millisecond // from the beginning of the cut
	cancelBound = 3 * time.Second         // cancel_ms
	largeJobs   = 20
	largeTasks  = 40
	largeCPU    = 32000
	largeMS     = 1000
)

// cancelInCut: large kept jobs come at once, a zone is partitioned from the others, and clients cancel the
// jobs that are still queued at a node of another zone.
func cancelInCut(w *world, trouble bool) []string {
	ids := w.keepAtOnce(largeJobs, job(false, largeTasks, largeCPU, largeMS))
	time.Sleep(time.Second)
	heal := func() {}
	cutZone := w.nodes[0].zone
	if trouble {
		w.note("zone %s is partitioned from the others", cutZone)
		heal = w.cutZone(cutZone)
	}
	begun := time.Now()
	time.Sleep(cancelAfter)
	var outside []*node
	for _, n := range w.nodes {
		if n.zone != cutZone {
			outside = append(outside, n)
		}
	}
	acked := map[string]time.Time{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			if len(w.ledger.RunsOf(id)) > 0 {
				return
			}
			for range 6 {
				n := outside[rand.IntN(len(outside))]
				a := w.call(n, http.MethodDelete, id, nil, 2*time.Second)
				w.note("client: DELETE %s at %s: %d %s", id, n.name, a.status, a.body)
				if a.status/100 == 2 || a.status == http.StatusGone {
					mu.Lock()
					defer mu.Unlock()
					acked[id] = time.Now()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Until(begun.Add(cutFor)))
	if trouble {
		w.note("the partition heals")
		heal()
	}
	time.Sleep(4 * time.Second)
	var problems []string
	for _, id := range ids {
		w.ask(id)
		w.noteRuns(id)
		at, ok := acked[id]
		if !ok {
			continue
		}
		runs := w.ledger.RunsOf(id)
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
		var late []standin.Run
		for _, run := range runs {
			if run.Began.After(at.Add(cancelBound)) {
				late = append(late, run)
			}
		}
		if len(late) > 0 {
			problems = append(problems, fmt.Sprintf("UNASKED: the cancel of job %s was acknowledged at %s; %d starts come later than cancel_ms after it, the first one %s run %d at %s on %s, the last one at %s",
				id, w.at(at), len(late), late[0].Task, late[0].Number, w.at(late[0].Began), late[0].Executor, w.at(late[len(late)-1].Began)))
		}
	}
	return problems
}
