package kept

import "time"

// The pace of a partition's transactions. With one under way at a time, jobs that
// come meanwhile go into the next one by themselves; the gaps keep all partitions
// together at 8 / 15 ms = 530 calls a second, two thirds of the 800 that the smallest
// known deployment allows. A store that is busy doubles the gap.
const (
	shortestGap = 15 * time.Millisecond // between the beginnings of two transactions
	longestGap  = 800 * time.Millisecond
	// downAfter is how many calls in a row have failed before new jobs are refused
	// at once: a single one is lost or turned away now and then.
	downAfter = 2
)

// pace says when the next transaction may go out.
type pace struct {
	gap      time.Duration
	next     time.Duration // no transaction before
	failures int           // calls in a row that nothing is known to have come of
}

func newPace() pace { return pace{gap: shortestGap} }

// began notes that a transaction goes out.
func (p *pace) began(now time.Duration) { p.next = now + p.gap }

// succeeded notes an answer, also one that refuses: the store serves.
func (p *pace) succeeded() {
	p.failures = 0
	p.gap = max(shortestGap, p.gap/2)
}

// failed notes that the store is busy, out of reach or silent.
func (p *pace) failed(now time.Duration) {
	p.failures++
	p.gap = min(2*p.gap, longestGap)
	p.next = max(p.next, now+p.gap)
}

// isDown reports whether the store has failed for a while.
func (p *pace) isDown() bool { return p.failures >= downAfter }
