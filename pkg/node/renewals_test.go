package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// A process that wakes reads what owners have sent before it reads that its
// callers' connections have ended. It vouches for callers only up to what came
// before the last look, and for nothing new across a gap between two looks.
func TestAHostVouchesForWhatItHasHadTimeToNotice(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	early, late := &peerpb.Moment{AtUs: 1}, &peerpb.Moment{AtUs: 2}
	now := time.Second
	look := func(after time.Duration) map[string]*peerpb.Moment {
		now += after
		return r.look(now)
	}
	r.look(now)
	c.Assert(look(renewInterval), qt.HasLen, 0)
	awake := now - renewInterval
	c.Assert(r.sureHere(), qt.Equals, awake)
	r.told("owner", early)
	c.Assert(look(2*time.Second), qt.HasLen, 0, qt.Commentf("it stood still"))
	r.told("owner", late)
	c.Assert(look(renewInterval/2), qt.IsNil, qt.Commentf("too soon"))
	c.Assert(look(longestLook+renewInterval), qt.HasLen, 0, qt.Commentf("it stood still again"))
	c.Assert(r.sureHere(), qt.Equals, awake)
	c.Assert(look(renewInterval), qt.HasLen, 0, qt.Commentf("one look without a gap"))
	c.Assert(r.sureHere(), qt.Equals, now-renewInterval)
	c.Assert(r.sure("owner"), qt.IsNil)
	c.Assert(look(renewInterval)["owner"], qt.Equals, late)
	c.Assert(r.sure("owner"), qt.Equals, late)
	c.Assert(look(renewInterval), qt.HasLen, 0, qt.Commentf("nothing new"))
	c.Assert(r.sure("owner"), qt.Equals, late)
	r.forget("owner")
	c.Assert(r.sure("owner"), qt.IsNil)
}

func TestMomentsOfOtherProcessesTellNothing(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	c.Assert(n.timeOf(n.moment()) > 0, qt.IsTrue)
	c.Assert(n.timeOf(nil), qt.Equals, time.Duration(0))
	c.Assert(n.timeOf(&peerpb.Moment{Incarnation: []byte{7}, AtUs: 1}), qt.Equals, time.Duration(0))
	ahead := n.moment()
	ahead.AtUs += time.Hour.Microseconds()
	c.Assert(n.timeOf(ahead) <= n.Clock.Now(), qt.IsTrue)
}

// What a front had under way on a connection that ended has failed there, so that
// its withdrawal may have been lost: a newer connection renews none of it.
func TestAConnectionRenewsTheJobsThatCameOnIt(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	o := newOwner(n, "cell", 1, n.Clock.Now())
	first, second := &peerpb.Hello{Address: "front"}, &peerpb.Hello{Address: "front"}
	now := n.Clock.Now()
	for id, connection := range map[string]*peerpb.Hello{"a": first, "b": second, "c": nil} {
		j := &job.Job{ID: id, Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Minute}
		o.submit(cell.Handover{Job: j, Epoch: 1}, waiter{front: "front", connection: connection, reply: func(job.Outcome) {}})
	}
	c.Assert(o.renewedBy(first), qt.DeepEquals, []string{"a"})
	c.Assert(o.renewedBy(second), qt.DeepEquals, []string{"b"})
	c.Assert(o.renewedBy(nil), qt.DeepEquals, []string{"c"})
}
