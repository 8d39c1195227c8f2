package node

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

const otherAddress = "127.0.0.2:1"

// newNodeWithPeer makes a node with a link to another node, which is of the given domain.
func newNodeWithPeer(c *qt.C, domain string, ownMbps, otherMbps float64) *Node {
	n := newTestNode(c, &fakeStore{})
	n.settings.LinkMbps = ownMbps
	n.memberRows = map[string]Member{
		"a": {Name: "a", Domain: "z", PeerAddress: n.settings.PeerAddress, Capacity: ownership.Capacity{LinkMbps: ownMbps}},
		"b": {Name: "b", Domain: domain, PeerAddress: otherAddress, Capacity: ownership.Capacity{LinkMbps: otherMbps}},
	}
	n.members.LinkUp(member.Peer{Name: "b", Domain: domain, Address: otherAddress, Incarnation: once.Incarnation{2}})
	return n
}

func TestReadsForDomain(t *testing.T) {
	type scenario struct {
		testName         string
		domain           string // of the other node
		ownMbps          float64
		otherMbps        float64
		ownsCell         bool // this node owns a cell
		storeUnreachable bool // the other node can't read the store
		rowless          bool // this node's row is missing
		want             bool
	}
	scenarios := []scenario{
		{testName: "this node has the faster link", domain: "z", ownMbps: 200, otherMbps: 25, want: true},
		{testName: "this node has the slower link", domain: "z", ownMbps: 25, otherMbps: 200},
		{testName: "with equal links the one that owns no cell reads", domain: "z", ownMbps: 25, otherMbps: 25, ownsCell: true},
		{testName: "the other node can't read the store", domain: "z", ownMbps: 25, otherMbps: 200, storeUnreachable: true, want: true},
		{testName: "this node's row is not written yet", domain: "z", ownMbps: 200, otherMbps: 25, rowless: true, want: true},
		{testName: "the other node is of another domain", domain: "y", ownMbps: 25, otherMbps: 200, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newNodeWithPeer(c, s.domain, s.ownMbps, s.otherMbps)
			if s.ownsCell {
				n.claims.SetClaims(n.settings.PeerAddress, []ownership.Claim{{Cell: "z", Token: 1}})
			}
			n.storeUnreachable[otherAddress] = s.storeUnreachable
			if s.rowless {
				delete(n.memberRows, "a")
			}
			c.Assert(n.readsForDomain(), qt.Equals, s.want)
		})
	}
}

// Guards against nodes that read the list although the reader of their domain relays it.
func TestNextListTaskReads(t *testing.T) {
	type scenario struct {
		testName     string
		ownMbps      float64
		confirmedAgo time.Duration // since the reader's last confirmation
		claimed      bool          // a cell, after the last read
		want         bool
	}
	scenarios := []scenario{
		{testName: "another node reads", ownMbps: 2, confirmedAgo: time.Second},
		{testName: "it reads for the domain", ownMbps: 200, confirmedAgo: time.Second, want: true},
		{testName: "the reader is unresponsive", ownMbps: 2, confirmedAgo: relayedListExpiry + time.Second, want: true},
		{testName: "it has claimed a cell", ownMbps: 2, confirmedAgo: time.Second, claimed: true, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newNodeWithPeer(c, "z", s.ownMbps, 25)
			n.roster.ApplyFull(&catalog.Executors{Revision: 1}, 0)
			n.publish(true, n.Clock.Now()-time.Hour)
			n.listConfirmedByPeerAt.Store(int64(n.Clock.Now() - s.confirmedAgo))
			if s.claimed {
				n.owners["z"] = newOwner(n, "z", 1, n.Clock.Now())
			}
			c.Assert(n.nextListTask().read, qt.Equals, s.want)
		})
	}
}

