package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// These tests answer a window of some seconds in which one order in five to executors
// gets no answer and is carried out 2 to 12 s later: of jobs of four tasks, six in ten
// have a start among those, and as many an end whose hold is. Jobs of 60 ms are worth
// little after 160 ms, so that a lost order has to cost less than 50 ms.

func TestWhatTheCopiesOfAStartTellTogether(t *testing.T) {
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
		{testName: "one is lost and one refused: the first may come yet", sent: 2, verdicts: []Verdict{Unanswered, Late}, want: startUnresolved},
		{testName: "a run that has ended since outdates the other copy", sent: 2, verdicts: []Verdict{Outdated}, want: startAccepted},
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

// overdue tells the cell that a command hasn't been answered in time.
func (d *driver) overdue(command Command, sentAt time.Duration) {
	switch command.Kind {
	case Start:
		d.cell.StartOverdue(command.Executor.Incarnation(), command.Task, command.Run, d.now)
	case Hold:
		d.cell.HoldOverdue(command.Executor.Incarnation(), sentAt, d.now)
	case Stop:
		d.c.Fatal("a stop that is overdue is sent again by StopAnswered")
	}
	d.take()
}

func TestAnOverdueStartIsSentAgainAsItWas(t *testing.T) {
	c := qt.New(t)
	d := adopted(c, 2)
	d.submit(shortJob("a", d.now), 1)
	first := d.of(Start)[0]
	for range maxStartCopies - 1 {
		d.now += 24 * ms
		d.overdue(first, 0)
		again := d.of(Start)
		c.Assert(again, qt.HasLen, 1)
		c.Assert(again[0], qt.DeepEquals, first, qt.Commentf("the executor must know it as the same start"))
	}
	d.now += 25 * ms
	d.overdue(first, 0)
	c.Assert(d.of(Start), qt.HasLen, 0, qt.Commentf("an executor that doesn't answer so many is likely gone"))
}

func TestAnOverdueStartIsNotSentAgain(t *testing.T) {
	type scenario struct {
		testName string
		before   func(d *driver, start Command)
	}
	scenarios := []scenario{
		{testName: "once its deadline has passed", before: func(d *driver, _ Command) { d.now += shortestLease }},
		{testName: "to an executor that is silent", before: func(d *driver, start Command) { d.holdUnanswered(start.Executor.ID) }},
		{testName: "when its answer has come meanwhile", before: func(d *driver, start Command) { d.startAnswer(start, Accepted) }},
		{testName: "for a job that was withdrawn", before: func(d *driver, _ Command) { d.cell.Withdraw("a", "caller_gone", d.now) }},
		{testName: "when a hold has listed its run", before: func(d *driver, start Command) {
			d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, d.now, d.now)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 2)
			d.submit(shortJob("a", d.now), 1)
			start := d.of(Start)[0]
			s.before(d, start)
			d.take()
			d.of(Start)
			d.overdue(start, 0)
			c.Assert(d.of(Start), qt.HasLen, 0)
		})
	}
}

// Where one call in five isn't answered, single holds that are lost would keep a fifth
// of all executors out of work.
func TestOneOverdueHoldIsNoSilentExecutor(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	id := start.Executor.ID
	e := d.cell.executors[catalog.Incarnation(id)]
	hold := d.of(Hold)[0]
	sentAt := d.now
	d.now += hold.Wait + 25*ms
	d.overdue(hold, sentAt)
	c.Assert(e.unresponsive, qt.IsFalse)
	second := d.of(Hold)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Wait, qt.Equals, time.Duration(0), qt.Commentf("the second look tells at once"))
	c.Assert(second[0].Deadline, qt.Equals, time.Duration(0), qt.Commentf("and renews nothing"))
	for missed := 2; missed <= maxMissedHolds; missed++ {
		c.Assert(e.unresponsive, qt.IsFalse)
		d.now += 25 * ms
		d.overdue(second[0], d.now-25*ms)
	}
	c.Assert(e.unresponsive, qt.IsTrue)
}

// An answer that is overtaken by that of a later hold lists runs that have ended since.
func TestALateListBringsBackNoRunThatHasEnded(t *testing.T) {
	c := qt.New(t)
	d, start := startedOn(c, 1)
	id := start.Executor.ID
	hold := d.of(Hold)[0]
	sentAt := d.now
	d.now += 300 * ms
	d.overdue(hold, sentAt)
	d.now += 5 * ms
	d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{
		Clock: time.Minute + d.now, Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}},
	}, d.now-2*ms, d.now)
	d.take()
	c.Assert(d.finished, qt.HasLen, 1)
	d.cell.LateHoldAnswered(catalog.Incarnation(id), HoldResponse{
		Clock: time.Minute + d.now - 50*ms, Running: []RunningTask{{Task: start.Task, Run: start.Run}},
	}, sentAt, d.now+20*ms)
	c.Assert(d.cell.executors[catalog.Incarnation(id)].runs, qt.HasLen, 0)
	c.Assert(d.cell.lossyUntil > d.now, qt.IsTrue, qt.Commentf("the overtaken one was lost or is on a slow way"))
}

// What an owner learns late counted as the time of healthy executors: within 5 s of one
// order in five lost, 704 times one of 350 was ejected as slow.
func TestNoExecutorIsSlowForAnEndThatItsOwnerMissed(t *testing.T) {
	type scenario struct {
		testName  string
		blindFrom time.Duration // after the start, when a hold is sent that is overdue; 0 for none
		want      bool
	}
	scenarios := []scenario{
		{testName: "all holds are answered: the executor is slow", want: true},
		{testName: "a hold was overdue while the run may have ended", blindFrom: 200 * ms},
		{testName: "a hold was overdue, after far more than the expected time", blindFrom: 1200 * ms, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := adopted(c, 4)
			d.now += ms
			d.submit(testJob("a", 1, d.now), 1)
			start := d.of(Start)[0]
			d.startAnswer(start, Accepted)
			id := start.Executor.ID
			d.now += 1400 * ms // seven times as long as expected
			if s.blindFrom > 0 {
				d.cell.HoldOverdue(catalog.Incarnation(id), s.blindFrom, d.now)
			}
			d.cell.HoldAnswered(catalog.Incarnation(id), HoldResponse{
				Clock: time.Minute + d.now, Ended: []EndedTask{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}},
			}, d.now-2*ms, d.now)
			c.Assert(!d.cell.executors[catalog.Incarnation(id)].health.allows(d.now), qt.Equals, s.want)
		})
	}
}
