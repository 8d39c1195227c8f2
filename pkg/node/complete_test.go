package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// After a cut the list lacks executors whose entries have lapsed and that go on
// running tasks. A new owner that takes it for whole starts these a second time.
func TestWhichListsAreWhole(t *testing.T) {
	const since = 10 * time.Second // the store has been readable since
	type scenario struct {
		testName string
		since    time.Duration
		askedAt  time.Duration
		claimed  time.Duration
		want     bool
	}
	scenarios := []scenario{
		{testName: "read after the claim, the store long readable", since: since, askedAt: 20 * time.Second, claimed: 19 * time.Second, want: true},
		{testName: "read before the claim", since: since, askedAt: 18 * time.Second, claimed: 19 * time.Second},
		{testName: "the store can be read again since a moment ago", since: since, askedAt: 12 * time.Second, claimed: 11 * time.Second},
		{testName: "passed on by a peer", since: since, askedAt: unknownAge, claimed: 19 * time.Second},
		{testName: "the store can't be read", since: 0, askedAt: 20 * time.Second, claimed: 19 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.readingSince.Store(int64(s.since))
			n.roster.ApplyFull(&catalog.Executors{Revision: 1}, s.askedAt)
			n.publish(true, s.askedAt)
			c.Assert(n.executors.Load().completeFor(s.claimed), qt.Equals, s.want)
		})
	}
}
