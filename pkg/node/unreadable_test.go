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

// serviceAdapter reads a configuration that names one service by its first letter
// after the version; one of a single byte can't be read.
type serviceAdapter struct{ fakeAdapter }

func (f *serviceAdapter) DecodeConfiguration(snapshot Snapshot) (*catalog.Configuration, error) {
	if len(snapshot.Body) != 2 {
		return nil, errors.New("broken off")
	}
	services := []catalog.Service{{Name: string(snapshot.Body[1:])}}
	return catalog.NewConfiguration(uint64(snapshot.Body[0]), nil, services, catalog.Limits{}), nil
}

func nodeOfServices(c *qt.C) *Node {
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
	n.offerConfiguration(Snapshot{Body: append([]byte{version}, service...)}, "store")
}

// capacities returns the room of the executors that are called, by id.
func capacities(n *Node) map[string]int64 {
	byID := map[string]int64{}
	for _, executor := range n.executors.Load().inDomain("z") {
		byID[executor.ID] = executor.Capacity.CPU
	}
	return byID
}

func take(n *Node, changes *catalog.ExecutorChanges) {
	n.takeReading(time.Second, func() (accepted, news bool) { return true, n.roster.ApplyChanges(changes) })
}

// Executors of services that the configuration doesn't name are none of this system;
// those that had work stay, withheld, until their runs have ended.
func TestExecutorsFollowTheServicesThatAreNamed(t *testing.T) {
	c := qt.New(t)
	n := nodeOfServices(c)
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"a": callable("a", "s"), "bb": callable("bb", "x")}}
	n.takeReading(0, func() (accepted, news bool) { return n.roster.ApplyFull(list, 0) })
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000, "bb": 1000}, qt.Commentf("nothing is known of services"))

	n.configureServices(1, "s")
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})
	n.configureServices(2, "x")
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 0, "bb": 1000})
	n.configureServices(3, "s")
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000, "bb": 0})
}

// The row of a living executor stops new work at once, not after the time for which
// one that has vanished is kept.
func TestAnExecutorWhoseRowCanNotBeReadIsWithheldAtOnce(t *testing.T) {
	c := qt.New(t)
	n := nodeOfServices(c)
	n.configureServices(1, "s")
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"a": callable("a", "s")}}
	n.takeReading(0, func() (accepted, news bool) { return n.roster.ApplyFull(list, 0) })
	take(n, &catalog.ExecutorChanges{Revision: 2, Unreadable: []catalog.Unreadable{{Key: "a", Reason: catalog.NoDocument}}})
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 0})
	take(n, &catalog.ExecutorChanges{Revision: 3, Listed: []catalog.Executor{callable("a", "s")}})
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})
}

// A peer that has the executors from another one knows the withheld one as well.
func TestAWithheldExecutorIsPassedOn(t *testing.T) {
	c := qt.New(t)
	reader, n := nodeBeside(c, "z", 200, 2), nodeBeside(c, "z", 2, 200)
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"a": callable("a", "s")}}
	reader.roster.ApplyFull(list, 0)
	n.takePassed(reader.executorsSince(0), otherAddress)
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})

	reader.roster.ApplyChanges(&catalog.ExecutorChanges{Revision: 2, Unreadable: []catalog.Unreadable{{Key: "a"}, {Key: "b"}}})
	n.takePassed(reader.executorsSince(n.executorsRevision()), otherAddress)
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 0})
}

// A configuration that can't be read leaves the last one in force.
func TestAConfigurationThatCanNotBeReadChangesNothing(t *testing.T) {
	c := qt.New(t)
	n := nodeOfServices(c)
	n.configureServices(5, "s")
	c.Assert(n.takeOperator(OperatorChanges{Position: 9, Body: []byte{6}, Closed: []string{"y"}}, 0), qt.IsNil)
	c.Assert(versionOf(n), qt.Equals, uint64(5))
	c.Assert(n.closures.Load().Closed("y"), qt.IsTrue, qt.Commentf("the other rows hold"))
	n.configureServices(7, "s")
	c.Assert(versionOf(n), qt.Equals, uint64(7))
}

// oddStore has rows that can't be read in all of its tables.
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

func TestANodeStartsBesideRowsThatCanNotBeRead(t *testing.T) {
	c := qt.New(t)
	n := nodeOfServices(c)
	n.store = &oddStore{}
	_, err := n.readMembers(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(n.rows, qt.HasLen, 1)
	c.Assert(n.readAllExecutors(context.Background(), time.Second, false), qt.IsNil)
	c.Assert(capacities(n), qt.DeepEquals, map[string]int64{"a": 1000})
}

func TestWhichChangesOfRowsAreTakenIn(t *testing.T) {
	type scenario struct {
		testName string
		changes  MemberChanges
		want     bool
	}
	scenarios := []scenario{
		{testName: "none"},
		{testName: "a new row", changes: MemberChanges{Listed: []Member{{Name: "c"}}}, want: true},
		{testName: "a row is gone", changes: MemberChanges{Removed: []string{"b"}}, want: true},
		{testName: "a host's row can't be read any more", changes: MemberChanges{Unreadable: []catalog.Unreadable{{Key: "b"}}}, want: true},
		{testName: "the own row, before it was read", changes: MemberChanges{Unreadable: []catalog.Unreadable{{Key: "a"}}}, want: true},
		{testName: "another writer's row", changes: MemberChanges{Unreadable: []catalog.Unreadable{{Key: "odd"}}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := nodeBeside(c, "z", 1, 1)
			delete(n.rows, "a")
			c.Assert(n.concernsRows(s.changes), qt.Equals, s.want)
			_, listed := n.rows["b"]
			c.Assert(listed, qt.IsTrue)
		})
	}
}
