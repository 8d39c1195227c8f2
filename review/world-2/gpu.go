//go:build review2

package main

import (
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

func init() { cases["gpu"] = playGPU }

// greyTime is how long workers fail all that they start.
const greyTime = 6500 * time.Millisecond

// playGPU has the two workers of a zone that have GPUs fail all that they start for a while.
func playGPU(w *world, trouble bool) bool {
	var jobs []*keptJob
	zone1 := w.machinesIn("zone-1")
	handIn := func(count int) {
		for range count {
			j := w.simpleJob(1, 1000, 200*time.Millisecond)
			j.body.Steps[0].GPU = 1
			if w.post(j, zone1) {
				jobs = append(jobs, j)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	handIn(4)
	if trouble {
		w.setGrey(standin.ExecutorFails)
	}
	handIn(int(greyTime / (500 * time.Millisecond)))
	w.setGrey(standin.ExecutorServes)
	handIn(8)
	return w.judgeAtEnd(jobs)
}

func (w *world) setGrey(fault standin.ExecutorFault) {
	for _, e := range w.workersOf("zone-1") {
		if e.gpus > 0 {
			e.SetFault(fault)
			w.note("worker %s, which has GPUs: fails all that it starts: %t", e.ID(), fault == standin.ExecutorFails)
		}
	}
}
