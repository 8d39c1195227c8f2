package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// A front that has lost an owner waits out the lease that the job had there, and the
// time that executors take to end its runs.
func TestAFrontWaitsOutTheLeaseAtALostOwner(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	params := n.cellParams()
	c.Assert(n.settleTime() >= params.JobLease+n.settings.StopTime, qt.IsTrue)
	c.Assert(params.JobLease+n.settings.StopTime < n.settings.ResubmitAfter, qt.IsTrue)
}

// What a Renew says, and the looks of this host for its own cells, reach the jobs: one
// that isn't renewed is given back, and no other.
func TestRenewalsReachTheJobs(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	clock := &common.ManualClock{At: time.Second}
	n.Clock = clock
	o := newOwner(n, "cell", 1, clock.At)
	n.owners["cell"] = o
	front, other := &peerpb.Hello{Address: "front"}, &peerpb.Hello{Address: "other"}
	back := map[string]job.Outcome{}
	for id, connection := range map[string]*peerpb.Hello{"renewed": front, "left": other, "own": nil} {
		j := &job.Job{ID: id, Steps: []job.Step{{Count: 1}}, Received: clock.At, Deadline: clock.At + time.Minute}
		o.submit(cell.Handover{Job: j, Epoch: 1}, waiter{front: "front", connection: connection, reply: func(outcome job.Outcome) { back[id] = outcome }})
	}
	for range 40 {
		clock.At += 50 * time.Millisecond
		n.onRenew(front, &peerpb.Renew{AsOf: n.moment()})
		n.renewJobs(clock.At)
		o.tick()
	}
	c.Assert(back, qt.HasLen, 1)
	c.Assert(back["left"].Reason, qt.Equals, cell.ReasonNotRenewed)
}
