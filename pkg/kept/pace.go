package kept

import (
	"sync/atomic"
	"time"
)

// The pace of a partition's transactions. With one under way at a time, jobs that
// come meanwhile go into the next one by themselves; the gaps keep all partitions
// together at 8 / 15 ms = 530 calls a second, two thirds of the 800 that the smallest
// known deployment allows. A store that is busy doubles the gap.
const (
	shortestGap = 15 * time.Millisecond // between the beginnings of two transactions
	longestGap  = 800 * time.Millisecond
	// mostTries is how often a new job is written of which nothing can last, before it
	// is refused: a single call is turned away now and then.
	mostTries = 2
	// downAfter is how many calls of a host have failed in a row before it refuses new
	// jobs at once.
	downAfter = 3
)

// Health is what the keepers of a host know of the store together.
type Health struct {
	failures atomic.Int64 // calls in a row that nothing is known to have come of
}

// IsDown reports whether the store has failed for a while, as seen from this host.
func (h *Health) IsDown() bool { return h.failures.Load() >= downAfter }

// pace says when the next transaction may go out.
type pace struct {
	gap    time.Duration
	next   time.Duration // no transaction before
	health *Health
}

func newPace(health *Health) pace { return pace{gap: shortestGap, health: health} }

// began notes that a transaction goes out.
func (p *pace) began(now time.Duration) { p.next = now + p.gap }

// succeeded notes an answer, also one that refuses: the store serves.
func (p *pace) succeeded() {
	p.health.failures.Store(0)
	p.gap = max(shortestGap, p.gap/2)
}

// failed notes that the store is busy, out of reach or silent.
func (p *pace) failed(now time.Duration) {
	p.health.failures.Add(1)
	p.gap = min(2*p.gap, longestGap)
	p.next = max(p.next, now+p.gap)
}
