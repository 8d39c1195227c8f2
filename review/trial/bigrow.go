//go:build review

package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	layers, width   = 48, 20
	dependencies    = 24 // of a task on those before its layer
	specBytes       = 3900
	largeWorkMS     = 900
	taskCPU         = 1000
	chainCPU        = 250
	smallPerSecond  = 30
	rowCase         = 50 * time.Second // of traffic
	largeAt         = 5 * time.Second
	chainsAfter     = 3 * time.Second // after the large job
	chains          = 60
	chainGroups     = 6 // cancelled one after the other
	chainSteps      = 60
	chainWorkMS     = 400
	cancelPause     = 2 * time.Second
	standstillLimit = 3 * time.Second
	looseTime       = 10 * time.Second // a job that need not be kept has ended by then
	calmBefore      = 4 * time.Second
	settleTime      = 50 * time.Millisecond // stop_timeout_ms
	noteSlack       = 200 * time.Millisecond
)

// layeredSteps are 960 steps of one task, in 48 layers of 20; each task comes after 24 tasks of the layers before.
func layeredSteps() []step {
	var steps []step
	for i := range layers * width {
		s := step{Count: 1, CPU: taskCPU, MemMB: 64, EstimateMS: largeWorkMS, Affinity: "r1-0"}
		first := i / width * width
		for earlier := max(0, first-dependencies); earlier < first; earlier++ {
			s.After = append(s.After, earlier)
		}
		steps = append(steps, s)
	}
	return steps
}

