package node

import (
	"context"
	"errors"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// openJob is a job whose outcome callers of this node wait for, and fronts to which it was
// resubmitted. It is followed once for all of them, and abandoned when the last one leaves.
type openJob struct {
	job    *job.Job
	ctx    context.Context // ends when the last waiter leaves
	cancel context.CancelCauseFunc
	done   chan struct{} // closed when the job ends

	outcome job.Outcome // set before done is closed

	// The fields below are guarded by front.mu.
	waiters    int
	started    bool
	isFollowed bool          // by this node; not set while it searches for an earlier submission at other fronts
	cell       string        // the cell to which it, or a part of it, was last dispatched
	epoch      int           // the highest with which it was dispatched
	isSplit    bool          // into parts that are dispatched separately
	isJoined   bool          // other fronts have waited for it here
	heldSince  time.Duration // when this node began to follow it, or last dispatched it

	// isConfirmed tells that each domain has confirmed the announcement of the job, or need not.
	isConfirmed bool
	confirmed   chan struct{} // closed then; nil when nobody has waited for it
	owners      []string      // addresses of the hosts to which it, or parts of it, are dispatched with a limit of their lease
}

var (
	errLeft     = errors.New("caller_left")
	errDeadline = errors.New(reasonDeadline)
)

// reasonDeadline is the reason of a job whose deadline passed while it waited for a job that
// was open already, here or at another front.
const reasonDeadline = "deadline_passed"

func newOpenJob(j *job.Job) *openJob {
	open := &openJob{job: j, done: make(chan struct{}), waiters: 1}
	open.ctx, open.cancel = context.WithCancelCause(context.Background())
	return open
}

// enter opens a job, or adds a waiter to the open job with the same id. An open job that its
// callers have abandoned ends first, because its withdrawal would also withdraw the new one;
// it is returned as former.
func (f *front) enter(j *job.Job) (open, former *openJob) {
	isOnlyHost := f.node.isOnlyHost()
	for {
		f.mu.Lock()
		known := f.open[j.ID]
		if known == nil {
			open = newOpenJob(j)
			if isOnlyHost {
				open.markConfirmed()
			}
			f.open[j.ID] = open
			f.mu.Unlock()
			return open, former
		}
		if known.ctx.Err() == nil {
			known.waiters++
			f.mu.Unlock()
			return known, nil
		}
		f.mu.Unlock()
		<-known.done
		former = known
	}
}

// joinable returns the open job with this id, or nil if there is none. If this node follows it,
// isFollowed is set and a waiter is added; otherwise this node still searches for an earlier
// submission. A job that its callers have abandoned counts as open until it has ended, as its
// owner may not know of that yet, so joinable waits for its end. It returns nil once ctx ends.
func (f *front) joinable(ctx context.Context, id string) (open *openJob, isFollowed bool) {
	for {
		f.mu.Lock()
		open = f.open[id]
		if open == nil || open.ctx.Err() == nil {
			break
		}
		f.mu.Unlock()
		select {
		case <-open.done:
		case <-ctx.Done():
			return nil, false
		}
	}
	defer f.mu.Unlock()
	if open != nil && open.isFollowed {
		open.waiters++
		open.isJoined = true
	}
	return open, open != nil && open.isFollowed
}

// openJob returns the open job with this id, or nil.
func (f *front) openJob(id string) *openJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open[id]
}

// followed returns the open job with this id if this node follows it, or nil. A job that its callers
// have abandoned counts until it has ended.
func (f *front) followed(id string) *job.Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open := f.open[id]; open != nil && open.isFollowed {
		return open.job
	}
	return nil
}

// followedSince is followed, and returns when this node began to follow the job, or last dispatched it.
func (f *front) followedSince(id string) (*job.Job, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open := f.open[id]; open != nil && open.isFollowed {
		return open.job, open.heldSince
	}
	return nil, 0
}

// join adds a waiter to the open job with this id and returns the job, or nil if there is
// none. An abandoned job counts as open until it has ended.
func (f *front) join(id string) *openJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := f.open[id]
	if open != nil {
		open.waiters++
	}
	return open
}

