package cell

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// Pauses between holds that fail. The first retry follows at once, as a single hold may
// have been lost. The first pause is short because the state of the executor's runs is
// unknown until a hold succeeds, and tasks wait meanwhile (docs/design/unanswered-orders.md).
const (
	firstRetryPause   = 25 * time.Millisecond
	maxDoublings      = 5
	longestRetryPause = firstRetryPause << maxDoublings
)

// holdRetryPause returns the pause after a number of consecutive missed holds.
func holdRetryPause(missed int) time.Duration {
	if missed <= 1 {
		return 0
	}
	return firstRetryPause << min(missed-2, maxDoublings)
}

// sendHold sends the executor's next hold if one is due.
func (c *Cell) sendHold(e *executor, now time.Duration) {
	lastSeen := c.releaseForgettable(e, now)
	if e.holdInFlight || e.ended || now < e.nextHoldAt || len(e.unpersisted) > 0 && now < e.nextListAt {
		return
	}
	if e.adopted && len(e.runs) == 0 && e.isStateKnown() && e.missedHolds == 0 && !c.needsClock(e, now) && !e.needsList(now) {
		return
	}
	if !e.adopted && !e.listed {
		return
	}
	command := Command{Kind: Hold, Executor: e.info, Token: c.token, AckedEnd: c.endToAcknowledge(e, lastSeen, now)}
	// The first hold after a takeover renews nothing, as the runs may be orphans. Nor does
	// a hold to an unresponsive executor, which might process it when its runs already
	// count as ended, or a retry, which has to return at once.
	renews := e.adopted && !e.unresponsive && e.missedHolds == 0 && len(e.runs) > 0
	if renews && e.clock.known {
		command.Deadline = c.leaseDeadline(e, now)
		e.grantedUntil = max(e.grantedUntil, command.Deadline)
		e.grantSentAt = now
	}
	if renews {
		command.Wait = c.holdWait(e, now)
	} else {
		e.polledAt = now
	}
	e.holdInFlight = true
	e.acknowledgedEnd = command.AckedEnd
	c.commands = append(c.commands, command)
}

// shortestRestart is shorter than it takes an executor to start again after a crash.
const shortestRestart = 250 * time.Millisecond

// endToAcknowledge returns up to which end a hold lets an executor forget all. The next incarnation
// of an executor may have its id, number its ends from 1 and apply the number to them. If kept
// tasks may have ended there, nothing is acknowledged before a hold has shown which
// incarnation answers.
func (c *Cell) endToAcknowledge(e *executor, lastSeen int64, now time.Duration) int64 {
	mayHaveRestarted := e.info.StartedAt > 0 && (e.missedHolds > 0 || e.unresponsive || now > e.answeredAt+shortestRestart)
	if mayHaveRestarted && (c.keptJobs > 0 || e.mayRetainEnds()) {
		return 0
	}
	return lastSeen
}

// needsList reports whether the executor has to list its runs although none is known there.
func (e *executor) needsList(now time.Duration) bool {
	return e.listRequestedAt < e.listNeededAt && now >= e.listNeededAt
}

// leaseDeadline returns the end of the leases that a hold grants, on the executor's clock; 0
// when it renews nothing.
func (c *Cell) leaseDeadline(e *executor, now time.Duration) time.Duration {
	wanted := e.clock.estimate(now) + c.params.Lease
	limit := c.limitLease(e, wanted, now)
	wasLimited := e.leasesLimited
	e.leasesLimited = wanted-limit > c.params.Lease/2
	if e.leasesLimited && !wasLimited {
		r := c.limitingRun(e)
		c.addNotice(Notice{Event: "leases_limited", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Age: now + c.params.JobLease - c.runLeaseEnd(r)})
	}
	if limit <= e.clock.lowerBound(now) {
		return 0
	}
	return limit
}

