package node

import (
	"context"
	"io"
	"log"
	"maps"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// refreshLinks opens and closes links according to the table of members.
func (n *Node) refreshLinks() {
	n.mu.Lock()
	wanted := n.members.Wanted(n.Clock.Now())
	n.mu.Unlock()
	n.links.Keep(wanted)
}

// setRows replaces the hosts' rows by those of a new read.
func (n *Node) setRows(rows []Member) {
	listed := make([]member.ListedHost, 0, len(rows))
	byName := map[string]Member{}
	for _, row := range rows {
		row.Contact = member.ContactMark{}
		byName[row.Name] = row
		listed = append(listed, member.ListedHost{Name: row.Name, Domain: row.Domain, Address: row.PeerAddress, Weight: row.Capacity.CPU})
	}
	n.mu.Lock()
	maps.DeleteFunc(n.lastReachable, func(name string, _ time.Duration) bool {
		_, listed := n.memberRows[name]
		return !listed // it was removed, and counts as reachable if it is written again
	})
	n.memberRows = byName
	n.leadingDomain = leadingDomain(byName)
	own, announced := byName[n.settings.Name]
	if !n.rowsRead {
		n.rowsRead = true
		n.restarted = announced && own.PeerAddress == n.settings.PeerAddress
	}
	n.members.SetListed(listed)
	n.contactChanged()
	n.members.ForgetSeeds()
	n.mu.Unlock()
	n.resizeCells()
	n.refreshLinks()
	n.changed.signal()
	if !announced && !n.leaving.Load() {
		go n.announce(context.Background())
	}
}

// affectsRows reports whether changes affect the known rows or the own one. Unreadable rows
// of foreign writers don't, and may change at any time, and neither do marks.
func (n *Node) affectsRows(changes MemberChanges) bool {
	if len(changes.Removed) > 0 {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	isNew := func(row Member) bool {
		row.Contact = member.ContactMark{}
		return n.memberRows[row.Name] != row
	}
	return slices.ContainsFunc(changes.Listed, isNew) || slices.ContainsFunc(changes.Unreadable, func(row catalog.Unreadable) bool {
		_, known := n.memberRows[row.Key]
		return known || row.Key == n.settings.Name // which has to be rewritten
	})
}

// rowsWith returns the known rows with changes applied, and leaves n.memberRows as it is.
func (n *Node) rowsWith(changes MemberChanges) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	rows := maps.Clone(n.memberRows)
	for _, row := range changes.Listed {
		rows[row.Name] = row
	}
	for _, name := range changes.Removed {
		delete(rows, name)
	}
	for _, row := range changes.Unreadable {
		delete(rows, row.Key)
	}
	return slices.Collect(maps.Values(rows))
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

		ConfirmsOpenJobs: true,
		TellsOwners:      true,
		LimitsKeptRuns:   true,
	}
}

// LinkUp implements peer.Observer.
func (n *Node) LinkUp(address string, hello *peerpb.Hello) {
	p := member.Peer{
		Name: hello.Name, Domain: hello.Domain, Address: address, Leaving: hello.Leaving, Weight: int(hello.Weight),
		ConfirmsOpenJobs: hello.ConfirmsOpenJobs, TellsOwners: hello.TellsOwners, LimitsKeptRuns: hello.LimitsKeptRuns,
	}
	copy(p.Incarnation[:], hello.Incarnation)
	n.mu.Lock()
	isReachableAgain := p.Domain == n.settings.Domain && !n.members.ReachesDomainHost(address)
	n.contactChanged()
	if isReachableAgain || len(n.members.View(n.inc).Peers) == 0 {
		n.reachesOthersSince = n.Clock.Now()
	}
	n.members.LinkUp(p)
	n.viewVersion.Add(1)
	n.mu.Unlock()
	n.changed.signal()
	if isReachableAgain {
		n.openJobTable.markResumed(n.Clock.Now())
	}
	n.resendAnnouncements(address, hello.Domain)
}

// LinkDown implements peer.Observer. The peer's jobs stay: they belong to the link that the
// peer itself opened.
func (n *Node) LinkDown(address string) {
	n.mu.Lock()
	// In a large domain links to hosts that own nothing are closed all the time.
	mayClaim := n.claims.Owns(address) || !n.members.IsLarge()
	peer, wasUp := n.members.UpAt(address)
	isLost := wasUp && !peer.Leaving && mayClaim && peer.Domain == n.settings.Domain
	if isLost {
		n.domainLostAt = n.Clock.Now()
		n.contactChanged()
	}
	n.members.LinkDown(address, n.Clock.Now())
	n.viewVersion.Add(1)
	n.renewals.forget(address)
	isOwner := n.claims.OwnsIn(address, n.settings.Domain)
	if isOwner {
		n.ownerLostUntil = n.Clock.Now() + ownerLossPeriod
	}
	n.claims.Lose(address, n.Clock.Now())
	delete(n.heardAt, address)
	delete(n.peerCounts, address)
	delete(n.storeUnreachable, address)
	n.mu.Unlock()
	n.changed.signal()
	if listing := n.executors.Load(); isOwner && listing != nil {
		n.updateOwnerless(listing) // so that the heartbeats below ask for the owners that others hear
	}
	if isLost {
		n.links.Nudge() // so that this host finds out soon whether it is cut off itself
	}
	if isOwner {
		n.relayAnnouncedInDomain()
	}
	if mayClaim {
		go n.claimCells(n.Clock.Now())
	}
}

