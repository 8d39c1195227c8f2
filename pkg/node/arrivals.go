package node

import (
	"sync"
	"time"
)

// Reasons for which an owner drops the jobs of a front.
const (
	reasonFrontGone   = "front_gone"   // its link has ended
	reasonFrontSilent = "front_silent" // it has sent nothing for too long
)

// arrivals remembers when each peer was last heard on a link that it opened.
type arrivals struct {
	mu       sync.Mutex
	at       map[string]time.Duration // by the peer's address
	lastLook time.Duration
}

func newArrivals() *arrivals { return &arrivals{at: map[string]time.Duration{}} }

func (a *arrivals) note(address string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[address] = now
}

func (a *arrivals) forget(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.at, address)
}

// look begins a look at all peers. A silence is theirs only while this process
// was awake, so one that stood still hears them anew first.
func (a *arrivals) look(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.lastLook > longestGap {
		for address := range a.at {
			a.at[address] = now
		}
	}
	a.lastLook = now
}

// silence returns for how long a peer has been silent, or 0 when it isn't known.
func (a *arrivals) silence(address string, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, known := a.at[address]; known {
		return now - at
	}
	return 0
}

// silent reports whether a peer has been silent for longer than limit. One
// whose link has ended counts as gone, not as silent.
func (a *arrivals) silent(address string, limit, now time.Duration) bool {
	return a.silence(address, now) > limit
}

// dropSilentFronts takes back the jobs of fronts that have fallen silent, so that
// their room is free before the leases of the jobs end.
func (n *Node) dropSilentFronts(now time.Duration) {
	n.arrivals.look(now)
	for _, o := range n.allOwners() {
		for _, front := range o.fronts() {
			if n.arrivals.silent(front, n.settings.SuspectAfter, now) {
				o.frontGone(front, reasonFrontSilent)
			}
		}
	}
}