// leave removes a waiter, and abandons the job if that was the last one.
func (f *front) leave(open *openJob) {
	f.mu.Lock()
	open.waiters--
	last := open.waiters == 0
	f.mu.Unlock()
	if last {
		open.cancel(errLeft)
	}
}

// end delivers a job's outcome to all waiters. An announced job's outcome is recorded before
// the job leaves the list of open jobs, so that a front that asks in between finds one of them.
func (f *front) end(open *openJob, outcome job.Outcome) {
	open.outcome = outcome
	f.node.openJobTable.remove(open, outcome, f.node.Clock.Now())
	f.mu.Lock()
	delete(f.open, open.job.ID)
	f.mu.Unlock()
	close(open.done)
	open.cancel(nil)
}

// await waits for the outcome of an open job. It returns false, and removes the waiter, if
// ctx ends first.
func (f *front) await(ctx context.Context, open *openJob) (job.Outcome, bool) {
	select {
	case <-open.done:
		return open.outcome, true
	case <-ctx.Done():
		f.leave(open)
		return job.Outcome{}, false
	}
}

// awaitHere is await for a caller of this node, who waits until the deadline of its own
// submission.
func (f *front) awaitHere(ctx context.Context, open *openJob, j *job.Job) job.Outcome {
	f.node.Log.Info("job_joined", "job", j.ID, "front", f.node.settings.PeerAddress, "age_ms", (j.Received - open.job.Received).Milliseconds())
	f.node.metrics.JobJoined("here")
	ctx, cancel := f.untilDeadline(ctx, j)
	defer cancel()
	if outcome, ended := f.await(ctx, open); ended {
		return outcome
	}
	return abandoned(ctx, true)
}

// untilDeadline returns a context that ends at a job's deadline. While a job is followed
// its owner enforces the deadline instead.
func (f *front) untilDeadline(ctx context.Context, j *job.Job) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, j.Deadline-f.node.Clock.Now(), errDeadline)
}

// attemptAfter returns the first attempt of a job whose earlier submission was just
// abandoned here. It goes to the same cell, whose owner knows the runs that are being
// stopped. The runs of a split job are with several owners, so it waits until all have ended.
func (f *front) attemptAfter(ctx context.Context, former *openJob) attempt {
	f.mu.Lock()
	state := attempt{epoch: former.epoch + 1, started: former.started, formerCell: former.cell}
	isSplit := former.isSplit
	f.mu.Unlock()
	if !state.started {
		return attempt{epoch: 1, namesRuns: true}
	}
	state.notBefore = f.node.Clock.Now() + f.node.settleTime()
	if isSplit {
		f.sleepUntil(ctx, state.notBefore)
		state.formerCell, state.namesRuns = "", true
	}
	return state
}

// markDispatched records that a job is dispatched to an owner, who may start it at any time.
func (f *front) markDispatched(id, cellName string, epoch int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open := f.open[id]; open != nil {
		open.started = true
		open.cell = cellName
		open.epoch = max(open.epoch, epoch)
		open.heldSince = f.node.Clock.Now()
	}
}

// markFollowed records that this node follows the job.
func (f *front) markFollowed(open *openJob) { f.setFollowed(open, true) }

// setFollowed records whether this node follows the job, or searches for an earlier submission.
func (f *front) setFollowed(open *openJob, isFollowed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open.isFollowed = isFollowed
	if isFollowed {
		open.heldSince = f.node.Clock.Now()
	}
}

// stopFollowing records that this node searches for an earlier submission of a job, unless other
// fronts have waited here for the job: they may be those that it would search for.
func (f *front) stopFollowing(open *openJob) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open.isJoined {
		return false
	}
	open.isFollowed = false
	return true
}

func (f *front) markSplit(open *openJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open.isSplit = true
}

// sleepUntil waits for a time of the node's clock and reports whether it came
// before ctx ended.
func (f *front) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - f.node.Clock.Now())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
