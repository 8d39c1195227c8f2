package node

import (
	"maps"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
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
	address string
	at      time.Duration
}

type hostSighting struct {
	domain         string
	at             time.Duration
	limitsKeptRuns bool
}

func newSightings() sightings {
	return sightings{owners: map[string]ownerSighting{}, hosts: map[string]hostSighting{}}
}

// record records what a heartbeat of a peer shows. Of owners to which this host has links itself, the word
// of others doesn't count: they may not have noticed yet that these are lost.
func (s *sightings) record(p *member.Peer, heartbeat *peerpb.Heartbeat, hasLink func(address string) bool, now time.Duration) {
	s.hosts[p.Address] = hostSighting{domain: p.Domain, at: now, limitsKeptRuns: p.LimitsKeptRuns}
	for _, claim := range heartbeat.Cells {
		s.owners[claim.Cell] = ownerSighting{address: p.Address, at: now}
	}
	for _, reported := range heartbeat.Owners {
		if !hasLink(reported.Owner) {
			s.owners[reported.Cell] = ownerSighting{address: reported.Owner, at: now}
		}
	}
}

// expireSightings removes old sightings.
func (n *Node) expireSightings(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.sightings.owners, func(_ string, seen ownerSighting) bool { return now > seen.at+sightingRetention })
	maps.DeleteFunc(n.sightings.hosts, func(_ string, seen hostSighting) bool { return now > seen.at+sightingRetention })
}

// lastOf returns the last sign of life of an owner of a cell, or of a host that may have become its owner:
// one of the cell's domain. Those that this host reaches tell it that they don't own the cell. It reports false
// if a host that was seen lets kept runs go on for longer, as those of earlier builds do.
func (s *sightings) lastOf(cell string, isReached func(address string) bool) (time.Duration, bool) {
	var last time.Duration
	if owner := s.owners[cell]; !isReached(owner.address) {
		last = owner.at
	}
	domain := ownership.DomainOf(cell)
	for address, seen := range s.hosts {
		if !seen.limitsKeptRuns {
			return 0, false
		}
		if seen.domain == domain && !isReached(address) {
			last = max(last, seen.at)
		}
	}
	return last, true
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
	if reachable, expected := h.reachableHosts(); 2*reachable <= expected {
		return fewHostsReached
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	last, isBounded := n.sightings.lastOf(cell, n.isUp)
	switch {
	case !isBounded:
		return hostsOfOtherBuild
	case now <= last+n.keptRunsBound():
		return ownerSeenRecently
	}
	return ""
}

// isUp reports whether the link to a host is up. n.mu is held.
func (n *Node) isUp(address string) bool {
	_, up := n.members.UpAt(address)
	return up
}
