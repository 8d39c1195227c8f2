package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

func TestUnresponsivePeers(t *testing.T) {
	const limit = 600 * time.Millisecond
	type scenario struct {
		testName string
		scans    []time.Duration // times of the checks; the peer sent something at 1 s
		closed   bool            // the peer's link
		now      time.Duration
		want     bool
	}
	scenarios := []scenario{
		{testName: "received from recently", scans: []time.Duration{time.Second}, now: 1500 * time.Millisecond},
		{testName: "unresponsive for longer than the limit", scans: []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond}, now: 1601 * time.Millisecond, want: true},
		{testName: "this process was paused meanwhile", scans: []time.Duration{time.Second, 3 * time.Second}, now: 3001 * time.Millisecond},
		{testName: "its link has closed", scans: []time.Duration{1300 * time.Millisecond}, closed: true, now: 1601 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a := newArrivals()
			a.beginScan(time.Second)
			a.record("peer", time.Second)
			for _, at := range s.scans {
				a.beginScan(at)
			}
			if s.closed {
				a.forget("peer")
			}
			qt.Assert(t, a.isUnresponsive("peer", limit, s.now), qt.Equals, s.want)
		})
	}
}

// Guards against a live front that waits forever: an owner that removes the jobs of an
// unresponsive front has to return them to it.
func TestJobsOfAnUnresponsiveFrontAreReturned(t *testing.T) {
	type scenario struct {
		testName string
		reason   string
		want     int // answers
	}
	scenarios := []scenario{
		{testName: "unresponsive", reason: reasonFrontUnresponsive, want: 1},
		{testName: "its link has closed", reason: reasonFrontDisconnected},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.executors.Store(newListing(0, &catalog.Executors{}, nil, nil))
			n.claim("z", n.Clock.Now())
			var answers []job.Outcome
			j := &job.Job{ID: "00112233445566ff", Steps: []job.Step{{Count: 1}}, Deadline: n.Clock.Now() + time.Minute}
			n.owner("z").submit(cell.Handover{Job: j, Epoch: 1}, waiter{front: "front", reply: func(o job.Outcome) { answers = append(answers, o) }})
			n.owner("z").withdrawFront("front", s.reason)
			c.Assert(answers, qt.HasLen, s.want)
			for _, answer := range answers {
				c.Assert(answer.Kind, qt.Equals, job.Moved)
				c.Assert(answer.Started, qt.IsTrue)
			}
			c.Assert(n.owner("z").fronts(), qt.HasLen, 0)
		})
	}
}

// Guards against an owner that removes a front's jobs when its own link towards the front goes
// down, while the front still waits for their outcomes on the link that it opened itself.
func TestJobsOutlastTheLinkTowardsTheirFront(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	listed := newListing(0, &catalog.Executors{}, nil, nil)
	listed.cells["z"] = nil // so that the idle cell isn't released as removed when the link goes down
	n.executors.Store(listed)
	n.claim("z", n.Clock.Now())
	j := &job.Job{ID: "00112233445566ff", Steps: []job.Step{{Count: 1}}, Deadline: n.Clock.Now() + time.Minute}
	n.owner("z").submit(cell.Handover{Job: j, Epoch: 1}, waiter{front: "front", reply: func(job.Outcome) {}})
	n.LinkDown("front")
	c.Assert(n.owner("z").fronts(), qt.DeepEquals, []string{"front"})
	n.LinkClosed(&peerpb.Hello{Address: "front"})
	c.Assert(n.owner("z").fronts(), qt.HasLen, 0)
}
