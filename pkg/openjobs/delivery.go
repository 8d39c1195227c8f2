package openjobs

import (
	"maps"
	"slices"
)

const (
	// RelayAfter is how long a front waits for the hosts of its domain to reply to an announcement,
	// before it has others relay the announcement to those that haven't. A relayed announcement takes
	// two messages more.
	RelayAfter = confirmTime
	// relaysPerRound is how many hosts relay an announcement at the same time. It is more than one, as
	// a relay may be cut off from the same host.
	relaysPerRound = 2
	// maxRelayRounds is how long a front waits for hosts that could relay an announcement.
	maxRelayRounds = 4
	// relaysToDead bounds the messages of an announcement while a listed host is dead. A host that was
	// in reach a moment ago may be cut off from the first relays as well, and hear others.
	relaysToDead = 2 * relaysPerRound
)

// Delivery tracks which hosts of its own domain have received an announcement of a front. A host that
// doesn't reply may be cut off from the front only, and get the second submission of a job. The link to
// it may still count as up. Delivery is not safe for concurrent use.
type Delivery struct {
	missing map[string]bool // hosts that may not have received it, by address
	asked   map[string]bool // relays
	lately  map[string]bool // hosts that were in reach a moment ago
	rounds  int
}

// NewDelivery returns the delivery of an announcement to some hosts, by their addresses: those to which the
// links are up, and others that were in reach a moment ago (lostLately) or longer ago.
func NewDelivery(reachable, unreachable []string, lostLately bool) *Delivery {
	d := &Delivery{missing: map[string]bool{}, asked: map[string]bool{}, lately: map[string]bool{}}
	for _, host := range reachable {
		d.missing[host], d.lately[host] = true, true
	}
	for _, host := range unreachable {
		d.missing[host], d.lately[host] = true, lostLately
	}
	return d
}

// Confirmed records that hosts have received the announcement.
func (d *Delivery) Confirmed(hosts ...string) {
	for _, host := range hosts {
		delete(d.missing, host)
	}
}

// Missing returns the hosts that may not have received the announcement, sorted.
func (d *Delivery) Missing() []string { return slices.Sorted(maps.Keys(d.missing)) }

// NextRelays is called RelayAfter after the announcement, and again after as long until isOver. It
// returns hosts that are to relay the announcement to the missing ones, out of those that have received
// it. isOver is set when none is missing, or enough has been done.
func (d *Delivery) NextRelays(confirmed []string) (relays []string, isOver bool) {
	d.rounds++
	if len(d.missing) == 0 || d.rounds > maxRelayRounds {
		return nil, true
	}
	most := relaysToDead
	for host := range d.missing {
		if d.lately[host] {
			most = maxRelayRounds * relaysPerRound
		}
	}
	for _, host := range confirmed {
		if !d.asked[host] && len(d.asked) < most && len(relays) < relaysPerRound {
			d.asked[host] = true
			relays = append(relays, host)
		}
	}
	return relays, false
}
