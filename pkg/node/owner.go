package node

import (
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

const (
	// outcomeRetention is how long an owner keeps the outcome of an ended job, for
	// a front that did not receive the answer.
	outcomeRetention = 5 * time.Second
	// maxTickGap is the longest time between two events of a cell that does not
	// count as a stall of this process.
	maxTickGap = 400 * time.Millisecond
	// pauseAfterStall is how long a cell starts nothing after a stall, so that messages
	// of peers that took this process for dead can arrive.
	pauseAfterStall = 300 * time.Millisecond
)

// reply delivers the outcome of a job to a waiter.
type reply func(job.Outcome)

// waiter is a front that waits for the outcome of a job.
type waiter struct {
	front      string        // peer address of its node
	connection *peerpb.Hello // connection on which the job arrived; nil for this host's own front
	reply      reply

	job         *job.Job
	keepsRuns   bool // the front remembers its former runs when it is referred to another front; fronts of earlier builds don't
	asked       openjobs.Asked
	namesAsked  bool // asked is complete; not set by earlier builds
	known       int  // other fronts that might hold the job open, by what the owner knew
	acceptedAt  time.Duration
	renewedAt   time.Duration // its last renewal of the job, as in cell.Renew; 0 when unknown
	leaseLimit  time.Duration // as in cell.Handover, for this front alone; 0 for none
	isAnnounced bool          // to the owners of the domain's other cells
	announceNow bool          // whatever its age
}

// endedOutcome is the outcome of a job that has ended, and when to discard it.
type endedOutcome struct {
	outcome job.Outcome
	until   time.Duration
}

// owner runs a cell that this node leads: it passes events to the cell's state
// machine and executes the commands that result.
type owner struct {
	node        *Node
	cell        string
	token       int64
	claimedAt   time.Duration
	formerOwner string // address of the previous owner, which is notified once the executors are fenced; empty when none

	// isFromMinority is set if this node reached less than half of the nodes when it claimed the cell, which is of
	// another domain, and has not reached most since. node.mu guards it.
	isFromMinority bool

	mu               sync.Mutex
	state            *cell.Cell
	waiters          map[string][]waiter // by job id
	lostFronts       lostFronts
	ended            map[string]endedOutcome
	kept             keptJobs
	lastRun          time.Duration
	takeoverComplete bool     // the executors obey this owner only
	stopped          bool     // fenced or released: no longer owns the cell
	announcedTo      []string // the hosts to which its jobs were announced last

	grants []roomGrant // used by runCells only
}

func newOwner(n *Node, cellName string, token int64, now time.Duration) *owner {
	return &owner{
		node:       n,
		cell:       cellName,
		token:      token,
		claimedAt:  now,
		state:      cell.New(n.cellParams(), token, now),
		waiters:    map[string][]waiter{},
		lostFronts: lostFronts{},
		ended:      map[string]endedOutcome{},
		kept:       newKeptJobs(),
		lastRun:    now,
	}
}

// do applies one event to the cell, and executes the commands, sends the replies and logs
// the notices that result.
func (o *owner) do(event func(state *cell.Cell, now time.Duration)) {
	o.mu.Lock()
	now := o.node.Clock.Now()
	o.pauseIfStalled(now)
	event(o.state, now)
	commands, finished, notices := o.state.TakeActions()
	replies := o.recordOutcomes(finished, now)
	fenced := o.state.Fenced() && !o.stopped
	o.stopped = o.stopped || fenced
	o.mu.Unlock()
	for _, notice := range notices {
		o.log(notice)
	}
	for _, command := range commands {
		o.node.front.calls.run(o, command)
	}
	for _, answer := range replies {
		answer()
	}
	if fenced {
		o.node.onFenced(o)
	}
}

// pauseIfStalled pauses the cell after a stall of this process. o.mu is held.
func (o *owner) pauseIfStalled(now time.Duration) {
	gap := now - o.lastRun
	o.lastRun = now
	if gap > maxTickGap {
		o.node.Log.Warn("owner_stood_still", "cell", o.cell, "gap_ms", gap.Milliseconds())
		o.state.PauseStarts(now + pauseAfterStall)
	}
}

// recordOutcomes stores the outcomes of ended jobs and returns the replies to their
// waiters. o.mu is held.
func (o *owner) recordOutcomes(finished []cell.Finished, now time.Duration) []func() {
	var replies []func()
	for _, f := range finished {
		for _, w := range o.waiters[f.ID] {
			replies = append(replies, func() { w.reply(f.Outcome) })
		}
		delete(o.waiters, f.ID)
		delete(o.lostFronts, f.ID)
		if f.Outcome.Kind != job.Moved && f.Outcome.Kind != job.Refused { // these may be submitted again
			o.ended[f.ID] = endedOutcome{outcome: f.Outcome, until: now + o.kept.outcomeRetention(f.ID)}
		}
		o.kept.remove(f.ID)
	}
	return replies
}

// submit accepts a job from a front, or answers it at once if its outcome is known here.
func (o *owner) submit(handover cell.Handover, w waiter) {
	var answer *job.Outcome
	beside := o.holdersBeside(handover.Job)
	o.do(func(state *cell.Cell, now time.Duration) {
		if answer = o.answerWithoutJob(state, handover, &w, beside, now); answer != nil {
			return
		}
		id := handover.Job.ID
		w.job, w.renewedAt, w.leaseLimit, w.acceptedAt = handover.Job, handover.RenewedAt, handover.LeaseLimit, now
		if handover.Job.Kept {
			o.kept.add(id)
		}
		o.waiters[id] = append(o.waiters[id], w)
		handover.RenewedAt, handover.LeaseLimit = o.renewedAt(id), o.leaseLimit(id)
		state.Submit(handover, now)
	})
	o.logDecision(handover, &w, answer)
	if answer != nil {
		w.reply(*answer)
	}
}

// logDecision logs that a job was accepted from a front, or that the front was referred to another
// one. First submissions of which no other front is known are accepted without a log line.
func (o *owner) logDecision(handover cell.Handover, w *waiter, answer *job.Outcome) {
	j := handover.Job
	switch {
	case answer != nil && answer.OpenAt != nil:
		o.node.Log.Info("job_referred", "job", j.ID, "cell", o.cell, "front", w.front, "epoch", handover.Epoch, "asked", len(w.asked),
			"to", answer.OpenAt.Address, "runs_end_in_ms", answer.OpenAt.Remaining.Milliseconds())
	case answer == nil && !j.Kept:
		if handover.Epoch > 1 || w.known > 0 {
			o.node.Log.Info("job_accepted", "job", j.ID, "cell", o.cell, "front", w.front, "epoch", handover.Epoch, "known", w.known, "asked", len(w.asked))
		}
	}
}

// answerWithoutJob returns the answer to a job that this owner does not take, or nil. beside has the
// fronts that wait for the job at this host's other cells. o.mu is held.
func (o *owner) answerWithoutJob(state *cell.Cell, handover cell.Handover, w *waiter, beside []openjobs.Holder, now time.Duration) *job.Outcome {
	id, whole := handover.Job.ID, handover.Job.WholeID()
	if o.stopped {
		return &job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}
	}
	if known, ok := o.ended[id]; ok {
		return &known.outcome
	}
	if o.kept.isCancelled(id, now) {
		return &keptCancelled
	}
	if handover.Job.Kept {
		return nil
	}
	holders := slices.Concat(beside, o.holders(state, whole, now))
	w.known = countOthers(holders, w.front)
	var at *job.OpenAt
	if w.namesAsked {
		at = mustAsk(o.node.frontOf(w), w.asked, holders, now)
	} else {
		at = o.mustAskByEarlierBuild(state, handover, w)
	}
	if at == nil {
		return nil
	}
	return &job.Outcome{Kind: job.Moved, Reason: reasonNotOwner, OpenAt: at}
}

