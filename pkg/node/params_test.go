package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/settings"
	qt "github.com/frankban/quicktest"
)

func TestNoRunOutlivesTheTimeOfResubmission(t *testing.T) {
	type scenario struct {
		testName string
		resubmit time.Duration
		hold     time.Duration
		stop     time.Duration
		suspect  time.Duration
	}
	scenarios := []scenario{
		{testName: "leases shorter than the time of resubmission", resubmit: 1300 * time.Millisecond, hold: time.Second, stop: 50 * time.Millisecond, suspect: 600 * time.Millisecond},
		{testName: "long leases", resubmit: 1300 * time.Millisecond, hold: 10 * time.Second, stop: 50 * time.Millisecond, suspect: 600 * time.Millisecond},
		{testName: "slow stops", resubmit: 1300 * time.Millisecond, hold: time.Second, stop: 300 * time.Millisecond, suspect: 600 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.settings.ResubmitAfter, n.settings.LongestHold, n.settings.StopTime, n.settings.SuspectAfter = s.resubmit, s.hold, s.stop, s.suspect
			params := n.cellParams()
			c.Assert(params.LongestLease <= s.hold, qt.IsTrue)
			c.Assert(time.Duration(1.02*float64(params.Lease)) < s.resubmit, qt.IsTrue)
			c.Assert(params.JobLease+s.stop < s.resubmit, qt.IsTrue)
			c.Assert(n.settleTime() >= params.JobLease+s.stop, qt.IsTrue)
			c.Assert(s.suspect+takeoverTime+params.OrphanGrace+s.stop <= s.resubmit, qt.IsTrue)
			c.Assert(params.HoldWait < params.StartLease, qt.IsTrue, qt.Commentf("a hold request returns before the lease of a start ends"))
		})
	}
}

func TestAnUnknownPolicyIsRejectedWithTheRegisteredNames(t *testing.T) {
	c := qt.New(t)
	c.Assert(CheckPolicies(&settings.Node{Order: settings.DefaultOrder}), qt.IsNil)
	err := CheckPolicies(&settings.Node{Order: "alphabetical"})
	c.Assert(err, qt.ErrorMatches, `(?s).*alphabetical.*least-work.*`)
}