// plainSteps are the same tasks in 48 steps of 20.
func plainSteps() []step {
	var steps []step
	for i := range layers {
		s := step{Count: width, CPU: taskCPU, MemMB: 64, EstimateMS: largeWorkMS, Affinity: "r1-0"}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	return steps
}

func chainJob() []byte {
	var steps []step
	for i := range chainSteps {
		s := step{Count: 1, CPU: chainCPU, MemMB: 64, EstimateMS: chainWorkMS}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	return jobBody(chainWorkMS, chainCPU, "", false, steps)
}

// bigRow: one job of 960 tasks is accepted whose row exceeds row_bytes once the progress of its tasks is added.
// Without the trouble, the same tasks come as a job whose row stays small.
func bigRow(w *world, trouble bool) bool {
	w.start([]int{2, 2, 2}, []int{3, 3, 3})
	t := &traffic{w: w}
	stop := make(chan struct{})
	watched := make(chan bool)
	go func() { watched <- t.watchStandstill(stop) }()
	var group sync.WaitGroup
	group.Go(func() {
		small := jobBody(60, taskCPU, "", false, []step{{Count: 8, CPU: taskCPU, MemMB: 64, EstimateMS: 60}})
		t.run(smallPerSecond, rowCase, 8, small)
	})
	time.Sleep(largeAt)
	steps := plainSteps()
	if trouble {
		steps = layeredSteps()
	}
	body := jobBody(largeWorkMS, taskCPU, strings.Repeat("x", specBytes), false, steps)
	id := newID()
	w.note("the large job %s is sent: body of %d bytes, of %d allowed; 960 tasks; spec of %d bytes, of 4000 allowed", id, len(body), bodyBytes, specBytes+14)
	if t.send(id, layers*width, body) == nil {
		panic("the large job wasn't accepted")
	}
	w.note("the large job is accepted; largest row so far %d bytes, of %d allowed", largestRow.Load(), rowBytes)
	time.Sleep(chainsAfter)
	unasked := t.cancelChains()
	group.Wait()
	time.Sleep(5 * time.Second)
	close(stop)
	lost := <-watched
	w.note("largest row that was to be written %d bytes; transactions refused by the store %v; sendings not accepted %d", largestRow.Load(), w.refused, t.none)
	w.note("UNASKED broken: %v; LOST broken: %v", unasked, lost)
	return unasked || lost
}

// cancelChains hands in jobs of many steps, cancels them, and reports whether UNASKED is broken.
func (t *traffic) cancelChains() bool {
	var jobs []*keptJob
	var handing sync.WaitGroup
	var mu sync.Mutex
	for range chains {
		handing.Go(func() {
			if j := t.send(newID(), chainSteps, chainJob()); j != nil {
				mu.Lock()
				defer mu.Unlock()
				jobs = append(jobs, j)
			}
		})
	}
	handing.Wait()
	var group sync.WaitGroup
	for i, j := range jobs {
		if i%(chains/chainGroups) == 0 {
			time.Sleep(cancelPause)
		}
		group.Go(func() { t.cancel(j) })
	}
	group.Wait()
	time.Sleep(cancelTime + time.Second)
	broken, unacked := false, 0
	for _, j := range jobs {
		from, why := j.cancelSent.Add(ackTime), "its cancel had waited ack_ms for an answer"
		if !j.cancelled.IsZero() && j.cancelled.Before(from) {
			from, why = j.cancelled.Add(cancelTime), "its cancel was acknowledged"
		} else {
			unacked++
		}
		for _, run := range t.w.ledger.RunsOf(j.id) {
			late := run.Began.After(from.Add(noteSlack))
			goesOn := run.Ended.IsZero() || run.Ended.After(from.Add(settleTime+noteSlack))
			if late || run.Began.Before(from) && goesOn && run.How != "done" {
				t.w.note("UNASKED: task %s starts %.2f s after %s", run.Task, run.Began.Sub(from).Seconds(), why)
				broken = true
				break
			}
		}
	}
	t.w.note("cancels of %d jobs: %d had no answer after ack_ms = 4 s", len(jobs), unacked)
	return broken
}

// cancel cancels a job until that is answered, or for 12 s.
func (t *traffic) cancel(j *keptJob) {
	j.cancelSent = time.Now()
	for time.Since(j.cancelSent) < 12*time.Second {
		status, text := t.w.ask(t.w.anyMachine(), http.MethodDelete, j.id, nil, 1500*time.Millisecond)
		if status/100 == 2 || status == http.StatusGone {
			j.cancelled = time.Now()
			return
		}
		t.w.note("cancel of %s: %d %s", j.id, status, text)
		time.Sleep(500 * time.Millisecond)
	}
}

// watchStandstill reports whether an accepted job had nothing at work for 3 s while its tasks' turn had come, with
// under half of the service's capacity in use.
func (t *traffic) watchStandstill(stop chan struct{}) bool {
	idle := map[string]time.Time{}
	over := map[string]bool{}
	counted := map[string]bool{}
	for {
		select {
		case <-stop:
			t.w.note("jobs that stood still for 3 s: %d", len(counted))
			return len(counted) > 0
		case <-time.After(200 * time.Millisecond):
		}
		t.mu.Lock()
		jobs := append([]*keptJob(nil), t.jobs...)
		used, now := 0, time.Now()
		var loose []string
		for id, sent := range t.loose {
			if now.Sub(sent) < looseTime {
				loose = append(loose, id)
			}
		}
		t.mu.Unlock()
		for _, id := range loose {
			for _, run := range t.w.ledger.RunsOf(id) {
				if run.Ended.IsZero() {
					used++
				}
			}
		}
		still := map[string]*keptJob{}
		for _, j := range jobs {
			if over[j.id] {
				continue
			}
			done, working := 0, 0
			for _, run := range t.w.ledger.RunsOf(j.id) {
				switch {
				case run.How == "done":
					done++
				case run.Ended.IsZero():
					working++
				}
			}
			used += working
			over[j.id] = done >= j.tasks || !j.cancelSent.IsZero()
			if !over[j.id] && working == 0 {
				still[j.id] = j
			}
		}
		half := used*taskCPU < len(t.w.executors)*executorCPU/2
		for id := range idle {
			if still[id] == nil || !half {
				delete(idle, id)
			}
		}
		for id, j := range still {
			if !half {
				continue
			}
			if idle[id].IsZero() {
				idle[id] = now
			}
			j.idleMax = max(j.idleMax, now.Sub(idle[id]))
			calm := t.w.isCalm(now.Add(-standstillLimit - calmBefore - noteSlack))
			if now.Sub(idle[id]) > standstillLimit+noteSlack && calm && !counted[id] {
				counted[id] = true
				if len(counted) <= 5 {
					t.w.note("LOST: job %s has had nothing at work for 3 s; %d tasks at work, room for %d", id, used, len(t.w.executors)*executorCPU/taskCPU)
				}
			}
		}
	}
}
