package cell

import "time"

// clockDrift is how much slower an executor's clock may run than ours.
const clockDrift = 0.02

// clockUnit is the unit in which executors tell their clocks.
const clockUnit = time.Millisecond

// remoteClock estimates an executor's clock from its answers. The estimate
// never lies ahead of the executor's clock, but for its drift: an answer shows
// a time that had passed already when the answer arrived.
type remoteClock struct {
	known  bool
	shown  time.Duration // the executor's clock in the best answer
	seenAt time.Duration // our clock at its arrival
}

// observe takes the time in an answer that arrived at now. One that was slow on its
// way tells nothing new of the clock; but the estimate goes on from the least that the
// clock can show, as it would else run ahead of a slow one for as long as no quicker
// answer came: by up to 0.36 s in two minutes.
func (c *remoteClock) observe(shown, now time.Duration) {
	if c.known {
		shown = max(shown, c.least(now))
	}
	c.known = true
	c.shown = shown
	c.seenAt = now
}

// hint takes a time that may be older than what the executor itself has told: it
// counts only when it is ahead of that.
func (c *remoteClock) hint(shown, now time.Duration) {
	if !c.known || shown >= c.least(now) {
		c.observe(shown, now)
	}
}

// least returns a time that the executor's clock has reached by now even if it
// runs slow.
func (c *remoteClock) least(now time.Duration) time.Duration {
	elapsed := now - c.seenAt
	return c.shown + elapsed - time.Duration(float64(elapsed)*clockDrift)
}

// reachedAt returns a time that the executor's clock had reached at a moment, which may be
// before the last answer.
func (c *remoteClock) reachedAt(moment time.Duration) time.Duration {
	if moment >= c.seenAt {
		return c.least(moment)
	}
	before := c.seenAt - moment
	return c.shown - before - time.Duration(float64(before)*clockDrift)
}

// notAfter returns a time that the executor's clock shows at a later moment of ours,
// or earlier than that by its drift.
func (c *remoteClock) notAfter(moment, now time.Duration) time.Duration {
	left := moment - now
	return c.least(now) + left - time.Duration(float64(max(0, left))*clockDrift)
}

// at returns the best estimate of the executor's clock at now.
func (c *remoteClock) at(now time.Duration) time.Duration {
	return c.shown + now - c.seenAt
}

// longestUnseen is how long an executor's clock goes unread while there is work:
// what its drift may come to by then, 60 ms, is lost of each lease. Without a limit
// an executor that was idle for 50 s would never get work again: 2% of that are 1 s,
// as much as a job's lease reaches ahead of its last renewal but for a start's time.
const longestUnseen = 3 * time.Second

// isOld reports whether the clock was read too long ago for starts.
func (c *remoteClock) isOld(now time.Duration) bool { return now > c.seenAt+longestUnseen }

// wantsClock reports whether an executor should be asked for its clock.
func (c *Cell) wantsClock(e *executor, now time.Duration) bool {
	return len(c.works) > 0 && e.usable(now) && e.clock.isOld(now) && now > e.askedAt+longestUnseen
}
