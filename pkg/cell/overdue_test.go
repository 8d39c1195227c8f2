package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

func TestOutcomeOfTheCopiesOfAStart(t *testing.T) {
	type scenario struct {
		testName string
		sent     int
		verdicts []Verdict
		want     startOutcome // after the last one
	}
	scenarios := []scenario{
		{testName: "the only one is carried out", sent: 1, verdicts: []Verdict{Accepted}, want: startAccepted},
		{testName: "the only one is refused", sent: 1, verdicts: []Verdict{NoRoom}, want: startRefused},
		{testName: "the only one is lost", sent: 1, verdicts: []Verdict{Unanswered}, want: startUnresolved},
		{testName: "the only one is outdated", sent: 1, verdicts: []Verdict{Outdated}, want: startRefused},
		{testName: "one is refused while another is awaited", sent: 2, verdicts: []Verdict{Late}, want: startPending},
		{testName: "one is lost while another is awaited", sent: 2, verdicts: []Verdict{Unanswered}, want: startPending},
		{testName: "all are refused", sent: 2, verdicts: []Verdict{NoRoom, Late}, want: startRefused},
		{testName: "one is lost and one refused: the first may still arrive", sent: 2, verdicts: []Verdict{Unanswered, Late}, want: startUnresolved},
		{testName: "one is outdated by the other copy, whose run has ended", sent: 2, verdicts: []Verdict{Outdated}, want: startAccepted},
		{testName: "one is carried out, and those that come later are refused", sent: 3, verdicts: []Verdict{Accepted, Late, Late}, want: startPending},
		{testName: "the only one is answered unclearly", sent: 1, verdicts: []Verdict{Unclear}, want: startUnresolved},
		{testName: "one is unclear and one refused", sent: 2, verdicts: []Verdict{Unclear, Unhealthy}, want: startUnresolved},
		{testName: "one is unclear and one carried out", sent: 2, verdicts: []Verdict{Unclear, Accepted}, want: startAccepted},
		{testName: "one is carried out after others were refused", sent: 3, verdicts: []Verdict{Late, Late, Accepted}, want: startAccepted},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			copies := startCopies{sent: s.sent, pending: s.sent}
			var got startOutcome
			for _, verdict := range s.verdicts {
				got = copies.answered(verdict)
			}
			qt.Assert(t, got, qt.Equals, s.want)
		})
	}
}

// markOverdue reports to the cell that a command has not been answered in time.
func (d *driver) markOverdue(command Command, sentAt time.Duration) {
	switch command.Kind {
	case Start:
		d.cell.StartOverdue(command.Executor.Incarnation(), command.Task, command.Run, d.now)
	case Hold:
		d.cell.HoldOverdue(command.Executor.Incarnation(), sentAt, d.now)
	case Stop:
		d.c.Fatal("an overdue stop is sent again by StopAnswered")
	}
	d.takeActions()
}

func TestAnOverdueStartIsResentUnchanged(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	d.submit(shortJob("a", d.now), 1)
	first := d.takeCommands(Start)[0]
	for range maxStartCopies - 1 {
		d.now += 24 * ms
		d.markOverdue(first, 0)
		again := d.takeCommands(Start)
		c.Assert(again, qt.HasLen, 1)
		c.Assert(again[0], qt.DeepEquals, first, qt.Commentf("the executor must recognize it as the same start"))
	}
	d.now += 25 * ms
	d.markOverdue(first, 0)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("an executor that leaves so many unanswered is probably unreachable"))
}

