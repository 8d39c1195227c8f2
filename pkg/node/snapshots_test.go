package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/tables"
	"github.com/foxcroft/foxcroft/pkg/traffic"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// fakeStore is a store whose reads fail while it is silent, and whose waits that begin then
// are never answered.
type fakeStore struct {
	Store
	version atomic.Uint64
	silent  atomic.Bool
	floor   atomic.Uint64              // the history before it is removed
	answers []*catalog.ExecutorChanges // to ExecutorChanges, each returned once; then no changes
}

func (f *fakeStore) Operator(context.Context) (OperatorChanges, error) {
	if f.silent.Load() {
		return OperatorChanges{}, errors.New("silent")
	}
	version := f.version.Load()
	return OperatorChanges{Position: version, Body: []byte{byte(version)}}, nil
}

func (f *fakeStore) AwaitOperator(ctx context.Context, after uint64) (OperatorChanges, error) {
	for {
		if f.silent.Load() {
			<-ctx.Done() // never answered
			return OperatorChanges{}, ctx.Err()
		}
		if after < f.floor.Load() {
			return OperatorChanges{}, errkind.New(errkind.NotFound, "read the table in full", "the history has been removed")
		}
		if version := f.version.Load(); version != after {
			return OperatorChanges{Position: version, Body: []byte{byte(version)}}, nil
		}
		if !common.Sleep(ctx, time.Millisecond) {
			return OperatorChanges{}, ctx.Err()
		}
	}
}

func (f *fakeStore) Executors(context.Context) (*catalog.Executors, error) {
	if f.silent.Load() {
		return nil, errors.New("silent")
	}
	return &catalog.Executors{Revision: f.version.Load(), ByID: map[string]catalog.Executor{}}, nil
}

func (f *fakeStore) Ping(context.Context) error {
	if f.silent.Load() {
		return errors.New("silent")
	}
	return nil
}

func (f *fakeStore) ExecutorChanges(context.Context, uint64) (*catalog.ExecutorChanges, error) {
	if f.silent.Load() {
		return nil, errors.New("silent")
	}
	if len(f.answers) > 0 {
		answer := f.answers[0]
		f.answers = f.answers[1:]
		return answer, nil
	}
	return &catalog.ExecutorChanges{Revision: f.version.Load()}, nil
}

// emptyTables is a store of tables without rows.
type emptyTables struct{ tables.Store }

func (emptyTables) ReadRow(context.Context, string, string, string) (tables.Row, bool, error) {
	return tables.Row{}, false, nil
}

type fakeAdapter struct {
	Adapter
	store *fakeStore
}

func (f *fakeAdapter) Store() Store         { return f.store }
func (f *fakeAdapter) Executors() Executors { return nil }
func (f *fakeAdapter) Tables() tables.Store { return emptyTables{} }
func (f *fakeAdapter) DecodeConfiguration(snapshot Snapshot) (*catalog.Configuration, error) {
	return catalog.NewConfiguration(uint64(snapshot.Body[0]), nil, nil, catalog.Limits{}), nil
}

func newTestNode(c *qt.C, store *fakeStore) *Node {
	s := &settings.Node{
		Name: "a", Domain: "z", PeerAddress: "127.0.0.1:1", Heartbeat: time.Second, SuspectAfter: time.Second, Order: settings.DefaultOrder,
		LongestHold: time.Second, ResubmitAfter: 1300 * time.Millisecond, StopTime: 50 * time.Millisecond,
	}
	n, err := NewNode(common.NewTestCommon(), s, once.Incarnation{1}, &fakeAdapter{store: store}, traffic.NewMeter())
	c.Assert(err, qt.IsNil)
	return n
}

// versionOf returns the version of the configuration in force, or 0.
func versionOf(n *Node) uint64 {
	if configuration := n.Configuration(); configuration != nil {
		return configuration.Version
	}
	return 0
}

// eventually waits until condition holds, and fails the test after a time limit.
func eventually(c *qt.C, condition func() bool) {
	c.Helper()
	end := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			c.Fatal("condition not met within 20 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a follower that waits forever for a response that an unresponsive store lost.
func TestConfigurationIsReadAfterALostWait(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.version.Store(1)
	n := newTestNode(c, store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.follow(ctx, followedTable{name: "configuration", read: n.readOperator, await: n.awaitOperator})
	go n.pollExecutors(ctx)
	eventually(c, func() bool { return versionOf(n) == 1 })

	store.silent.Store(true)
	store.version.Store(2)
	n.listRequested <- struct{}{} // have the executors read, which fails
	time.Sleep(20 * time.Millisecond)
	store.silent.Store(false)
	eventually(c, func() bool { return versionOf(n) == 2 })
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.applyConfiguration(Snapshot{Body: []byte{5}}, "store")
	n.applyConfiguration(Snapshot{Body: []byte{4}}, "peer")
	c.Assert(n.Configuration().Version, qt.Equals, uint64(5))
}

// Guards against reading on from a position, also a relayed one, whose history has been
// removed.
func TestConfigurationIsReadInFullAfterHistoryLoss(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	store.version.Store(1)
	n := newTestNode(c, store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.followOperator(ctx)
	eventually(c, func() bool { return versionOf(n) == 1 })
	store.floor.Store(2)
	store.version.Store(2)
	eventually(c, func() bool { return versionOf(n) == 2 })
}

// Guards against a load of the store that grows with the hosts while their rows keep changing.
func TestRequestsForRowsDoNotGrowWithTheHosts(t *testing.T) {
	most := float64(hostsAtMinPause) / minMembersPause.Seconds()
	for _, hosts := range []int{1, 40, 236, 1000, 3000} {
		calls := float64(hosts) / membersPauseFor(hosts).Seconds()
		qt.Assert(t, calls <= 1.001*most, qt.IsTrue, qt.Commentf("%d hosts: %.0f requests per second", hosts, calls))
	}
	qt.Assert(t, membersPauseFor(3), qt.Equals, minMembersPause)
}
