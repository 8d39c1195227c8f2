package integration

import (
	"net/http"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/standin/targetd"
	qt "github.com/frankban/quicktest"
)

// One failed task fails its job: no result is returned, and the tasks that have not
// started are dropped.
func TestFailedTask(t *testing.T) {
	d := newDriver(t, 1).start().apply("")
	job := newJob().work(targetd.Work{Fail: true}).tasks(allSlots-1, 500).tasks(100, 500)
	answer := d.submit("d1-1", job)
	d.assertOutcome(answer, once.Failed)
	qt.Assert(t, answer.Kind, qt.Equals, errkind.TaskFailed)
	qt.Assert(t, answer.Results, qt.HasLen, 0)
	d.eventually("the pool is idle", func() bool {
		pool := d.status("d1-1").Pools[0]
		return pool.Busy+pool.Waiting == 0
	})
	qt.Assert(t, d.ledger.Counters().Starts <= allSlots, qt.IsTrue, qt.Commentf("%d starts", d.ledger.Counters().Starts))
}

// startHanging starts a job whose tasks hang at the targets.
func (d *driver) startHanging(tasks int) {
	for _, executor := range d.executors {
		executor.SetFaults(targetd.Faults{Hang: true})
	}
	if tasks > 0 {
		d.submitLater("d1-1", newJob().tasks(tasks, 1))
		d.waitForStarts(uint64(tasks))
	}
}

const allSlots = executorsPerDomain * slots

// A job is refused if its deadline passes before any task has started, and not if it
// passes later.
func TestDeadline(t *testing.T) {
	scenarios := []struct {
		testName string
		occupied int // slots, by another job
		outcome  once.Outcome
	}{
		{"nothing started", allSlots, once.Refused},
		{"a task hangs", 0, once.Failed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDriver(t, 1).start().apply("")
			d.startHanging(s.occupied)
			answer := d.submit("d1-1", newJob().task(1, "").deadline(300))
			d.assertOutcome(answer, s.outcome)
			qt.Assert(t, answer.Kind, qt.Equals, errkind.DeadlinePassed)
		})
	}
}

// A job can be cancelled at any host, and is not refused if a task has started.
func TestCancel(t *testing.T) {
	scenarios := []struct {
		testName string
		occupied int // slots, by another job
		outcome  once.Outcome
	}{
		{"nothing started", allSlots, once.Refused},
		{"a task runs", 0, once.Failed},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDriver(t, 2).start().apply("")
			d.startHanging(s.occupied)
			before := d.status("d1-1").Jobs
			id := once.ID{Home: d.home("d1-1"), Part: "j"}.String()
			pending := d.submitLater("d1-1", newJob().id(id).task(1, ""))
			if s.outcome == once.Failed {
				d.waitForStarts(uint64(s.occupied + 1))
			}
			d.eventually("the job is under way", func() bool { return d.status("d1-1").Jobs == before+1 })
			d.call("d1-2", http.MethodDelete, jobapi.PathJobs+"/"+id, "")
			answer := <-pending
			d.assertOutcome(answer, s.outcome)
			qt.Assert(t, answer.Kind, qt.Equals, errkind.Cancelled)
		})
	}
}

// Targets that refuse, leave or are unreachable only cost another attempt.
func TestTargetsThatDoNotStart(t *testing.T) {
	scenarios := []struct {
		testName string
		do       func(*targetd.Executor)
	}{
		{"refuses", func(e *targetd.Executor) { e.SetFaults(targetd.Faults{Refuse: true}) }},
		{"leaves", func(e *targetd.Executor) { e.SetFaults(targetd.Faults{Leaving: true}) }},
		{"is closed", (*targetd.Executor).Close},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDriver(t, 2).start().apply("")
			s.do(d.executors[d.executorAddress("d1", 1)])
			for range 5 {
				d.assertOutcome(d.submit("d1-1", newJob().tasks(10, 1)), once.Complete)
			}
			d.assertNoDoubles()
		})
	}
}