// refuseUnstarted refuses a job that only this host's front waits for, if nothing of it may have started.
func (o *owner) refuseUnstarted(id, reason string) {
	var refused []waiter
	o.do(func(state *cell.Cell, now time.Duration) {
		waiters := o.waiters[id]
		if len(waiters) != 1 || waiters[0].connection != nil || state.MayHaveStarted(id) {
			return
		}
		refused = waiters
		delete(o.waiters, id)
		delete(o.lostFronts, id)
		state.Withdraw(id, reason, now)
	})
	for _, w := range refused {
		w.reply(job.Outcome{Kind: job.Refused, Reason: reason, RetryAfter: refusalRetryAfter})
	}
}

// withdraw removes a front's waiters for a job. Once a job has no waiters, it ends,
// unless it is a kept job. It returns the crashes of executors under the tasks of a job that ends.
func (o *owner) withdraw(id, front, reason string) (crashes []job.Progress) {
	taken, last := o.removeWaiters(id, front, reason != reasonCallerLeft)
	if len(taken) == 0 {
		o.node.Log.Info("job_not_withdrawn", "job", id, "cell", o.cell, "reason", reason, "front", front)
		return nil
	}
	o.node.Log.Info("job_withdrawn", "job", id, "cell", o.cell, "reason", reason, "front", front, "last_of_it", last,
		"silent_ms", o.node.arrivals.sinceReceived(front, o.node.Clock.Now()).Milliseconds())
	var progress []job.Progress
	if last || reason == reasonFrontUnresponsive {
		o.do(func(state *cell.Cell, now time.Duration) {
			progress = state.Progress(id)
			if last && !o.kept.inCell[id] {
				state.Withdraw(id, reason, now)
			}
		})
	}
	if !last {
		o.do(func(state *cell.Cell, now time.Duration) { o.updateLeaseLimit(state, id, now) })
	}
	if reason != reasonFrontUnresponsive {
		return crashesOf(progress)
	}
	// An unresponsive front may still be alive, and would wait for an answer that never comes.
	for _, w := range taken {
		w.reply(job.Outcome{Kind: job.Moved, Reason: reason, Started: true, Progress: progress})
	}
	return nil
}

