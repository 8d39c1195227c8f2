package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/keeping"
)

const (
	// keepUnnoted is how long an owner answers for a kept job that has ended and whose
	// keeper hasn't said that the end lasts: as long as the executors know of its tasks,
	// and as long as for any job after that.
	keepUnnoted = cell.UnpersistedEndRetention + keepOutcomes
	// keepCancelled is how long an owner refuses a kept job that was cancelled: a keeper
	// that hands it over later has read its row since.
	keepCancelled = 20 * time.Second
)

// reasonKeptCancelled marks a kept job that was cancelled, for a keeper that doesn't
// know it yet.
const reasonKeptCancelled = keeping.ReasonCancelled

// cancelledHere is what waiters are told for a kept job that was cancelled.
var cancelledHere = job.Outcome{Kind: job.Moved, Reason: reasonKeptCancelled}

// keptHere is what an owner remembers of kept jobs beside their outcomes. The owner's
// lock guards it.
type keptHere struct {
	here      map[string]bool          // jobs in the cell; they go on though nobody waits
	cancelled map[string]time.Duration // by id: until when that is remembered

	nextCheckpoint time.Duration // when progress is looked for next
}

func newKeptHere() keptHere {
	return keptHere{here: map[string]bool{}, cancelled: map[string]time.Duration{}}
}

func (k *keptHere) add(id string)  { k.here[id] = true }
func (k *keptHere) drop(id string) { delete(k.here, id) }

// remembers returns how long the outcome of a job that is still listed as here stays.
func (k *keptHere) remembers(id string) time.Duration {
	if k.here[id] {
		return keepUnnoted
	}
	return keepOutcomes
}

func (k *keptHere) isCancelled(id string, now time.Duration) bool { return now < k.cancelled[id] }

// expire forgets what is old.
func (k *keptHere) expire(now time.Duration) {
	for id, until := range k.cancelled {
		if now >= until {
			delete(k.cancelled, id)
		}
	}
}

// noted takes that the ends of kept jobs last at the platform. With cancelled they end
// here and now, whoever waits for them.
func (o *owner) noted(ids []string, cancelled bool) {
	var told []reply
	o.do(func(state *cell.Cell, now time.Duration) {
		for _, id := range ids {
			if cancelled {
				told = append(told, o.cancelKept(state, id, now)...)
			} else if known, ok := o.ended[id]; ok {
				o.ended[id] = ended{outcome: known.outcome, until: now + keepOutcomes}
			}
		}
		state.EndsPersisted(ids, now)
	})
	for _, tell := range told {
		tell(cancelledHere)
	}
}

// cancelKept ends a kept job and returns those who waited for it. o.mu is held.
func (o *owner) cancelKept(state *cell.Cell, id string, now time.Duration) []reply {
	o.kept.cancelled[id] = now + keepCancelled
	o.kept.drop(id)
	state.Withdraw(id, reasonKeptCancelled, now)
	var told []reply
	for _, w := range o.waiters[id] {
		told = append(told, w.reply)
	}
	delete(o.waiters, id)
	delete(o.ended, id)
	return told
}
