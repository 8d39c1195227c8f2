package node

import (
	"math"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// These tests guard against a host that ends, stops following the store, or is of no more use
// because of one odd entry in what another host relays.

// A job that can't be carried out is refused, and the host that owns its cell goes on.
func TestOddJobsOfOtherHostsAreRefused(t *testing.T) {
	for name, steps := range map[string][]*peerpb.StepSpec{
		"no steps":                                nil,
		"more tasks than fit into memory":         {{Count: math.MaxUint32}},
		"a step after itself":                     {{Count: 1, After: []uint32{0}}},
		"a step after one that isn't there":       {{Count: 1, After: []uint32{math.MaxUint32}}},
		"an estimate that overflows to a low one": {{Count: 1, EstimateMs: 18446744073710}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newNodeWithPeer(c, "z", 200, 2)
			n.owners["z"] = newOwner(n, "z", 1, n.Clock.Now())
			var outcome *peerpb.Outcome
			var reply peer.Reply = func(m *peerpb.Message, _ time.Duration) { outcome = m.GetOutcome() }
			n.onDispatch(&peerpb.Hello{Address: otherAddress}, &peerpb.Dispatch{Id: "a", Cell: "z", Steps: steps, TimeLeftUs: 1000}, reply)
			c.Assert(outcome.GetKind(), qt.Equals, uint32(job.Refused))
			c.Assert(outcome.GetReason(), qt.Equals, reasonUnreadableJob)
		})
	}
}
