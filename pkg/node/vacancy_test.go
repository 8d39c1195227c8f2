package node

import (
	"cmp"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// publishListing publishes a list that has an executor of cell z, or retains it from a list before.
func publishListing(n *Node, askedAt time.Duration, isPresent bool) {
	executor := listedExecutor("i-1", "10.0.0.1:80")
	retained := &catalog.Executors{ByID: map[string]catalog.Executor{"i-1": executor}}
	list := &catalog.Executors{ByID: map[string]catalog.Executor{}}
	if isPresent {
		list = retained
	}
	next := newListing(askedAt, retained, sizesOf(retained), map[string]int{"z": 1})
	next.recordPresence(n.executors.Load(), list, !isPresent, askedAt)
	n.executors.Store(next)
}

// sighted is a host of cell z's domain that was seen.
type sighted struct {
	ago         time.Duration
	isReached   bool
	otherBuild  bool
	otherDomain bool
	ownsCell    bool
	restarted   bool // it is reached in another incarnation
	tellsOwner  bool // of the cell: a host to which this one has no link
	tellsSelf   bool // that this host owns the cell
}

// Guards against jobs that wait for long in a cell that is lost, and against those that leave one whose owner
// may be alive and let their runs go on.
func TestWhyACellIsNotVacant(t *testing.T) {
	type scenario struct {
		testName  string
		absentFor time.Duration // 0: its executors are listed
		counts    map[string]int
		hosts     []sighted
		expected  int           // hosts
		ended     int           // of these
		lacked    time.Duration // how long ago this host last reached too few hosts; 0: never
		isOwned   bool
		uptime    time.Duration // of this host; 0: long
		listFails bool
		want      string
	}
	const long = 30 * time.Second
	anyNode := newTestNode(qt.New(t), &fakeStore{})
	bound, released := anyNode.keptRunsBound(), anyNode.settleTime()+10*time.Millisecond
	lost := sighted{ago: bound + time.Second, ownsCell: true}
	scenarios := []scenario{
		{testName: "its executors are listed", hosts: []sighted{lost}, want: executorsListed},
		{testName: "they left the list a moment ago", absentFor: time.Second, hosts: []sighted{lost}, want: listedRecently},
		{testName: "the list can't be read", absentFor: long, hosts: []sighted{lost}, listFails: true, want: listNotRead},
		{testName: "it has an owner", absentFor: long, isOwned: true, want: owned},
		{testName: "its owner was lost lately", absentFor: long, hosts: []sighted{{ago: bound - time.Second, ownsCell: true}}, want: ownerSeenRecently},
		{testName: "its owner was lost long ago", absentFor: long, hosts: []sighted{lost}},
		{testName: "its owner has released it", absentFor: long, hosts: []sighted{{ago: released, isReached: true, ownsCell: true}}},
		{testName: "its owner has released it a moment ago", absentFor: long, hosts: []sighted{{ago: 100 * time.Millisecond, isReached: true, ownsCell: true}}, want: ownerSeenRecently},
		{testName: "its owner has restarted", absentFor: long, hosts: []sighted{{ago: released, isReached: true, restarted: true, ownsCell: true}}, want: ownerSeenRecently},
		{testName: "its owner has restarted long ago", absentFor: long, hosts: []sighted{{ago: bound + time.Second, isReached: true, restarted: true, ownsCell: true}}},
		{testName: "another host of its domain was lost lately", absentFor: long, hosts: []sighted{lost, {ago: time.Second}}, want: ownerSeenRecently},
		{testName: "another host of its domain is reached", absentFor: long, hosts: []sighted{lost, {ago: time.Second, isReached: true}}},
		{testName: "a host of another domain was lost lately", absentFor: long, hosts: []sighted{lost, {ago: time.Second, otherDomain: true}}},
		{testName: "another host tells of an owner", absentFor: long, hosts: []sighted{lost, {ago: time.Second, isReached: true, otherDomain: true, tellsOwner: true}}, want: ownerSeenRecently},
		{testName: "another host tells that this one owns it", absentFor: long, hosts: []sighted{lost, {ago: time.Second, isReached: true, otherDomain: true, tellsSelf: true}}},
		{testName: "a host of an earlier build was seen", absentFor: long, hosts: []sighted{lost, {ago: long, otherDomain: true, otherBuild: true}}, want: hostsOfOtherBuild},
		{testName: "this host has started lately", absentFor: long, uptime: bound - time.Second, want: ownerSeenRecently},
		{testName: "most hosts are out of reach", absentFor: long, hosts: []sighted{lost}, expected: 3, want: fewHostsReached},
		{testName: "most hosts are out of reach, and have ended", absentFor: long, hosts: []sighted{lost}, expected: 3, ended: 3},
		{testName: "most hosts are out of reach, and some have ended", absentFor: long, hosts: []sighted{lost}, expected: 3, ended: 1, want: fewHostsReached},
		{testName: "most hosts were out of reach lately", absentFor: long, hosts: []sighted{lost}, lacked: bound, want: fewHostsReached},
		{testName: "most hosts were out of reach long ago", absentFor: long, hosts: []sighted{lost}, lacked: bound + member.EndedFor + time.Second},
		{testName: "its domain is divided anew", absentFor: long, counts: map[string]int{"z": 2}, hosts: []sighted{lost}, want: dividedAnew},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			clock := &manualClock{now: cmp.Or(s.uptime, time.Hour)}
			n.Clock = clock
			now := clock.now
			publishListing(n, now-long-time.Second, true)
			if s.absentFor > 0 {
				publishListing(n, now-s.absentFor, false)
			}
			current := n.executors.Load().withAskedAt(now)
			if s.counts != nil {
				current.counts = s.counts
			}
			n.executors.Store(current)
			n.listReadFails.Store(s.listFails)
			if s.isOwned {
				n.claims.SetClaims(otherAddress, []ownership.Claim{{Cell: "z", Token: 1}})
			}
			for i, h := range s.hosts {
				n.sight(i, h, now)
			}
			for i := range s.expected {
				address := "10.9.0." + string(rune('1'+i)) + ":1"
				n.members.AddAddresses([]string{address}, now)
				if i < s.ended {
					n.ConnectionRefused(address)
				}
			}
			if s.lacked > 0 {
				n.majority.lackedAt = now - s.lacked
			}
			c.Assert((&keptHost{node: n}).VacancyObstacle("z"), qt.Equals, s.want)
		})
	}
}

