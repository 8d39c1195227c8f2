//go:build review2

package main

import (
	"time"
)

func init() { cases["nocpu"] = playNoCPU }

// playNoCPU hands in jobs that have to be kept and whose tasks ask for memory only.
func playNoCPU(w *world, trouble bool) bool {
	var jobs []*keptJob
	for i := range 8 {
		cpu := 500
		if trouble && i%2 == 0 {
			cpu = 0
		}
		j := w.simpleJob(2, cpu, 300*time.Millisecond)
		if w.post(j, w.machines) {
			jobs = append(jobs, j)
		}
	}
	return w.judgeAtEnd(jobs)
}