// HoldAnswered handles the response to a hold that was sent at sentAt.
func (c *Cell) HoldAnswered(incarnation catalog.Incarnation, response HoldResponse, sentAt, now time.Duration) {
	e := c.executors[incarnation]
	if e == nil || c.fenced {
		return
	}
	response = response.validated()
	e.holdInFlight = false
	c.lastEventAt = now
	if c.handleVerdict(e, response.Verdict, now) {
		return
	}
	c.observeClock(e, response.Clock, now)
	if response.Verdict != Accepted {
		e.missedHolds++
		c.handleMissedHold(e, response.Verdict, now)
		e.nextHoldAt = now + holdRetryPause(e.missedHolds)
		c.advance(now)
		return
	}
	if e.missedHolds > 0 {
		c.lossyUntil = now + lossyPeriod // earlier holds were lost or delayed
	}
	c.applyList(e, response, sentAt, now)
	e.unansweredHoldAt = 0
	c.advance(now)
}

// validated returns the response with the verdict Unclear if it was accepted but is empty. A
// list of runs always has the executor's clock, so an empty response is not a list, and runs
// that are missing from it may still be running.
func (a HoldResponse) validated() HoldResponse {
	hasContent := a.Clock > 0 || a.UnreadableRuns > 0 || len(a.Running) > 0 || len(a.Ended) > 0
	if a.Verdict == Accepted && !hasContent {
		a.Verdict = Unclear
	}
	return a
}

// applyList applies the runs and ends that an executor lists.
func (c *Cell) applyList(e *executor, response HoldResponse, sentAt, now time.Duration) {
	e.missedHolds = 0
	e.answeredAt = now
	c.dirty = c.dirty || e.listRequestedAt < e.listNeededAt // tasks may have waited for the list
	e.listRequestedAt = max(e.listRequestedAt, sentAt)
	c.clearUnresolved(e)
	if e.unresponsive {
		e.unresponsive = false
		c.dirty = true
		c.addNotice(Notice{Event: "executor_answers", Executor: e.info.ID})
		c.clearLostRuns(e)
	}
	c.clearLoss(e)
	newest := response.Clock >= e.listClock // a newer list may have arrived first
	if newest || response.UnreadableRuns > 0 {
		c.applyUnreadable(e, response, now)
	}
	c.applyEnds(e, response.Ended, now)
	e.nextListAt = now + retainedHoldPause + time.Duration(e.retainedEnds())*pausePerEnd
	if newest {
		e.listClock = response.Clock
		c.applyRunning(e, response, sentAt, now)
	}
	if !e.adopted && e.mayHideRuns && e.grantedUntil == 0 && e.clock.known {
		// The former owner is fenced there from now on, but its leases last until they expire.
		e.grantedUntil = e.clock.estimate(now) + c.params.LongestLease
	}
	if !e.adopted && !e.mayHideRuns {
		e.adopted = true
		e.adoptedAt = now
		e.grantedUntil = max(e.grantedUntil, e.clock.estimate(now)+c.params.Lease) // the former owner may have granted as much
		c.dirty = true
		c.addNotice(Notice{Event: "executor_adopted", Executor: e.info.ID, Detail: strconv.Itoa(len(response.Running))})
	}
}

// unreadablePause is the pause after a response with unreadable runs. It is a fraction of a
// lease, so that the runs that are listed keep their leases.
const unreadablePause = 100 * time.Millisecond

// applyUnreadable records whether a response has unreadable entries, which may hide runs. While
// it has, the executor gets no starts, no run there counts as absent, and the executor does not
// count as adopted. The runs and ends that can be read are applied.
func (c *Cell) applyUnreadable(e *executor, response HoldResponse, now time.Duration) {
	mayHide := response.UnreadableRuns > 0
	if mayHide {
		e.nextHoldAt = now + unreadablePause
	}
	if mayHide == e.mayHideRuns {
		return
	}
	e.mayHideRuns = mayHide
	c.dirty = true
	event := "executor_tells_whole"
	if mayHide {
		event = "executor_hides_runs"
	}
	c.addNotice(Notice{Event: event, Executor: e.info.ID, Detail: strconv.Itoa(response.UnreadableRuns)})
}

