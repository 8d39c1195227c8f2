package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Tasks ran twice at once, on executors of two domains, after a front had died
// together with the owner that had its job. The next owner adopted the runs, to
// keep them for the grace of orphans, and died before that was over; the one after
// it adopted them again, with a grace of its own, while holds renewed their
// leases. 1.3 s after the front's death its caller sent the job again, by a front
// that knew nothing of the first sending and handed it to another cell. The cause:
// each owner counted from its own claim how long runs without a job may go on, so
// that nothing bounded the sum over several owners.

// takeover is an owner that claims the cell after the one before has died.
type takeover struct {
	after time.Duration // the death of the one before
	lives time.Duration // until it dies too; 0 for ever
}

// chain is a cell whose owners die one after the other.
type chain struct {
	*world
	neighbour *modelJob // of a front that lives, on the same executor; nil for none
}

// newChain makes a cell of one executor, whose clock is as slow as it may be.
func newChain() *chain {
	w := &world{}
	w.random = rand.New(rand.NewPCG(1, 1))
	w.calm = true
	w.lasts = func(string) (time.Duration, EndKind) { return time.Minute, EndDone }
	w.executors = []*modelExecutor{newModelExecutor(0, 1-maxClockDrift)}
	w.newOwner()
	return &chain{world: w}
}

func (c *chain) passTime(d time.Duration) {
	for until := c.now + d; c.now < until; {
		c.now += exploreStep
		c.renew()
		c.fire()
		c.tick()
	}
}

func (c *chain) submitLong(id string) *modelJob {
	j := testJob(id, 1, c.now)
	j.Steps[0].Estimate = 10 * time.Second
	j.Deadline = c.now + time.Minute
	m := &modelJob{job: j, epoch: 1}
	c.submit(c.newest(), m, nil)
	return m
}

func (c *chain) newest() *modelOwner { return c.owners[len(c.owners)-1] }

// takeOver lets the newest owner die and another one claim.
func (c *chain) takeOver(t takeover) {
	c.newest().dead = true
	c.passTime(t.after)
	c.newOwner()
	if c.neighbour != nil {
		c.handOn(c.neighbour, nil)
	}
	if t.lives > 0 {
		c.passTime(t.lives)
	}
}

func TestNoRunOutlivesItsFrontThroughTakeovers(t *testing.T) {
	first, next, last := takeover{after: 250 * ms, lives: 350 * ms}, takeover{after: 500 * ms, lives: 350 * ms}, takeover{after: 500 * ms}
	type scenario struct {
		testName  string
		takeovers []takeover
		neighbour bool
	}
	scenarios := []scenario{
		{testName: "one", takeovers: []takeover{{after: 250 * ms}}},
		{testName: "two", takeovers: []takeover{first, last}},
		{testName: "three", takeovers: []takeover{first, next, last}},
		{testName: "four", takeovers: []takeover{first, next, next, last}},
		{testName: "one, beside a run that is waited for", takeovers: []takeover{{after: 250 * ms}}, neighbour: true},
		{testName: "two, beside a run that is waited for", takeovers: []takeover{first, last}, neighbour: true},
		{testName: "four, beside a run that is waited for", takeovers: []takeover{first, next, next, last}, neighbour: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			play := newChain()
			play.passTime(50 * ms)
			if s.neighbour {
				play.neighbour = play.submitLong("beside")
			}
			left := play.submitLong("left")
			play.passTime(300 * ms)
			executor := play.executors[0]
			c.Assert(executor.runs["left.0.0.0"].number, qt.Equals, int64(1), qt.Commentf("it runs when its front dies"))

			diedAt := play.now
			left.frontless = true
			var lasted time.Duration
			play.watch(func() {
				executor.pass(play.now)
				if _, runs := executor.runs["left.0.0.0"]; runs {
					lasted = play.now - diedAt
				}
			})
			for _, t := range s.takeovers {
				play.takeOver(t)
			}
			play.passTime(3 * time.Second)
			c.Assert(lasted < callerResends, qt.IsTrue, qt.Commentf("its run went on for %s after the front's death", lasted))
		})
	}
}

// watch has look called as time passes from now on.
func (c *chain) watch(look func()) {
	c.after(0, func() {
		look()
		c.watch(look)
	})
}
