package cell

import (
	"strconv"
	"time"
)

// maxClockDrift is how much slower an executor's clock may run than ours, as a fraction.
const maxClockDrift = 0.02

// withDrift returns how long, on our clock, a lease can last whose end an executor with the slowest
// clock measures.
func withDrift(lease time.Duration) time.Duration {
	return lease + time.Duration(2*maxClockDrift*float64(lease))
}

// remoteClock estimates an executor's clock from its answers. The estimate is never ahead of
// the executor's clock, except by drift: the time in an answer has already passed when the
// answer arrives.
type remoteClock struct {
	known   bool
	reading time.Duration // executor's clock in the best reading
	readAt  time.Duration // our clock when that reading arrived

	answered bool          // the executor itself has told its clock
	answer   time.Duration // executor's clock in its best answer
	answerAt time.Duration // our clock when that answer arrived
}

// maxListLead is how far the list of executors may be ahead of the estimate from an executor's
// own answers, which are as old as the answer took to arrive.
const maxListLead = 500 * time.Millisecond

// observe records the time in an answer that arrived at now. When a delayed answer shows less
// than the lower bound, the estimate continues from the lower bound, so that it does not run
// ahead of a slow clock until a faster answer arrives. The list of executors does not count
// beside an answer, as its row may be another writer's.
func (c *remoteClock) observe(reading, now time.Duration) {
	if c.answered {
		reading = max(reading, lowerBoundOf(c.answer, now-c.answerAt))
	}
	c.answered, c.answer, c.answerAt = true, reading, now
	c.set(reading, now)
}

// observeListed records a time from the list of executors. It is ignored unless it is ahead of
// the lower bound. A time that is too far ahead of the executor's own answers is another writer's:
// leases up to such a time would seem to last for years.
func (c *remoteClock) observeListed(reading, now time.Duration) {
	if c.known && reading < c.lowerBound(now) || c.answered && reading > c.answer+now-c.answerAt+maxListLead {
		return
	}
	c.set(reading, now)
}

func (c *remoteClock) set(reading, now time.Duration) {
	c.known = true
	c.reading = reading
	c.readAt = now
}

// lowerBound returns a time that the executor's clock has reached by now even if it runs slow.
func (c *remoteClock) lowerBound(now time.Duration) time.Duration {
	return lowerBoundOf(c.reading, now-c.readAt)
}

// lowerBoundOf returns a time that a clock has reached some time after a reading even if it runs
// slow.
func lowerBoundOf(reading, elapsed time.Duration) time.Duration {
	return reading + elapsed - time.Duration(float64(elapsed)*maxClockDrift)
}

// lowerBoundFuture returns a time that the executor's clock will have reached at a later moment
// of ours even if it runs slow.
func (c *remoteClock) lowerBoundFuture(moment, now time.Duration) time.Duration {
	left := moment - now
	return c.lowerBound(now) + left - time.Duration(float64(max(0, left))*maxClockDrift)
}

// estimate returns the best estimate of the executor's clock at now.
func (c *remoteClock) estimate(now time.Duration) time.Duration {
	return c.reading + now - c.readAt
}

// formatEstimate returns the estimate at now in milliseconds as a string, or "" before the first
// reading.
func (c *remoteClock) formatEstimate(now time.Duration) string {
	if !c.known {
		return ""
	}
	return strconv.FormatInt(c.estimate(now).Milliseconds(), 10)
}

// maxClockAge is the age from which on a clock is read again. A job's lease is shortened by the
// drift since the reading when it is converted to the executor's clock: by 60 ms at this age. After
// 50 s without a reading it would be shortened by 1 s, and too little would be left of it for a
// start, so that an idle executor would never get work again.
const maxClockAge = 3 * time.Second

// isStale reports whether the reading is older than maxClockAge.
func (c *remoteClock) isStale(now time.Duration) bool { return now > c.readAt+maxClockAge }

// needsClock reports whether an executor's clock has to be read again.
func (c *Cell) needsClock(e *executor, now time.Duration) bool {
	return len(c.jobs) > 0 && e.usable(now) && e.clock.isStale(now) && now > e.polledAt+maxClockAge
}
