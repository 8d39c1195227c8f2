package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// rowsOf returns the rows of a number of domains with a number of hosts each.
func rowsOf(domains, hosts int) map[string]Member {
	rows := map[string]Member{}
	for d := range domains {
		for h := range hosts {
			name := fmt.Sprintf("host-%d-%d", d, h)
			rows[name] = Member{Name: name, Domain: fmt.Sprintf("domain-%d", d), PeerAddress: fmt.Sprintf("10.%d.0.%d:1", d, h)}
		}
	}
	return rows
}

// Guards against a load of the store that grows with the number of domains.
func TestOneDomainReadsTheListForAll(t *testing.T) {
	for _, domains := range []int{1, 3, 9, 27} {
		c := qt.New(t)
		rows := rowsOf(domains, 5)
		reading := 0
		for d := range domains {
			n := newTestNode(c, &fakeStore{})
			n.settings.Domain = fmt.Sprintf("domain-%d", d)
			n.memberRows, n.leadingDomain = rows, leadingDomain(rows)
			if !n.followsLeading() {
				reading++
			}
		}
		c.Assert(reading, qt.Equals, 1, qt.Commentf("%d domains", domains))
	}
}

func TestLeadingDomainHasHosts(t *testing.T) {
	c := qt.New(t)
	rows := rowsOf(4, 3)
	first := leadingDomain(rows)
	c.Assert(leadingDomain(rows), qt.Equals, first)
	for name, row := range rows {
		if row.Domain == first {
			delete(rows, name)
		}
	}
	second := leadingDomain(rows)
	c.Assert(second, qt.Not(qt.Equals), first)
	c.Assert(second, qt.Not(qt.Equals), "")
	c.Assert(leadingDomain(nil), qt.Equals, "")
}

func TestIsFreshList(t *testing.T) {
	type scenario struct {
		testName string
		answer   *peerpb.Snapshot
		want     bool
	}
	scenarios := []scenario{
		{testName: "read a moment ago", answer: &peerpb.Snapshot{Kind: snapshotExecutors, Revision: 5, AgeMs: 400}, want: true},
		{testName: "read too long ago", answer: &peerpb.Snapshot{Kind: snapshotExecutors, Revision: 5, AgeMs: maxLeadingListAge.Milliseconds() + 1}},
		{testName: "the host has no list", answer: &peerpb.Snapshot{Kind: snapshotExecutors}},
		{testName: "another kind of snapshot", answer: &peerpb.Snapshot{Kind: snapshotConfiguration, Revision: 5}},
		{testName: "no snapshot", answer: nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, isFreshList(s.answer), qt.Equals, s.want)
		})
	}
}

// Guards against a host that reports a relayed list as fresh: its reader may have read it some
// time ago.
func TestOnlyReadersHaveAFreshList(t *testing.T) {
	c := qt.New(t)
	reader := newTestNode(c, &fakeStore{})
	reader.roster.ApplyFull(&catalog.Executors{Revision: 10, ByID: map[string]catalog.Executor{"e": executorOf("e", "10.0.0.1:1")}}, 0)
	reader.publish(true, reader.Clock.Now())
	other := newTestNode(c, &fakeStore{})
	other.roster.ApplyFull(&catalog.Executors{Revision: 8, ByID: map[string]catalog.Executor{}}, 0)
	other.publish(true, other.Clock.Now()-maxLeadingListAge-time.Second)
	other.handleRelayed(reader.executorsSince(8), otherAddress)
	other.listConfirmedByPeerAt.Store(int64(other.Clock.Now()))
	c.Assert(isFreshList(reader.executorsSince(8)), qt.IsTrue)
	c.Assert(isFreshList(other.executorsSince(8)), qt.IsFalse)
}

func executorOf(id, address string) catalog.Executor {
	return catalog.Executor{ID: id, Service: "s", Domain: "z", Address: address, Capacity: job.Resources{CPU: 1}}
}

// Changes from the leading domain yield the same list, time and position as a read of the
// store, so that the next read can continue from there.
func TestListOfTheLeadingDomainCountsAsARead(t *testing.T) {
	c := qt.New(t)
	leader := newTestNode(c, &fakeStore{})
	leader.roster.ApplyFull(&catalog.Executors{Revision: 10, ByID: map[string]catalog.Executor{"e": executorOf("e", "10.0.0.1:1")}}, 0)
	leader.publish(true, leader.Clock.Now())

	n := newTestNode(c, &fakeStore{})
	n.roster.ApplyFull(&catalog.Executors{Revision: 8, ByID: map[string]catalog.Executor{}}, 0)
	readAt := n.Clock.Now() - 100*time.Millisecond
	n.publish(true, readAt-time.Second)
	leader.roster.ApplyChanges(&catalog.ExecutorChanges{Revision: 20, Removed: []string{"e"}, Listed: []catalog.Executor{executorOf("f", "10.0.0.2:1")}})
	leader.roster.ApplyChanges(&catalog.ExecutorChanges{Revision: 33}) // clocks only
	changes := leader.executorsSince(n.executorsRevision())
	c.Assert(isFreshList(changes), qt.IsTrue)
	c.Assert(n.applyList(fromRelayedList(changes), readAt), qt.IsTrue)

	c.Assert(n.roster.Executors().ByID, qt.HasLen, 1)
	c.Assert(n.roster.Executors().ByID["f"].ID, qt.Equals, "f")
	c.Assert(n.roster.Position(), qt.Equals, uint64(33))
	c.Assert(n.executors.Load().askedAt, qt.Equals, readAt)
}
