package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/keeping"
)

const (
	// unpersistedOutcomeRetention is how long an owner keeps the outcome of a kept job
	// whose end is not confirmed as persisted. If the job is handed over again later, it ends
	// by the ends that executors still list.
	unpersistedOutcomeRetention = 20*time.Second + outcomeRetention
	// cancellationRetention is how long an owner refuses a cancelled kept job. A coordinator
	// that submits the job later than that has read the cancellation from its row.
	cancellationRetention = 20 * time.Second
)

// reasonKeptCancelled reports the cancellation of a kept job to a coordinator that does
// not know of it yet.
const reasonKeptCancelled = keeping.ReasonCancelled

// keptCancelled is the outcome that waiters for a cancelled kept job get.
var keptCancelled = job.Outcome{Kind: job.Moved, Reason: reasonKeptCancelled}

// keptJobs is an owner's state of kept jobs, except for their outcomes. The owner's
// mutex guards it.
type keptJobs struct {
	inCell    map[string]bool          // jobs in the cell; they go on without waiters
	cancelled map[string]time.Duration // by id: until when the job is refused

	nextCheckpoint time.Duration // when to check for progress to persist, and rows to read, next
	verifying      bool          // rows are being read
}

func newKeptJobs() keptJobs {
	return keptJobs{inCell: map[string]bool{}, cancelled: map[string]time.Duration{}}
}

func (k *keptJobs) add(id string)    { k.inCell[id] = true }
func (k *keptJobs) remove(id string) { delete(k.inCell, id) }

// outcomeRetention returns how long to keep the outcome of a job that ends now. It must be
// called before remove.
func (k *keptJobs) outcomeRetention(id string) time.Duration {
	if k.inCell[id] {
		return unpersistedOutcomeRetention
	}
	return outcomeRetention
}

func (k *keptJobs) isCancelled(id string, now time.Duration) bool { return now < k.cancelled[id] }

// expire removes cancellations whose time is over.
func (k *keptJobs) expire(now time.Duration) {
	for id, until := range k.cancelled {
		if now >= until {
			delete(k.cancelled, id)
		}
	}
}

// recordPersisted records that the ends of kept jobs are persisted in the store. Cancelled
// jobs end here at once, and their waiters are answered.
func (o *owner) recordPersisted(ids []string, cancelled bool) {
	var replies []reply
	o.do(func(state *cell.Cell, now time.Duration) {
		for _, id := range ids {
			if cancelled {
				replies = append(replies, o.cancelKept(state, id, now)...)
			} else if known, ok := o.ended[id]; ok {
				o.ended[id] = endedOutcome{outcome: known.outcome, until: now + outcomeRetention}
			}
		}
		state.EndsPersisted(ids, now)
	})
	for _, reply := range replies {
		reply(keptCancelled)
	}
}

// cancelKept ends a kept job and returns the replies of its waiters. o.mu is held.
func (o *owner) cancelKept(state *cell.Cell, id string, now time.Duration) []reply {
	o.kept.cancelled[id] = now + cancellationRetention
	o.kept.remove(id)
	state.Withdraw(id, reasonKeptCancelled, now)
	var replies []reply
	for _, w := range o.waiters[id] {
		replies = append(replies, w.reply)
	}
	delete(o.waiters, id)
	delete(o.ended, id)
	return replies
}
