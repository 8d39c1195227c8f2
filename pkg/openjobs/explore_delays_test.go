package openjobs

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// maxDelay is longer than the time after which callers submit the job again.
const maxDelay = 3 * time.Second

// Guards against a second start of a job whose first submission the network delays on a connection that is
// open: its front and that of the next submission get it at about the same time.
func TestExploredJobsThatTheNetworkDelaysRunOnce(t *testing.T) {
	delayed, executions := 0, 0
	var failed []string
	for seed := *firstSeed; seed < *firstSeed+uint64(*runCount); seed++ {
		w := newDelayingWorld(seed)
		w.run()
		executions += len(w.executions)
		delayed += w.lateReceipts
		if w.startedTwice() {
			failed = append(failed, fmt.Sprint(seed))
			if len(failed) <= *logCount {
				t.Errorf("seed %d:\n%s", seed, w)
			}
		}
	}
	if len(failed) > 0 {
		t.Errorf("in %d of %d runs the job ran twice at once: seeds %s", len(failed), *runCount, strings.Join(failed[:min(len(failed), 100)], ", "))
	}
	t.Logf("%d runs: %d submissions were delayed, the job was started %d times", *runCount, delayed, executions)
	if delayed < *runCount/5 || executions < *runCount {
		t.Errorf("the simulated delays hold up too few submissions or keep the job from being started")
	}
}

// Guards against a simulation that would show nothing.
func TestExploredJobsRunTwiceIfFrontsKnowNoDelays(t *testing.T) {
	failed := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runCount); seed++ {
		w := newDelayingWorld(seed)
		w.knowsNoDelays = true
		w.run()
		if w.startedTwice() {
			failed++
		}
	}
	t.Logf("in %d of %d runs the job ran twice at once", failed, *runCount)
	if failed == 0 && *runCount >= 100 {
		t.Errorf("the simulated delays show no job that runs twice at once")
	}
}

// newDelayingWorld returns a world with a delay of the first submission as its only fault.
func newDelayingWorld(seed uint64) *world {
	w := newWorld(seed)
	w.onlyDelays = true
	w.after(minCallerDelay, w.submit)
	for i := range w.hosts {
		w.hosts[i].announce()
	}
	return w
}

// startedTwice reports whether the job was started beside a run that was alive.
func (w *world) startedTwice() bool { return w.ranTwice || len(w.unannounced) > 0 }

// drawDelay draws by how much the network delays a submission.
func (w *world) drawDelay() time.Duration {
	if !w.onlyDelays || w.submissions > 1 {
		return 0
	}
	w.lateReceipts++
	return w.between(0, maxDelay)
}

// sentBeforeDelay is SentBeforeDelay for a submission that the host receives now.
func (h *modelHost) sentBeforeDelay(openBefore time.Duration) (sentAfter time.Duration, isDelayed bool) {
	if h.world.knowsNoDelays {
		openBefore = 0
	}
	return SentBeforeDelay(h.world.now, openBefore, resubmitAfter)
}

// awaitsMeeting reports whether a front may not start a delayed job yet, as it doesn't know whether another
// one holds it open.
func (o *modelOpen) awaitsMeeting() bool {
	return o.isDelayed && !o.hasAsked && (!o.isConfirmed || o.host.world.now < MetBy(o.confirmedAt))
}
