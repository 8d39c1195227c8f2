package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// A start puts its run under the lease that the executor already has. The lease of a former
// owner may end later than Lease from now, as its estimate of the clock may have been ahead;
// the run must still end with the lease of its job.
func TestARunAfterATakeoverDoesNotOutlastItsJobLease(t *testing.T) {
	c := qt.New(t)
	e := newModelExecutor(0, 1-maxClockDrift)
	now := time.Second
	lasts := func() (time.Duration, EndKind) { return time.Minute, EndDone }
	answer := func(cell *Cell, command Command, delay time.Duration) {
		verdict := e.apply(command, lasts, now)
		clock := e.clock(now)
		now += delay
		if command.Kind == Hold {
			cell.HoldAnswered(catalog.Incarnation(e.id), HoldResponse{Verdict: verdict, Clock: clock, Running: e.running(), Ended: e.ends()}, now, now)
			return
		}
		cell.StartAnswered(catalog.Incarnation(e.id), command.Task, command.Run, verdict, clock, now)
	}
	execute := func(cell *Cell, delay time.Duration) (starts int) {
		commands, _, _ := cell.TakeActions()
		for _, command := range commands {
			if command.Kind == Start {
				starts++
			}
			answer(cell, command, delay)
		}
		return starts
	}
	newOwner := func(token int64) *Cell {
		cell := New(DefaultParams(time.Second, testJobLease, 50*ms), token, now)
		cell.MarkListComplete()
		cell.SetExecutors([]catalog.Executor{testExecutor(0)}, now)
		return cell
	}
	submit := func(cell *Cell, id string, epoch int, renewedAt time.Duration) {
		j := testJob(id, 1, now)
		j.Steps[0].Estimate, j.Deadline = 10*time.Second, now+time.Minute
		cell.Submit(Handover{Job: j, Epoch: epoch, RenewedAt: renewedAt}, now)
	}

	former := newOwner(1)
	execute(former, 0) // answered without delay
	submit(former, "a", 1, now)
	for until := now + 20*time.Second; now < until; now += 100 * ms {
		former.Renew([]string{"a"}, now, now)
		former.Tick(now)
		execute(former, 3*ms)
	}
	former.Tick(now)
	execute(former, 3*ms) // its last hold
	next := newOwner(2)
	execute(next, ms)
	submit(next, "a", 2, now-100*ms)
	renewedAt := now - 370*ms
	submit(next, "b", 1, renewedAt)
	for until := now + 200*ms; now < until; now += 10 * ms {
		next.Renew([]string{"a"}, now-100*ms, now)
		next.Tick(now)
		if execute(next, ms) > 0 {
			break
		}
	}
	if _, runs := e.runs["b.0.0.0"]; !runs {
		return // the start waits for a newer renewal
	}
	limit := e.clock(renewedAt + testJobLease)
	c.Assert(e.deadline <= limit, qt.IsTrue, qt.Commentf("the run may continue for %s after the lease of its job, %s after the last renewal",
		e.deadline-limit, time.Duration(float64(e.deadline-e.clock(0))/(1-maxClockDrift))-renewedAt))
}
