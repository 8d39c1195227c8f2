package node

import (
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
