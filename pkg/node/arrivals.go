package node

import (
	"sync"
	"time"
)

// Reasons for which an owner removes the jobs of a front.
const (
	reasonFrontDisconnected = "front_gone"   // its link has closed
	reasonFrontUnresponsive = "front_silent" // it has sent nothing for longer than SuspectAfter
)

// arrivals records when each peer last sent something on a link that it opened.
type arrivals struct {
	mu         sync.Mutex
	at         map[string]time.Duration // by the peer's address
	lastScanAt time.Duration
}

func newArrivals() *arrivals { return &arrivals{at: map[string]time.Duration{}} }

func (a *arrivals) record(address string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[address] = now
}

func (a *arrivals) forget(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.at, address)
}

// beginScan begins a check of all peers. If this process was paused since the last check, it
// could not receive anything, so the times of all peers start anew.
func (a *arrivals) beginScan(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.lastScanAt > maxTickGap {
		for address := range a.at {
			a.at[address] = now
		}
	}
	a.lastScanAt = now
}

// sinceReceived returns how long ago a peer last sent something, or 0 if it is unknown.
func (a *arrivals) sinceReceived(address string, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, known := a.at[address]; known {
		return now - at
	}
	return 0
}

// isUnresponsive reports whether a peer has sent nothing for longer than limit. It is false
// for a peer whose link has closed, as the closing itself is handled.
func (a *arrivals) isUnresponsive(address string, limit, now time.Duration) bool {
	return a.sinceReceived(address, now) > limit
}

// dropUnresponsiveFronts removes the jobs of unresponsive fronts, so that their capacity is free
// before the leases of the jobs end.
func (n *Node) dropUnresponsiveFronts(now time.Duration) {
	n.arrivals.beginScan(now)
	for _, o := range n.allOwners() {
		for _, front := range o.fronts() {
			if n.arrivals.isUnresponsive(front, n.settings.SuspectAfter, now) {
				o.withdrawFront(front, reasonFrontUnresponsive)
			}
		}
	}
}
