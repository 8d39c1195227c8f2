package openjobs

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	stalledPollInterval = 25 * ms // for stallPollPeriod after a stall
	stallPollPeriod     = 2 * time.Second
)

// Simulates hosts that stand still, once or most of the time, so that they receive the first submission
// up to a stall after its caller has sent it. The next ones go to other hosts. There are no other faults,
// so every start beside a run that is alive counts.
func TestExploredJobsThatAreReceivedLateRunOnce(t *testing.T) {
	late, executions := 0, 0
	var failed []string
	for seed := *firstSeed; seed < *firstSeed+uint64(*runCount); seed++ {
		w := newStallingWorld(seed)
		w.run()
		late += w.lateReceipts
		executions += len(w.executions)
		if w.ranTwice || len(w.unannounced) > 0 {
			failed = append(failed, fmt.Sprintf("%d (%s, %v)", seed, strings.Join(w.situations, ", "), w.unannounced))
			if len(failed) <= *logCount {
				t.Errorf("seed %d:\n%s", seed, w)
			}
		}
	}
	if len(failed) > 0 {
		t.Errorf("in %d of %d runs the job ran twice at once: seeds %s", len(failed), *runCount, strings.Join(failed[:min(len(failed), 100)], "; "))
	}
	t.Logf("%d runs: %d submissions were received late, the job was started %d times", *runCount, late, executions)
	if late < *runCount/5 || executions < *runCount {
		t.Errorf("the simulated stalls delay too few submissions or keep the job from being started")
	}
}

// Guards against a second start by a host that has stood still, and has not received the announcements that it
// missed.
func TestExploredJobsSentAgainToHostsThatStoodStillRunOnce(t *testing.T) {
	var failed []string
	executions := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runCount); seed++ {
		w := newStallingWorld(seed)
		w.laterToStalled = true
		w.run()
		executions += len(w.executions)
		if w.ranTwice {
			failed = append(failed, fmt.Sprintf("%d (%s)", seed, strings.Join(w.situations, ", ")))
			if len(failed) <= *logCount {
				t.Errorf("seed %d:\n%s", seed, w)
			}
		}
	}
	if len(failed) > 0 {
		t.Errorf("in %d of %d runs the job ran twice at once: seeds %s", len(failed), *runCount, strings.Join(failed[:min(len(failed), 100)], "; "))
	}
	if executions < *runCount {
		t.Errorf("the simulated stalls keep the job from being started")
	}
}

// Guards against a second start by a host that has stood still again and again since before another one, which
// does so as well, announced the job.
func TestTwoHostsThatStandStillMostOfTheTimeRunAJobOnce(t *testing.T) {
	w := newStallingWorld(20282)
	w.laterToStalled = true
	w.run()
	if w.ranTwice {
		t.Errorf("the job ran twice at once (%s):\n%s", strings.Join(w.situations, ", "), w)
	}
}

// Guards against a simulation that would show nothing: if fronts count from the receipt, jobs run twice.
func TestExploredJobsRunTwiceIfFrontsCountFromTheReceipt(t *testing.T) {
	failed := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runCount); seed++ {
		w := newStallingWorld(seed)
		w.countsFromReceipt = true
		w.run()
		if w.ranTwice || len(w.unannounced) > 0 {
			failed++
		}
	}
	t.Logf("in %d of %d runs the job ran twice at once", failed, *runCount)
	if failed == 0 && *runCount >= 100 {
		t.Errorf("the simulated stalls show no job that runs twice at once")
	}
}

// Guards against a simulation that would show nothing: hosts that don't wait for the announcements that they
// missed start jobs twice.
func TestExploredJobsRunTwiceIfHostsMissAnnouncements(t *testing.T) {
	failed := 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*runCount); seed++ {
		w := newStallingWorld(seed)
		w.laterToStalled, w.ignoresMissed = true, true
		w.run()
		if w.ranTwice {
			failed++
		}
	}
	t.Logf("in %d of %d runs the job ran twice at once", failed, *runCount)
	if failed == 0 && *runCount >= 100 {
		t.Errorf("the simulated stalls hide no announcement")
	}
}

// newStallingWorld returns a world with stalls as its only faults.
func newStallingWorld(seed uint64) *world {
	w := newWorld(seed)
	w.onlyStalls = true
	w.after(minCallerDelay, w.submit)
	w.after(w.between(0, time.Second), w.injectStalls)
	for i := range w.hosts {
		w.hosts[i].announce()
	}
	return w
}

