package node

import (
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/standin/relayd"
	qt "github.com/frankban/quicktest"
)

// peerNodeBehindRelay is peerNode for a node whose peers reach it by a relay.
func peerNodeBehindRelay(t *testing.T, name, domain string, incarnation byte) (*Node, *relayd.Relay) {
	n := peerNode(t, name, domain, incarnation)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	relay := relayd.NewRelay(n.settings.PeerAddress, 0)
	go relay.Serve(listener)
	n.settings.PeerAddress = listener.Addr().String()
	return n, relay
}

// relaysAnnouncements reports whether a node has been asked to relay announcements within its domain.
func relaysAnnouncements(n *Node) bool {
	n.openJobTable.mu.Lock()
	defer n.openJobTable.mu.Unlock()
	return len(n.openJobTable.others.ToRelay(n.Clock.Now())) > 0
}

// Guards against a second start by a host that is cut from the front of the first submission only, while
// the link to it counts as up or is down.
func TestAnnouncementsReachAHostThatIsCutFromTheirFrontOnly(t *testing.T) {
	scenarios := []struct {
		testName    string
		isCut       bool // the link to it passes nothing, and counts as up
		isUnlinked  bool // the link to it is down
		isOlder     bool // it is of a release that doesn't reply to announcements
		relayOlder  bool // the other host is
		isRelayed   bool
		isDelivered bool
	}{
		{testName: "nothing is cut", isDelivered: true},
		{testName: "the link passes nothing", isCut: true, isRelayed: true, isDelivered: true},
		{testName: "the link is down", isUnlinked: true, isRelayed: true, isDelivered: true},
		{testName: "nothing is cut, a host of an earlier release", isOlder: true, isDelivered: true},
		{testName: "the link passes nothing, the other host is of an earlier release", isCut: true, relayOlder: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a, between := peerNode(t, "announcing", "z", 1), peerNode(t, "between", "z", 2)
			other, relay := peerNodeBehindRelay(t, "other", "z", 3)
			relay.SetCutOf("announcing", s.isUnlinked)
			linkAll(t, a, between)
			linkAll(t, between, other)
			if !s.isUnlinked {
				linkAll(t, a, between, other)
			}
			a.mu.Lock()
			for _, n := range []*Node{a, between, other} {
				a.memberRows[n.settings.Name] = Member{Name: n.settings.Name, Domain: "z", PeerAddress: n.settings.PeerAddress}
			}
			if s.isUnlinked {
				a.members.AddAddresses([]string{other.settings.PeerAddress}, a.Clock.Now())
			}
			for address, isOlder := range map[string]bool{other.settings.PeerAddress: s.isOlder, between.settings.PeerAddress: s.relayOlder} {
				if p, isUp := a.members.UpAt(address); isUp && isOlder {
					p.ConfirmsOpenJobs = false
					a.members.UpdateIfUp(p)
				}
			}
			a.mu.Unlock()
			relay.SetCutOf("announcing", s.isCut || s.isUnlinked)
			openAndAnnounce(a)
			if s.isDelivered {
				eventually(c, func() bool { return knowsOpenJob(other) })
			}
			time.Sleep(4 * openjobs.RelayAfter)
			c.Assert(knowsOpenJob(other), qt.Equals, s.isDelivered)
			c.Assert(relaysAnnouncements(between), qt.Equals, s.isRelayed)
		})
	}
}

// isMissing reports whether a domain doesn't confirm a node's announcements.
func isMissing(n *Node, domain string) bool {
	n.openJobTable.mu.Lock()
	defer n.openJobTable.mu.Unlock()
	return n.openJobTable.confirmations.IsExempt(domain, n.Clock.Now())
}

// A domain confirms by the replies to an announcement, without heartbeats for it.
func TestHostsConfirmAnnouncementsByTheirReplies(t *testing.T) {
	for _, domain := range []string{"z", "y"} {
		t.Run("host of domain "+domain, func(t *testing.T) {
			c := qt.New(t)
			a, b := peerNode(t, "a", "z", 1), peerNode(t, "b", domain, 2)
			linkAll(t, a, b)
			listDomain(a, b, domain)
			a.openJobTable.mu.Lock()
			a.openJobTable.confirmations.Missing(domain, a.Clock.Now())
			a.openJobTable.mu.Unlock()
			sent := newSentAnnouncement([]openjobs.Announcement{{ID: joinID, Remaining: time.Minute}})
			a.mu.Lock()
			p, _ := a.members.UpAt(b.settings.PeerAddress)
			a.mu.Unlock()
			sent.add(p, a.callOpenJobs(p.Address, toOpenJobs(a.asFront(), sent.jobs, domain != "z")))
			open := openUnannounced(a)
			a.confirmAnnouncement(sent)
			eventually(c, func() bool { return !isMissing(a, domain) })
			c.Assert(sent.replies[p.Address].hasArrived(), qt.IsTrue)
			c.Assert(knowsOpenJob(b), qt.IsTrue)
			c.Assert(open.ctx.Err(), qt.IsNil)
		})
	}
}

// Guards against a second start in another domain: a host that isn't asked to relay an announcement
// confirms it in place of lost ones, and the other hosts of its domain don't know of the job.
func TestADomainThatConfirmsKnowsTheJobAtAllItsHosts(t *testing.T) {
	c := qt.New(t)
	a, other := peerNode(t, "a", "z", 1), peerNode(t, "other", "y", 2)
	a.settings.ResubmitAfter = 3 * time.Second
	var linked []*Node // of the other domain, in the order in which they are asked
	relays := map[*Node]*relayd.Relay{}
	for i, name := range []string{"b", "c", "d"} {
		n, relay := peerNodeBehindRelay(t, name, "y", byte(3+i))
		linked, relays[n] = append(linked, n), relay
		listDomain(a, n, "y")
	}
	slices.SortFunc(linked, func(x, y *Node) int { return strings.Compare(x.settings.PeerAddress, y.settings.PeerAddress) })
	linkAll(t, append([]*Node{a}, linked...)...)
	linkAll(t, append([]*Node{other}, linked...)...)
	lost := linked[:relaysPerDomain]
	for _, n := range lost {
		relays[n].SetCutOf("a", true)
	}
	open := openUnannounced(a)
	a.announceOpenJobs(a.Clock.Now())
	for _, n := range lost {
		closeNode(n)
		relays[n].Reset()
	}
	eventually(c, func() bool { return isConfirmed(open, a) || open.ctx.Err() != nil })
	c.Assert(isConfirmed(open, a), qt.IsTrue)
	c.Assert(knowsOpenJob(linked[relaysPerDomain]), qt.IsTrue)
	eventually(c, func() bool { return knowsOpenJob(other) })
}
