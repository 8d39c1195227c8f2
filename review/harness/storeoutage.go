//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	outage      = 12 * time.Second         // of the platform's store
	killedAfter = 10500 * time.Millisecond // from the beginning of the outage
	restartTime = 500 * time.Millisecond   // until killed processes are started again
	keptJobs    = 12
	keptTasks   = 4
	keptMS      = 900
	callers     = 32
	callerPause = 200 * time.Millisecond
	shortTasks  = 8
	shortMS     = 60
	taskCPU     = 6800
)

// storeOutage: kept jobs end while the store is down, jobs that need not be kept go on meanwhile, all
// processes are killed and start again, and the store comes back.
func storeOutage(w *world, trouble bool) []string {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	var sent, completed atomic.Int64
	for range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				n, id := w.anyNode(), newID()
				sent.Add(1)
				a := w.call(n, http.MethodPost, id, job(true, shortTasks, taskCPU, shortMS), 1500*time.Millisecond)
				w.note("client: POST best-effort %s to %s: %d %s", id, n.name, a.status, a.body)
				if a.state == "completed" {
					completed.Add(1)
				}
				time.Sleep(callerPause)
			}
		})
	}
	time.Sleep(2 * time.Second)
	ids := w.keepAtOnce(keptJobs, job(false, keptTasks, taskCPU, keptMS))
	if trouble {
		w.note("the store is down: it answers 503 to all calls")
		w.store.SetFault(standin.StoreBusy, 0)
	}
	time.Sleep(killedAfter)
	if trouble {
		w.note("all processes are killed")
		var kills sync.WaitGroup
		for _, n := range w.nodes {
			kills.Go(func() { w.kill(n) })
		}
		kills.Wait()
		time.Sleep(restartTime)
		for _, n := range w.nodes {
			w.start(n)
		}
	}
	time.Sleep(outage - killedAfter - restartTime)
	if trouble {
		w.note("the store serves again")
		w.store.SetFault(standin.StoreServes, 0)
	}
	stop()
	group.Wait()
	w.note("best-effort jobs: %d sent, %d completed", sent.Load(), completed.Load())
	var problems []string
	for _, id := range w.awaitCompleted(ids) {
		problems = append(problems, fmt.Sprintf("LOST: job %s isn't shown as completed in time", id))
	}
	for _, id := range ids {
		w.noteRuns(id)
		for _, again := range w.ledger.StartedAgain(id, maxAttempts) {
			problems = append(problems, "TWICE: "+again)
		}
	}
	return problems
}
