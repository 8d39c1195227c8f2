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
	// one cause. Owners notice losses up to half a second late.
	lossCorrelationTime = time.Second
	// crashReviewDelay is how long after the end of an incarnation its crash is assessed. The
	// ends of other incarnations that began anew at the same time are known by then.
	crashReviewDelay = 500 * time.Millisecond
	// lossRetention is how long the loss of an executor is remembered.
	lossRetention = 20 * time.Second
)

// executorLoss is the loss of one incarnation of an executor: it became unresponsive, or it ended.
type executorLoss struct {
	incarnation catalog.Incarnation
	at          time.Duration // when it was noticed, on our clock
	endedAt     time.Duration // when the incarnation was found to have ended, on our clock; 0 before
	listed      bool          // it was on the list of executors when it was lost; executors that are taken away leave it before
	tasks       []*task       // tasks that ran there when it was lost
	runs        int           // runs there when it was lost, those of unknown jobs included
}

// recordLoss records that an executor has become unresponsive or has ended. The loss of one that has
// never answered this owner is not compared with others, as it may have been lost long ago: the
// list still has executors that crashed and have not begun anew.
func (c *Cell) recordLoss(e *executor, now time.Duration) {
	if e.loss != nil {
		return
	}
	e.loss = &executorLoss{incarnation: e.incarnation, at: now, listed: e.listed, runs: len(e.runs)}
	for _, r := range e.sortedRuns() {
		if r.task != nil {
			e.loss.tasks = append(e.loss.tasks, r.task)
		}
	}
	if e.adopted {
		c.executorLosses = append(c.executorLosses, e.loss)
	}
}

// clearLoss records that an executor that was unresponsive has answered.
func (c *Cell) clearLoss(e *executor) {
	c.executorLosses = slices.DeleteFunc(c.executorLosses, func(loss *executorLoss) bool { return loss == e.loss })
	e.loss = nil
}

// forgetOldLosses removes the losses that are no longer compared with others.
func (c *Cell) forgetOldLosses(now time.Duration) {
	c.executorLosses = slices.DeleteFunc(c.executorLosses, func(loss *executorLoss) bool {
		return now > max(loss.at, loss.endedAt)+lossRetention
	})
}

// coincides reports whether two losses may have one cause. An executor without runs is not
// polled, so only the time is known at which its next incarnation was found.
func (l *executorLoss) coincides(other *executorLoss) bool {
	if l.runs > 0 && other.runs > 0 {
		return (l.at - other.at).Abs() <= lossCorrelationTime
	}
	return l.endedAt > 0 && other.endedAt > 0 && (l.endedAt-other.endedAt).Abs() <= lossCorrelationTime
}

// wasAlone reports whether a task that ran there ran alone.
func (l *executorLoss) wasAlone() bool { return l.runs == 1 }

// isExplainedBeside reports whether one of the tasks that ran there crashes executors by itself, as
// far as can be told beside the crashes under another task: it has another crash that coincides
// with none of these.
func (l *executorLoss) isExplainedBeside(crashes []*executorLoss) bool {
	isIndependent := func(other *executorLoss) bool {
		return other != l && !slices.ContainsFunc(crashes, other.coincides)
	}
	return slices.ContainsFunc(l.tasks, func(t *task) bool {
		return t.losses.ranAloneInCrash() && slices.ContainsFunc(t.losses.started, isIndependent)
	})
}

// unexplainedBeside returns how many other executors were lost at about the same time as one that
// crashed under a task, without another task that explains it.
func (c *Cell) unexplainedBeside(loss *executorLoss, t *task) int {
	count := 0
	for _, other := range c.executorLosses {
		if other == loss || !loss.coincides(other) || slices.Contains(other.tasks, t) {
			continue
		}
		if !other.isExplainedBeside(t.losses.started) {
			count++
		}
	}
	return count
}