func TestRelayedChangesAreApplied(t *testing.T) {
	c := qt.New(t)
	reader := newNodeWithPeer(c, "z", 200, 2)
	reader.roster.ApplyFull(&catalog.Executors{Revision: 10, ByID: map[string]catalog.Executor{"e": {ID: "e", Service: "s", Domain: "z", Address: "10.0.0.1:1", Capacity: job.Resources{CPU: 1}}}}, 0)
	n := newNodeWithPeer(c, "z", 2, 200)
	n.handleRelayed(reader.executorsSince(0), otherAddress)
	c.Assert(n.executors.Load().cells["z"], qt.HasLen, 1)
	c.Assert(n.listConfirmationExpired(), qt.IsFalse)

	reader.roster.ApplyChanges(&catalog.ExecutorChanges{Revision: 20, Removed: []string{"e"}, Listed: []catalog.Executor{{ID: "f", Service: "s", Domain: "z", Address: "10.0.0.2:1", Capacity: job.Resources{CPU: 1}}}})
	n.handleRelayed(reader.executorsSince(n.executorsRevision()), otherAddress)
	c.Assert(n.roster.Executors().ByID, qt.HasLen, 1)
	c.Assert(n.roster.Executors().ByID["f"].ID, qt.Equals, "f")

	n.handleRelayed(&peerpb.Snapshot{Kind: snapshotExecutors}, otherAddress)
	c.Assert(n.executorsRevision(), qt.Equals, uint64(20), qt.Commentf("a peer without a list changes nothing"))
}

func TestHeartbeatReportsFailingStore(t *testing.T) {
	type scenario struct {
		testName          string
		executorsFail     bool
		operatorReadFails bool
		want              bool
	}
	scenarios := []scenario{
		{testName: "both can be read"},
		{testName: "the executors can't be read", executorsFail: true, want: true},
		{testName: "the configuration can't be read", operatorReadFails: true, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.listReadFails.Store(s.executorsFail)
			n.operatorReadFails.Store(s.operatorReadFails)
			c.Assert(n.Heartbeat().StoreFails, qt.Equals, s.want)
		})
	}
}

// largeDomain makes the node with index own of a domain with so many hosts that not all
// have links to each other. The link of each host is faster than that of the previous one.
func largeDomain(c *qt.C, own int) *Node {
	const hosts = 60
	n := newTestNode(c, &fakeStore{})
	var rows []Member
	for i := range hosts {
		row := Member{Name: strconv.Itoa(i), Domain: "z", PeerAddress: strconv.Itoa(i) + ":1", Capacity: ownership.Capacity{CPU: 100 + i, LinkMbps: float64(10 + i)}}
		if i == own {
			row.Name, row.PeerAddress = n.settings.Name, n.settings.PeerAddress
			n.settings.LinkMbps = row.Capacity.LinkMbps
		}
		rows = append(rows, row)
	}
	n.setRows(rows)
	return n
}

// Guards against all nodes of a large domain reading the long list at a simultaneous start.
func TestFirstReadersOfALargeDomain(t *testing.T) {
	type scenario struct {
		testName string
		own      int
		age      time.Duration
		known    bool
		waits    bool
	}
	scenarios := []scenario{
		{testName: "the first in rank", own: 59},
		{testName: "the second", own: 58},
		{testName: "the third", own: 57, waits: true},
		{testName: "one whose wait has timed out", own: 3, age: firstListTimeout + time.Millisecond},
		{testName: "one that has a list", own: 3, known: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := largeDomain(c, s.own)
			n.Clock = &common.ManualClock{At: s.age}
			if s.known {
				n.executors.Store(newListing(0, &catalog.Executors{}, nil, nil))
			}
			c.Assert(n.awaitsFirstList(), qt.Equals, s.waits)
			c.Assert(n.nextListTask().idle, qt.Equals, s.waits)
		})
	}
}

// A node that isn't a hub is not the reader of its domain and has a low weight as an owner.
func TestNonHubsNeitherReadNorTakePrecedence(t *testing.T) {
	c := qt.New(t)
	hub, other := largeDomain(c, 59), largeDomain(c, 0)
	c.Assert(hub.readsForDomain(), qt.IsTrue)
	c.Assert(other.readsForDomain(), qt.IsFalse)
	other.settings.Weight = 800
	c.Assert(other.ownershipView().Self.Weight, qt.Equals, nonHubWeight)
}