func TestWhenAnOverdueStartIsNotResent(t *testing.T) {
	type scenario struct {
		testName string
		before   func(d *driver, start Command)
	}
	scenarios := []scenario{
		{testName: "once its deadline has passed", before: func(d *driver, _ Command) { d.now += shortestLease }},
		{testName: "to an unresponsive executor", before: func(d *driver, start Command) { d.holdUnanswered(start.Executor.ID) }},
		{testName: "when it has been answered meanwhile", before: func(d *driver, start Command) { d.startAnswered(start, Accepted) }},
		{testName: "for a job that was withdrawn", before: func(d *driver, _ Command) { d.cell.Withdraw("a", "caller_gone", d.now) }},
		{testName: "when a hold has listed its run", before: func(d *driver, start Command) {
			d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now, d.now)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 2)
			d.submit(shortJob("a", d.now), 1)
			start := d.takeCommands(Start)[0]
			s.before(d, start)
			d.takeActions()
			d.takeCommands(Start)
			d.markOverdue(start, 0)
			c.Assert(d.takeCommands(Start), qt.HasLen, 0)
		})
	}
}

// When some calls are lost, a single lost hold must not keep an executor out of work.
func TestOneOverdueHoldDoesNotMakeAnExecutorUnresponsive(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	id := start.Executor.ID
	e := d.cell.executors[catalog.Incarnation(id)]
	hold := d.takeCommands(Hold)[0]
	sentAt := d.now
	d.now += hold.Wait + 25*ms
	d.markOverdue(hold, sentAt)
	c.Assert(e.unresponsive, qt.IsFalse)
	second := d.takeCommands(Hold)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Wait, qt.Equals, time.Duration(0), qt.Commentf("the retry returns at once"))
	c.Assert(second[0].Deadline, qt.Equals, time.Duration(0), qt.Commentf("the retry renews nothing"))
	for missed := 2; missed <= maxMissedHolds; missed++ {
		c.Assert(e.unresponsive, qt.IsFalse)
		d.now += 25 * ms
		d.markOverdue(second[0], d.now-25*ms)
	}
	c.Assert(e.unresponsive, qt.IsTrue)
}

// A response that is overtaken by that of a later hold lists runs that have ended since.
func TestALateListDoesNotRestoreEndedRuns(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	id := start.Executor.ID
	hold := d.takeCommands(Hold)[0]
	sentAt := d.now
	d.now += 300 * ms
	d.markOverdue(hold, sentAt)
	d.now += 5 * ms
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{
		Clock: time.Minute + d.now, Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}},
	}, d.now-2*ms, d.now)
	d.takeActions()
	c.Assert(d.finished, qt.HasLen, 1)
	d.cell.LateHoldAnswered(catalog.Incarnation(id), HoldResponse{
		Clock: time.Minute + d.now - 50*ms, Running: []RunningTask{{Task: start.Task, Run: start.Run}},
	}, sentAt, d.now+20*ms)
	c.Assert(d.cell.executors[catalog.Incarnation(id)].runs, qt.HasLen, 0)
	c.Assert(d.cell.lossyUntil > d.now, qt.IsTrue, qt.Commentf("the overtaken hold was lost or delayed"))
}

// When a hold was overdue, the owner may learn of an end late. That delay must not count as
// run time, which would eject healthy executors as slow.
func TestAnEndThatWasListedLateDoesNotEjectTheExecutor(t *testing.T) {
	type scenario struct {
		testName          string
		overdueHoldSentAt time.Duration // when a hold that is overdue was sent; 0 for none
		want              bool
	}
	scenarios := []scenario{
		{testName: "all holds are answered: the executor is slow", want: true},
		{testName: "a hold was overdue while the run may have ended", overdueHoldSentAt: 200 * ms},
		{testName: "a hold was overdue, after far more than the expected time", overdueHoldSentAt: 1200 * ms, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 4)
			d.now += ms
			d.submit(testJob("a", 1, d.now), 1)
			start := d.takeCommands(Start)[0]
			d.startAnswered(start, Accepted)
			id := start.Executor.ID
			d.now += 1400 * ms // seven times as long as expected
			if s.overdueHoldSentAt > 0 {
				d.cell.HoldOverdue(catalog.Incarnation(id), s.overdueHoldSentAt, d.now)
			}
			d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{
				Clock: time.Minute + d.now, Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}},
			}, d.now-2*ms, d.now)
			c.Assert(!d.cell.executors[catalog.Incarnation(id)].health.allows(d.now), qt.Equals, s.want)
		})
	}
}