// injectStalls has a host stand still, once or again and again with short times in between.
func (w *world) injectStalls() {
	w.after(w.between(300*ms, 2*time.Second), w.injectStalls)
	h := w.drawHost(true)
	if h.isStalled() {
		return
	}
	stall, runs := w.between(200*ms, 1600*ms), w.between(30*ms, 80*ms)
	rounds := 1
	if w.random.IntN(2) == 0 {
		stall, rounds = w.between(200*ms, 800*ms), 2+w.random.IntN(5)
	}
	w.logf("host %d stands still for %s, %d times, and runs for %s in between", h.index, stall, rounds, runs)
	for i := range rounds {
		w.after(time.Duration(i)*(stall+runs), func() { h.standStill(stall) })
	}
}

func (h *modelHost) isStalled() bool { return h.world.now < h.stalledUntil }

// lastActive returns when the host last renewed leases as an owner, if a front did until a time.
func (h *modelHost) lastActive(until time.Duration) time.Duration {
	if h.isStalled() {
		return min(until, h.stalledSince)
	}
	return until
}

// standStill stops the host for a while. Others that hear nothing of it lose their links to it.
func (h *modelHost) standStill(lasts time.Duration) {
	w := h.world
	h.stalledSince, h.stalledUntil = w.now, w.now+lasts
	w.after(lasts, func() {
		if !h.isStalled() {
			h.stallEndedAt = w.now
		}
	})
	if lasts <= heartbeatTimeout {
		return
	}
	for i := range w.hosts {
		if !linked(i, h.index) {
			continue
		}
		link := [2]int{i, h.index}
		w.after(heartbeatTimeout, func() { w.slow[link]++; w.loseLink(i, h.index) })
		w.after(lasts, func() {
			w.slow[link]--
			w.after(w.between(10*ms, 300*ms), func() { w.connectLink(i, h.index) })
		})
	}
}

// afterStall calls do once the host runs.
func (h *modelHost) afterStall(do func()) {
	w := h.world
	if !h.isStalled() {
		do()
		return
	}
	w.after(h.stalledUntil-w.now+w.between(0, 10*ms), func() { h.afterStall(do) })
}

// scanInterval returns the time until the host's next poll and scan for jobs to announce.
func (h *modelHost) scanInterval() time.Duration {
	w := h.world
	if h.stallEndedAt > 0 && w.now < h.stallEndedAt+stallPollPeriod {
		return stalledPollInterval
	}
	return w.between(ScanInterval/2, ScanInterval)
}

// drawReceiver draws the host that gets a submission. In a world of stalls the first one goes to a host
// that may stand still.
func (w *world) drawReceiver() *modelHost {
	if !w.onlyStalls {
		return w.hosts[w.random.IntN(len(w.hosts))]
	}
	return w.drawHost((w.submissions == 0) != w.laterToStalled)
}

// drawHost draws one of the hosts that stand still at times, or one of the others. Each domain has both.
func (w *world) drawHost(standsStill bool) *modelHost {
	index := w.random.IntN(2) * 3
	if !standsStill {
		index += 1 + w.random.IntN(2)
	}
	return w.hosts[index]
}

// afterReading calls do once the host has read a submission that arrives now. A host that has stood still
// may stop again before it has.
func (h *modelHost) afterReading(do func()) {
	w := h.world
	if !h.isStalled() {
		do()
		return
	}
	h.afterStall(func() {
		if w.random.IntN(3) > 0 {
			do()
			return
		}
		w.after(w.between(0, 100*ms), func() { h.afterStall(do) })
	})
}

// earliestSending returns the time from which a host counts for a submission that it receives now.
func (h *modelHost) earliestSending(arrived time.Duration) time.Duration {
	if h.world.countsFromReceipt {
		return h.world.now
	}
	return h.stalls.EarliestSending(h.world.now, arrived)
}

// stallSyncedAt returns when the host has received the announcements that it missed while it stood still.
func (h *modelHost) stallSyncedAt() time.Duration {
	endedAt, stalled := h.stalls.LongEndedAt(h.world.now)
	if !stalled || h.world.ignoresMissed {
		return 0
	}
	return endedAt + ResyncDelay
}

// endWithdrawn records that the runs of a job that its front gives up are stopped once its owner has been
// told, or end with their leases. In a world with other faults the withdrawal may be lost.
func (o *modelOpen) endWithdrawn(isDone bool) {
	w, c := o.host.world, o.execution
	if !w.onlyStalls && !w.onlyDelays || isDone {
		return
	}
	c.stoppedBy = max(w.now, min(c.owner.stalledUntil, w.now+unrenewedRunTTL))
}
