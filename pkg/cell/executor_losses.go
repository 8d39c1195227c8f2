package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// Executors crash for many reasons: a rack loses power, a release goes wrong, a domain is cut off.
// The crash of an executor is evidence against a task only if the task ran alone there, and if no
// other executor was lost at about the same time without a task that explains its loss.

const (
	// lossCorrelationTime is the longest time between the losses of two executors that may have
	// related causes.
	lossCorrelationTime = time.Second
	// lossReviewDelay is how long after the loss of an executor its crash is assessed. Related
	// losses are noticed by then, and tasks that crash executors have crashed another one.
	lossReviewDelay = 1500 * time.Millisecond
	// endReviewDelay is the same after the end of its incarnation. The ends of other incarnations
	// that began anew at the same time are known by then.
	endReviewDelay = 500 * time.Millisecond
	// lossRetention is how long the loss of an executor is remembered.
	lossRetention = 20 * time.Second
)

// executorLoss is the loss of one incarnation of an executor: it became unresponsive, or it ended.
type executorLoss struct {
	incarnation catalog.Incarnation
	heardAt     time.Duration // when the executor last answered before, on our clock
	at          time.Duration // when the loss was noticed, on our clock
	goneBy      time.Duration // by when it had ended, on our clock; it may only have been unreachable before
	hasEnded    bool          // goneBy is known
	listed      bool          // it was on the list of executors when it was lost; executors that are taken away leave it before
	tasks       []*task       // tasks that were known to run there
	runs        int           // runs there, starts in flight and runs of unknown jobs included
}

// recordLoss records that an executor has become unresponsive or has ended. The loss of one that has
// never answered this owner is not compared with others, as it may have been lost long ago: the
// list still has executors that crashed and have not begun anew.
func (c *Cell) recordLoss(e *executor, now time.Duration) {
	if e.loss != nil {
		return
	}
	c.forgetOldLosses(now)
	e.loss = &executorLoss{incarnation: e.incarnation, heardAt: e.clock.readAt, at: now, listed: e.listed, runs: len(e.runs)}
	for _, r := range e.sortedRuns() {
		if r.task != nil && r.hasStarted() {
			e.loss.tasks = append(e.loss.tasks, r.task)
			r.task.losses.executors = append(r.task.losses.executors, e.loss)
		}
	}
	if e.adopted {
		c.executorLosses = append(c.executorLosses, e.loss)
	}
}

// recordEnd records that a lost executor has ended by now.
func (l *executorLoss) recordEnd(now time.Duration) {
	if !l.hasEnded {
		l.hasEnded, l.goneBy = true, now
	}
}

// recordReplacement records that an executor has ended, because another one is listed at its address.
func (c *Cell) recordReplacement(info catalog.Executor, now time.Duration) {
	for _, e := range c.sorted {
		if e.info.Address == info.Address && e.info.ID != info.ID && !e.ended && !e.info.Draining {
			c.recordLoss(e, now)
			e.loss.recordEnd(now)
		}
	}
}

// clearLoss records that an executor has answered after it counted as lost. The loss still shows that
// others of the same time need not be due to their tasks.
func (c *Cell) clearLoss(e *executor) {
	if e.loss == nil || e.ended {
		return
	}
	for _, t := range e.loss.tasks {
		t.losses.executors = slices.DeleteFunc(t.losses.executors, func(loss *executorLoss) bool { return loss == e.loss })
	}
	e.loss.tasks = nil
	e.loss = nil
}

// forgetOldLosses removes the losses that are no longer compared with others.
func (c *Cell) forgetOldLosses(now time.Duration) {
	c.executorLosses = slices.DeleteFunc(c.executorLosses, func(loss *executorLoss) bool {
		return now > max(loss.at, loss.goneBy)+lossRetention
	})
}

// goneFrom returns the earliest time at which the executor may have ended. One without runs is not
// polled, so its last answer does not tell.
func (l *executorLoss) goneFrom() time.Duration {
	if l.runs == 0 && l.hasEnded {
		return min(l.at, l.goneBy)
	}
	return l.heardAt
}

// goneUntil returns the time by which the executor had ended, or had become unreachable.
func (l *executorLoss) goneUntil() time.Duration { return max(l.at, l.goneBy) }

// isNear reports whether two losses may have related causes: the periods in which the executors may
// have ended are close.
func (l *executorLoss) isNear(other *executorLoss) bool {
	return l.goneFrom() <= other.goneUntil()+lossCorrelationTime && other.goneFrom() <= l.goneUntil()+lossCorrelationTime
}

// mayBeSimultaneous reports whether two executors may have been lost at the same moment, as far as
// their last answers tell.
func (l *executorLoss) mayBeSimultaneous(other *executorLoss) bool {
	return l.heardAt <= other.at && other.heardAt <= l.at
}

// wasAlone reports whether a task that ran there ran alone.
func (l *executorLoss) wasAlone() bool { return l.runs == 1 }

// isExplainedBeside reports whether one of the tasks that ran there crashes executors by itself, as
// far as can be told beside the losses under another task: it has lost several, one at least on
// which it ran alone, and one at least at another moment than those.
func (l *executorLoss) isExplainedBeside(losses []*executorLoss) bool {
	return slices.ContainsFunc(l.tasks, func(t *task) bool {
		isIndependent := func(own *executorLoss) bool { return !slices.ContainsFunc(losses, own.mayBeSimultaneous) }
		own := t.losses.executors
		return len(own) > 1 && slices.ContainsFunc(own, (*executorLoss).wasAlone) && slices.ContainsFunc(own, isIndependent)
	})
}

// unexplainedBeside returns how many other executors were lost at about the same time as one that
// crashed under a task, without another task that explains it.
func (c *Cell) unexplainedBeside(loss *executorLoss, t *task) int {
	count := 0
	for _, other := range c.executorLosses {
		if other == loss || !loss.isNear(other) || slices.Contains(other.tasks, t) {
			continue
		}
		if !other.isExplainedBeside(t.losses.executors) {
			count++
		}
	}
	return count
}