// handleMissedHold handles a hold that may not have been carried out. Several consecutive ones
// that were refused or answered unclearly make the executor unresponsive as well, as they have
// neither renewed leases nor listed runs. Otherwise the tasks of an executor that refuses holds
// would wait until the deadlines of their jobs.
func (c *Cell) handleMissedHold(e *executor, verdict Verdict, now time.Duration) {
	switch {
	case verdict == Unanswered || verdict == Unreached:
		c.lossyUntil = now + lossyPeriod
		c.markUnresponsive(e, now)
	case e.missedHolds >= maxMissedHolds:
		c.markUnresponsive(e, now)
	}
}

// applyEnds applies the ends that are new.
func (c *Cell) applyEnds(e *executor, ended []EndedTask, now time.Duration) {
	for _, end := range ended {
		if end.Number <= e.lastEndNumber {
			continue
		}
		e.lastEndNumber = end.Number
		c.retainEnd(e, end, now)
		if r := e.findRun(end.Task, end.Run); r != nil {
			c.applyEnd(e, r, end.Kind, now)
			continue
		}
		switch {
		case isKeptRun(end.Run):
			c.adoptEnd(end)
		case end.Kind == EndDone && !e.adopted:
			c.adoptDoneTask(end.Task)
		}
	}
}

// applyEnd applies the end of a known run.
func (c *Cell) applyEnd(e *executor, r *run, kind EndKind, now time.Duration) {
	w := r.job
	c.addNotice(Notice{Event: "task_ended", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Detail: kind.String(), Age: now - r.firstSentAt})
	t := c.removeRun(r)
	switch kind {
	case EndDone:
		c.assessRunTime(e, r, now)
		if t != nil {
			t.done = true
			c.finishIfDone(w)
		}
	case EndFailed:
		c.handleTaskFailure(e, r, w, t, now)
	}
}

func (c *Cell) handleTaskFailure(e *executor, r *run, w *jobState, t *task, now time.Duration) {
	c.penalize(e, penaltyTaskFailed, r.name, now)
	if t == nil || t.done {
		return
	}
	t.failures.add(r.number)
	t.failedOn = append(t.failedOn, e.incarnation)
	if w.isExhausted(t) {
		c.finish(w, job.Outcome{Kind: job.Failed, Reason: "task_failed", Started: true})
	}
}

// applyRunning compares the runs that the executor lists with those that are known.
func (c *Cell) applyRunning(e *executor, response HoldResponse, sentAt, now time.Duration) {
	listed := map[string]RunningTask{}
	for _, entry := range response.Running {
		listed[entry.Task] = entry
		if e.runs[entry.Task] == nil {
			c.adoptRun(e, entry, now)
		}
	}
	for _, r := range e.sortedRuns() {
		entry, present := listed[r.name]
		if present && entry.Run == r.number {
			c.updateRun(e, r, entry, now)
			continue
		}
		if isKeptRun(r.number) && response.hidesEnds() {
			continue // it may be done, and must not run again
		}
		if !e.mayHideRuns && c.isConfirmedAbsent(e, r, sentAt, response.Clock) {
			c.addNotice(Notice{Event: "run_absent", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Age: now - sentAt})
			c.removeRun(r)
			if present {
				c.adoptRun(e, entry, now) // another run of the same task continues
			}
		}
	}
}

// isConfirmedAbsent reports whether a run that a hold did not list can no longer run: it had
// started before the hold was sent, or its start has expired.
func (c *Cell) isConfirmedAbsent(e *executor, r *run, sentAt, clock time.Duration) bool {
	if r.state == starting || r.stopPending {
		return false
	}
	if r.state == running && r.startResolvedAt < sentAt {
		return true
	}
	return clock > r.deadline
}

// updateRun updates a known run from a list.
func (c *Cell) updateRun(e *executor, r *run, entry RunningTask, now time.Duration) {
	r.confirmed = true
	if r.state == starting || r.state == unknown {
		r.state = running
		r.startResolvedAt = now
	}
	if entry.Percent != r.percent {
		r.percent = entry.Percent
		r.progressedAt = now
	}
	c.resendStop(r)
	if r.state != running || r.job == nil || r.firstSentAt == 0 && r.attachedAt == 0 {
		return
	}
	c.checkProgress(e, r, now)
}

func (e *executor) sortedRuns() []*run {
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return strings.Compare(a.name, b.name) })
	return runs
}
