package cell

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// bornExecutor returns an executor's first life, which tells when it began.
func bornExecutor(i int) catalog.Executor { return nextLife(testExecutor(i)) }

// nextLife returns the life of an executor that comes after one.
func nextLife(info catalog.Executor) catalog.Executor {
	info.StartedAt += 1000
	return info
}

// adoptedLives makes a driver whose executors tell when their lives began and have answered
// their first hold.
func adoptedLives(c *qt.C, count int) (*driver, []catalog.Executor) {
	var infos []catalog.Executor
	for i := range count {
		infos = append(infos, bornExecutor(i))
	}
	d := newDriver(c, infos...)
	for i := range infos {
		d.answerHold(&infos[i], HoldResponse{Clock: time.Minute + d.now})
	}
	d.commands = nil
	return d, infos
}

func (d *driver) answerHold(info *catalog.Executor, answer HoldResponse) {
	d.renew()
	d.cell.HoldAnswered(info.Incarnation(), answer, d.now, d.now)
	d.take()
}

// startFour gives the cell a job of four tasks for two executors, and returns the starts.
func (d *driver) startFour() []Command {
	d.submit(testJob("job", 4, d.now), 1)
	starts := d.of(Start)
	d.c.Assert(starts, qt.HasLen, 4)
	return starts
}

// onExecutor returns the commands for an executor.
func onExecutor(commands []Command, info *catalog.Executor) []Command {
	var there []Command
	for _, command := range commands {
		if command.Executor.ID == info.ID {
			there = append(there, command)
		}
	}
	return there
}

func TestRunsOfAnEndedLifeAreFreedAtOnce(t *testing.T) {
	type scenario struct {
		testName string
		ends     func(d *driver, info *catalog.Executor)
	}
	scenarios := []scenario{
		{testName: "another life is listed", ends: func(d *driver, info *catalog.Executor) {
			d.cell.SetExecutors([]catalog.Executor{nextLife(*info), bornExecutor(1)}, d.now)
			d.take()
		}},
		{testName: "another life has answered a hold", ends: func(d *driver, info *catalog.Executor) {
			d.answerHold(info, HoldResponse{Verdict: AcceptedByOther})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d, infos := adoptedLives(c, 2)
			for _, start := range d.startFour() {
				d.startAnswer(start, Accepted)
			}
			s.ends(d, &infos[0])
			c.Assert(d.cell.executors[infos[0].Incarnation()], qt.Satisfies, func(e *executor) bool { return e == nil || len(e.runs) == 0 })
			c.Assert(d.cell.executors[infos[1].Incarnation()].runs, qt.HasLen, 2)
		})
	}
}

// The next life carries out orders for the former one, as both have one id.
func TestAStartThatTheNextLifeMayHaveWaitsForItsStop(t *testing.T) {
	type scenario struct {
		testName string
		answer   func(d *driver, start Command)
	}
	scenarios := []scenario{
		{testName: "it got no answer", answer: func(d *driver, start Command) {
			for range maxStartCopies {
				d.startAnswer(start, Unanswered)
			}
		}},
		{testName: "it was accepted by a clock that has begun anew", answer: func(d *driver, start Command) {
			d.cell.StartAnswered(start.Executor.Incarnation(), start.Task, start.Run, Accepted, time.Second, d.now)
			d.take()
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d, infos := adoptedLives(c, 2)
			starts := onExecutor(d.startFour(), &infos[0])
			c.Assert(starts, qt.HasLen, 2)
			s.answer(d, starts[0])
			d.startAnswer(starts[1], Accepted)
			d.commands = nil
			d.answerHold(&infos[0], HoldResponse{Verdict: AcceptedByOther})
			runs := d.cell.executors[infos[0].Incarnation()].runs
			c.Assert(runs, qt.HasLen, 1)
			c.Assert(runs[starts[0].Task], qt.IsNotNil)
			stops := d.of(Stop)
			c.Assert(stops, qt.HasLen, 1)

			d.cell.StopAnswered(infos[0].Incarnation(), starts[0].Task, starts[0].Run, Unanswered, 0, d.now)
			d.tick(2 * stopResendPause)
			c.Assert(d.of(Stop), qt.Not(qt.HasLen), 0) // it is ordered again
			d.cell.StopAnswered(infos[0].Incarnation(), starts[0].Task, starts[0].Run, Accepted, time.Second, d.now)
			d.take()
			c.Assert(d.cell.taskOf(starts[0].Task).current, qt.IsNotNil) // a stop takes its time
			d.tick(50 * ms)
			c.Assert(d.cell.executors[infos[0].Incarnation()], qt.Satisfies, func(e *executor) bool { return e == nil || len(e.runs) == 0 })
		})
	}
}

