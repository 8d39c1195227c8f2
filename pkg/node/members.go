package node

import (
	"context"
	"io"
	"log"
	"maps"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

// refreshLinks opens and closes links as the table of members wants it.
func (n *Node) refreshLinks() {
	n.mu.Lock()
	wanted := n.members.Wanted(n.Clock.Now())
	n.mu.Unlock()
	n.links.Keep(wanted)
}

// setRows takes a new reading of the nodes' rows.
func (n *Node) setRows(rows []Member) {
	listed := make([]member.Listed, 0, len(rows))
	byName := map[string]Member{}
	for _, row := range rows {
		byName[row.Name] = row
		listed = append(listed, member.Listed{Name: row.Name, Domain: row.Domain, Address: row.PeerAddress, Weight: row.Capacity.CPU})
	}
	n.mu.Lock()
	n.rows = byName
	own, announced := byName[n.settings.Name]
	if !n.rowsRead {
		n.rowsRead = true
		n.back = announced && own.PeerAddress == n.settings.PeerAddress
	}
	n.members.SetListed(listed)
	n.members.ForgetSeeds()
	n.mu.Unlock()
	n.resizeCells()
	n.refreshLinks()
	n.changed.signal()
	if !announced && !n.leaving.Load() {
		go n.announce(context.Background())
	}
}

// rowsWith returns the rows that are known, after some changes.
func (n *Node) rowsWith(changes MemberChanges) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows := maps.Clone(n.rows)
	for _, row := range changes.Listed {
		rows[row.Name] = row
	}
	for _, name := range slices.Concat(changes.Gone, changes.Unreadable) {
		delete(rows, name)
	}
	return slices.Collect(maps.Values(rows))
}

// ownershipView returns what this node sees of the others. n.mu is held.
func (n *Node) ownershipView() ownership.View {
	view := ownership.View{Self: ownership.Host{Address: n.settings.PeerAddress, Domain: n.settings.Domain, Leaving: n.leaving.Load(), Weight: n.settings.Weight}}
	known := map[string]bool{n.settings.PeerAddress: true}
	now := n.Clock.Now()
	view.Self.Weight = n.weightOf(view.Self, now)
	for _, p := range n.members.View(n.inc).Peers {
		host := ownership.Host{Address: p.Address, Domain: p.Domain, Leaving: p.Leaving, Weight: p.Weight, Heard: n.claims.Heard(p.Address)}
		host.Weight = n.weightOf(host, now)
		view.Up = append(view.Up, host)
		known[p.Address] = true
	}
	for _, address := range n.members.Expected(now) {
		known[address] = true
	}
	view.Known = len(known)
	view.Back = n.back
	view.Listed = n.rowsRead
	return view
}

// sideWeight is the weight of hosts of large domains that don't hold links to all
// that may own cells: they come after those.
const sideWeight = 1

// weightOf returns the weight with which a host may own cells. n.mu is held.
func (n *Node) weightOf(host ownership.Host, now time.Duration) int {
	if n.members.IsHub(host.Address, host.Domain, now) {
		return host.Weight
	}
	return sideWeight
}

// Hello implements peer.Observer.
func (n *Node) Hello() *peerpb.Hello {
	return &peerpb.Hello{
		Name:        n.settings.Name,
		Domain:      n.settings.Domain,
		Address:     n.settings.PeerAddress,
		Incarnation: n.inc[:],
		Leaving:     n.leaving.Load(),
		Weight:      uint32(n.settings.Weight),
	}
}

// quietSlowdown is how much more slowly links beat towards hosts that own no
// cell, while all cells of the domain have owners: nothing waits for news of them.
const quietSlowdown = 10

// farSlowdown is the same towards owners that have no job of this host, and whose
// cells it wouldn't claim: those of other domains, while its own has room, and in a
// large domain all, for a host that isn't a hub. Only their loads are wanted then.
const farSlowdown = 4

// Slowdown implements peer.Pacer. Owners need not beat fast towards the fronts
// whose jobs they have: they watch the fronts' own heartbeats.
func (n *Node) Slowdown(address string) int {
	dispatched := n.front.dispatchedTo(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.ownerless && n.neighbour(address), dispatched:
		return 1
	case n.claims.OwnsIn(address, n.settings.Domain):
		if n.isHub.Load() {
			return 1
		}
		return farSlowdown
	case !n.claims.Owns(address):
		return quietSlowdown
	case n.crowded && !n.onThinLink():
		return 1
	}
	return farSlowdown
}

