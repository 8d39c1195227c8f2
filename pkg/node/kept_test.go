package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

func TestANodeThatDoesNotServeKeptJobsRefusesThem(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.servesKept = false
	answer := n.Keep(context.Background(), &job.Job{ID: "a", Kept: true})
	c.Assert(answer, qt.Equals, keptNotServed)
	c.Assert(answer.Verdict, qt.Equals, kept.Refused)
	c.Assert(answer.RetryAfter > 0, qt.IsTrue)
	c.Assert(n.KeptState(context.Background(), "a"), qt.Equals, keptNotServed)
	c.Assert(n.CancelKept(context.Background(), "a"), qt.Equals, keptNotServed)
	var replied *peerpb.Message
	n.onKeep(&peerpb.Keep{Job: &peerpb.Dispatch{Id: "a", Cell: "z"}}, func(m *peerpb.Message, _ time.Duration) { replied = m })
	c.Assert(fromKeptReply(replied.GetKeptReply()), qt.Equals, keptNotServed)
}

func TestANodeWithoutReachableOwnersRefusesKeptJobs(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.servesKept = true
	c.Assert(n.Keep(context.Background(), &job.Job{ID: "a", Kept: true}).Verdict, qt.Equals, kept.Refused)
}

func TestCoordinatorsAreChosenAmongReachableHosts(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	host := &keptHost{node: n}
	c.Assert(host.CoordinatorOf(3).Self, qt.IsTrue, qt.Commentf("no other host is reachable"))
	n.LinkUp("127.0.0.1:2", &peerpb.Hello{Name: "b", Domain: "z", Incarnation: make([]byte, 16), Weight: 1_000_000})
	others := 0
	for i := range kept.Partitions {
		if coordinator := host.CoordinatorOf(i); !coordinator.Self {
			others++
			c.Assert(coordinator.Address, qt.Equals, "127.0.0.1:2")
		}
	}
	c.Assert(others, qt.Equals, kept.Partitions, qt.Commentf("the other host has far more capacity"))
	n.LinkDown("127.0.0.1:2")
	c.Assert(host.CoordinatorOf(3).Self, qt.IsTrue)
}

func TestKeptReplyRoundTrip(t *testing.T) {
	c := qt.New(t)
	answer := kept.Answer{Verdict: kept.Unknown, State: kept.Running, Reason: "store_silent", RetryAfter: refusalRetryAfter}
	c.Assert(fromKeptReply(toKeptReply(answer).GetKeptReply()), qt.Equals, answer)
}

func TestKeptReplyOfALaterBuild(t *testing.T) {
	scenarios := []struct {
		testName string
		reply    *peerpb.KeptReply
		want     kept.Answer
	}{
		{"nothing", &peerpb.KeptReply{}, kept.Answer{Verdict: kept.Unknown}},
		{"a verdict that is unknown here", &peerpb.KeptReply{Verdict: uint32(kept.NotFound) + 1}, kept.Answer{Verdict: kept.Unknown}},
		{"a large verdict", &peerpb.KeptReply{Verdict: 256 + uint32(kept.NotFound)}, kept.Answer{Verdict: kept.Unknown}},
		{"a state that is unknown here", &peerpb.KeptReply{Verdict: uint32(kept.Accepted), State: uint32(kept.Cancelled) + 1}, kept.Answer{Verdict: kept.Accepted}},
		{"a large state", &peerpb.KeptReply{Verdict: uint32(kept.Accepted), State: 256 + uint32(kept.Failed)}, kept.Answer{Verdict: kept.Accepted}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, fromKeptReply(s.reply), qt.Equals, s.want)
		})
	}
}
