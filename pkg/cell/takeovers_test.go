package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// takeover is an owner that claims the cell after the former one has died.
type takeover struct {
	after     time.Duration // time since the death of the former owner
	diesAfter time.Duration // time since its claim; 0 if it does not die
}

// chain is a cell whose owners die one after the other.
type chain struct {
	*world
	neighbour *modelJob // of a live front, on the same executor; nil for none
}

// newChain returns a cell of one executor, whose clock runs at the slowest allowed rate.
func newChain() *chain {
	w := &world{}
	w.random = rand.New(rand.NewPCG(1, 1))
	w.calm = true
	w.lasts = func(string) (time.Duration, EndKind) { return time.Minute, EndDone }
	w.executors = []*modelExecutor{newModelExecutor(0, 1-maxClockDrift)}
	w.newOwner()
	return &chain{world: w}
}

func (c *chain) advance(d time.Duration) {
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

// takeOver ends the newest owner and has another one claim the cell.
func (c *chain) takeOver(t takeover) {
	c.newest().dead = true
	c.advance(t.after)
	c.newOwner()
	if c.neighbour != nil {
		c.redispatch(c.neighbour, nil)
	}
	if t.diesAfter > 0 {
		c.advance(t.diesAfter)
	}
}

// When a front dies together with the owner, the runs of its jobs must end before its callers
// resubmit them, through any number of takeovers. The time for which owners retain runs
// without a job has to be limited over all owners together.
func TestNoRunOutlivesItsFrontThroughTakeovers(t *testing.T) {
	first, next, last := takeover{after: 250 * ms, diesAfter: 350 * ms}, takeover{after: 500 * ms, diesAfter: 350 * ms}, takeover{after: 500 * ms}
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
		{testName: "one, beside a run of a live front", takeovers: []takeover{{after: 250 * ms}}, neighbour: true},
		{testName: "two, beside a run of a live front", takeovers: []takeover{first, last}, neighbour: true},
		{testName: "four, beside a run of a live front", takeovers: []takeover{first, next, next, last}, neighbour: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			model := newChain()
			model.advance(50 * ms)
			if s.neighbour {
				model.neighbour = model.submitLong("beside")
			}
			orphaned := model.submitLong("left")
			model.advance(300 * ms)
			executor := model.executors[0]
			c.Assert(executor.runs["left.0.0.0"].number, qt.Equals, int64(1), qt.Commentf("the task runs when its front dies"))

			diedAt := model.now
			orphaned.frontCrashed = true
			var lastAliveAfter time.Duration
			model.watch(func() {
				executor.endDueRuns(model.now)
				if _, runs := executor.runs["left.0.0.0"]; runs {
					lastAliveAfter = model.now - diedAt
				}
			})
			for _, t := range s.takeovers {
				model.takeOver(t)
			}
			model.advance(3 * time.Second)
			c.Assert(lastAliveAfter < resubmitDelay, qt.IsTrue, qt.Commentf("the run continued for %s after the front's death", lastAliveAfter))
		})
	}
}

// watch calls observe as time passes from now on.
func (c *chain) watch(observe func()) {
	c.after(0, func() {
		observe()
		c.watch(observe)
	})
}
