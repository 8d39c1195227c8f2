package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

const testLeaseLimit = 1150 * ms // of a job, from its receipt on

// limitWorld is a model executor, and an owner of its cell that may be replaced.
type limitWorld struct {
	timeline
	executor *modelExecutor
	owners   []*Cell
	holds    int
	returned map[string]string // by job id: why an owner returned it

	lapsedRuns int // that have ended with their leases
}

func newLimitWorld() *limitWorld {
	w := &limitWorld{executor: newModelExecutor(0, 1), returned: map[string]string{}}
	w.now = time.Minute
	w.executor.onEnd = func(_ *modelExecutor, end EndedTask) {
		if end.Kind == EndLapsed {
			w.lapsedRuns++
		}
	}
	w.addOwner()
	w.pass(time.Second) // the leases of former owners are over
	return w
}

// addOwner has an owner claim the cell. Former owners are fenced by its first hold.
func (w *limitWorld) addOwner() {
	o := New(DefaultParams(time.Second, testJobLease, 50*ms), int64(len(w.owners)+1), w.now)
	w.owners = append(w.owners, o)
	o.MarkListComplete()
	o.SetExecutors([]catalog.Executor{testExecutor(0)}, w.now)
	w.execute()
}

func (w *limitWorld) newest() *Cell { return w.owners[len(w.owners)-1] }

// submit submits a job whose task takes a minute.
func (w *limitWorld) submit(id string, epoch int, received, limit time.Duration) {
	j := testJob(id, 1, received)
	j.Deadline, j.Target, j.Steps[0].Estimate = received+2*time.Minute, 2*time.Minute, time.Minute
	w.newest().Submit(Handover{Job: j, Epoch: epoch, RenewedAt: w.now, LeaseLimit: limit}, w.now)
	w.execute()
}

// pass has some time pass, in which all fronts renew their jobs at the owners that have them.
func (w *limitWorld) pass(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.now += limitStep
		w.fire()
		w.executor.endDueRuns(w.now)
		for _, o := range w.owners {
			for id := range o.jobs {
				o.Renew([]string{id}, w.now-50*ms, w.now)
			}
			o.Tick(w.now)
		}
		w.execute()
	}
}

// execute carries out the commands of all owners.
func (w *limitWorld) execute() {
	lasts := func() (time.Duration, EndKind) { return time.Minute, EndDone }
	for again := true; again; {
		again = false
		for _, o := range w.owners {
			commands, finished, _ := o.TakeActions()
			for _, f := range finished {
				w.returned[f.ID] = f.Outcome.Reason
			}
			for _, command := range commands {
				again = true
				w.answer(o, command, w.executor.apply(command, lasts, w.now))
			}
		}
	}
}

// limitStep is the time between two ticks.
const limitStep = 5 * ms

// answer answers a command at once, and a hold after its wait.
func (w *limitWorld) answer(o *Cell, command Command, verdict Verdict) {
	e, incarnation := w.executor, catalog.Incarnation(w.executor.id)
	switch command.Kind {
	case Start:
		o.StartAnswered(incarnation, command.Task, command.Run, verdict, e.clock(w.now), w.now)
	case Stop:
		o.StopAnswered(incarnation, command.Task, command.Run, verdict, e.clock(w.now), w.now)
	case Hold:
		w.holds++
		sentAt := w.now
		answer := func() {
			o.HoldAnswered(incarnation, HoldResponse{Verdict: verdict, Clock: e.clock(w.now), Running: e.running(), Ended: e.ends()}, sentAt, w.now)
		}
		if command.Wait == 0 && len(e.runs) == 0 {
			answer()
			return
		}
		w.after(max(command.Wait, limitStep), answer)
	}
}

// Guards against a run beside that of a second sending: its front and its owner, one host that is cut off
// from all others, renewed it, and the next owner kept it as an orphan without a lease of its own. The
// stop of the former owner came after its fencing.
func TestARunEndsByTheLimitOfItsJobLeaseInATakeover(t *testing.T) {
	type scenario struct {
		testName     string
		besideOthers bool // a run of a job at the executor that a front hands over to the next owner
	}
	for _, s := range []scenario{{testName: "alone"}, {testName: "beside another run", besideOthers: true}} {
		for fencedAt := 300 * ms; fencedAt <= testLeaseLimit; fencedAt += 50 * ms {
			t.Run(fmt.Sprintf("%s, fenced at %s", s.testName, fencedAt), func(t *testing.T) {
				c := qt.New(t)
				w := newLimitWorld()
				received := w.now
				if s.besideOthers {
					w.submit("beside", 1, received, 0)
				}
				w.submit("left", 1, received, received+testLeaseLimit)
				c.Assert(w.executor.runs, qt.HasLen, len(w.owners[0].jobs))
				w.pass(fencedAt)
				w.addOwner()
				w.pass(5 * ms)
				c.Assert(w.executor.fence, qt.Equals, int64(2))
				if s.besideOthers {
					w.submit("beside", 2, received, 0)
				}
				w.pass(testLeaseLimit - (w.now - received))
				c.Assert(w.executor.runs["left.0.0.0"], qt.Equals, modelRun{}, qt.Commentf("its lease would end %s after its limit", w.executor.deadline-w.executor.clock(w.now)))
			})
		}
	}
}

