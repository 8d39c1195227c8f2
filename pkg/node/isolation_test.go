package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// listHosts lists hosts of a node's domain at addresses.
func listHosts(n *Node, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var listed []member.ListedHost
	for _, address := range addresses {
		listed = append(listed, member.ListedHost{Name: address, Domain: n.settings.Domain, Address: address})
	}
	n.members.SetListed(listed)
	n.contactChanged()
}

// linkTwoDomains has a node of domain z reach two hosts of it, b and c, and two of domain y, d and e. It
// returns the node's clock.
func linkTwoDomains(n *Node) *manualClock {
	clock := &manualClock{now: time.Hour}
	n.Clock = clock
	listHosts(n, "b", "c")
	for _, address := range []string{"b", "c"} {
		linkUp(n, address, "z")
	}
	for _, address := range []string{"d", "e"} {
		linkUp(n, address, "y")
	}
	return clock
}

func linkUp(n *Node, address, domain string) {
	incarnation := make([]byte, 16)
	copy(incarnation, address)
	n.LinkUp(address, &peerpb.Hello{Name: address, Domain: domain, Incarnation: incarnation})
}

// Guards against a job that is accepted as new by a host that is cut off from all others, one of which
// holds the job open.
func TestAnIsolatedHostAcceptsNoJob(t *testing.T) {
	c := qt.New(t)
	n := peerNode(t, "a", "z", 1)
	n.Clock = &manualClock{now: startupGrace}
	listHosts(n, "127.0.0.2:1", "127.0.0.3:1")
	c.Assert(n.Ready(), qt.IsFalse)
	outcome := n.Submit(context.Background(), submission(n))
	c.Assert(outcome.Kind, qt.Equals, job.Expired, qt.Commentf("nothing is known of its runs, so it is not refused"))
	c.Assert(outcome.Reason, qt.Equals, reasonIsolated)
}

// Guards against a refusal of a job that may be open at a host that this one has not heard from yet.
func TestAJobThatWaitsForAContactIsNotRefused(t *testing.T) {
	for _, cause := range []error{errStopping, errUnconfirmed, errLeft} {
		t.Run(cause.Error(), func(t *testing.T) {
			c := qt.New(t)
			n := peerNode(t, "a", "z", 1)
			n.Clock = &manualClock{now: startupGrace - time.Millisecond}
			listHosts(n, "127.0.0.2:1", "127.0.0.3:1")
			answer := submitLater(context.Background(), n)
			eventually(c, func() bool { return n.front.openJob(joinID) != nil })
			n.front.openJob(joinID).cancel(cause)
			outcome := <-answer
			c.Assert(outcome.Kind, qt.Equals, job.Expired)
			c.Assert(outcome.Reason, qt.Equals, cause.Error())
		})
	}
}

// Guards against a job that is accepted as new by a host that has just reached the others again and has not
// received their announcements yet.
func TestAHostThatReachesOthersAgainAwaitsTheirAnnouncements(t *testing.T) {
	c := qt.New(t)
	a, b := pairOf(t)
	open := openAndAnnounce(a)
	eventually(c, func() bool { return knowsOpenJob(b) })
	b.openJobTable.others.MarkClosed(joinID, a.asFront(), 0, 0, 0) // as before the announcement arrived
	b.mu.Lock()
	b.reachesOthersSince = b.Clock.Now()
	b.contactChanged()
	b.mu.Unlock()
	answer := submitLater(context.Background(), b)
	eventually(c, func() bool { return b.front.openJob(joinID) != nil })
	b.recordOpenJobs(a.asFront(), a.settings.PeerAddress, a.openJobTable.local.Announced(a.Clock.Now()), false)
	eventually(c, func() bool { return waiters(a, open) == 2 })
	a.front.end(open, job.Outcome{Kind: job.Completed})
	select {
	case outcome := <-answer:
		c.Assert(outcome.Kind, qt.Equals, job.Completed)
	case <-time.After(5 * time.Second):
		c.Fatal("the resubmitted job got no answer")
	}
}

// Guards against the same by a host that was cut off from the hosts of its domain only.
func TestWhichLinksAreFollowedByAnnouncements(t *testing.T) {
	tests := []struct {
		name   string
		domain string // of the host that this one reaches again
		lost   []string
		waits  bool
	}{
		{name: "the first host of this domain, after a cut from all of it", domain: "z", lost: []string{"b", "c"}, waits: true},
		{name: "a further host of this domain", domain: "z", lost: []string{"b"}},
		{name: "a host of another domain", domain: "y", lost: []string{"e"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := peerNode(t, "a", "z", 1)
			clock := linkTwoDomains(n)
			clock.now += time.Minute
			for _, address := range test.lost {
				n.LinkDown(address)
			}
			clock.now += time.Second
			linkUp(n, test.lost[0], test.domain)
			n.domainHeardAt = clock.now
			qt.Assert(t, clock.now < n.contact().syncedAt, qt.Equals, test.waits)
		})
	}
}

