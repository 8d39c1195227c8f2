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

// A process on a busy machine wakes for a moment, reads what owners have sent, and
// stands still again before it reads that its callers' connections have ended.
func TestAHostThatStandsStillAgainVouchesForNothingNew(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	r.look(now)
	now += renewInterval
	r.look(now)
	before := now
	now += time.Second // it stood still, and its callers left
	r.told("owner", &peerpb.Moment{AtUs: now.Microseconds() - 1})
	r.look(now)
	now += 300 * time.Millisecond // and stood still again at once
	c.Assert(r.look(now), qt.HasLen, 0, qt.Commentf("it has not run for renewInterval since it read the moment"))
	c.Assert(r.sureHere() <= before, qt.IsTrue, qt.Commentf("own cells: %s", r.sureHere()))
}

func TestAHostThatIsSlowForLongVouchesNowAndThen(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	for range 10 {
		now += 2 * longestLook
		r.told("owner", &peerpb.Moment{AtUs: now.Microseconds()})
		r.look(now)
	}
	c.Assert(now-r.sureHere() < 10*longestLook, qt.IsTrue)
	c.Assert(now-microseconds(r.sure("owner").AtUs) < 20*longestLook, qt.IsTrue)
}

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

// On a full link the reply to a heartbeat comes after the outcomes that were made after it.
func TestAMomentThatWasOvertakenTakesNothingBack(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	look := func() { now += renewInterval; r.look(now) }
	r.look(now)
	outcome, reply := &peerpb.Moment{AtUs: 900_000}, &peerpb.Moment{AtUs: 100_000}
	r.told("owner", outcome)
	r.told("owner", reply) // 0.8 s late
	look()
	look()
	c.Assert(r.sure("owner"), qt.Equals, outcome)
	r.told("owner", reply)
	look()
	look()
	c.Assert(r.sure("owner"), qt.Equals, outcome)
}

// A host whose loop comes round every 160 ms runs; it stands still no more than one of 145 ms.
func TestASlowHostVouchesForItsCallers(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	for range 20 {
		now += longestLook + 10*time.Millisecond
		r.told("owner", &peerpb.Moment{AtUs: now.Microseconds()})
		r.look(now)
	}
	c.Assert(r.sureHere() > now-850*time.Millisecond, qt.IsTrue, qt.Commentf("own cells: %s at %s", r.sureHere(), now))
	c.Assert(r.sure("owner"), qt.IsNotNil)
}
