package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// shortJob returns a job with a task of the shortest kind, whose answer has little value after
// half a second.
func shortJob(id string, now time.Duration) *job.Job {
	j := testJob(id, 1, now)
	j.Steps[0].Estimate = 60 * ms
	return j
}

func TestLeaseOfAStart(t *testing.T) {
	type scenario struct {
		testName string
		estimate time.Duration
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "a short task, whose lost start is soon abandoned", estimate: 60 * ms, want: shortestLease},
		{testName: "a task of medium length", estimate: 200 * ms, want: 300 * ms},
		{testName: "a long task", estimate: 900 * ms, want: 500 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			cell := New(DefaultParams(time.Second, testJobLease, 50*ms), 1, 0)
			qt.Assert(t, cell.startLease(s.estimate), qt.Equals, s.want)
		})
	}
}

func TestALostStartIsRepeatedSoon(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 2)
	d.submit(shortJob("a", d.now), 1)
	start := d.takeCommands(Start)[0]
	d.takeCommands(Hold)
	sentAt := d.now
	d.now += 100 * ms
	d.startAnswered(start, Unanswered)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("it may still start"))
	d.now = sentAt + shortestLease + 10*ms
	d.holdAnswered(0, HoldResponse{Clock: time.Minute + d.now}, sentAt)
	again := d.takeCommands(Start)
	c.Assert(again, qt.HasLen, 1, qt.Commentf("the deadline of the first start has passed"))
	c.Assert(again[0].Run > start.Run, qt.IsTrue)
}

// A single unanswered start must not make an executor unresponsive, which would end its other
// runs.
func TestAnUnansweredStartDoesNotAffectOtherRuns(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.submit(testJob("a", 1, d.now), 1)
	first := d.takeCommands(Start)[0]
	d.now += ms
	d.startAnswered(first, Accepted)
	d.takeCommands(Hold)
	d.submit(testJob("b", 1, d.now), 1)
	second := d.takeCommands(Start)[0]
	d.now += 100 * ms
	d.startAnswered(second, Unanswered)
	c.Assert(d.cell.executors[testIncarnation(0)].unresponsive, qt.IsFalse, qt.Commentf("leases of an unresponsive executor would not be renewed"))
	d.submit(shortJob("c", d.now), 1)
	c.Assert(d.takeCommands(Start), qt.HasLen, 0, qt.Commentf("no start before the executor has answered"))
	// It answers the pending hold with a's end and b's run.
	d.holdAnswered(0, HoldResponse{
		Clock:   time.Minute + d.now,
		Running: []RunningTask{{Task: second.Task, Run: second.Run}},
		Ended:   []EndedTask{{Number: 1, Task: first.Task, Run: first.Run, Kind: EndDone}},
	}, 0)
	c.Assert(d.takeCommands(Start), qt.HasLen, 1, qt.Commentf("the executor gets work again"))
	holds := d.takeCommands(Hold)
	c.Assert(holds, qt.HasLen, 1)
	c.Assert(holds[0].Deadline > time.Minute+d.now, qt.IsTrue, qt.Commentf("b's lease is renewed"))
}

// While calls go unanswered, a hold returns when the next end is due, so that a lost response
// is noticed early.
func TestHowLongAHoldWaits(t *testing.T) {
	type scenario struct {
		testName string
		lossy    bool
		after    time.Duration // the start
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "all calls are answered", want: 250 * ms},
		{testName: "calls go unanswered: until the end is due", lossy: true, want: 60*ms + holdWaitMargin},
		{testName: "nearly due", lossy: true, after: 55 * ms, want: shortestHoldWait},
		{testName: "overdue", lossy: true, after: 80 * ms, want: shortestHoldWait},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newAdoptedDriver(c, 1)
			d.submit(shortJob("a", d.now), 1)
			d.startAnswered(d.takeCommands(Start)[0], Accepted)
			if s.lossy {
				d.cell.lossyUntil = time.Minute
			}
			c.Assert(d.cell.holdWait(d.cell.executors[testIncarnation(0)], s.after), qt.Equals, s.want)
		})
	}
}

func TestPausesBetweenHoldsToAnUnresponsiveExecutor(t *testing.T) {
	type scenario struct {
		testName string
		missed   int
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "a single hold may have been lost", missed: 1},
		{testName: "the second in a row", missed: 2, want: firstRetryPause},
		{testName: "the third", missed: 3, want: 2 * firstRetryPause},
		{testName: "unresponsive for long", missed: 50, want: longestRetryPause},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, holdRetryPause(s.missed), qt.Equals, s.want)
		})
	}
}

// The job of a stopped run may be resubmitted elsewhere soon, while holds renew the leases of
// all runs on the executor. A lost stop must therefore be sent again.
func TestALostStopIsRepeated(t *testing.T) {
	type scenario struct {
		testName     string
		unresponsive bool // the executor has missed a hold meanwhile
		verdict      Verdict
		want         int
	}
	scenarios := []scenario{
		{testName: "answered", verdict: Accepted},
		{testName: "lost: sent again at once", verdict: Unanswered, want: 1},
		{testName: "lost at an unresponsive executor: when it answers again", unresponsive: true, verdict: Unanswered, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d, start := startedOn(c, 2)
			d.cell.Withdraw("a", "front_gone", d.now)
			d.takeActions()
			stop := d.takeCommands(Stop)[0]
			if s.unresponsive {
				d.holdUnanswered(start.Executor.ID)
			}
			d.now += 80 * ms
			d.cell.StopAnswered(stop.Executor.Incarnation(), stop.Task, stop.Run, s.verdict, 0, d.now)
			d.takeActions()
			if s.unresponsive {
				c.Assert(d.takeCommands(Stop), qt.HasLen, 0)
			}
			d.now += ms
			sentAt := d.now
			d.cell.HoldAnswered(start.Executor.Incarnation(), HoldResponse{Clock: time.Minute + d.now, Running: []RunningTask{{Task: start.Task, Run: start.Run}}}, sentAt, d.now)
			d.takeActions()
			again := d.takeCommands(Stop)
			c.Assert(again, qt.HasLen, s.want)
			for _, stop := range again {
				c.Assert(stop.Task, qt.Equals, start.Task)
				c.Assert(stop.Run, qt.Equals, start.Run)
			}
		})
	}
}
