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

// nodeBeside makes a node that sees another one of a domain.
func nodeBeside(c *qt.C, domain string, ownMbps, otherMbps float64) *Node {
	n := newTestNode(c, &fakeStore{})
	n.settings.LinkMbps = ownMbps
	n.rows = map[string]Member{
		"a": {Name: "a", Domain: "z", PeerAddress: n.settings.PeerAddress, Capacity: ownership.Capacity{LinkMbps: ownMbps}},
		"b": {Name: "b", Domain: domain, PeerAddress: otherAddress, Capacity: ownership.Capacity{LinkMbps: otherMbps}},
	}
	n.members.Up(member.Peer{Name: "b", Domain: domain, Address: otherAddress, Incarnation: once.Incarnation{2}})
	return n
}

func TestWhoReadsForADomain(t *testing.T) {
	type scenario struct {
		testName  string
		domain    string // of the other node
		ownMbps   float64
		otherMbps float64
		ownsCell  bool // this node does
		storeless bool // the other can't read the store
		rowless   bool // this node's row isn't there
		want      bool
	}
	scenarios := []scenario{
		{testName: "the fatter link", domain: "z", ownMbps: 200, otherMbps: 25, want: true},
		{testName: "the thinner link", domain: "z", ownMbps: 25, otherMbps: 200},
		{testName: "of equals one that owns nothing", domain: "z", ownMbps: 25, otherMbps: 25, ownsCell: true},
		{testName: "the other can't read the store", domain: "z", ownMbps: 25, otherMbps: 200, storeless: true, want: true},
		{testName: "the own row isn't there yet", domain: "z", ownMbps: 200, otherMbps: 25, rowless: true, want: true},
		{testName: "the other is of another domain", domain: "y", ownMbps: 25, otherMbps: 200, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := nodeBeside(c, s.domain, s.ownMbps, s.otherMbps)
			if s.ownsCell {
				n.claims.SetClaims(n.settings.PeerAddress, []ownership.Claim{{Cell: "z", Token: 1}})
			}
			n.storeless[otherAddress] = s.storeless
			if s.rowless {
				delete(n.rows, "a")
			}
			c.Assert(n.readsForDomain(), qt.Equals, s.want)
		})
	}
}

// A node reads the list by itself only when it has to: each reading takes a thin
// link for a sixth of a second.
func TestWhenANodeReadsTheList(t *testing.T) {
	type scenario struct {
		testName  string
		ownMbps   float64
		passedAgo time.Duration // the last word of the reader
		claimed   bool          // a cell, after the last reading
		want      bool
	}
	scenarios := []scenario{
		{testName: "another node reads", ownMbps: 2, passedAgo: time.Second},
		{testName: "it reads for the domain", ownMbps: 200, passedAgo: time.Second, want: true},
		{testName: "the reader has fallen silent", ownMbps: 2, passedAgo: passedLife + time.Second, want: true},
		{testName: "it has claimed a cell", ownMbps: 2, passedAgo: time.Second, claimed: true, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := nodeBeside(c, "z", s.ownMbps, 25)
			n.roster.ApplyFull(&catalog.Executors{Revision: 1}, 0)
			n.publish(true, n.Clock.Now()-time.Hour)
			n.passedAt.Store(int64(n.Clock.Now() - s.passedAgo))
			if s.claimed {
				n.owners["z"] = newOwner(n, "z", 1, n.Clock.Now())
			}
			c.Assert(n.listDuty().read, qt.Equals, s.want)
		})
	}
}

func TestPassedOnChangesAreTakenIn(t *testing.T) {
	c := qt.New(t)
	reader := nodeBeside(c, "z", 200, 2)
	reader.roster.ApplyFull(&catalog.Executors{Revision: 10, ByID: map[string]catalog.Executor{"e": {ID: "e", Service: "s", Domain: "z", Address: "10.0.0.1:1", Capacity: job.Resources{CPU: 1}}}}, 0)
	n := nodeBeside(c, "z", 2, 200)
	n.takePassed(reader.executorsSince(0), otherAddress)
	c.Assert(n.executors.Load().cells["z"], qt.HasLen, 1)
	c.Assert(n.readerLost(), qt.IsFalse)

	reader.roster.ApplyChanges(&catalog.ExecutorChanges{Revision: 20, Removed: []string{"e"}, Listed: []catalog.Executor{{ID: "f", Service: "s", Domain: "z", Address: "10.0.0.2:1", Capacity: job.Resources{CPU: 1}}}})
	n.takePassed(reader.executorsSince(n.executorsRevision()), otherAddress)
	c.Assert(n.roster.Executors().ByID, qt.HasLen, 1)
	c.Assert(n.roster.Executors().ByID["f"].ID, qt.Equals, "f")

	n.takePassed(&peerpb.Snapshot{Kind: newsExecutors}, otherAddress)
	c.Assert(n.executorsRevision(), qt.Equals, uint64(20), qt.Commentf("a peer that knows nothing tells nothing"))
}

