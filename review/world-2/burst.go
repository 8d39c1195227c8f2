//go:build review2

package main

import (
	"sync"
	"time"
)

func init() { cases["burst"] = playBurst }

// The jobs have the largest figures of the site's kind batch-formula. In a burst, up to 94 jobs of all
// kinds come to a zone in a second (1.8 times 52.5); here it is these.
const (
	burstJobs    = 16
	burstTasks   = 16
	burstCPU     = 6800
	burstWork    = 3600 * time.Millisecond
	quietSpacing = 2 * time.Second
)

// playBurst has large jobs come at once to the machines of one zone; without trouble one after
// the other.
func playBurst(w *world, trouble bool) bool {
	var group sync.WaitGroup
	var mu sync.Mutex
	var jobs []*keptJob
	if trouble {
		w.note("large jobs come at once")
	}
	zone1 := w.machinesIn("zone-1")
	for range burstJobs {
		group.Go(func() {
			j := w.simpleJob(burstTasks, burstCPU, burstWork)
			if w.post(j, zone1) {
				mu.Lock()
				defer mu.Unlock()
				jobs = append(jobs, j)
			}
		})
		if !trouble {
			time.Sleep(quietSpacing)
		}
	}
	group.Wait()
	return w.judgeAtEnd(jobs)
}
