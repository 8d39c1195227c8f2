package node

import (
	"maps"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// A cell is vacant once nothing of a kept job can run or start in it: the store lists none of its
// executors, and its last owner, if it is alive and cut off, has ended its kept runs (kept_lease.go).

const (
	// cellAbsence is how long the list has to lack all executors of a vacant cell. An owner that reads
	// the list, but reaches few hosts, has ended its kept runs by then. It covers keptListTimeout and the
	// delay of a list that was fetched from another domain or relayed.
	cellAbsence = 3500 * time.Millisecond
	// hostClockDrift is the inverse of the largest drift between the clocks of two hosts.
	hostClockDrift = 50
	// sightingRetention is how long sightings are kept. It exceeds keptRunsBound.
	sightingRetention = time.Minute
)

// keptRunsBound is how long after its last sign of life an owner that is cut off may let its kept runs go
// on. The slowest heartbeat interval bounds how much later than that it can have had its last contact,
// and SuspectAfter is for the links to come up again after a cut.
func (n *Node) keptRunsBound() time.Duration {
	bound := keptContactTimeout + n.jobLease() + nonOwnerSlowdown*n.settings.Heartbeat + n.settings.SuspectAfter
	return bound + bound/hostClockDrift
}

// sightings records when owners and hosts were last seen, by this host or by others that tell it. n.mu
// guards it.
type sightings struct {
	owners map[string]ownerSighting // by cell
	hosts  map[string]hostSighting  // by address
}

type ownerSighting struct {
	address     string
	incarnation once.Incarnation // zero when it is unknown
	at          time.Duration
}

type hostSighting struct {
	domain         string
	at             time.Duration
	limitsKeptRuns bool
}

func newSightings() sightings {
	return sightings{owners: map[string]ownerSighting{}, hosts: map[string]hostSighting{}}
}

// record records what a heartbeat of a peer shows. Of owners that this host reaches itself, the word of others
// doesn't count: they may not have noticed yet that these are lost, or have released the cell.
func (s *sightings) record(p *member.Peer, heartbeat *peerpb.Heartbeat, reachedAt func(address string) (member.Peer, bool), now time.Duration) {
	s.hosts[p.Address] = hostSighting{domain: p.Domain, at: now, limitsKeptRuns: p.LimitsKeptRuns}
	for _, claim := range heartbeat.Cells {
		s.owners[claim.Cell] = ownerSighting{address: p.Address, incarnation: p.Incarnation, at: now}
	}
	for _, reported := range heartbeat.Owners {
		if _, isReached := reachedAt(reported.Owner); !isReached {
			s.owners[reported.Cell] = ownerSighting{address: reported.Owner, at: now}
		}
	}
}

// recordRelease records that this host has released a cell. If it has left runs there, or another owner has fenced it,
// the cell counts as that of a lost owner.
func (s *sightings) recordRelease(cell, self string, inc once.Incarnation, isIdle bool, now time.Duration) {
	released := ownerSighting{address: self, at: now}
	if isIdle {
		released.incarnation = inc
	}
	s.owners[cell] = released
}

// expireSightings removes old sightings.
func (n *Node) expireSightings(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.sightings.owners, func(_ string, seen ownerSighting) bool { return now > seen.at+sightingRetention })
	maps.DeleteFunc(n.sightings.hosts, func(_ string, seen hostSighting) bool { return now > seen.at+sightingRetention })
}

// sightingBounds are how long after its last sighting the runs of an owner may be alive.
type sightingBounds struct {
	released time.Duration // if it is reached, and has released the cell: their leases end
	lost     time.Duration // if it isn't
}

// runsEndBy returns when all kept runs in a cell without an owner have ended: those of its last owner, and those of
// hosts of its domain that this host doesn't reach, which may have become its owner. It reports false if a host that
// was seen lets kept runs go on for longer, as those of earlier builds do.
func (s *sightings) runsEndBy(cell string, bounds sightingBounds, reachedAt func(address string) (member.Peer, bool)) (time.Duration, bool) {
	owner := s.owners[cell]
	endBy := owner.at + bounds.lost
	if peer, isReached := reachedAt(owner.address); isReached && peer.Incarnation == owner.incarnation {
		endBy = owner.at + bounds.released
	}
	domain := ownership.DomainOf(cell)
	for address, seen := range s.hosts {
		if !seen.limitsKeptRuns {
			return 0, false
		}
		if _, isReached := reachedAt(address); seen.domain == domain && !isReached {
			endBy = max(endBy, seen.at+bounds.lost)
		}
	}
	return endBy, true
}

// Why a cell isn't vacant.
const (
	listNotRead       = "list_not_read"
	executorsListed   = "executors_listed"
	listedRecently    = "listed_recently"
	dividedAnew       = "divided_anew"
	owned             = "owned"
	fewHostsReached   = "few_hosts_reached"
	hostsOfOtherBuild = "hosts_of_earlier_builds"
	ownerSeenRecently = "owner_seen_recently"
)

// VacancyObstacle implements keeping.Host.
func (h *keptHost) VacancyObstacle(cell string) string {
	n := h.node
	listing := n.executors.Load()
	now := n.Clock.Now()
	switch {
	case listing == nil || n.listReadFails.Load() || n.listConfirmationExpired():
		return listNotRead
	case listing.isPresent(cell):
		return executorsListed
	case !listing.isAbsent(cell, now-cellAbsence):
		return listedRecently
	case listing.isDividedAnew(cell):
		return dividedAnew
	case h.HasOwner(cell):
		return owned
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if view := n.ownershipView(); !view.ReachesMost() {
		return fewHostsReached
	}
	bounds := sightingBounds{released: n.settleTime(), lost: n.keptRunsBound()}
	endBy, isBounded := n.sightings.runsEndBy(cell, bounds, n.reachedAt)
	switch {
	case !isBounded:
		return hostsOfOtherBuild
	case now <= endBy:
		return ownerSeenRecently
	case !n.hasLastingMajority(now):
		return fewHostsReached
	}
	return ""
}

// reachedAt returns the host at an address, if it is this one or the link to it is up. n.mu is held.
func (n *Node) reachedAt(address string) (member.Peer, bool) {
	if address == n.settings.PeerAddress {
		return member.Peer{Address: address, Domain: n.settings.Domain, Incarnation: n.inc}, true
	}
	return n.members.UpAt(address)
}