// neighbour reports whether a node is of the own domain, or may be: its link has
// never been up. n.mu is held.
func (n *Node) neighbour(address string) bool {
	peer, up := n.members.UpAt(address)
	return !up || peer.Domain == n.settings.Domain
}

// beatsFast reports whether the link to another node beats fast without a job
// there: as its cells of this domain may be this node's next.
func (n *Node) beatsFast(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isHub.Load() && n.claims.OwnsIn(address, n.settings.Domain)
}

// noticeCrowd notes whether jobs may have to go to other domains, whose owners
// then beat fast so that their loads are fresh.
func (n *Node) noticeCrowd() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crowded = ownership.Crowded(n.claims.Owned(), n.settings.Domain)
}

// noticeOwnerless has all links beat fast once a cell of this domain lacks an
// owner, so that hosts that are gone too are soon known as such.
func (n *Node) noticeOwnerless(listing *listing) {
	cells := listing.cellsOf(n.settings.Domain)
	n.mu.Lock()
	ownerless := !n.claims.AllOwned(cells)
	news := ownerless && !n.ownerless
	n.ownerless = ownerless
	n.mu.Unlock()
	if news {
		n.links.Nudge()
	}
}

// LinkUp implements peer.Observer.
func (n *Node) LinkUp(address string, hello *peerpb.Hello) {
	p := member.Peer{Name: hello.Name, Domain: hello.Domain, Address: address, Leaving: hello.Leaving, Weight: int(hello.Weight)}
	copy(p.Incarnation[:], hello.Incarnation)
	n.mu.Lock()
	n.members.Up(p)
	n.mu.Unlock()
	n.changed.signal()
}

// LinkDown implements peer.Observer. The peer's jobs came by the link that it
// opened itself, and stay while that one is up.
func (n *Node) LinkDown(address string) {
	n.mu.Lock()
	// In a large domain links to hosts that own nothing end all the time.
	mayClaim := n.claims.Owns(address) || !n.members.IsLarge()
	n.members.Down(address, n.Clock.Now())
	n.claims.Drop(address)
	delete(n.peerCounts, address)
	delete(n.storeless, address)
	n.mu.Unlock()
	n.changed.signal()
	if mayClaim {
		go n.claimCells(n.Clock.Now())
	}
}

// HeartbeatReply implements peer.Observer.
func (n *Node) HeartbeatReply(address string, beat *peerpb.Heartbeat) { n.heard(address, beat) }

// heard takes what a peer's heartbeat tells.
func (n *Node) heard(address string, beat *peerpb.Heartbeat) {
	news, up := n.noteBeat(address, beat)
	if !up {
		return // claims of a peer that can't be called are of no use
	}
	if news.claims {
		n.heartbeats.outdate()
		n.changed.signal()
		n.links.NudgeOne(address) // links to owners beat faster
	}
	if news.addresses {
		n.refreshLinks()
	}
	if beat.ClosuresPosition > 0 {
		n.offerClosures(&catalog.Closures{Position: beat.ClosuresPosition, Domains: beat.ClosedDomains}, address)
	}
	n.compareNews(address, beat)
}

// beatNews is what a heartbeat has changed here.
type beatNews struct {
	claims    bool // the peer's
	addresses bool // of hosts to hold links to
}

// noteBeat notes what a heartbeat tells of its peer and of others, and reports
// whether the link to the peer is up.
func (n *Node) noteBeat(address string, beat *peerpb.Heartbeat) (news beatNews, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, up := n.members.UpAt(address)
	if !up {
		return beatNews{}, false
	}
	if p.Leaving != beat.Leaving {
		p.Leaving = beat.Leaving
		n.members.Refresh(p)
	}
	news.claims = n.claims.SetClaims(address, fromCellLoads(beat.Cells))
	n.peerCounts[address] = fromRouteCounts(beat.RouteCounts)
	n.storeless[address] = beat.StoreFails
	now := n.Clock.Now()
	newOwner := n.members.Told(n.ownersToFollow(beat.Owners), now)
	newNeighbour := n.members.Told(without(beat.Neighbours, n.settings.PeerAddress), now)
	news.addresses = newOwner || newNeighbour
	if p.Domain != n.settings.Domain {
		return news, true
	}
	news.addresses = n.members.ToldOfDomain(beat.Addresses, now) || news.addresses
	if beat.ReadsList {
		n.passedAt.Store(int64(now))
	}
	return news, true
}

