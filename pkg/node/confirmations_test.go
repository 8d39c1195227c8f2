package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/openjobs"
	qt "github.com/frankban/quicktest"
)

// Guards against a second start of a job in a domain to which its front couldn't announce it: the
// caller may be cut off from the front as well, and resubmit the job there.
func TestAJobThatADomainHasNotConfirmedIsGivenUp(t *testing.T) {
	type scenario struct {
		testName string
		row      string // domain of a second host
		isLinked bool
		missing  time.Duration // how long before the job's receipt the domain was first missing; 0: it wasn't
		givenUp  bool
	}
	scenarios := []scenario{
		{testName: "another domain confirms", row: "y", isLinked: true},
		{testName: "another domain is cut off", row: "y", givenUp: true},
		{testName: "it has been cut off since before the job came", row: "y", missing: time.Second},
		{testName: "cut off from the own domain", row: "z", givenUp: true},
		{testName: "there is no other host"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a := peerNode(t, "a", "z", 1)
			a.settings.ResubmitAfter = time.Second
			rows := []Member{{Name: "a", Domain: "z", PeerAddress: a.settings.PeerAddress}}
			if s.row != "" {
				b := peerNode(t, "b", s.row, 2)
				rows = append(rows, Member{Name: "b", Domain: s.row, PeerAddress: b.settings.PeerAddress})
				if s.isLinked {
					linkAll(t, a, b)
				}
			}
			a.mu.Lock()
			for _, row := range rows {
				a.memberRows[row.Name] = row
			}
			a.mu.Unlock()
			open := openUnannounced(a)
			if s.missing > 0 {
				a.openJobTable.confirmations.Missing(s.row, open.job.Received-s.missing)
			}
			a.confirmAnnouncement(newSentAnnouncement([]openjobs.Announcement{{ID: joinID}}))
			select {
			case <-open.ctx.Done():
				c.Assert(s.givenUp, qt.IsTrue)
				c.Assert(abandoned(open.ctx, true).Reason, qt.Equals, "not_announced")
			case <-time.After(a.settings.ResubmitAfter):
				c.Assert(s.givenUp, qt.IsFalse)
			}
			c.Assert(context.Cause(open.ctx) == errUnconfirmed, qt.Equals, s.givenUp)
		})
	}
}

// listDomain has a node know of a host of another domain.
func listDomain(n, other *Node, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memberRows[other.settings.Name] = Member{Name: other.settings.Name, Domain: domain, PeerAddress: other.settings.PeerAddress}
}

// Guards against a second start after a later cut: a domain that could be reached in between doesn't
// count as cut off since the first one, also if this host had nothing to announce meanwhile.
func TestADomainThatIsReachableAgainHasToConfirm(t *testing.T) {
	c := qt.New(t)
	a, b := peerNode(t, "a", "z", 1), peerNode(t, "b", "y", 2)
	listDomain(a, b, "y")
	first := openUnannounced(a)
	a.confirmAnnouncement(newSentAnnouncement([]openjobs.Announcement{{ID: joinID}}))
	<-first.ctx.Done()
	a.front.end(first, mayHaveRun)
	linkAll(t, a, b)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		a.announceOpenJobs(a.Clock.Now()) // as the node does; there is nothing to announce
	}
	closeNode(b)
	eventually(c, func() bool { return len(a.reachablePeers()) == 0 })
	second := openUnannounced(a)
	a.confirmAnnouncement(newSentAnnouncement([]openjobs.Announcement{{ID: joinID}}))
	select {
	case <-second.ctx.Done():
	case <-time.After(2 * a.settings.ResubmitAfter):
		c.Fatal("the job isn't given up")
	}
}

// Jobs that are announced together are given up one by one: the domain may confirm in time for the
// younger ones.
func TestAYoungerJobIsNotGivenUpWithAnOlderOne(t *testing.T) {
	c := qt.New(t)
	a, b := peerNode(t, "a", "z", 1), peerNode(t, "b", "y", 2)
	listDomain(a, b, "y")
	a.settings.ResubmitAfter = 1300 * time.Millisecond
	older := submission(a)
	older.ID, older.Received = "older", older.Received-1200*time.Millisecond // this process stood still
	late, _ := a.front.enter(older)
	a.front.markFollowed(late)
	young := openUnannounced(a)
	linkAll(t, a, b)
	a.confirmAnnouncement(newSentAnnouncement([]openjobs.Announcement{{ID: older.ID}, {ID: joinID}}))
	<-late.ctx.Done()
	time.Sleep(a.settings.ResubmitAfter)
	c.Assert(young.ctx.Err(), qt.IsNil)
}

// Guards against runs beyond the limit of a job's lease: a heartbeat that a domain answers says nothing of
// the announcement of a job, and lifts no limit.
func TestAReachableDomainConfirmsNoJob(t *testing.T) {
	c := qt.New(t)
	a, b := peerNode(t, "a", "z", 1), peerNode(t, "b", "y", 2)
	listDomain(a, b, "y")
	linkAll(t, a, b)
	open := openUnannounced(a)
	a.openJobTable.mu.Lock()
	a.openJobTable.confirmations.Missing("y", a.Clock.Now())
	a.openJobTable.mu.Unlock()
	eventually(c, func() bool { a.askMissingDomains(a.Clock.Now()); return !isMissing(a, "y") })
	c.Assert(isConfirmed(open, a), qt.IsFalse)
	closeNode(b)
	eventually(c, func() bool { return len(a.reachablePeers()) == 0 })
	a.confirmAnnouncement(newSentAnnouncement([]openjobs.Announcement{{ID: joinID}}))
	<-open.ctx.Done()
	c.Assert(context.Cause(open.ctx) == errUnconfirmed, qt.IsTrue)
	c.Assert(isConfirmed(open, a), qt.IsFalse)
}

// isConfirmed reports whether the limit of the lease of a node's job has been lifted.
func isConfirmed(open *openJob, n *Node) bool {
	n.front.mu.Lock()
	defer n.front.mu.Unlock()
	return open.isConfirmed
}
