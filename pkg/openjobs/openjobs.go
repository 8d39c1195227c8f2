// Package openjobs decides what fronts tell each other of the jobs that they hold
// open, and what becomes of a job that a caller sends to another front meanwhile.
//
// A front can't always tell that a caller has left: what the caller's side said of
// it may be lost in a cut, and a relay between them goes on acknowledging. So the
// front goes on vouching for a caller that has sent the job again elsewhere by then,
// and tasks would run twice at once. A job that comes again joins the one that is
// open, so it needs to be known elsewhere before it can come again.
//
// The package does no I/O and takes the time as an argument.
package openjobs

import "time"

// A job comes again some time after the break of its first sending, which comes
// after that was sent. Its news has to be everywhere by then:
//
//	AnnounceAfter + ScanInterval + tellPause + 2 x newsTransit + receiptLag = resubmission
//
// The table test works the sum out. The lag is what is left for a first sending
// that its front received late.
const (
	// ScanInterval is how often a front looks for jobs to tell of, at most.
	ScanInterval = 100 * time.Millisecond
	// tellPause is the least time between two batches: a batch costs a message to each
	// host, whatever is in it.
	tellPause = 200 * time.Millisecond
	// newsTransit is one way between two hosts, with as much again for a process
	// that is busy. News takes two: hosts of another domain pass it on.
	newsTransit = 50 * time.Millisecond
	// receiptLag is how late a front may receive a first sending.
	receiptLag = 100 * time.Millisecond
	// tellMargin is what all of it takes.
	tellMargin = ScanInterval + tellPause + 2*newsTransit + receiptLag
)

// ResyncDelay is how long a front that was out of sight, or stood still, waits before it
// hands on a job that may have come again meanwhile: until the others have dialled it
// again, 0.3 s apart with a quarter of jitter, and told it what they hold open.
const ResyncDelay = 450 * time.Millisecond

// AnnounceAfter returns how old a job has to be before its front tells of it: most
// jobs have ended by then, and cost nothing.
func AnnounceAfter(resubmitAfter time.Duration) time.Duration {
	return max(0, resubmitAfter-tellMargin)
}

// Announcement is what a front tells of a job.
type Announcement struct {
	ID        string
	Remaining time.Duration // until no run of it can be alive any more
}

// Vantage is what a host sees of a front's domain.
type Vantage struct {
	SameDomain bool // it is of that domain itself, and sees others of it than the front, so that it isn't cut off
}