// ownUnstarted returns the ids of the jobs for which only this host's front waits and of which nothing has
// started.
func (o *owner) ownUnstarted() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for id, waiters := range o.waiters {
		if len(waiters) == 1 && waiters[0].connection == nil && !waiters[0].job.Kept && !o.state.MayHaveStarted(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// fronts returns the addresses of the other nodes whose fronts wait for jobs.
func (o *owner) fronts() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{o.node.settings.PeerAddress: true}
	var fronts []string
	for _, waiters := range o.waiters {
		for _, w := range waiters {
			if !seen[w.front] {
				seen[w.front] = true
				fronts = append(fronts, w.front)
			}
		}
	}
	return fronts
}

// withdrawFront withdraws all jobs of a front that is disconnected or unresponsive. The
// front, or its callers, will submit them again.
func (o *owner) withdrawFront(front, reason string) {
	o.mu.Lock()
	var ids []string
	for id, waiters := range o.waiters {
		for _, w := range waiters {
			if w.front == front {
				ids = append(ids, id)
				break
			}
		}
	}
	o.mu.Unlock()
	for _, id := range ids {
		o.withdraw(id, front, reason)
	}
}

// tick advances the cell to the current time and reports whether it has jobs or runs.
func (o *owner) tick() bool {
	busy := false
	var crashReports []cell.CrashReport
	o.do(func(state *cell.Cell, now time.Duration) {
		state.SetStoreReachable(!o.node.storeIsUnreachable())
		state.Tick(now)
		busy = state.NeedsTicks()
		for id, e := range o.ended {
			if now > e.until {
				delete(o.ended, id)
			}
		}
		o.kept.expire(now)
		crashReports = state.TakeCrashReports()
	})
	for _, r := range crashReports {
		o.node.recordCrashes(r.WholeID, r.Crashes)
	}
	o.checkEnds()
	o.checkTakeover()
	return busy
}

// checkTakeover detects that the takeover is complete, and then tells the former owner to
// return its jobs to their fronts.
func (o *owner) checkTakeover() {
	o.mu.Lock()
	completed := !o.takeoverComplete && !o.stopped && o.state.IsTakeoverComplete(o.node.Clock.Now())
	o.takeoverComplete = o.takeoverComplete || completed
	adopted, unanswered := o.state.CountAdopted()
	o.mu.Unlock()
	if !completed {
		return
	}
	o.node.Log.Info("takeover_complete", "cell", o.cell, "token", o.token, "adopted", adopted, "unanswered", unanswered)
	o.node.claimAccepted(o.cell)
	if o.formerOwner != "" {
		o.node.sendHandOver(o.formerOwner, o.cell, o.token)
	}
}

func (o *owner) setExecutors(listing *listing) {
	if listing == nil {
		return
	}
	listed := listing.cells[o.cell]
	o.do(func(state *cell.Cell, now time.Duration) {
		if listing.completeFor(o.claimedAt) {
			state.MarkListComplete()
		}
		state.SetExecutors(listed, now)
	})
}

// followClosures tells the cell whether its domain is closed; a closed cell starts nothing.
func (o *owner) followClosures() {
	domain := ownership.DomainOf(o.cell)
	o.do(func(state *cell.Cell, now time.Duration) {
		state.SetClosed(o.node.closures.Load().Closed(domain), now)
	})
}

// busy reports whether the cell has jobs or runs.
func (o *owner) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.NeedsTicks()
}

func (o *owner) load(now time.Duration) ownership.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Load(now)
}

// release returns all jobs to their fronts and ends this ownership.
func (o *owner) release(reason string) {
	o.do(func(state *cell.Cell, _ time.Duration) {
		o.stopped = true
		state.Release(reason)
	})
}

func (o *owner) log(notice cell.Notice) {
	fields := []any{"cell", o.cell, "executor", notice.Executor, "job", notice.Job, "task", notice.Task, "detail", notice.Detail, "age_ms", notice.Age.Milliseconds()}
	if notice.Run > 0 {
		fields = append(fields, "run", notice.Run)
	}
	if notice.Event == cell.EventConcurrentRuns {
		o.logConcurrentRuns(fields, notice.Other)
		return
	}
	o.node.Log.Info(notice.Event, fields...)
}

// logConcurrentRuns logs and counts a run that an executor lists beside another one of its task.
func (o *owner) logConcurrentRuns(fields []any, other *cell.RunAt) {
	o.node.metrics.TaskRunsTwice()
	o.node.Log.Warn(cell.EventConcurrentRuns, append(fields, "token", o.token, "former", o.formerOwner,
		"other_executor", other.Executor, "other_run", other.Number, "other_own", other.IsOwn, "other_seen_ms", other.SeenAgo.Milliseconds())...)
}

// owner returns this node's owner of a cell, or nil when it does not own the cell.
func (n *Node) owner(cellName string) *owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[cellName]
}