// ConnectionRefused implements peer.RefusalObserver.
func (n *Node) ConnectionRefused(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.ConnectionRefused(address, n.Clock.Now())
}

// LinkAccepted implements peer.Handler.
func (n *Node) LinkAccepted(from *peerpb.Hello) {
	n.mu.Lock()
	newAddresses := n.members.LinkAccepted(from.Address, n.Clock.Now())
	n.mu.Unlock()
	if newAddresses {
		n.refreshLinks()
	}
	n.links.Redial(from.Address) // the peer awaits this host's announcements for ResyncDelay only
}

// LinkClosed implements peer.Handler: the jobs that were dispatched on the link return to
// their front.
func (n *Node) LinkClosed(from *peerpb.Hello) {
	n.arrivals.forget(from.Address)
	n.joins.linkClosed(from.Address)
	for _, o := range n.allOwners() {
		o.withdrawFront(from.Address, reasonFrontDisconnected)
	}
}

// Handle implements peer.Handler.
func (n *Node) Handle(from *peerpb.Hello, m *peerpb.Message, reply peer.Reply) {
	n.arrivals.record(from.Address, n.Clock.Now())
	switch body := m.Body.(type) {
	case *peerpb.Message_Heartbeat:
		response := &peerpb.Message_Heartbeat{Heartbeat: n.heartbeatFor(from, body.Heartbeat)}
		reply(n.withTimestamp(&peerpb.Message{Body: response}), 0)
		n.handleHeartbeat(from.Address, body.Heartbeat)
	case *peerpb.Message_Dispatch:
		n.onDispatch(from, body.Dispatch, reply)
	case *peerpb.Message_Withdraw:
		n.onWithdraw(from, body.Withdraw, m.Call > 0, reply)
	case *peerpb.Message_Renew:
		n.onRenew(from, body.Renew)
	case *peerpb.Message_OpenJobs:
		n.onOpenJobs(from, body.OpenJobs, m.Call > 0, reply)
	case *peerpb.Message_Join:
		n.onJoin(from, body.Join, reply)
	case *peerpb.Message_Keep:
		n.onKeep(body.Keep, reply)
	case *peerpb.Message_KeptQuery:
		n.onKeptQuery(body.KeptQuery, reply)
	case *peerpb.Message_Noted:
		n.onEndsPersisted(body.Noted, reply)
	case *peerpb.Message_HandOver:
		n.onHandOver(body.HandOver)
	case *peerpb.Message_Snapshot:
		n.handleRelayed(body.Snapshot, from.Address)
	case *peerpb.Message_FetchSnapshot:
		n.onFetchSnapshot(body.FetchSnapshot, reply)
	default:
		reply(peer.FailureMessage(errkind.New(errkind.BadRequest, "upgrade the older host", "unknown message type")), 0)
	}
}

// onHandOver releases a cell to the node that has fenced its executors.
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

// claimAccepted records that the executors of a cell have accepted this node's token.
func (n *Node) claimAccepted(cellName string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claims.ClaimAccepted(cellName)
}

// onFenced releases a cell whose executors have accepted another owner's token.
func (n *Node) onFenced(o *owner) {
	n.mu.Lock()
	n.claims.ClaimRefused(o.cell, n.ownershipView(), n.Clock.Now())
	n.mu.Unlock()
	n.release(o, "fenced")
}

// onDispatch submits a job from another front to the owner of its cell.
func (n *Node) onDispatch(from *peerpb.Hello, m *peerpb.Dispatch, reply peer.Reply) {
	o := n.owner(m.Cell)
	if o == nil {
		reply(toOutcome(job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}), 0)
		return
	}
	now := n.Clock.Now()
	j := jobwire.FromDispatch(m, now)
	if err := j.Check(); err != nil {
		n.Log.Error("job_unreadable", "job", m.Id, "from", from.Address, "error", err.Error())
		reply(toOutcome(job.Outcome{Kind: job.Refused, Reason: reasonUnreadableJob, RetryAfter: refusalRetryAfter}), 0)
		return
	}
	notBefore := time.Duration(0)
	if m.SettleUs > 0 {
		notBefore = now + common.Microseconds(m.SettleUs)
	}
	handover := cell.Handover{
		Job: j, Epoch: int(m.Epoch), Progress: jobwire.FromProgress(m.Progress),
		NotBefore: notBefore, RenewedAt: n.timeOf(m.Renewed), LeaseLimit: n.leaseLimitFrom(m, now), NamesRuns: m.NamesRuns,
	}
	o.submit(handover, waiter{
		front: from.Address, connection: from, keepsRuns: m.KeepsRuns, asked: fromAsked(m.Asked, now), namesAsked: m.NamesAsked,
		reply: func(outcome job.Outcome) { reply(n.withTimestamp(toOutcome(outcome)), 0) },
	})
}

// onRenew extends the leases of the jobs that were dispatched on a peer's connection, and lifts the
// limits of the leases of some.
func (n *Node) onRenew(from *peerpb.Hello, m *peerpb.Renew) {
	if len(m.Confirmed) > 0 {
		n.liftLeaseLimits(from, m.Confirmed)
	}
	if m.AsOf == nil {
		return
	}
	renewedAt := n.timeOf(m.AsOf)
	for _, o := range n.allOwners() {
		o.renew(from, renewedAt)
	}
}
