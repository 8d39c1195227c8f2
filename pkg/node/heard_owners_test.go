package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// Guards against a host that is cut from the owner of a cell only, and claims it beside the owner, which other
// hosts hear; and against a cell that it doesn't claim once they have lost the owner as well.
func TestAHostThatIsCutFromAnOwnerClaimsItsCellOnceOthersHaveLostIt(t *testing.T) {
	c := qt.New(t)
	cut, other, owner := peerNode(t, "a", "z", 1), peerNode(t, "b", "z", 2), peerNode(t, "c", "z", 3)
	for _, n := range []*Node{cut, other, owner} {
		n.rowsRead, n.heartbeats.sequence = true, 1 // they tell each other no addresses
	}
	cut.settings.Weight, other.settings.Weight, owner.settings.Weight = 1000, 1, 1000
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": listedExecutor("i-1", "10.0.0.1:80")}}
	listing := newListing(0, list, sizesOf(list), map[string]int{"z": 1})
	withoutExecutors := newListing(0, &catalog.Executors{}, nil, nil)
	withoutExecutors.cells["z"] = nil
	owner.executors.Store(withoutExecutors)
	linkAll(t, cut, other)
	linkAll(t, other, owner)
	owner.claim("z", owner.Clock.Now())
	address := owner.settings.PeerAddress
	hearsOwner := func(n *Node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.claims.Owns(address)
	}
	eventually(c, func() bool { return hearsOwner(other) })
	cut.LinkUp(address, &peerpb.Hello{Name: "c", Domain: "z", Weight: 1000, Incarnation: owner.inc[:]})
	cut.mu.Lock()
	cut.claims.SetClaims(address, owner.ownClaims())
	cut.mu.Unlock()
	cut.LinkDown(address)
	wants := func() bool {
		cut.updateOwnerless(listing)
		return len(mayBeClaimed(cut.claimCandidates(listing, cut.Clock.Now()))) > 0
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.Assert(wants(), qt.IsFalse, qt.Commentf("the other host hears the owner: %t; this one: %t", hearsOwner(other), hearsOwner(cut)))
	}
	c.Assert(hearsOwner(cut), qt.IsFalse)
	closeNode(owner)
	eventually(c, wants)
}

// Guards against a dead owner that hosts keep alive by passing on what they have been told, and against answers
// about an owner whose link has ended.
func TestAHostTellsOnlyOfOwnersThatItHearsItself(t *testing.T) {
	scenarios := []struct {
		testName string
		prepare  func(n, owner *Node)
		want     bool
	}{
		{testName: "by a link of its own", prepare: func(n, owner *Node) { linkAll(t, n, owner) }, want: true},
		{testName: "by what another host has told", prepare: func(n, owner *Node) {
			n.claims.SetHeard("b", []ownership.HeardOwner{{Cell: "z", Owner: owner.settings.PeerAddress, At: n.Clock.Now()}}, n.Clock.Now())
		}},
		{testName: "by a link that has ended", prepare: func(n, owner *Node) {
			linkAll(t, n, owner)
			eventually(qt.New(t), func() bool { _, _, isHeard := n.heardOwner("z"); return isHeard })
			n.links.Close()
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n, owner := peerNode(t, "a", "z", 1), peerNode(t, "c", "z", 3)
			withoutExecutors := newListing(0, &catalog.Executors{}, nil, nil)
			withoutExecutors.cells["z"] = nil
			owner.executors.Store(withoutExecutors)
			owner.claim("z", owner.Clock.Now())
			s.prepare(n, owner)
			tells := func() bool {
				answer := n.heartbeatFor(&peerpb.Hello{Domain: "z"}, &peerpb.Heartbeat{CellCount: 1, OwnerlessCells: []uint32{0}})
				c.Assert(answer.HeardOwners, qt.HasLen, 1)
				return answer.HeardOwners[0].Owner == owner.settings.PeerAddress
			}
			if s.want {
				eventually(c, tells)
			} else {
				c.Assert(tells(), qt.IsFalse)
			}
			other := n.heartbeatFor(&peerpb.Hello{Domain: "y"}, &peerpb.Heartbeat{CellCount: 1, OwnerlessCells: []uint32{0}})
			c.Assert(other.HeardOwners, qt.HasLen, 0, qt.Commentf("hosts of other domains are told nothing"))
		})
	}
}

// Guards against callers that wait for an owner at a host that reaches none and claims no cell either, as others
// hear their owners.
func TestWhichJobsAHostThatIsCutFromOwnersAnswersAtOnce(t *testing.T) {
	now := time.Hour
	heard := ownership.HeardOwner{Cell: "z", Owner: "o", At: now}
	scenarios := []struct {
		testName   string
		heard      ownership.HeardOwner
		ownerOfFar bool // an owner of another domain is reachable, and not ready
		started    bool // a former owner may have started the job
		want       bool // answered at once
	}{
		{testName: "another host hears the owner", heard: heard, want: true},
		{testName: "nobody hears the owner", heard: ownership.HeardOwner{Cell: "z"}},
		{testName: "another host hears the owner, one of another domain is reachable", heard: heard, ownerOfFar: true},
		{testName: "another host hears the owner, the job may have started", heard: heard, started: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := peerNode(t, "a", "z", 1)
			n.Clock = &manualClock{now: now}
			if s.ownerOfFar {
				n.claims.SetClaims("far:1", []ownership.Claim{{Cell: "far", Token: 1}})
			}
			n.claims.SetHeard("b", []ownership.HeardOwner{s.heard}, now)
			list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": listedExecutor("i-1", "10.0.0.1:80")}}
			n.updateOwnerless(newListing(0, list, sizesOf(list), map[string]int{"z": 1}))
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			j := submission(n)
			j.Target = time.Second
			_, found := n.front.awaitOwner(ctx, j, &attempt{started: s.started})
			c.Assert(found, qt.IsFalse)
			c.Assert(ctx.Err() == nil, qt.Equals, s.want)
		})
	}
}

// Guards against jobs that end with a refusal at a host that is cut from all owners, though other hosts serve.
func TestAHostThatIsCutFromOwnersSendsCallersToOthers(t *testing.T) {
	c := qt.New(t)
	n := peerNode(t, "a", "z", 1)
	n.Clock = &manualClock{now: time.Hour}
	outcome := func() job.Outcome { return n.front.outcomeWithoutOwner(t.Context(), submission(n), &attempt{}) }
	c.Assert(outcome().Kind, qt.Equals, job.Refused)
	n.claims.SetHeard("b", []ownership.HeardOwner{{Cell: "z", Owner: "o", At: time.Hour}}, time.Hour)
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": listedExecutor("i-1", "10.0.0.1:80")}}
	n.updateOwnerless(newListing(0, list, sizesOf(list), map[string]int{"z": 1}))
	c.Assert(outcome(), qt.DeepEquals, job.Outcome{Kind: job.Expired, Reason: reasonCutFromOwners, Started: true})
}
