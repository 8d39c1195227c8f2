package kept

import (
	"sync/atomic"
	"time"
)

// Pacing of a partition's transactions. One is in flight at a time, so jobs that arrive
// meanwhile are grouped into the next one. The gaps limit all partitions together to
// 8 / 15 ms = 530 calls a second, two thirds of the 800 that the smallest known deployment
// allows.
const (
	minGap = 15 * time.Millisecond  // between the starts of two transactions; keeps the sum over all partitions below the request limit of the smallest deployment
	maxGap = 800 * time.Millisecond // largest gap, after repeated failures
	// maxAttempts is the number of attempts to write a new job before it is refused. A
	// single call fails now and then.
	maxAttempts = 2
	// downThreshold is the number of consecutive failed transactions of a host after which
	// it refuses new jobs at once.
	downThreshold = 3
)

// Health counts the consecutive failed transactions of a host. The coordinators of all
// partitions of the host share it, and refuse new jobs while the store is down.
type Health struct {
	failures atomic.Int64 // a conflict counts only if its rows do not show which change conflicts
}

// IsDown reports whether the last downThreshold transactions of this host have all failed.
func (h *Health) IsDown() bool { return h.failures.Load() >= downThreshold }

// pacer decides when a coordinator may send its next transaction. Each failure doubles the
// gap between transactions, up to maxGap, and each response of the store halves it, down
// to minGap.
type pacer struct {
	gap    time.Duration
	next   time.Duration // earliest start of the next transaction
	health *Health
}

func newPacer(health *Health) pacer { return pacer{gap: minGap, health: health} }

// recordStart records that a transaction is sent now.
func (p *pacer) recordStart(now time.Duration) { p.next = now + p.gap }

// recordSuccess records that the store responded, also with a conflict.
func (p *pacer) recordSuccess() {
	p.health.failures.Store(0)
	p.gap = max(minGap, p.gap/2)
}

// recordFailure records that the store was busy, unreachable or unresponsive.
func (p *pacer) recordFailure(now time.Duration) {
	p.health.failures.Add(1)
	p.gap = min(2*p.gap, maxGap)
	p.next = max(p.next, now+p.gap)
}
