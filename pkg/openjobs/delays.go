package openjobs

import "time"

// The network may hold a request up on its way to a front, while its caller gives it up and sends it again to
// another one. A front can't see that in general. But the first request of a connection was sent after
// the connection had been opened, and most callers open one to use it at once.

// meetTime is how long the announcements of two fronts that hold one job open take to meet, after the first of
// them has been confirmed: a host relays it to the second front, which announces the job with its next
// batch, by two messages.
const meetTime = transitTime + ScanInterval + 2*transitTime

// SentBeforeDelay returns a lower bound of when a request was sent that was received as the first one on a
// connection, which had been open for a time before. It allows for maxReceiptDelay, and goes back no further
// than to where the job is announced at once: a caller may also have left the connection unused for a while. A
// request that may be older isDelayed: its caller may have sent it again already.
func SentBeforeDelay(received, openBefore, resubmitAfter time.Duration) (sentAfter time.Duration, isDelayed bool) {
	delay, most := max(0, openBefore-maxReceiptDelay), AnnounceAfter(resubmitAfter)
	return max(1, received-min(delay, most)), delay > most
}

// MetBy returns when the front of a delayed job knows the other one that holds the job open, if there is one,
// by when its own announcement was confirmed.
func MetBy(confirmedAt time.Duration) time.Duration { return confirmedAt + meetTime }
