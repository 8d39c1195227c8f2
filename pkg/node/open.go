package node

import (
	"context"
	"errors"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// openJob is a job that callers of this node, or fronts to which a caller has sent it
// again, wait for. It is followed once for all of them, and ends when the last of them
// has left.
type openJob struct {
	job    *job.Job
	ctx    context.Context // ends when nobody waits any more
	cancel context.CancelCauseFunc
	done   chan struct{} // closed at its end

	outcome job.Outcome // set before done is closed

	// What follows is guarded by front.mu.
	waiters   int
	started   bool
	isCarried bool   // by this node, rather than by a front that holds an earlier sending open
	cell      string // where a part of it was last
	epoch     int    // the highest with which it was handed to an owner
	wide      bool   // it was cut into parts
}

var (
	errLeft     = errors.New("caller_left")
	errDeadline = errors.New(reasonDeadline)
)

// reasonDeadline ends the wait for a job that another front holds open.
const reasonDeadline = "deadline_passed"

func newOpenJob(j *job.Job) *openJob {
	open := &openJob{job: j, done: make(chan struct{}), waiters: 1}
	open.ctx, open.cancel = context.WithCancelCause(context.Background())
	return open
}

// enter opens a job, or returns one of its id that is open. A former one that its
// callers have given up ends first: its withdrawal would take this one's wish back too.
func (f *front) enter(j *job.Job) (open, former *openJob) {
	for {
		f.mu.Lock()
		known := f.open[j.ID]
		if known == nil {
			open = newOpenJob(j)
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

// joinable returns a job that is open here, or nil, and whether it is followed here
// rather than searched for. Then one more waits for it.
func (f *front) joinable(id string) (open *openJob, isCarried bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open = f.open[id]
	if open == nil || open.ctx.Err() != nil {
		return nil, false
	}
	if open.isCarried {
		open.waiters++
	}
	return open, open.isCarried
}

// join returns a job that is open here, or nil. Then one more waits for it, also when its
// callers have given it up: it is about to end.
func (f *front) join(id string) *openJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := f.open[id]
	if open != nil {
		open.waiters++
	}
	return open
}

// leave takes that one of those that wait has left.
func (f *front) leave(open *openJob) {
	f.mu.Lock()
	open.waiters--
	last := open.waiters == 0
	f.mu.Unlock()
	if last {
		open.cancel(errLeft)
	}
}

// end tells all that wait how a job has ended. What others were told of is answered for
// before it is off the list: a front that asks in between would take it for unknown.
func (f *front) end(open *openJob, outcome job.Outcome) {
	open.outcome = outcome
	f.node.openNews.closed(open, outcome, f.node.Clock.Now())
	f.mu.Lock()
	delete(f.open, open.job.ID)
	f.mu.Unlock()
	close(open.done)
	open.cancel(nil)
}

// await waits for the end of a job that is open here, for one that has joined it.
func (f *front) await(ctx context.Context, open *openJob) (job.Outcome, bool) {
	select {
	case <-open.done:
		return open.outcome, true
	case <-ctx.Done():
		f.leave(open)
		return job.Outcome{}, false
	}
}

// awaitHere is await for a caller of this node, who waits until its own deadline.
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

// untilDeadline ends a wait with a job's deadline, as its owner does elsewhere.
func (f *front) untilDeadline(ctx context.Context, j *job.Job) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, j.Deadline-f.node.Clock.Now(), errDeadline)
}

// afterFormer returns how to begin a job of which an earlier sending was given up here
// a moment ago. Its owner knows of the runs that are being stopped. Those of a wide job
// are with several, so it waits until they are surely over.
func (f *front) afterFormer(ctx context.Context, former *openJob) attempt {
	f.mu.Lock()
	state := attempt{epoch: former.epoch + 1, started: former.started, lostCell: former.cell}
	wide := former.wide
	f.mu.Unlock()
	if !state.started {
		return attempt{epoch: 1}
	}
	state.settleAt = f.node.Clock.Now() + f.node.settleTime()
	if wide {
		f.sleepUntil(ctx, state.settleAt)
		state.lostCell = ""
	}
	return state
}

// markDispatched notes that a job is with an owner, who may start it any time.
func (f *front) markDispatched(id, cellName string, epoch int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open := f.open[id]; open != nil {
		open.started = true
		open.cell = cellName
		open.epoch = max(open.epoch, epoch)
	}
}

// markCarried notes that a job is followed by this node from now on.
func (f *front) markCarried(open *openJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open.isCarried = true
}

func (f *front) markWide(open *openJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open.wide = true
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
