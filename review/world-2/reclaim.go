//go:build review2

package main

import "time"

func init() { cases["reclaim"] = playReclaim }

// The job has more tasks than the workers of a zone run at once. The first of them end while the workers
// serve on without their entries.
const (
	reclaimedTasks = 40
	reclaimedWork  = 9400 * time.Millisecond
	serveOn        = 9 * time.Second
)

// playReclaim has all workers of a zone taken away: their entries go, and they serve on for a while.
func playReclaim(w *world, trouble bool) bool {
	j := w.simpleJob(reclaimedTasks, 6800, reclaimedWork)
	if !w.post(j, w.machinesIn("zone-3")) {
		w.fail("the job isn't accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		w.note("the workers of zone-3 are to be taken away: their entries go, and they serve on for %s", serveOn)
		for _, e := range w.workersOf("zone-3") {
			w.unlist(e)
		}
		time.AfterFunc(serveOn, func() {
			for _, e := range w.workersOf("zone-3") {
				w.crash(e, false)
			}
		})
	}
	others := w.flowTo(append(w.machinesIn("zone-1"), w.machinesIn("zone-2")...), 2*time.Second, 250*time.Millisecond,
		func() *keptJob { return w.simpleJob(2, 1000, 300*time.Millisecond) })()
	return w.judgeAtEnd(append(others, j))
}
