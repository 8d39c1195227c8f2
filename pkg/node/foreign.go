package node

import (
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// A zone whose nodes are all out of sight may have lost them, or be cut off
// and serve by itself. Only in the first case should a node of another zone
// claim its executors. So it first looks whether they can be reached, by a
// hold without a token, which changes nothing; and as the links to the zone's
// nodes come back within moments of a cut's end, it then waits a while.
const (
	probeInterval  = 300 * time.Millisecond
	probeTimeout   = 250 * time.Millisecond
	probedAtOnce   = 2
	reachableLimit = 2 * time.Second // of being reachable, before a claim
)

// foreignZones remembers since when the executors of other zones could be
// reached.
type foreignZones struct {
	mu    sync.Mutex
	zones map[string]*foreignZone
}

type foreignZone struct {
	since    time.Duration // reachable; 0 while not
	nextLook time.Duration
}

func newForeignZones() *foreignZones { return &foreignZones{zones: map[string]*foreignZone{}} }

// keepOnly ends the looks at all zones but those of the given cells, which
// need an owner from elsewhere. A later look begins anew.
func (f *foreignZones) keepOnly(cells []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for zone := range f.zones {
		needed := slices.ContainsFunc(cells, func(cell string) bool { return ownership.ZoneOf(cell) == zone })
		if !needed {
			delete(f.zones, zone)
		}
	}
}

// due reports whether a zone may be claimed, and whether a look is due.
func (f *foreignZones) due(zone string, now time.Duration) (claim, look bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.zones[zone]
	if state == nil {
		state = &foreignZone{}
		f.zones[zone] = state
	}
	claim = state.since > 0 && now >= state.since+reachableLimit
	look = now >= state.nextLook
	if look {
		state.nextLook = now + probeInterval
	}
	return claim, look
}

// looked takes the result of a look.
func (f *foreignZones) looked(zone string, reached bool, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.zones[zone]
	if state == nil {
		return
	}
	if !reached {
		state.since = 0
	} else if state.since == 0 {
		state.since = now
	}
}

// mayClaimForeign reports whether cells of a zone without nodes may be claimed by this
// node of another zone, and looks at its executors now and then.
func (n *Node) mayClaimForeign(zone string, now time.Duration) bool {
	claim, look := n.foreign.due(zone, now)
	if look && !claim {
		go n.lookAt(zone)
	}
	return claim
}

func (n *Node) lookAt(zone string) {
	listing := n.executors.Load()
	if listing == nil {
		return
	}
	reached := false
	for i, executor := range listing.inZone(zone) {
		if i == probedAtOnce || reached {
			break
		}
		verdict := n.front.calls.executors.Hold(&executor, HoldOrder{}, probeTimeout).Verdict
		reached = verdict != cell.Unanswered && verdict != cell.Unreached
	}
	n.foreign.looked(zone, reached, n.Clock.Now())
}
