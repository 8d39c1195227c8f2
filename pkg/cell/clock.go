package cell

import "time"

// maxClockDrift is how much slower an executor's clock may run than ours.
const maxClockDrift = 0.02

// clockResolution is the unit in which executors tell their clocks.
const clockResolution = time.Millisecond

// remoteClock estimates an executor's clock from its answers. The estimate
// never lies ahead of the executor's clock, but for its drift: an answer shows
// a time that had passed already when the answer arrived.
type remoteClock struct {
	known   bool
	reading time.Duration // the executor's clock in the best answer
	readAt  time.Duration // our clock at its arrival
}

// observe takes the time in an answer that arrived at now. One that was slow on its
// way tells nothing new of the clock; but the estimate goes on from the least that the
// clock can show, as it would else run ahead of a slow one for as long as no quicker
// answer came: by up to 0.36 s in two minutes.
func (c *remoteClock) observe(shown, now time.Duration) {
	if c.known {
		shown = max(shown, c.lowerBound(now))
	}
	c.known = true
	c.reading = shown
	c.readAt = now
}

// observeIfAhead takes a time that may be older than what the executor itself has told: it
// counts only when it is ahead of that.
func (c *remoteClock) observeIfAhead(shown, now time.Duration) {
	if !c.known || shown >= c.lowerBound(now) {
		c.observe(shown, now)
	}
}

// lowerBound returns a time that the executor's clock has reached by now even if it
// runs slow.
func (c *remoteClock) lowerBound(now time.Duration) time.Duration {
	elapsed := now - c.readAt
	return c.reading + elapsed - time.Duration(float64(elapsed)*maxClockDrift)
}

// lowerBoundPast returns a time that the executor's clock had reached at a moment, which may be
// before the last answer.
func (c *remoteClock) lowerBoundPast(moment time.Duration) time.Duration {
	if moment >= c.readAt {
		return c.lowerBound(moment)
	}
	before := c.readAt - moment
	return c.reading - before - time.Duration(float64(before)*maxClockDrift)
}

// lowerBoundFuture returns a time that the executor's clock shows at a later moment of ours,
// or earlier than that by its drift.
func (c *remoteClock) lowerBoundFuture(moment, now time.Duration) time.Duration {
	left := moment - now
	return c.lowerBound(now) + left - time.Duration(float64(max(0, left))*maxClockDrift)
}

// estimate returns the best estimate of the executor's clock estimate now.
func (c *remoteClock) estimate(now time.Duration) time.Duration {
	return c.reading + now - c.readAt
}

// maxClockAge is how long an executor's clock goes unread while there is work:
// what its drift may come to by then, 60 ms, is lost of each lease. Without a limit
// an executor that was idle for 50 s would never get work again: 2% of that are 1 s,
// as much as a job's lease reaches ahead of its last renewal but for a start's time.
const maxClockAge = 3 * time.Second

// isStale reports whether the clock was read too long ago for starts.
func (c *remoteClock) isStale(now time.Duration) bool { return now > c.readAt+maxClockAge }

// needsClock reports whether an executor should be asked for its clock.
func (c *Cell) needsClock(e *executor, now time.Duration) bool {
	return len(c.jobs) > 0 && e.usable(now) && e.clock.isStale(now) && now > e.polledAt+maxClockAge
}
