package node

import (
	"math"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// These tests guard against a host that ends, stops following the store, or is of no more use
// because of one odd entry in what another host relays.

func relayedExecutor(id string) *peerpb.ListedExecutor {
	return &peerpb.ListedExecutor{Id: id, Service: "s", Address: "10.0.0.1:1", Domain: "z", Cpu: 1000}
}

// An odd executor among those that another host relays leaves the others in use.
func TestOddRelayedExecutorLeavesTheOthers(t *testing.T) {
	type scenario struct {
		testName string
		change   func(m *peerpb.ListedExecutor)
		used     bool
	}
	scenarios := []scenario{
		{testName: "a port that is too high", change: func(m *peerpb.ListedExecutor) { m.Address = "10.0.0.1:70000" }},
		{testName: "no address", change: func(m *peerpb.ListedExecutor) { m.Address = "" }},
		{testName: "a capacity that is too large", change: func(m *peerpb.ListedExecutor) { m.Cpu = math.MaxInt64 }},
		{testName: "a negative capacity", change: func(m *peerpb.ListedExecutor) { m.MemoryMb = -1 }},
		{testName: "a start that is too late", change: func(m *peerpb.ListedExecutor) { m.Born = math.MaxInt64 }},
		{testName: "a negative start", change: func(m *peerpb.ListedExecutor) { m.Born = -1 }},
		{testName: "an id that can't be sent", change: func(m *peerpb.ListedExecutor) { m.Id = "a\r\nb" }},
		{testName: "a time left that is too large", change: func(m *peerpb.ListedExecutor) { m.RemainsMs = math.MaxInt64 }, used: true},
	}
	for _, s := range scenarios {
		for _, since := range []uint64{0, 5} {
			t.Run(s.testName, func(t *testing.T) {
				c := qt.New(t)
				n := newNodeWithPeer(c, "z", 2, 200)
				n.roster.ApplyFull(&catalog.Executors{Revision: 5, ByID: map[string]catalog.Executor{}}, 0)
				n.publish(true, 0)
				odd := relayedExecutor("odd")
				s.change(odd)
				n.handleRelayed(&peerpb.Snapshot{
					Kind: snapshotExecutors, Revision: 7, Since: since, Position: 8,
					Executors: []*peerpb.ListedExecutor{odd, relayedExecutor("good")},
				}, otherAddress)
				want := map[string]int64{"good": 1000}
				if s.used {
					want["odd"] = 1000
				}
				c.Assert(capacities(n), qt.DeepEquals, want)
				c.Assert(n.executorsRevision(), qt.Equals, uint64(7))
				c.Assert(n.roster.Position(), qt.Equals, uint64(8))
				for _, executor := range n.roster.Executors().ByID {
					c.Assert(executor.Remains >= 0 && executor.Remains <= common.MaxTime, qt.IsTrue)
				}
			})
		}
	}
}

// A revision or position that no store can have reached must not keep a host from following
// the store: it would read the changes after that position for ever.
func TestOddPositionsOfOtherHostsAreIgnored(t *testing.T) {
	type scenario struct {
		testName string
		message  *peerpb.Snapshot
	}
	scenarios := []scenario{
		{testName: "a revision", message: &peerpb.Snapshot{Revision: math.MaxUint64, Position: 7}},
		{testName: "a position", message: &peerpb.Snapshot{Revision: 7, Position: math.MaxUint64}},
		{testName: "a position of the same list", message: &peerpb.Snapshot{Revision: 5, Position: math.MaxUint64}},
		{testName: "a start", message: &peerpb.Snapshot{Revision: 7, Position: 7, Since: math.MaxUint64}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newNodeWithPeer(c, "z", 2, 200)
			n.roster.ApplyFull(&catalog.Executors{Revision: 5, ByID: map[string]catalog.Executor{"a": callable("a", "s")}}, 0)
			n.publish(true, 0)
			s.message.Kind = snapshotExecutors
			n.handleRelayed(s.message, otherAddress)
			c.Assert(isFreshList(s.message), qt.IsFalse)
			c.Assert(n.executorsRevision(), qt.Equals, uint64(5))
			c.Assert(n.roster.Position(), qt.Equals, uint64(5))

			n.handleRelayed(&peerpb.Snapshot{Kind: snapshotExecutors, Revision: 6, Since: 5, Position: 6, Executors: []*peerpb.ListedExecutor{relayedExecutor("good")}}, otherAddress)
			c.Assert(capacities(n), qt.HasLen, 2, qt.Commentf("the next message is applied"))
		})
	}
}

