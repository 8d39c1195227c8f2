// Package openjobs decides what fronts announce to each other about the jobs that they hold
// open, and what happens to a job that its caller resubmits to another front.
//
// A front can't always detect that a caller has disconnected: the close may be lost in a
// network cut, and a relay between them may go on acknowledging. Such a front keeps
// renewing the leases of a job that the caller has resubmitted elsewhere, and its tasks
// would run twice at once. To prevent this, a resubmitted job joins the one that is open.
// So fronts have to know of each other's open jobs before these can be resubmitted.
//
// The package does no I/O and takes the time as an argument.
package openjobs

import "time"

// A caller resubmits a job some time after the connection of the first submission broke.
// The announcement of the job has to have reached all hosts by then, and the front has to know that, before
// the leases of its runs end:
//
//	AnnounceAfter + ScanInterval + minBatchInterval + 2 x transitTime + confirmTime + leaseTime + maxReceiptDelay = resubmission
const (
	// ScanInterval is the longest time between two scans for jobs to announce.
	ScanInterval = 100 * time.Millisecond
	// minBatchInterval is the shortest time between two batches. A batch costs one message
	// to each host, regardless of its size.
	minBatchInterval = 200 * time.Millisecond
	// transitTime is the time of a message between two hosts, with as much again for a
	// process that is busy. An announcement takes two messages: hosts of another domain
	// relay it.
	transitTime = 50 * time.Millisecond
	// maxReceiptDelay is how late a front may receive the first submission.
	maxReceiptDelay = 100 * time.Millisecond
	// confirmTime is the time of a domain's confirmation, with as much again for a process that is busy.
	confirmTime = 2 * transitTime
	// leaseTime is how long before a resubmission a job is confirmed. It leaves 50 ms for executors to end
	// runs whose leases are over, 100 ms to stop the runs of unconfirmed jobs before that, and a lease of
	// 150 ms for the starts of jobs that are waiting.
	leaseTime = 300 * time.Millisecond
	// announceMargin is how long before a possible resubmission a job is announced.
	announceMargin = ScanInterval + minBatchInterval + 2*transitTime + confirmTime + leaseTime + maxReceiptDelay
)

// A front may receive the first submission later than maxReceiptDelay, or be unable to announce
// it to the front that gets the second one. Within a domain the owners of cells, which are few,
// announce to each other, for the fronts, the jobs that these have dispatched to them:
//
//	OwnerAnnounceAfter + ScanInterval + MinOwnerBatchInterval + transitTime + maxOwnerReceiptDelay = resubmission
const (
	// MinOwnerBatchInterval is the shortest time between two batches of an owner.
	MinOwnerBatchInterval = 100 * time.Millisecond
	// maxOwnerReceiptDelay is how late a front may receive the first submission.
	maxOwnerReceiptDelay = 700 * time.Millisecond
	ownerAnnounceMargin  = ScanInterval + MinOwnerBatchInterval + transitTime + maxOwnerReceiptDelay
)

// OwnerAnnounceAfter returns the age at which owners announce a job.
func OwnerAnnounceAfter(resubmitAfter time.Duration) time.Duration {
	return max(0, resubmitAfter-ownerAnnounceMargin)
}

// ResyncDelay is how long a front that was unreachable or suspended waits before it hands a
// job, which may have been resubmitted meanwhile, to an owner. By then the other hosts have
// reconnected, which they attempt every 0.3 s with a jitter of a quarter, and have
// announced their open jobs.
const ResyncDelay = 450 * time.Millisecond

// AnnounceAfter returns the age at which a front announces a job. Most jobs end before
// that, and cause no messages.
func AnnounceAfter(resubmitAfter time.Duration) time.Duration {
	return max(0, resubmitAfter-announceMargin)
}

// Announcement is what a front announces about a job that it holds open. It carries a
// duration, not a time, since hosts have different clocks.
type Announcement struct {
	ID        string
	Remaining time.Duration // until no run of the job can be alive
	Cell      string        // the cell whose owner announces it for the front; empty if the front does, or the owner is of an earlier build
}