// sight records a host that was seen.
func (n *Node) sight(index int, h sighted, now time.Duration) {
	p := member.Peer{Name: "h", Domain: "z", Address: "10.8.0." + string(rune('1'+index)) + ":1", LimitsKeptRuns: !h.otherBuild}
	if h.otherDomain {
		p.Domain = "y"
	}
	p.Incarnation[0] = byte(index + 1)
	heartbeat := &peerpb.Heartbeat{}
	if h.ownsCell {
		heartbeat.Cells = []*peerpb.CellLoad{{Cell: "z"}}
	}
	if h.tellsSelf {
		heartbeat.Owners = []*peerpb.CellOwner{{Cell: "z", Owner: n.settings.PeerAddress}}
	}
	if h.tellsOwner {
		heartbeat.Owners = []*peerpb.CellOwner{{Cell: "z", Owner: "10.7.0.1:1"}}
	}
	n.sightings.record(&p, heartbeat, n.reachedAt, now-h.ago)
	if h.restarted {
		p.Incarnation[1]++
	}
	if h.isReached {
		n.members.LinkUp(p)
	}
}

// A cell's executors are retained on the listing for some time after they have left the store's list.
func TestSinceWhenACellIsAbsentFromTheList(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	isAbsent := func(since time.Duration) bool { return n.executors.Load().isAbsent("z", since) }
	publishListing(n, 10*time.Second, true)
	c.Assert(isAbsent(time.Minute), qt.IsFalse)
	publishListing(n, 20*time.Second, false)
	publishListing(n, 21*time.Second, false)
	c.Assert(isAbsent(19*time.Second), qt.IsFalse)
	c.Assert(isAbsent(20*time.Second), qt.IsTrue, qt.Commentf("counted from the first list that lacks it"))
	publishListing(n, 30*time.Second, true)
	publishListing(n, 40*time.Second, false)
	c.Assert(isAbsent(30*time.Second), qt.IsFalse, qt.Commentf("it was listed again"))
	unseen := n.executors.Load()
	c.Assert(unseen.isAbsent("other", 9*time.Second), qt.IsFalse, qt.Commentf("it may have been listed before the first list"))
	c.Assert(unseen.isAbsent("other", 10*time.Second), qt.IsTrue)
}

// Guards against a host that stood still, or reached few hosts a moment ago, and takes a cell for vacant whose owner
// was in contact with most hosts meanwhile.
func TestSinceWhenAHostReachesMostOthers(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	clock := &manualClock{now: time.Hour}
	n.Clock = clock
	lackedAt := func(after time.Duration) time.Duration {
		clock.now += after
		n.updateMajority(clock.now)
		return n.majority.lackedAt
	}
	c.Assert(lackedAt(0), qt.Equals, time.Hour, qt.Commentf("the first check"))
	c.Assert(lackedAt(maxMajorityGap), qt.Equals, time.Hour)
	n.members.AddAddresses([]string{"10.9.0.1:1", "10.9.0.2:1"}, clock.now)
	c.Assert(lackedAt(time.Second), qt.Equals, clock.now, qt.Commentf("two others are out of reach"))
	n.ConnectionRefused("10.9.0.1:1")
	n.ConnectionRefused("10.9.0.2:1")
	reachedSince := clock.now
	c.Assert(lackedAt(member.EndedFor/2), qt.Equals, reachedSince, qt.Commentf("they have ended"))
	c.Assert(lackedAt(member.EndedFor), qt.Equals, clock.now, qt.Commentf("they may have started again"))
	n.ConnectionRefused("10.9.0.1:1")
	n.ConnectionRefused("10.9.0.2:1")
	stoodStill := maxMajorityGap + time.Millisecond
	c.Assert(lackedAt(stoodStill), qt.Equals, clock.now, qt.Commentf("it stood still"))
}
