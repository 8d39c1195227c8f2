package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/member"
	qt "github.com/frankban/quicktest"
)

// A domain that is cut off by the network serves by itself. Probes during one network
// partition must not allow a claim during the next.
func TestProbesOfADomainStartOverAtTheNextPartition(t *testing.T) {
	c := qt.New(t)
	f := newForeignDomains()
	now := time.Minute
	mayClaim, probeDue := f.due("far", now)
	c.Assert(mayClaim, qt.IsFalse)
	c.Assert(probeDue, qt.IsTrue)
	f.recordProbe("far", true, now)
	f.retainOnly([]string{"far"})
	mayClaim, _ = f.due("far", now+minReachable)
	c.Assert(mayClaim, qt.IsTrue, qt.Commentf("reachable for long enough"))

	f.retainOnly(nil) // the domain has an owner of its own again
	mayClaim, probeDue = f.due("far", now+time.Minute)
	c.Assert(mayClaim, qt.IsFalse)
	c.Assert(probeDue, qt.IsTrue)
}

// Guards against a claim by probes that were answered long ago, as the node has waited for other evidence since.
func TestADomainIsProbedUntilItIsClaimed(t *testing.T) {
	c := qt.New(t)
	f := newForeignDomains()
	f.due("far", time.Minute)
	f.recordProbe("far", true, time.Minute)
	reachable := time.Minute + minReachable
	mayClaim, probeDue := f.due("far", reachable)
	c.Assert(mayClaim && probeDue, qt.IsTrue)
	_, probeDue = f.due("far", reachable+reprobeInterval-1)
	c.Assert(probeDue, qt.IsFalse)
	_, probeDue = f.due("far", reachable+reprobeInterval)
	c.Assert(probeDue, qt.IsTrue)
	f.recordProbe("far", false, reachable+reprobeInterval)
	mayClaim, _ = f.due("far", reachable+reprobeInterval)
	c.Assert(mayClaim, qt.IsFalse)
}

// Guards against kept jobs that start again beside an owner in the larger part, which may run them at an executor that
// has left the list since this node lost the domain.
func TestExecutorsThatAreLostWithADomainAreKnown(t *testing.T) {
	c := qt.New(t)
	listingOf := func(ids ...string) *listing {
		list := &catalog.Executors{ByID: map[string]catalog.Executor{}}
		for _, id := range ids {
			list.ByID[id] = catalog.Executor{ID: id, Domain: "far", Address: id + ":80"}
		}
		return newListing(0, list, nil, nil)
	}
	f := newForeignDomains()
	c.Assert(f.lacksExecutors("far", listingOf("a")), qt.IsTrue, qt.Commentf("not observed"))
	f.observe("far", listingOf("a", "b"))
	f.observe("far", listingOf("a"))
	c.Assert(f.lacksExecutors("far", listingOf("a", "b", "c")), qt.IsFalse)
	c.Assert(f.lacksExecutors("far", listingOf("a", "c")), qt.IsTrue)
	f.retainOnly(nil)
	f.observe("far", listingOf("a"))
	c.Assert(f.lacksExecutors("far", listingOf("a")), qt.IsFalse, qt.Commentf("its nodes were reachable again"))
}

// Guards against probes that begin only once a cell may be claimed, so that the waits add up.
func TestADomainIsProbedWhileItsHostsMayBeLost(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.executors.Store(newListing(0, &catalog.Executors{ByID: map[string]catalog.Executor{"a": {ID: "a", Domain: "far", Address: "10.0.0.1:80"}}}, nil, nil))
	n.front.calls.executors = &answeringExecutors{verdict: cell.Accepted}
	n.gatherEvidenceOfLoss([]string{"far"}, n.executors.Load(), n.Clock.Now())
	eventually(c, func() bool {
		n.foreignDomains.mu.Lock()
		defer n.foreignDomains.mu.Unlock()
		return n.foreignDomains.domains["far"].reachableSince > 0
	})
}

// answeringExecutors answers every hold request with the same verdict.
type answeringExecutors struct {
	Executors
	verdict cell.Verdict
}

func (e *answeringExecutors) Hold(*catalog.Executor, HoldRequest, time.Duration) cell.HoldResponse {
	return cell.HoldResponse{Verdict: e.verdict}
}