// A configuration with a position that no store can have reached is left out, and the store's
// next one is taken.
func TestOddPositionOfARelayedConfigurationIsIgnored(t *testing.T) {
	c := qt.New(t)
	n := newServiceTestNode(c)
	body, err := pack([]byte{6, 's'})
	c.Assert(err, qt.IsNil)
	n.applyPackedConfiguration(&peerpb.Snapshot{Kind: snapshotConfiguration, Position: math.MaxUint64, Body: body}, otherAddress)
	c.Assert(n.configuration.Load(), qt.IsNil)
	c.Assert(n.applyOperator(OperatorChanges{Position: 9, Body: []byte{5, 's'}}, 0), qt.IsNil)
	c.Assert(n.operatorPosition(), qt.Equals, uint64(9))
}

// An age out of range must not make an old list count as fresh, or as read in the future.
func TestOddAgesOfLists(t *testing.T) {
	for _, age := range []int64{math.MaxInt64, math.MinInt64, -1, 1 << 62, 20_000_000_000_000} {
		c := qt.New(t)
		m := &peerpb.Snapshot{Kind: snapshotExecutors, Revision: 7, AgeMs: age}
		c.Check(isFreshList(m), qt.IsFalse, qt.Commentf("%d", age))
	}
	qt.Check(t, isFreshList(&peerpb.Snapshot{Kind: snapshotExecutors, Revision: 7, AgeMs: 100}), qt.IsTrue)
}

// What a heartbeat says out of range must not count: closures of a position that no store can
// have reached, claims that none can follow, addresses that can't be dialled.
func TestOddHeartbeats(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithPeer(c, "z", 200, 2)
	n.handleHeartbeat(otherAddress, &peerpb.Heartbeat{
		ClosuresPosition: math.MaxUint64, ClosedDomains: []string{"z"},
		Addresses:  []string{"127.0.0.7:70000", "", "[[[[", "127.0.0.7:0", "127.0.0.7", "127.0.0.8:1"},
		Neighbours: []string{"127.0.0.7:-1", "127.0.0.9:1"},
		Cells: []*peerpb.CellLoad{
			{Cell: "y", Token: math.MaxUint64, CapacityCpu: 1},
			{Cell: "x", Token: math.MaxInt64, CapacityCpu: 1},
			{Cell: "", Token: 3, CapacityCpu: 1},
			{Cell: "z", Token: 3, CapacityCpu: math.MaxInt64, FreeCpu: math.MinInt64, QueuedWork: math.MaxInt64, Ready: true},
		},
	})
	c.Assert(n.closures.Load().Closed("z"), qt.IsFalse)
	c.Assert(n.changeClosures(catalog.ClosureChanges{Position: 9, Closed: []string{"y"}}, "store"), qt.IsNil)
	c.Assert(n.closures.Load().Closed("y"), qt.IsTrue, qt.Commentf("the store is followed"))

	n.mu.Lock()
	defer n.mu.Unlock()
	owned := n.claims.Owned()
	c.Assert(owned, qt.HasLen, 1)
	c.Assert(owned[0].Cell, qt.Equals, "z")
	c.Assert(owned[0].Load.CapacityCPU > 0 && owned[0].Load.CapacityCPU+owned[0].Load.CapacityCPU > 0, qt.IsTrue)
	c.Assert(owned[0].Load.FreeCPU, qt.Equals, int64(0))
	wanted := n.members.Wanted(n.Clock.Now())
	c.Assert(wanted, qt.Contains, "127.0.0.8:1")
	c.Assert(wanted, qt.Contains, "127.0.0.9:1")
	for _, odd := range []string{"127.0.0.7:70000", "", "[[[[", "127.0.0.7:-1", "127.0.0.7:0", "127.0.0.7"} {
		c.Assert(wanted, qt.Not(qt.Contains), odd)
	}
}

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