func TestANodeThatCanNotReadTheStoreSaysSo(t *testing.T) {
	type scenario struct {
		testName      string
		executorsFail bool
		operatorFails bool
		want          bool
	}
	scenarios := []scenario{
		{testName: "both can be read"},
		{testName: "the executors can't", executorsFail: true, want: true},
		{testName: "the configuration can't", operatorFails: true, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.storeFails.Store(s.executorsFail)
			n.operatorFails.Store(s.operatorFails)
			c.Assert(n.Heartbeat().StoreFails, qt.Equals, s.want)
		})
	}
}

// largeDomain makes a node whose domain has so many hosts that not all hold links
// to each other, each with a fatter link than the one before; its own is named.
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

// All nodes may have started at once, and the list of a large domain is long.
func TestWhoReadsTheFirstListOfALargeDomain(t *testing.T) {
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
		{testName: "one that waits for long", own: 3, age: firstListPatience + time.Millisecond},
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
			c.Assert(n.listDuty().idle, qt.Equals, s.waits)
		})
	}
}

// A node that isn't a hub neither reads for its domain nor comes before a hub as
// an owner.
func TestNodesThatAreNoHubs(t *testing.T) {
	c := qt.New(t)
	hub, other := largeDomain(c, 59), largeDomain(c, 0)
	c.Assert(hub.readsForDomain(), qt.IsTrue)
	c.Assert(other.readsForDomain(), qt.IsFalse)
	other.settings.Weight = 800
	c.Assert(other.ownershipView().Self.Weight, qt.Equals, sideWeight)
}

// The reader's heartbeats confirm the list to nodes that it doesn't pass it on to.
func TestTheReadersHeartbeatConfirmsTheList(t *testing.T) {
	c := qt.New(t)
	n := nodeBeside(c, "z", 25, 200)
	n.Clock = &common.ManualClock{At: time.Minute}
	n.heard(otherAddress, &peerpb.Heartbeat{})
	c.Assert(n.readerLost(), qt.IsTrue)
	n.heard(otherAddress, &peerpb.Heartbeat{ReadsList: true})
	c.Assert(n.readerLost(), qt.IsFalse)
}

// A node that comes first as the reader reads at once: the one before it has
// stopped, and this one may have just looked whether it should, before it knew
// the rows.
func TestANodeThatBecomesTheReaderReadsAtOnce(t *testing.T) {
	c := qt.New(t)
	n := nodeBeside(c, "z", 25, 200)
	asked := func() bool {
		select {
		case <-n.claimed:
			return true
		default:
			return false
		}
	}
	n.noticeReader()
	c.Assert(asked(), qt.IsFalse, qt.Commentf("the other one reads"))
	n.LinkDown(otherAddress)
	n.noticeReader()
	c.Assert(asked(), qt.IsTrue)
	n.noticeReader()
	c.Assert(asked(), qt.IsFalse, qt.Commentf("it has read by now"))

	n.LinkUp(otherAddress, &peerpb.Hello{Name: "b", Domain: "z", Address: otherAddress, Incarnation: []byte{2}})
	n.executors.Store(newListing(n.Clock.Now(), &catalog.Executors{}, nil, nil))
	c.Assert(n.listDuty().read, qt.IsFalse)
	n.LinkDown(otherAddress)
	n.noticeReader()
	c.Assert(asked(), qt.IsTrue, qt.Commentf("it was no reader only when it decided what to do"))
}

// Nodes that won't claim an owner's cells need not know of its end at once, unless
// they have jobs there.
func TestHowFastALinkToAnOwnerBeats(t *testing.T) {
	type scenario struct {
		testName string
		own      int // rank of the node, the highest first
		job      bool
		want     int
	}
	scenarios := []scenario{
		{testName: "a hub", own: 59, want: 1},
		{testName: "no hub", own: 0, want: farSlowdown},
		{testName: "no hub, with a job there", own: 0, job: true, want: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := largeDomain(c, s.own)
			const owner = "58:1"
			n.claims.SetClaims(owner, []ownership.Claim{{Cell: "z", Token: 1, Load: ownership.Load{Ready: true, CapacityCPU: 1, FreeCPU: 1}}})
			n.noticeHub()
			if s.job {
				defer n.front.noteDispatch(owner)()
			}
			c.Assert(n.Slowdown(owner), qt.Equals, s.want)
		})
	}
}

// Thousands of executors write more changes than an answer of the store holds, so
// that a reader that took one answer at a time fell behind for good.
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

	n.takePart(&catalog.ExecutorChanges{Revision: 4, Listed: listed("d"), More: true})
	c.Assert(n.executors.Load().inDomain(""), qt.HasLen, 4)
	c.Assert(n.executors.Load().askedAt, qt.Equals, 2*time.Second, qt.Commentf("a part tells of no later time"))
}
