package kept

import (
	"sync/atomic"
	"time"
)

// Pacing of a partition's transactions. One is in flight at a time, so jobs that arrive
// meanwhile are grouped into the next one.
const (
	minGap = 15 * time.Millisecond // between the starts of two transactions; keeps the sum over all partitions below the request limit of the smallest deployment
	maxGap = 800 * time.Millisecond
	// maxAttempts is the number of attempts to write a new job before it is refused. A
	// single call fails now and then.
	maxAttempts = 2
	// downThreshold is the number of consecutive failed calls of a host after which it
	// refuses new jobs at once.
	downThreshold = 3
)

// Health is the state of the store as seen by all coordinators of a host.
type Health struct {
	failures atomic.Int64 // consecutive calls without a successful result
}

// IsDown reports whether the last calls of this host to the store have all failed.
func (h *Health) IsDown() bool { return h.failures.Load() >= downThreshold }

// pacer schedules the transactions of a partition. Failed calls double the gap between
// transactions.
type pacer struct {
	gap    time.Duration
	next   time.Duration // earliest start of the next transaction
	health *Health
}

func newPacer(health *Health) pacer { return pacer{gap: minGap, health: health} }

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
