package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

// A task ran twice at once when the newest owner of its cell had died and an older claim on the
// cell, which its host had not given up yet, was in effect again.
func TestWhenAnOwnerMayStartAJob(t *testing.T) {
	const now, lostAt = 10 * time.Second, 9 * time.Second
	type scenario struct {
		testName string
		newer    bool // a newer claim on the cell has been seen, and its host is unreachable now
		state    attempt
		want     time.Duration // when it is sure that no former run is active, less the settle time; 0 for at once
	}
	scenarios := []scenario{
		{testName: "new job", state: attempt{epoch: 1}},
		{testName: "new job, at an older owner", newer: true, state: attempt{epoch: 1}},
		{testName: "the next owner of its cell", state: attempt{epoch: 2, formerCell: "cell"}},
		{testName: "another cell", state: attempt{epoch: 2, formerCell: "other"}, want: lostAt},
		{testName: "an older owner of its cell", newer: true, state: attempt{epoch: 2, formerCell: "cell"}, want: now},
		{testName: "another cell, an older owner", newer: true, state: attempt{epoch: 2, formerCell: "other"}, want: now},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.Clock = &common.ManualClock{At: now}
			n.claims.SetClaims("older:1", []ownership.Claim{{Cell: "cell", Token: 1}})
			if s.newer {
				n.claims.SetClaims("newer:1", []ownership.Claim{{Cell: "cell", Token: 2}})
				n.claims.Forget("newer:1")
			}
			claim, owned := n.claims.Owner("cell")
			c.Assert(owned, qt.IsTrue)
			c.Assert(claim.Token, qt.Equals, int64(1))
			s.state.notBefore = lostAt + n.settleTime()
			if s.want > 0 {
				s.want += n.settleTime()
			}
			c.Assert(n.front.earliestStart(claim, &s.state), qt.Equals, s.want)
		})
	}
}
