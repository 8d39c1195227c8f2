//go:build review2

package main

import (
	"sync"
	"time"
)

func init() {
	cases["rack"] = playRack
}

// flow hands in kept jobs, one each interval, until its end, and returns those that were accepted.
func (w *world) flow(lasts, interval time.Duration, make func() *keptJob) (wait func() []*keptJob) {
	return w.flowTo(w.machines, lasts, interval, make)
}

func (w *world) flowTo(machines []*machine, lasts, interval time.Duration, make func() *keptJob) (wait func() []*keptJob) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var jobs []*keptJob
	group.Go(func() {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(interval) {
			j := make()
			group.Go(func() {
				if w.post(j, up(machines)) {
					mu.Lock()
					defer mu.Unlock()
					jobs = append(jobs, j)
				}
			})
		}
	})
	return func() []*keptJob {
		group.Wait()
		mu.Lock()
		defer mu.Unlock()
		return jobs
	}
}

// alive returns the machines that run, as the balancer does.
func (w *world) alive() []*machine { return up(w.machines) }

// playRack has a rack crash for good. Other racks have workers of its kind, and nothing to do.
func playRack(w *world, trouble bool) bool {
	zone1 := w.machinesIn("zone-1")
	make := func() *keptJob {
		j := w.simpleJob(2, 2000, 600*time.Millisecond)
		j.body.Steps[0].Label = "kind-b"
		return j
	}
	var jobs []*keptJob
	handIn := func(count int) {
		for range count {
			if j := make(); w.post(j, zone1) {
				jobs = append(jobs, j)
			}
			time.Sleep(150 * time.Millisecond)
		}
	}
	handIn(8)
	if trouble {
		w.note("rack r1-2 crashes for good")
		for _, e := range w.workersOf("zone-1") {
			if e.labels[1] == "r1-2" {
				w.crash(e, true)
			}
		}
	}
	handIn(8)
	time.Sleep(8 * time.Second)
	w.note("8 s later")
	handIn(8)
	return w.judgeAtEnd(jobs)
}

func (w *world) machinesIn(zone string) []*machine {
	var found []*machine
	for _, m := range w.machines {
		if m.zone == zone {
			found = append(found, m)
		}
	}
	return found
}

// up returns those of some machines that run.
func up(machines []*machine) []*machine {
	var found []*machine
	for _, m := range machines {
		if !m.isDown() {
			found = append(found, m)
		}
	}
	return found
}
