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

// Guards against renewing leases for callers that left while this process was paused: a
// timestamp is confirmed at the second poll after its arrival, and none across a pause.
func TestTimestampsAreConfirmedAtTheSecondPoll(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	early, late := &peerpb.Moment{AtUs: 1}, &peerpb.Moment{AtUs: 2}
	now := time.Second
	poll := func(after time.Duration) map[string]*peerpb.Moment {
		now += after
		return r.poll(now)
	}
	r.poll(now)
	c.Assert(poll(renewInterval), qt.HasLen, 0)
	confirmed := now - renewInterval
	c.Assert(r.confirmedHere(), qt.Equals, confirmed)
	r.record("owner", early, now)
	c.Assert(poll(2*time.Second), qt.HasLen, 0, qt.Commentf("paused"))
	r.record("owner", late, now)
	c.Assert(poll(renewInterval/2), qt.IsNil, qt.Commentf("too soon"))
	c.Assert(poll(maxPollGap+renewInterval), qt.HasLen, 0, qt.Commentf("paused again"))
	c.Assert(r.confirmedHere(), qt.Equals, confirmed)
	c.Assert(poll(renewInterval), qt.HasLen, 0, qt.Commentf("one poll without a gap"))
	c.Assert(r.confirmedHere(), qt.Equals, now-renewInterval)
	c.Assert(r.confirmed("owner"), qt.IsNil)
	c.Assert(poll(renewInterval)["owner"], qt.Equals, late)
	c.Assert(r.confirmed("owner"), qt.Equals, late)
	c.Assert(poll(renewInterval), qt.HasLen, 0, qt.Commentf("no newer timestamp"))
	c.Assert(r.confirmed("owner"), qt.Equals, late)
	r.forget("owner")
	c.Assert(r.confirmed("owner"), qt.IsNil)
}

func TestTimestampsOfOtherProcessesAreIgnored(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	c.Assert(n.timeOf(n.timestamp()) > 0, qt.IsTrue)
	c.Assert(n.timeOf(nil), qt.Equals, time.Duration(0))
	c.Assert(n.timeOf(&peerpb.Moment{Incarnation: []byte{7}, AtUs: 1}), qt.Equals, time.Duration(0))
	ahead := n.timestamp()
	ahead.AtUs += time.Hour.Microseconds()
	c.Assert(n.timeOf(ahead) <= n.Clock.Now(), qt.IsTrue)
}

// Guards against renewals of jobs that failed at their front when its connection closed, and
// whose withdrawal may be lost: a newer connection renews none of them.
func TestAConnectionRenewsOnlyJobsDispatchedOnIt(t *testing.T) {
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

// Guards against renewals by a process that runs briefly between two pauses: it reads an
// owner's timestamp, but is paused again before it reads that its callers have left.
func TestNothingIsConfirmedAfterTwoPauses(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	r.poll(now)
	now += renewInterval
	r.poll(now)
	before := now
	now += time.Second // paused; its callers left meanwhile
	r.record("owner", &peerpb.Moment{AtUs: now.Microseconds() - 1}, now)
	r.poll(now)
	now += 300 * time.Millisecond // paused again at once
	c.Assert(r.poll(now), qt.HasLen, 0, qt.Commentf("it has not run for renewInterval since it read the timestamp"))
	c.Assert(r.confirmedHere() <= before, qt.IsTrue, qt.Commentf("own cells: %s", r.confirmedHere()))
}

// Guards against a host whose every poll counts as a pause, so that it never renews a lease.
func TestAVerySlowHostConfirmsEventually(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	for range 10 {
		now += 2 * maxPollGap
		r.record("owner", &peerpb.Moment{AtUs: now.Microseconds()}, now)
		r.poll(now)
	}
	c.Assert(now-r.confirmedHere() < 10*maxPollGap, qt.IsTrue)
	c.Assert(now-common.Microseconds(r.confirmed("owner").AtUs) < 20*maxPollGap, qt.IsTrue)
}

// A front that has lost an owner waits until the job's lease there is over and executors have
// ended its runs. That has to be sooner than callers resubmit.
func TestSettleTimeCoversLeaseAndStopTime(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	params := n.cellParams()
	c.Assert(n.settleTime() >= params.JobLease+n.settings.StopTime, qt.IsTrue)
	c.Assert(params.JobLease+n.settings.StopTime < n.settings.ResubmitAfter, qt.IsTrue)
}

// A Renew message and the local renewals reach the jobs: only the job that isn't renewed is
// returned to its front.
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
		n.onRenew(front, &peerpb.Renew{AsOf: n.timestamp()})
		n.renewJobs(clock.At)
		o.tick()
	}
	c.Assert(back, qt.HasLen, 1)
	c.Assert(back["left"].Reason, qt.Equals, cell.ReasonNotRenewed)
}

// On a congested link the reply to a heartbeat arrives after outcomes that are newer than it.
func TestOutdatedTimestampsAreIgnored(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	poll := func() { now += renewInterval; r.poll(now) }
	r.poll(now)
	outcome, reply := &peerpb.Moment{AtUs: 900_000}, &peerpb.Moment{AtUs: 100_000}
	r.record("owner", outcome, now)
	r.record("owner", reply, now) // 0.8 s late
	poll()
	poll()
	c.Assert(r.confirmed("owner"), qt.Equals, outcome)
	r.record("owner", reply, now)
	poll()
	poll()
	c.Assert(r.confirmed("owner"), qt.Equals, outcome)
}

// A host that polls slightly less often than every maxPollGap is slow, not paused, and has to
// renew its callers' leases regularly.
func TestASlowHostConfirmsRegularly(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	for range 20 {
		now += maxPollGap + 10*time.Millisecond
		r.record("owner", &peerpb.Moment{AtUs: now.Microseconds()}, now)
		r.poll(now)
	}
	c.Assert(r.confirmedHere() > now-850*time.Millisecond, qt.IsTrue, qt.Commentf("own cells: %s at %s", r.confirmedHere(), now))
	c.Assert(r.confirmed("owner"), qt.IsNotNil)
}