// An error that the protocol does not define may come from a proxy in front of an executor
// that is itself unreachable.
func TestVerdictsThatShowADomainToBeReachable(t *testing.T) {
	type scenario struct {
		verdict cell.Verdict
		want    bool
	}
	scenarios := []scenario{
		{verdict: cell.Accepted, want: true},
		{verdict: cell.Fenced, want: true},
		{verdict: cell.Unhealthy, want: true},
		{verdict: cell.WrongIncarnation, want: true},
		{verdict: cell.Rejected, want: true},
		{verdict: cell.Unanswered},
		{verdict: cell.Unreached},
		{verdict: cell.Unclear},
	}
	for _, s := range scenarios {
		t.Run(s.verdict.String(), func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.executors.Store(newListing(0, &catalog.Executors{ByID: map[string]catalog.Executor{"a": callable("a", "s")}}, nil, nil))
			n.front.calls.executors = &answeringExecutors{verdict: s.verdict}
			n.foreignDomains.due("z", time.Second)
			n.probe("z")
			c.Assert(n.foreignDomains.domains["z"].reachableSince > 0, qt.Equals, s.want)
		})
	}
}

// Guards against hosts that never claim the cells of a domain without hosts, as they reach less than half of all
// hosts and take themselves for cut off.
func TestAHostThatReachesFewAsksAboutADomainWithoutHosts(t *testing.T) {
	scenarios := []struct {
		testName string
		row      Member // of the domain
		want     bool
	}{
		{testName: "its hosts answer such questions", row: Member{Name: "d", Domain: "y", AnswersDomains: true}, want: true},
		{testName: "one is of an earlier build", row: Member{Name: "d", Domain: "y"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n, store := peerNode(t, "a", "z", 1), &markStore{}
			n.store = store
			clock := linkTwoDomains(n)
			n.mu.Lock()
			n.rowsRead, n.membersPosition = true, 10
			for _, lost := range []string{"c", "d", "e"} {
				n.members.LinkDown(lost, clock.now)
			}
			n.memberRows[s.row.Name] = s.row
			n.members.SetListed([]member.ListedHost{{Name: "c", Domain: "z", Address: "c"}, {Name: "d", Domain: "y", Address: "d"}, {Name: "e", Domain: "y", Address: "e"}})
			n.mu.Unlock()
			list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": {ID: "i-1", Domain: "y", Address: "10.0.0.1:80"}}}
			n.executors.Store(newListing(0, list, sizesOf(list), map[string]int{"y": 1}))
			n.front.calls.executors = &answeringExecutors{verdict: cell.Accepted}
			n.gatherEvidenceOfLoss([]string{"y"}, n.executors.Load(), clock.now)
			n.updateIsolation(clock.now + time.Second) // the clock stays, as probes read it
			if !s.want {
				c.Assert(n.asksDomains(), qt.IsFalse)
				return
			}
			eventually(c, func() bool { return len(store.marks()) == 1 })
			c.Assert(store.marks()[0].AsksDomains, qt.Equals, uint64(1))
			n.handleMarks(MemberChanges{Position: 12, Listed: []Member{{Name: "d", Domain: "y", Contact: member.ContactMark{LivesUpTo: 11}}}})
			c.Assert(n.members.LostDomains(), qt.HasLen, 0)
		})
	}
}

// Guards against a domain that counts as lost to a host that can't reach it, though it is reached itself: each host
// of the domain leaves the answer to the links.
func TestAHostAnswersOtherDomainsInTheStore(t *testing.T) {
	for _, asker := range []struct {
		testName string
		address  string
	}{{"it is out of reach", "f"}, {"it is in reach", "d"}} {
		t.Run(asker.testName, func(t *testing.T) {
			c := qt.New(t)
			n, _, store := cutOffNode(t)
			question := Member{Name: asker.address, Domain: "y", PeerAddress: asker.address, Contact: member.ContactMark{AsksDomains: 1}}
			n.handleMarks(MemberChanges{Position: 12, Listed: []Member{question}})
			eventually(c, func() bool { return len(store.marks()) == 1 })
			c.Assert(store.marks()[0].LivesUpTo, qt.Equals, uint64(12))
		})
	}
}
