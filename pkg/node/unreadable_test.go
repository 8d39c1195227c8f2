package node

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// serviceAdapter decodes a configuration of two bytes: its version and the name of its only
// service. Others are unreadable.
type serviceAdapter struct{ fakeAdapter }

func (f *serviceAdapter) DecodeConfiguration(snapshot Snapshot) (*catalog.Configuration, error) {
	if len(snapshot.Body) != 2 {
		return nil, errors.New("configuration is not two bytes long")
	}
	services := []catalog.Service{{Name: string(snapshot.Body[1:])}}
	return catalog.NewConfiguration(uint64(snapshot.Body[0]), nil, services, catalog.Limits{}), nil
}

func newServiceTestNode(c *qt.C) *Node {
	n := newTestNode(c, &fakeStore{})
	n.adapter = &serviceAdapter{}
	return n
}

func callable(id, service string) catalog.Executor {
	return catalog.Executor{
		ID: id, Service: service, Domain: "z", Address: fmt.Sprintf("10.0.0.%d:1", len(id)), Capacity: job.Resources{CPU: 1000},
	}
}

func (n *Node) configureServices(version byte, service string) {
	n.applyConfiguration(Snapshot{Body: append([]byte{version}, service...)}, "store")
}

// capacities returns the CPU capacity of the executors in the list, by id.
func capacities(n *Node) map[string]int64 {
	byID := map[string]int64{}
	for _, executor := range n.executors.Load().inDomain("z") {
		byID[executor.ID] = executor.Capacity.CPU
	}
	return byID
}

func applyChanges(n *Node, changes *catalog.ExecutorChanges) {
	n.applyReading(time.Second, func() (accepted, changed bool) { return true, n.roster.ApplyChanges(changes) })
}

// Guards against using executors of services that are not configured, and against dropping
// executors that may still have runs when their service is removed.
func TestOnlyExecutorsOfConfiguredServicesAreUsed(t *testing.T) {
	c := qt.New(t)
	n := newServiceTestNode(c)
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"a": callable("a", "s"), "bb": callable("bb", "x")}}
	n.applyReading(0, func() (accepted, changed bool) { return n.roster.ApplyFull(list, 0) })
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000, "bb": 1000}, qt.Commentf("there is no configuration yet"))

	n.configureServices(1, "s")
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})
	n.configureServices(2, "x")
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 0, "bb": 1000})
	n.configureServices(3, "s")
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000, "bb": 0})
}

// Guards against starting runs on an executor whose row has become unreadable, which must take
// effect at once, unlike the removal of a missing row.
func TestExecutorWithUnreadableRowIsWithheld(t *testing.T) {
	c := qt.New(t)
	n := newServiceTestNode(c)
	n.configureServices(1, "s")
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"a": callable("a", "s")}}
	n.applyReading(0, func() (accepted, changed bool) { return n.roster.ApplyFull(list, 0) })
	applyChanges(n, &catalog.ExecutorChanges{Revision: 2, Unreadable: []catalog.Unreadable{{Key: "a", Reason: catalog.NoDocument}}})
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 0})
	applyChanges(n, &catalog.ExecutorChanges{Revision: 3, Listed: []catalog.Executor{callable("a", "s")}})
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})
}

// Guards against a peer that uses an executor which the reader has withheld.
func TestWithheldExecutorIsRelayed(t *testing.T) {
	c := qt.New(t)
	reader, n := newNodeWithPeer(c, "z", 200, 2), newNodeWithPeer(c, "z", 2, 200)
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"a": callable("a", "s")}}
	reader.roster.ApplyFull(list, 0)
	n.handleRelayed(reader.executorsSince(0), otherAddress)
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})

	reader.roster.ApplyChanges(&catalog.ExecutorChanges{Revision: 2, Unreadable: []catalog.Unreadable{{Key: "a"}, {Key: "b"}}})
	n.handleRelayed(reader.executorsSince(n.executorsRevision()), otherAddress)
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 0})
}

// An unreadable configuration leaves the last one in force.
func TestUnreadableConfigurationIsIgnored(t *testing.T) {
	c := qt.New(t)
	n := newServiceTestNode(c)
	n.configureServices(5, "s")
	c.Assert(n.applyOperator(OperatorChanges{Position: 9, Body: []byte{6}, Closed: []string{"y"}}, 0), qt.IsNil)
	c.Assert(versionOf(n), qt.Equals, uint64(5))
	c.Assert(n.closures.Load().Closed("y"), qt.IsTrue, qt.Commentf("the other rows are applied"))
	n.configureServices(7, "s")
	c.Assert(versionOf(n), qt.Equals, uint64(7))
}

// oddStore is a store with an unreadable row in each of its tables.
type oddStore struct{ fakeStore }

func (f *oddStore) Executors(context.Context) (*catalog.Executors, error) {
	return &catalog.Executors{
		Revision: 1, ByID: map[string]catalog.Executor{"a": callable("a", "s")},
		Unreadable: []catalog.Unreadable{{Key: "odd", Reason: catalog.NoDocument}},
	}, nil
}

func (f *oddStore) Members(context.Context) (MemberChanges, error) {
	return MemberChanges{
		Position: 1, Listed: []Member{{Name: "a", Domain: "z", PeerAddress: "127.0.0.1:1"}},
		Unreadable: []catalog.Unreadable{{Key: "odd", Reason: catalog.WrongAddress}},
	}, nil
}

// Guards against a node that fails to start because of unreadable rows.
func TestNodeStartsDespiteUnreadableRows(t *testing.T) {
	c := qt.New(t)
	n := newServiceTestNode(c)
	n.store = &oddStore{}
	_, err := n.readMembers(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(n.memberRows, qt.HasLen, 1)
	c.Assert(n.readAllExecutors(context.Background(), time.Second, false), qt.IsNil)
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})
}

func TestAffectsRows(t *testing.T) {
	type scenario struct {
		testName string
		changes  MemberChanges
		want     bool
	}
	scenarios := []scenario{
		{testName: "none"},
		{testName: "a new row", changes: MemberChanges{Listed: []Member{{Name: "c"}}}, want: true},
		{testName: "a row is removed", changes: MemberChanges{Removed: []string{"b"}}, want: true},
		{testName: "a host's row becomes unreadable", changes: MemberChanges{Unreadable: []catalog.Unreadable{{Key: "b"}}}, want: true},
		{testName: "the own row, which is not known yet, is unreadable", changes: MemberChanges{Unreadable: []catalog.Unreadable{{Key: "a"}}}, want: true},
		{testName: "a row of a foreign writer", changes: MemberChanges{Unreadable: []catalog.Unreadable{{Key: "odd"}}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newNodeWithPeer(c, "z", 1, 1)
			delete(n.memberRows, "a")
			c.Assert(n.affectsRows(s.changes), qt.Equals, s.want)
			_, listed := n.memberRows["b"]
			c.Assert(listed, qt.IsTrue)
		})
	}
}
