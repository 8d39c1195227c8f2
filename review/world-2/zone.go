//go:build review2

package main

import (
	"syscall"
	"time"
)

func init() { cases["zone"] = playZone }

// playZone loses a zone for good: its machines and its workers lose power at once.
func playZone(w *world, trouble bool) bool {
	jobs := w.flow(8*time.Second, 100*time.Millisecond, func() *keptJob { return w.simpleJob(4, 2000, 1500*time.Millisecond) })
	time.Sleep(6 * time.Second)
	if trouble {
		w.note("zone-3 loses power for good")
		for _, m := range w.machinesIn("zone-3") {
			m.setDown(true)
			w.signal(m, syscall.SIGKILL)
		}
		for _, e := range w.workersOf("zone-3") {
			w.crash(e, true)
		}
	}
	return w.judgeAtEnd(jobs())
}