// Guards against a job that is accepted as new by a host that has lost one host of its domain, and has
// not found out yet that it is cut off from the others too.
func TestAHostThatHasLostAnotherOneAwaitsAContact(t *testing.T) {
	tests := []struct {
		name      string
		afterLoss func(n *Node)
		want      func(c contact, now time.Duration) bool
	}{
		{"nothing heard since", func(*Node) {}, func(c contact, now time.Duration) bool { return now < c.unsureUntil }},
		{"heard from another one", func(n *Node) { n.domainHeardAt = n.Clock.Now() + 1 }, func(c contact, now time.Duration) bool { return !c.isolated && now >= c.unsureUntil }},
		{"the other one is lost too", func(n *Node) { n.members.LinkDown("b", n.Clock.Now()) }, func(c contact, _ time.Duration) bool { return c.isolated }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := peerNode(t, "a", "z", 1)
			n.Clock = &manualClock{now: time.Hour}
			listHosts(n, "b", "c")
			for _, address := range []string{"b", "c"} {
				n.LinkUp(address, &peerpb.Hello{Name: address, Domain: "z", Incarnation: make([]byte, 16)})
			}
			n.reachesOthersSince = 0
			n.LinkDown("c")
			n.mu.Lock()
			test.afterLoss(n)
			n.mu.Unlock()
			qt.Assert(t, test.want(n.contact(), n.Clock.Now()), qt.IsTrue)
		})
	}
}

// Guards against a host that may be cut off from its domain and takes over cells of owners that serve
// the other hosts.
func TestAHostThatMayBeCutOffClaimsNoCellOfItsDomain(t *testing.T) {
	c := qt.New(t)
	n := peerNode(t, "a", "z", 1)
	n.Clock = &manualClock{now: time.Hour}
	listHosts(n, "b", "c")
	for _, address := range []string{"b", "c"} {
		// A leaving host takes no cell over, so that this one does whatever its address.
		n.LinkUp(address, &peerpb.Hello{Name: address, Domain: "z", Incarnation: make([]byte, 16), Leaving: address == "c"})
	}
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": listedExecutor("i-1", "10.0.0.1:80")}}
	listing := newListing(0, list, sizesOf(list), map[string]int{"z": 1})
	n.LinkDown("b")
	c.Assert(mayBeClaimed(n.claimCandidates(listing, n.Clock.Now())), qt.HasLen, 0)
	n.mu.Lock()
	n.domainHeardAt = n.Clock.Now() + 1
	n.rowsRead = true
	n.mu.Unlock()
	c.Assert(mayBeClaimed(n.claimCandidates(listing, n.Clock.Now())), qt.HasLen, 1)
}

// Guards against a second start by a host that was cut off from its domain, while its links to other
// domains count as up: the first link to a host of the domain is up, and no announcement has arrived.
func TestAHostThatReachesItsDomainAgainAwaitsAnnouncements(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	clock := &common.ManualClock{At: time.Minute}
	n.Clock = clock
	n.LinkUp("far:1", &peerpb.Hello{Name: "far", Domain: "y", Address: "far:1", Incarnation: []byte("far")})
	clock.At += time.Minute
	n.LinkUp("near:1", &peerpb.Hello{Name: "near", Domain: n.settings.Domain, Address: "near:1", Incarnation: []byte("near")})
	now := n.contact()
	c.Assert(now.isolated, qt.IsFalse)
	c.Assert(now.syncedAt, qt.Equals, clock.At+openjobs.ResyncDelay)
}

// Guards against a host that is cut off from its domain only and takes over its cells, as it counts most
// hosts as up.
func TestAHostThatIsCutOffFromItsDomainOnlyClaimsNoCellOfIt(t *testing.T) {
	c := qt.New(t)
	n := peerNode(t, "a", "z", 1)
	clock := linkTwoDomains(n)
	n.mu.Lock()
	n.rowsRead = true
	n.mu.Unlock()
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": listedExecutor("i-1", "10.0.0.1:80")}}
	listing := newListing(0, list, sizesOf(list), map[string]int{"z": 1})
	clock.now += time.Minute
	n.LinkDown("b")
	c.Assert(mayBeClaimed(n.claimCandidates(listing, n.Clock.Now())), qt.HasLen, 0)
	clock.now += 300 * time.Millisecond
	n.LinkDown("c")
	c.Assert(n.contact().isolated, qt.IsTrue)
	c.Assert(mayBeClaimed(n.claimCandidates(listing, n.Clock.Now())), qt.HasLen, 0)
	clock.now += member.IsolationLimit
	c.Assert(mayBeClaimed(n.claimCandidates(listing, n.Clock.Now())), qt.HasLen, 1, qt.Commentf("the others count as lost"))
}
