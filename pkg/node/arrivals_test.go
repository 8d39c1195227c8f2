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

func TestSilentPeers(t *testing.T) {
	const limit = 600 * time.Millisecond
	type scenario struct {
		testName string
		looks    []time.Duration // after the peer was heard at 1 s
		forget   bool
		now      time.Duration
		want     bool
	}
	scenarios := []scenario{
		{testName: "heard a moment ago", looks: []time.Duration{time.Second}, now: 1500 * time.Millisecond},
		{testName: "silent for too long", looks: []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond}, now: 1601 * time.Millisecond, want: true},
		{testName: "this process stood still meanwhile", looks: []time.Duration{time.Second, 3 * time.Second}, now: 3001 * time.Millisecond},
		{testName: "its link has ended", looks: []time.Duration{1300 * time.Millisecond}, forget: true, now: 1601 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a := newArrivals()
			a.look(time.Second)
			a.note("peer", time.Second)
			for _, at := range s.looks {
				a.look(at)
			}
			if s.forget {
				a.forget("peer")
			}
			qt.Assert(t, a.silent("peer", limit, s.now), qt.Equals, s.want)
		})
	}
}

// A front that was taken for silent but lives would wait for an answer that
// never comes, since the owner has dropped its job.
func TestASilentFrontGetsItsJobsBack(t *testing.T) {
	type scenario struct {
		testName string
		reason   string
		want     int // answers
	}
	scenarios := []scenario{
		{testName: "silent", reason: reasonFrontSilent, want: 1},
		{testName: "gone", reason: reasonFrontGone},
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
			n.owner("z").frontGone("front", s.reason)
			c.Assert(answers, qt.HasLen, s.want)
			for _, answer := range answers {
				c.Assert(answer.Kind, qt.Equals, job.Moved)
				c.Assert(answer.Started, qt.IsTrue)
			}
			c.Assert(n.owner("z").fronts(), qt.HasLen, 0)
		})
	}
}

// The link towards a front may be reset while the front's own is up. The front
// would wait for an answer to its job until its caller leaves.
func TestALinkTowardsAFrontThatGoesDownLeavesItsJobs(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	listed := newListing(0, &catalog.Executors{}, nil, nil)
	listed.cells["z"] = nil // else the end of the link may have the idle cell released as gone
	n.executors.Store(listed)
	n.claim("z", n.Clock.Now())
	j := &job.Job{ID: "00112233445566ff", Steps: []job.Step{{Count: 1}}, Deadline: n.Clock.Now() + time.Minute}
	n.owner("z").submit(cell.Handover{Job: j, Epoch: 1}, waiter{front: "front", reply: func(job.Outcome) {}})
	n.LinkDown("front")
	c.Assert(n.owner("z").fronts(), qt.DeepEquals, []string{"front"})
	n.LinkClosed(&peerpb.Hello{Address: "front"})
	c.Assert(n.owner("z").fronts(), qt.HasLen, 0)
}