// A job of which a domain may not know is stopped before its lease ends, so that the runs beside it go on.
func TestAJobIsReturnedBeforeTheLimitOfItsLease(t *testing.T) {
	c := qt.New(t)
	w := newLimitWorld()
	received := w.now
	w.submit("beside", 1, received, 0)
	w.submit("left", 1, received, received+testLeaseLimit)
	w.pass(testLeaseLimit - 2*50*ms - 5*ms)
	c.Assert(w.executor.runs, qt.HasLen, 2)
	c.Assert(w.returned, qt.HasLen, 0)
	w.pass(10 * ms)
	c.Assert(w.returned, qt.DeepEquals, map[string]string{"left": ReasonNotConfirmed})
	c.Assert(w.executor.runs, qt.HasLen, 1)
	w.pass(2 * time.Second)
	c.Assert(w.lapsedRuns, qt.Equals, 0)
	c.Assert(w.executor.runs["beside.0.0.0"].number, qt.Equals, int64(1))
}

// Nothing of a job starts that the limit of its lease doesn't cover, and nothing waits any more once the
// limit is lifted.
func TestALeaseLimitBoundsStarts(t *testing.T) {
	type scenario struct {
		testName     string
		age          time.Duration // of the job when the owner gets it
		besideOthers bool
		want         bool
	}
	scenarios := []scenario{
		{testName: "a new job", want: true},
		{testName: "a new job beside a run", besideOthers: true, want: true},
		{testName: "an old one at an idle executor", age: 900 * ms, want: true},
		{testName: "an old one beside a run whose lease outlasts the limit", age: 900 * ms, besideOthers: true},
		{testName: "one that would be stopped at once", age: testLeaseLimit - shortestLease/2},
		{testName: "after the limit", age: 2 * testLeaseLimit},
	}
	for _, s := range scenarios {
		for _, isLifted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, limit lifted: %t", s.testName, isLifted), func(t *testing.T) {
				c := qt.New(t)
				w := newLimitWorld()
				if s.besideOthers {
					w.submit("beside", 1, w.now, 0)
					w.pass(500 * ms)
				}
				received := w.now - s.age
				w.submit("a", 1, received, received+testLeaseLimit)
				_, begun := w.executor.runs["a.0.0.0"]
				c.Assert(begun, qt.Equals, s.want)
				if isLifted {
					w.newest().SetLeaseLimits(map[string]time.Duration{"a": 0, "unknown": 0}, w.now)
					w.execute()
					_, begun = w.executor.runs["a.0.0.0"]
					c.Assert(begun, qt.IsTrue)
					w.pass(3 * time.Second)
					c.Assert(w.lapsedRuns, qt.Equals, 0)
					return
				}
				w.pass(3 * time.Second)
				c.Assert(w.executor.runs["a.0.0.0"], qt.Equals, modelRun{})
				c.Assert(w.returned["a"], qt.Equals, ReasonNotConfirmed)
			})
		}
	}
}

// A job that waits for its confirmation must not have its executors called at short intervals for long.
func TestALeaseLimitThatIsLiftedInTimeCausesFewHolds(t *testing.T) {
	c := qt.New(t)
	count := func(limit time.Duration) int {
		w := newLimitWorld()
		received := w.now
		if limit > 0 {
			limit += received
		}
		w.submit("a", 1, received, limit)
		w.pass(800 * ms)
		w.newest().SetLeaseLimits(map[string]time.Duration{"a": 0}, w.now)
		w.pass(500 * ms)
		c.Assert(w.executor.runs, qt.HasLen, 1)
		return w.holds
	}
	c.Assert(count(testLeaseLimit) <= count(0)+1, qt.IsTrue, qt.Commentf("%d holds, and %d without a limit", count(testLeaseLimit), count(0)))
}

// The limit of a further handover replaces the one before, as the owner's host combines those of all fronts.
func TestAHandoverReplacesTheLeaseLimit(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 1)
	d.now = 2 * time.Second
	j := testJob("a", 1, d.now)
	handover := Handover{Job: j, Epoch: 1, RenewedAt: d.now, LeaseLimit: d.now + testLeaseLimit}
	d.cell.Submit(handover, d.now)
	c.Assert(d.cell.leaseEnd(d.cell.jobs["a"]), qt.Equals, d.now+testLeaseLimit)
	handover.LeaseLimit = 0
	d.cell.Submit(handover, d.now)
	c.Assert(d.cell.leaseEnd(d.cell.jobs["a"]), qt.Equals, d.now+testJobLease)
	d.cell.Submit(Handover{Job: keptJob("kept", 1, d.now), Epoch: 1, RenewedAt: d.now, LeaseLimit: d.now + testLeaseLimit}, d.now)
	c.Assert(d.cell.leaseEnd(d.cell.jobs["kept"]), qt.Equals, noExpiry, qt.Commentf("a kept job"))
}
