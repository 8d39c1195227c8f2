//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	crashTaskMS  = 3000
	crashDownFor = 4 * time.Second
	crashLimit   = 40 * time.Second
)

// crashes: a kept job of one task, whose executor crashes; the next one crashes too, a while later.
func crashes(w *world, trouble bool) []string {
	id := newID()
	if !w.keep(id, job(false, 1, 9000, crashTaskMS)) {
		fail("the job isn't accepted")
	}
	crashed := 0
	end := time.Now().Add(crashLimit)
	state := ""
	for time.Now().Before(end) {
		a := w.ask(id)
		state = a.state
		if state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
		for _, run := range w.ledger.RunsOf(id) {
			if trouble && crashed < 2 && run.Ended.IsZero() && time.Since(run.Began) > 2*time.Second {
				for _, e := range w.executors {
					if e.ID() == run.Executor {
						w.note("executor %s crashes, and is down for %s", run.Executor, crashDownFor)
						e.Down()
						time.AfterFunc(crashDownFor, e.Up)
						crashed++
					}
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.noteRuns(id)
	failures := 0
	for _, run := range w.ledger.RunsOf(id) {
		if run.How == "failed" {
			failures++
		}
	}
	switch {
	case state == "failed" && failures < maxAttempts:
		return []string{fmt.Sprintf("LOST: job %s is shown as failed, though %d of its runs have ended failed (max_attempts is %d)", id, failures, maxAttempts)}
	case state != "completed":
		return []string{fmt.Sprintf("LOST: job %s is shown as %q after %s", id, state, crashLimit)}
	}
	return nil
}