// ownersToFollow returns the addresses of owners that a peer told of and that
// this node keeps links to.
func (n *Node) ownersToFollow(told []*peerpb.CellOwner) []string {
	listing := n.executors.Load()
	if listing == nil {
		return nil
	}
	var addresses []string
	for _, o := range told {
		if listing.followed[o.Cell] && o.Owner != n.settings.PeerAddress {
			addresses = append(addresses, o.Owner)
		}
	}
	return addresses
}

// Greeted implements peer.Handler.
func (n *Node) Greeted(from *peerpb.Hello) {
	n.mu.Lock()
	news := n.members.Greeted(from.Address, n.Clock.Now())
	n.mu.Unlock()
	if news {
		n.refreshLinks()
	}
}

// Left implements peer.Handler: the jobs that came by the link are the
// sender's again.
func (n *Node) Left(from *peerpb.Hello) {
	n.arrivals.forget(from.Address)
	for _, o := range n.allOwners() {
		o.frontGone(from.Address, reasonFrontGone)
	}
}

// Handle implements peer.Handler.
func (n *Node) Handle(from *peerpb.Hello, m *peerpb.Message, reply peer.Reply) {
	n.arrivals.note(from.Address, n.Clock.Now())
	switch body := m.Body.(type) {
	case *peerpb.Message_Heartbeat:
		reply(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: n.heartbeatFor(from, body.Heartbeat)}}, 0)
		n.heard(from.Address, body.Heartbeat)
	case *peerpb.Message_Dispatch:
		n.onDispatch(from, body.Dispatch, reply)
	case *peerpb.Message_Withdraw:
		if o := n.owner(body.Withdraw.Cell); o != nil {
			o.withdraw(body.Withdraw.Id, from.Address, "caller_left")
		}
	case *peerpb.Message_HandOver:
		n.onHandOver(body.HandOver)
	case *peerpb.Message_Snapshot:
		n.takePassed(body.Snapshot, from.Address)
	case *peerpb.Message_FetchSnapshot:
		n.onFetchSnapshot(body.FetchSnapshot, reply)
	default:
		reply(peer.FailureMessage(errkind.New(errkind.BadRequest, "upgrade the older host", "the message is not known")), 0)
	}
}

// onHandOver gives a cell to the node that has fenced its executors.
func (n *Node) onHandOver(m *peerpb.HandOver) {
	if o := n.owner(m.Cell); o != nil && o.token < int64(m.Token) {
		go n.release(o, "taken_over")
	}
}

func (n *Node) sendHandOver(address, cellName string, token int64) {
	if link := n.links.Link(address); link != nil {
		link.Send(&peerpb.Message{Body: &peerpb.Message_HandOver{HandOver: &peerpb.HandOver{Cell: cellName, Token: uint64(token)}}}, 0)
	}
}

// claimHeld takes the news that the executors of a cell obey this node.
func (n *Node) claimHeld(cellName string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claims.Settled(cellName)
}

// onFenced takes the news that executors obey another owner.
func (n *Node) onFenced(o *owner) {
	n.mu.Lock()
	n.claims.Fenced(o.cell, n.ownershipView(), n.Clock.Now())
	n.mu.Unlock()
	n.release(o, "fenced")
}

// onDispatch takes a job from another front.
func (n *Node) onDispatch(from *peerpb.Hello, m *peerpb.Dispatch, reply peer.Reply) {
	o := n.owner(m.Cell)
	if o == nil {
		reply(toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}), 0)
		return
	}
	now := n.Clock.Now()
	settleAt := time.Duration(0)
	if m.SettleUs > 0 {
		settleAt = now + microseconds(m.SettleUs)
	}
	o.submit(fromDispatch(m, now), int(m.Epoch), fromProgress(m.Progress), settleAt, waiter{
		front: from.Address,
		reply: func(outcome job.Outcome) { reply(toOutcome(outcome), 0) },
	})
}
