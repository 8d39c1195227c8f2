package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// Guards against starting tasks twice: after a partition the list may lack executors whose
// entries have lapsed while they run tasks, so a new owner must not take it for complete.
func TestWhichListsAreComplete(t *testing.T) {
	const since = 10 * time.Second
	type scenario struct {
		testName string
		since    time.Duration // the store has been readable since; 0 if it isn't
		askedAt  time.Duration
		claimed  time.Duration
		want     bool
	}
	scenarios := []scenario{
		{testName: "read after the claim, the store readable for long", since: since, askedAt: 20 * time.Second, claimed: 19 * time.Second, want: true},
		{testName: "read before the claim", since: since, askedAt: 18 * time.Second, claimed: 19 * time.Second},
		{testName: "the store has been readable again only recently", since: since, askedAt: 12 * time.Second, claimed: 11 * time.Second},
		{testName: "relayed by a peer", since: since, askedAt: unknownReadTime, claimed: 19 * time.Second},
		{testName: "the store is unreadable", since: 0, askedAt: 20 * time.Second, claimed: 19 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.listReadableSince.Store(int64(s.since))
			n.roster.ApplyFull(&catalog.Executors{Revision: 1}, s.askedAt)
			n.publish(true, s.askedAt)
			c.Assert(n.executors.Load().completeFor(s.claimed), qt.Equals, s.want)
		})
	}
}
