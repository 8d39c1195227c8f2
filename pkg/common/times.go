package common

import "time"

// MaxTime bounds the times that other programs report. Two of them add up without an overflow.
const MaxTime = 100 * 365 * 24 * time.Hour

// Milliseconds returns a number of milliseconds from another program as a time. Numbers out of
// range are clamped to MaxTime, since a huge one would overflow into any other time.
func Milliseconds(n int64) time.Duration { return clamped(n, time.Millisecond) }

// Microseconds is Milliseconds for a number of microseconds.
func Microseconds(n int64) time.Duration { return clamped(n, time.Microsecond) }

func clamped(n int64, unit time.Duration) time.Duration {
	limit := int64(MaxTime / unit)
	return time.Duration(max(-limit, min(n, limit))) * unit
}
