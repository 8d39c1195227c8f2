package node

import (
	"sync"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// A refused job may be submitted again, by its caller or as a part of a split job. The
// owner must decide anew and not repeat the earlier refusal.
func TestARefusedJobMayBeSubmittedAgain(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	o := newOwner(n, "cell", 1, n.Clock.Now())
	var outcomes []job.Outcome
	w := waiter{front: "front:1", reply: func(outcome job.Outcome) { outcomes = append(outcomes, outcome) }}
	submit := func(timeLeft time.Duration) {
		now := n.Clock.Now()
		j := &job.Job{ID: "a", Service: "s", Steps: []job.Step{{Count: 1, Estimate: time.Second}}, Received: now, Deadline: now + timeLeft}
		o.submit(cell.Handover{Job: j, Epoch: 1}, w)
		o.tick()
	}
	submit(500 * time.Millisecond)
	c.Assert(outcomes, qt.HasLen, 1)
	c.Assert(outcomes[0].Kind, qt.Equals, job.Refused)
	submit(time.Minute)
	c.Assert(outcomes, qt.HasLen, 1, qt.Commentf("the job waits for capacity"))
	c.Assert(o.state.NeedsTicks(), qt.IsTrue)
}

// Guards against a job that is forgotten because its owner was released while it arrived.
func TestAJobThatArrivesWhileItsOwnerIsReleasedIsReturned(t *testing.T) {
	const attempts = 3000
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	for range attempts {
		o := newOwner(n, "cell", 1, n.Clock.Now())
		now := n.Clock.Now()
		j := &job.Job{ID: "a", Service: "s", Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Minute}
		outcomes := make(chan job.Outcome, 1)
		var group sync.WaitGroup
		group.Go(func() { o.release("taken_over") })
		group.Go(func() {
			o.submit(cell.Handover{Job: j, Epoch: 1}, waiter{front: "front:1", reply: func(outcome job.Outcome) { outcomes <- outcome }})
		})
		group.Wait()
		c.Assert(outcomes, qt.HasLen, 1)
		c.Assert((<-outcomes).Kind, qt.Equals, job.Moved)
	}
}
