package node

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// announceOwnedJobs announces the jobs in this host's cells to the owners of the other cells of
// the same domain.
func (n *Node) announceOwnedJobs(now time.Duration) {
	if now < n.ownedAnnouncedAt+openjobs.MinOwnerBatchInterval {
		return
	}
	n.ownedAnnouncedAt = now
	for _, o := range n.allOwners() {
		others, relays := n.ownersBeside(o.cell), n.relaysBeside(o.cell)
		if len(others)+len(relays) == 0 {
			o.resetAnnouncedTo()
			continue
		}
		missed, due := o.nextAnnouncements(slices.Concat(others, relays), now)
		for _, address := range others {
			n.announceFor(address, due, false)
			n.announceFor(address, missed[address], false)
		}
		for _, address := range relays {
			n.announceFor(address, due, true)
			n.announceFor(address, missed[address], true)
		}
	}
}

// ownersBeside returns the addresses of the owners of the other cells of a cell's domain, sorted.
func (n *Node) ownersBeside(cellName string) []string {
	domain := ownership.DomainOf(cellName)
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for _, claim := range n.claims.Owned() {
		if claim.Cell != cellName && ownership.DomainOf(claim.Cell) == domain {
			addresses = append(addresses, claim.Owner)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// ownerLossPeriod is how long after the loss of the link to an owner announcements are relayed.
const ownerLossPeriod = 10 * time.Second

// relaysBeside returns the addresses of a few hosts that relay announcements within a cell's domain
// after the link to an owner of one of the domain's cells was lost, as it may be unreachable from
// here only. It returns none for a cell of another domain.
func (n *Node) relaysBeside(cellName string) []string {
	if ownership.DomainOf(cellName) != n.settings.Domain {
		return nil
	}
	return n.relaysInDomain()
}

// relaysInDomain is relaysBeside for the cells of this host's domain.
func (n *Node) relaysInDomain() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Clock.Now() >= n.ownerLostUntil {
		return nil
	}
	var addresses []string
	for _, p := range n.members.View(n.inc).Peers {
		if p.Domain == n.settings.Domain && len(addresses) < relaysPerDomain && !n.claims.Owns(p.Address) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// announcements are open jobs, by the front that holds them open.
type announcements map[openjobs.Front][]openjobs.Announcement

// announceFor announces jobs for the fronts that hold them open, to an owner, which may be this
// host, or to a host that relays the announcements within its domain.
func (n *Node) announceFor(address string, byFront announcements, relay bool) {
	for front, jobs := range byFront {
		switch {
		case address != n.settings.PeerAddress:
			n.sendOpenJobs(address, toOpenJobs(front, jobs, relay))
			n.metrics.OpenJobsTold(len(jobs))
		case front.Address != n.settings.PeerAddress:
			n.recordOpenJobs(front, address, jobs, false)
		}
	}
}

// nextAnnouncements returns what to announce to other hosts, the owners of the domain's other cells
// among them: the jobs that are due now, and those announced before to hosts that have missed that. Jobs of which
// nothing has started are not announced, as they may still be refused, and their callers come
// again then.
func (o *owner) nextAnnouncements(others []string, now time.Duration) (missed map[string]announcements, due announcements) {
	o.mu.Lock()
	defer o.mu.Unlock()
	missed = map[string]announcements{}
	for _, address := range others {
		if !slices.Contains(o.announcedTo, address) {
			missed[address] = o.announcementsOf(func(w *waiter) bool { return w.isAnnounced }, now)
		}
	}
	o.announcedTo = others
	age := openjobs.OwnerAnnounceAfter(o.node.settings.ResubmitAfter)
	due = o.announcementsOf(func(w *waiter) bool {
		isDue := !w.isAnnounced && (w.announceNow || now >= w.job.Received+age) && o.state.MayHaveStarted(w.job.ID)
		w.isAnnounced = w.isAnnounced || isDue
		return isDue
	}, now)
	return missed, due
}

// resetAnnouncedTo records that no host has been told of the jobs here.
func (o *owner) resetAnnouncedTo() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.announcedTo = nil
}

// announcementsOf returns the jobs of the waiters that are wanted. o.mu is held.
func (o *owner) announcementsOf(wanted func(w *waiter) bool, now time.Duration) announcements {
	byFront := announcements{}
	for _, waiters := range o.waiters {
		for i := range waiters {
			w := &waiters[i]
			if w.job.Kept || !wanted(w) {
				continue
			}
			front := o.node.frontOf(w)
			byFront[front] = append(byFront[front], openjobs.Announcement{ID: w.job.WholeID(), Remaining: o.node.untilRunsEnd(w.job, now), Cell: o.cell})
		}
	}
	return byFront
}

// resendOwnedTo has the jobs of this host's cells announced again to a host that may have missed
// that.
func (n *Node) resendOwnedTo(address string) {
	for _, o := range n.allOwners() {
		o.mu.Lock()
		o.announcedTo = slices.DeleteFunc(slices.Clone(o.announcedTo), func(known string) bool { return known == address })
		o.mu.Unlock()
	}
}

// frontOf identifies the front of a waiter.
func (n *Node) frontOf(w *waiter) openjobs.Front {
	if w.connection == nil {
		return n.asFront()
	}
	return openjobs.Front{Address: w.front, Domain: w.connection.Domain, Process: string(w.connection.Incarnation)}
}

// mustAsk is openjobs.MustAsk.
func mustAsk(dispatcher openjobs.Front, asked openjobs.Asked, holders []openjobs.Holder, now time.Duration) *job.OpenAt {
	holder, isUnasked := openjobs.MustAsk(dispatcher, asked, holders, now)
	if !isUnasked {
		return nil
	}
	return openAt(holder.Front, holder.ExpiresAt-now)
}

// holders returns the fronts that may hold a job open, as far as this host knows. o.mu is held.
func (o *owner) holders(state *cell.Cell, id string, now time.Duration) []openjobs.Holder {
	return slices.Concat(o.holdersHere(state, id, now), o.node.openJobTable.holders(id, now), o.node.ownHolder(id, now))
}

func countOthers(holders []openjobs.Holder, front string) int {
	count := 0
	for _, h := range holders {
		if h.Front.Address != front {
			count++
		}
	}
	return count
}

// holdersHere returns the fronts that wait at this owner for a job, or for a part of it. o.mu is held.
func (o *owner) holdersHere(state *cell.Cell, id string, now time.Duration) []openjobs.Holder {
	var holders []openjobs.Holder
	for _, part := range state.PartsOf(id) {
		for i := range o.waiters[part] {
			w := &o.waiters[part][i]
			holders = append(holders, openjobs.Holder{Front: o.node.frontOf(w), Since: w.acceptedAt, ExpiresAt: now + o.node.untilRunsEnd(w.job, now)})
		}
	}
	return holders
}

// holdersBeside returns the fronts that wait for a job, or for a part of it, at this host's other cells
// of the domain. No owner's lock may be held.
func (o *owner) holdersBeside(j *job.Job) []openjobs.Holder {
	var holders []openjobs.Holder
	for _, other := range o.node.allOwners() {
		if other == o || j.Kept || ownership.DomainOf(other.cell) != ownership.DomainOf(o.cell) {
			continue
		}
		other.mu.Lock()
		holders = append(holders, other.holdersHere(other.state, j.WholeID(), o.node.Clock.Now())...)
		other.mu.Unlock()
	}
	return holders
}

// ownHolder returns this host's front if it follows a job, or has given it up so recently that runs
// of it may be alive.
func (n *Node) ownHolder(id string, now time.Duration) []openjobs.Holder {
	if own, since := n.front.followedSince(id); own != nil {
		return []openjobs.Holder{{Front: n.asFront(), Since: since, ExpiresAt: now + n.untilRunsEnd(own, now)}}
	}
	e, known := n.openJobTable.recordedEnd(id)
	if !known {
		return nil
	}
	return []openjobs.Holder{{Front: n.asFront(), Since: e.at, ExpiresAt: now + n.endOf(id).RetryAfter}}
}

// mustAskByEarlierBuild is mustAsk for a front that doesn't tell which fronts it has asked. o.mu is
// held.
func (o *owner) mustAskByEarlierBuild(state *cell.Cell, handover cell.Handover, w *waiter) *job.OpenAt {
	if handover.Epoch > 1 && !w.keepsRuns {
		return nil
	}
	at, isHere := o.openHere(state, handover, w.front)
	if !isHere {
		at = o.node.openAtOther(handover.Job, o.node.frontOf(w))
	}
	return at
}

// openAtOther returns the front that a front of an earlier build has to ask about a job before an
// owner here accepts the job from it, or nil if none is known: one that has announced the job, or
// this host's own.
func (n *Node) openAtOther(j *job.Job, front openjobs.Front) *job.OpenAt {
	now, id := n.Clock.Now(), j.WholeID()
	if entry, isOpen := n.openJobTable.refer(id, front, now); isOpen {
		return openAt(entry.Front, entry.ExpiresAt-now)
	}
	if front.Address == n.settings.PeerAddress {
		return nil
	}
	remaining := n.endOf(id).RetryAfter
	if own := n.front.followed(id); own != nil {
		remaining = n.untilRunsEnd(own, now)
	}
	if remaining <= 0 {
		return nil
	}
	return openAt(n.asFront(), remaining)
}

// untilRunsEnd returns how long runs of a job that its front follows can be alive at most.
func (n *Node) untilRunsEnd(j *job.Job, now time.Duration) time.Duration {
	return max(0, j.Deadline-now) + n.settleTime()
}

func openAt(front openjobs.Front, remaining time.Duration) *job.OpenAt {
	return &job.OpenAt{Address: front.Address, Domain: front.Domain, Process: front.Process, Remaining: remaining}
}

// openHere returns the front that waits here for a job, or for a part of it, which another front
// dispatches for the first time. It is nil if only that front waits, or if that front has dispatched
// the job before: it then waits here too. isHere tells whether any front waits. o.mu is held.
func (o *owner) openHere(state *cell.Cell, handover cell.Handover, front string) (at *job.OpenAt, isHere bool) {
	now := o.node.Clock.Now()
	for _, id := range state.PartsOf(handover.Job.WholeID()) {
		for _, w := range o.waiters[id] {
			isHere = true
			if w.front != front && handover.Epoch == 1 {
				return openAt(o.node.frontOf(&w), o.node.untilRunsEnd(w.job, now)), true
			}
		}
	}
	return nil, isHere
}
