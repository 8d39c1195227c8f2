//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	ackBound    = 4 * time.Second // ack_ms
	cancelBound = 3 * time.Second // cancel_ms
	patience    = 2 * time.Second // of a client, for an answer
)

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem_mb"`
	EstimateMS   int    `json:"estimate_ms"`
	After        []int  `json:"after_rev,omitempty"`
	Constraints  string `json:"constraints,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
}

const (
	taskMS  = 500
	taskCPU = 500
)

func specOf(ms, cpu int) string { return fmt.Sprintf("%d %d", ms, cpu) }

// chain is a job of so many steps of one task each, one after the other.
func chain(steps, ms, cpu int) jobBody {
	b := jobBody{Spec: specOf(ms, cpu)}
	for i := range steps {
		s := step{Count: 1, CPU: cpu, MemMB: 64, EstimateMS: ms}
		if i > 0 {
			s.After = []int{i - 1}
		}
		b.Steps = append(b.Steps, s)
	}
	return b
}

const (
	largeTasks = 960 // "in jobs of up to 960 tasks" (letter 1)
	largeChain = 160 // of them, those that come one after the other at the end
)

// large is a job of 960 tasks of 0.5 s, each with its data on another rack, so each is a step of
// its own. The last 160 come one after the other.
func large(rackName string) jobBody {
	b := jobBody{Spec: specOf(taskMS, taskCPU)}
	for i := range largeTasks {
		s := step{Count: 1, CPU: taskCPU, MemMB: 64, EstimateMS: taskMS, Constraints: executorKind, Affinity: fmt.Sprintf(rackName, i%48)}
		if i > largeTasks-largeChain {
			s.After = []int{i - 1}
		}
		b.Steps = append(b.Steps, s)
	}
	return b
}

// smallJob is a job of the usual traffic, and what its client saw.
type smallJob struct {
	id         string
	accepted   time.Time
	cancelSent time.Time
	cancelled  time.Time
}

// playBigRow has usual jobs come and be cancelled, before and beside large jobs.
func playBigRow(w *world, trouble string) (broken bool) {
	var mu sync.Mutex
	var small []*smallJob
	var group sync.WaitGroup
	stop := time.Now().Add(70 * time.Second)
	client := func(random *rand.Rand) {
		defer group.Done()
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
			j := &smallJob{id: fmt.Sprintf("%016x", random.Uint64())}
			n := w.nodes[random.IntN(len(w.nodes))]
			if a := w.call(n, http.MethodPost, j.id, chain(40, taskMS, taskCPU), patience); a.status != http.StatusOK {
				w.record.note("job %s handed in at %s: %d", j.id, n.name, a.status)
				continue
			}
			j.accepted = time.Now()
			mu.Lock()
			small = append(small, j)
			mu.Unlock()
			time.Sleep(time.Second)
			j.cancelSent = time.Now()
			for time.Since(j.cancelSent) < 12*time.Second {
				n := w.nodes[random.IntN(len(w.nodes))]
				a := w.call(n, http.MethodDelete, j.id, nil, patience)
				if a.status/100 == 2 || a.status == http.StatusGone {
					j.cancelled = time.Now()
					break
				}
				w.record.note("cancel of %s at %s: %d after %d ms", j.id, n.name, a.status, a.took.Milliseconds())
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	for i := range 8 {
		group.Add(1)
		go client(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(i))))
	}
	time.Sleep(10 * time.Second)
	if trouble != "0" {
		rack := "co-andina/bogota-norte/hall-2/rack-%03d"
		if trouble == "short" {
			rack = "r-%d"
		}
		for i := range 4 {
			id := newID()
			a := w.call(w.nodes[i*2], http.MethodPost, id, large(rack), patience)
			w.record.note("large job %s handed in at %s: %d", id, w.nodes[i*2].name, a.status)
		}
	}
	group.Wait()
	late, unacked, cancels := 0, 0, 0
	for _, j := range small {
		if j.cancelSent.IsZero() {
			continue
		}
		cancels++
		acked := !j.cancelled.IsZero() && j.cancelled.Sub(j.cancelSent) <= ackBound
		bound := j.cancelSent.Add(ackBound)
		if acked {
			bound = j.cancelled.Add(cancelBound)
		} else {
			unacked++
		}
		begun := 0
		for _, run := range w.ledger.RunsOf(j.id) {
			if run.Began.After(bound) {
				begun++
			}
		}
		if begun > 0 {
			late++
			w.record.note("UNASKED: job %s, cancel sent at %.3f, acknowledged in time: %v, %d tasks started later than the bound", j.id, j.cancelSent.Sub(w.record.began).Seconds(), acked, begun)
		}
	}
	w.record.note("%d cancels of accepted jobs, %d without an acknowledgement after %s, %d jobs with tasks started after the bound; the store refused %d transactions", cancels, unacked, ackBound, late, w.store.refusals())
	fmt.Fprintf(os.Stderr, "%d cancels, %d unacknowledged after %s, %d jobs with late starts, %d transactions refused\n", cancels, unacked, ackBound, late, w.store.refusals())
	return late > 0 || (unacked >= 3 && 10*unacked > cancels)
}