// Guards against nodes reading the store when the reader sends heartbeats but no changes.
func TestReadersHeartbeatConfirmsTheList(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithPeer(c, "z", 25, 200)
	n.Clock = &common.ManualClock{At: time.Minute}
	n.handleHeartbeat(otherAddress, &peerpb.Heartbeat{})
	c.Assert(n.listConfirmationExpired(), qt.IsTrue)
	n.handleHeartbeat(otherAddress, &peerpb.Heartbeat{ReadsList: true})
	c.Assert(n.listConfirmationExpired(), qt.IsFalse)
}

// Guards against a pause of the reads when the reader of a domain changes, including a change
// between the last nextListTask and the last updateReader.
func TestNewReaderReadsAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newNodeWithPeer(c, "z", 25, 200)
	requested := func() bool {
		select {
		case <-n.listRequested:
			return true
		default:
			return false
		}
	}
	n.updateReader()
	c.Assert(requested(), qt.IsFalse, qt.Commentf("the other node is the reader"))
	n.LinkDown(otherAddress)
	n.updateReader()
	c.Assert(requested(), qt.IsTrue)
	n.updateReader()
	c.Assert(requested(), qt.IsFalse, qt.Commentf("requested already"))

	n.LinkUp(otherAddress, &peerpb.Hello{Name: "b", Domain: "z", Address: otherAddress, Incarnation: []byte{2}})
	n.executors.Store(newListing(n.Clock.Now(), &catalog.Executors{}, nil, nil))
	c.Assert(n.nextListTask().read, qt.IsFalse)
	n.LinkDown(otherAddress)
	n.updateReader()
	c.Assert(requested(), qt.IsTrue, qt.Commentf("nextListTask found that the other node is the reader"))
}

// Guards against frequent heartbeats to owners from nodes that would not claim their cells and
// have no jobs there.
func TestSlowdownTowardsOwnersOfALargeDomain(t *testing.T) {
	type scenario struct {
		testName string
		own      int // index of the node; the highest ranks first
		job      bool
		want     int
	}
	scenarios := []scenario{
		{testName: "a hub", own: 59, want: 1},
		{testName: "no hub", own: 0, want: distantOwnerSlowdown},
		{testName: "no hub, with a job there", own: 0, job: true, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := largeDomain(c, s.own)
			const owner = "58:1"
			n.claims.SetClaims(owner, []ownership.Claim{{Cell: "z", Token: 1, Load: ownership.Load{Ready: true, CapacityCPU: 1, FreeCPU: 1}}})
			n.updateHub()
			if s.job {
				defer n.front.recordDispatch(owner)()
			}
			c.Assert(n.Slowdown(owner), qt.Equals, s.want)
		})
	}
}

// Guards against a reader that falls behind because it reads one response per interval when
// executors write more changes than a response holds.
func TestChangesAreReadUntilThereAreNoMore(t *testing.T) {
	c := qt.New(t)
	store := &fakeStore{}
	n := newTestNode(c, store)
	c.Assert(n.readAllExecutors(context.Background(), time.Second, false), qt.IsNil)
	listed := func(id string) []catalog.Executor { return []catalog.Executor{{ID: id}} }
	store.answers = []*catalog.ExecutorChanges{
		{Revision: 1, Listed: listed("a"), More: true},
		{Revision: 2, Listed: listed("b"), More: true},
		{Revision: 3, Listed: listed("c")},
	}
	c.Assert(n.readExecutors(context.Background(), 2*time.Second, false), qt.IsNil)
	c.Assert(n.executors.Load().inDomain(""), qt.HasLen, 3)
	c.Assert(n.executors.Load().askedAt, qt.Equals, 2*time.Second)

	n.applyPartialChanges(&catalog.ExecutorChanges{Revision: 4, Listed: listed("d"), More: true})
	c.Assert(n.executors.Load().inDomain(""), qt.HasLen, 4)
	c.Assert(n.executors.Load().askedAt, qt.Equals, 2*time.Second, qt.Commentf("partial changes don't confirm the list"))
}