// taskOf returns the task that executors know by a name.
func (c *Cell) taskOf(name string) *task {
	_, t := c.findTask(name)
	return t
}

func TestTheNextLifeOfADrainedExecutorGetsWork(t *testing.T) {
	c := qt.New(t)
	d, infos := adoptedLives(c, 1)
	drains := infos[0]
	drains.Draining = true
	d.cell.SetExecutors([]catalog.Executor{drains}, d.now)
	d.submit(testJob("job", 1, d.now), 1)
	c.Assert(d.of(Start), qt.HasLen, 0)
	next := nextLife(infos[0])
	d.cell.SetExecutors([]catalog.Executor{next}, d.now)
	d.take()
	d.answerHold(&next, HoldResponse{Clock: time.Second})
	starts := d.of(Start)
	c.Assert(starts, qt.HasLen, 1)
	// by the clock of this life
	c.Assert(starts[0].Deadline < 2*time.Second, qt.IsTrue, qt.Commentf("%s", starts[0].Deadline))
}

// Another writer's row of an executor may lack when its life began.
func TestARowThatDoesNotTellWhenALifeBeganEndsNone(t *testing.T) {
	untold := bornExecutor(0)
	untold.StartedAt = 0
	type scenario struct {
		testName string
		listed   []catalog.Executor // one after the other
		lives    int
	}
	scenarios := []scenario{
		{testName: "it is told no more", listed: []catalog.Executor{bornExecutor(0), untold}, lives: 1},
		{testName: "it is told again", listed: []catalog.Executor{bornExecutor(0), untold, bornExecutor(0)}, lives: 1},
		{testName: "it is told for the first time", listed: []catalog.Executor{untold, bornExecutor(0)}, lives: 1},
		{testName: "another life is listed afterwards", listed: []catalog.Executor{bornExecutor(0), untold, nextLife(bornExecutor(0))}, lives: 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d := newDriver(c, s.listed[0])
			d.answerHold(&s.listed[0], HoldResponse{Clock: time.Minute + d.now})
			d.submit(testJob("job", 1, d.now), 1)
			start := d.of(Start)[0] // keeps the former life in mind
			for _, info := range s.listed[1:] {
				d.cell.SetExecutors([]catalog.Executor{info}, d.now)
				d.take()
			}
			c.Assert(d.cell.executors, qt.HasLen, s.lives)
			c.Assert(d.cell.executors[start.Executor.Incarnation()].ended, qt.Equals, s.lives > 1)
		})
	}
}

// An owner whose executors have another life that isn't listed yet doesn't know what that one
// runs for the former owner.
func TestATakeoverIsNotSettledBeforeTheNextLifeIsListed(t *testing.T) {
	c := qt.New(t)
	info := bornExecutor(0)
	d := newDriver(c, info)
	d.answerHold(&info, HoldResponse{Verdict: AcceptedByOther})
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse)
	next := nextLife(info)
	d.cell.SetExecutors([]catalog.Executor{next}, d.now)
	d.take()
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsFalse)
	d.answerHold(&next, HoldResponse{Clock: time.Second})
	c.Assert(d.cell.IsTakeoverComplete(d.now), qt.IsTrue)
}

// A start that nothing shows is kept for longer than the leases at an executor that may have
// started again since it was heard last.
func TestASilentExecutorMayHaveStartedAgain(t *testing.T) {
	type scenario struct {
		testName string
		unheard  time.Duration // before the start
		kept     bool
	}
	scenarios := []scenario{
		{testName: "it answered a moment before", unheard: 0, kept: false},
		{testName: "nothing was heard of it for long", unheard: shortestRestart, kept: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			d, infos := adoptedLives(c, 1)
			d.now += s.unheard
			d.submit(testJob("job", 1, d.now), 1)
			start := d.of(Start)[0]
			for range maxStartCopies {
				d.startAnswer(start, Unanswered)
			}
			for range maxMissedHolds {
				d.answerHold(&infos[0], HoldResponse{Verdict: Unanswered})
			}
			e := d.cell.executors[infos[0].Incarnation()]
			e.grantedUntil = 0 // its leases are over
			d.cell.advance(d.now)
			c.Assert(len(e.runs) == 1, qt.Equals, s.kept)
		})
	}
}
