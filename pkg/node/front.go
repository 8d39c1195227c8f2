package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
)

// refusalRetryAfter is the retry delay suggested to callers whose jobs were refused.
const refusalRetryAfter = time.Second

// front holds callers' requests open and dispatches each job to the owner of a cell.
type front struct {
	node    *Node
	calls   *calls
	stopsAt atomic.Int64 // when open jobs are abandoned, by the node's clock; 0 unless the node is stopping

	mu         sync.Mutex
	open       map[string]*openJob // by job id
	dispatched map[string]int      // number of jobs and parts dispatched to another node, by its address
}

func newFront(n *Node) *front {
	return &front{
		node:  n,
		calls: newCalls(n.adapter.Executors(), n.Clock.Now, n.settings.LinkRate()),
		open:  map[string]*openJob{},

		dispatched: map[string]int{},
	}
}

// Causes for which a front abandons a job.
var (
	errCancelled = errors.New("caller_cancelled")
	errStopping  = errors.New("stopping")
	// errUnconfirmed: a domain may not know of the job, and a caller may resubmit it there.
	errUnconfirmed = errors.New("not_announced")
	// errStandsStill: this process stands still too often to follow the job.
	errStandsStill = errors.New("stands_still")
)

// abandoned returns the outcome of a job that the front no longer waits for.
func abandoned(ctx context.Context, started bool) job.Outcome {
	reason := "caller_left"
	for _, known := range []error{errCancelled, errStopping, errDeadline, errUnconfirmed} {
		if errors.Is(context.Cause(ctx), known) {
			reason = known.Error()
		}
	}
	if (reason == errStopping.Error() || reason == errUnconfirmed.Error()) && !started {
		return job.Outcome{Kind: job.Refused, Reason: reason, RetryAfter: refusalRetryAfter}
	}
	return job.Outcome{Kind: job.Expired, Reason: reason, Started: started}
}

// submit runs a job to its outcome, and records the outcome in the metrics and the log.
func (f *front) submit(ctx context.Context, j *job.Job) job.Outcome {
	var outcome job.Outcome
	if f.stopsBeforeEnd(j) {
		outcome = f.refuseStopping(ctx, j)
	} else {
		outcome = f.keepOpen(ctx, j)
	}
	chain := outcome.Chain
	if chain == 0 {
		chain = j.LongestChain()
	}
	f.node.metrics.JobEnded(j.Route, outcome.Kind.String(), f.node.Clock.Now()-j.Received)
	f.node.Log.Info("job_ended", "job", j.ID, "route", j.Route, "outcome", outcome.Kind.String(), "reason", outcome.Reason,
		"started", outcome.Started, "took_ms", (f.node.Clock.Now() - j.Received).Milliseconds(),
		"objective_ms", j.Objective(chain).Milliseconds(), "estimate_ms", chain.Milliseconds(), "work", j.Work(), "tasks", j.TaskCount())
	return outcome
}

// stopsBeforeEnd reports whether this node stops before the job can complete. A stopping
// node still receives jobs if too few other nodes of its domain are ready.
func (f *front) stopsBeforeEnd(j *job.Job) bool {
	stopsAt := time.Duration(f.stopsAt.Load())
	return stopsAt > 0 && f.node.Clock.Now()+j.LongestChain() > stopsAt
}

// keepOpen holds a job open until it ends. If a job with this id is open already, the
// caller joins it and receives the same outcome.
func (f *front) keepOpen(ctx context.Context, j *job.Job) job.Outcome {
	open, former := f.enter(j)
	if open.job != j {
		return f.awaitHere(ctx, open, j)
	}
	stop := context.AfterFunc(ctx, func() { f.leave(open) })
	defer stop()
	outcome := acrossSubmissions(f.joinOrFollow(open, former))
	f.end(open, outcome)
	return outcome
}

// joinOrFollow waits for the outcome of an earlier submission at the front that holds it
// open. Without one it follows the job from owner to owner until it ends.
func (f *front) joinOrFollow(open, former *openJob) job.Outcome {
	j, ctx := open.job, open.ctx
	f.node.openJobTable.add(j)
	outcome, state, ended := f.firstAttempt(open, former)
	if ended {
		return outcome
	}
	if state.epoch == 1 && (f.isTooLate(open) || f.isLateAtSlowHost(j)) {
		return job.Outcome{Kind: job.Expired, Reason: reasonTooLate, Started: true}
	}
	f.markFollowed(open)
	shares := f.split(j)
	if len(shares) == 0 {
		return f.follow(ctx, j, state)
	}
	f.markSplit(open)
	return f.followParts(ctx, j, shares, state)
}

// reasonTooLate ends a job that this process has received so late that its caller may send it again
// before other hosts can know of it.
const reasonTooLate = "received_too_late"

// isTooLate reports whether to end a job for that reason. It isn't refused: a process that stood still
// may not have read yet that another host holds an earlier submission open. A job that was searched for at other
// fronts has been announced meanwhile, and so may one be that has waited for announcements.
func (f *front) isTooLate(open *openJob) bool {
	j, resubmitAfter := open.job, f.node.settings.ResubmitAfter
	sentAfter := j.EarliestSending()
	return sentAfter < j.Received && openjobs.IsAnnounced(j.Received, j.Deadline, resubmitAfter) &&
		!openjobs.CanBeConfirmed(sentAfter, resubmitAfter, f.node.settings.StopTime, f.node.Clock.Now()) && !f.isConfirmed(open) && len(f.node.domainsBeside()) > 0
}

// isLateAtSlowHost reports whether this process stands still so often that it would hold a job that it has
// received late without being able to follow it.
func (f *front) isLateAtSlowHost(j *job.Job) bool {
	return j.EarliestSending() < j.Received && f.node.standsStillOften() && len(f.node.domainsBeside()) > 0
}

// firstAttempt returns the outcome of an earlier submission of a job and true, or, if there
// is none, the state of the job's first attempt and false.
func (f *front) firstAttempt(open, former *openJob) (job.Outcome, attempt, bool) {
	if former == nil || former.cell == "" {
		return f.joinElsewhere(open.ctx, open)
	}
	n, j := f.node, open.job
	state := f.attemptAfter(open.ctx, former)
	if len(n.openJobTable.find(j.ID, n.Clock.Now())) == 0 {
		return job.Outcome{}, state, false
	}
	// The caller may have left this front long before, and have resubmitted the job to others.
	f.markStarted(open)
	state.recordSearch()
	ctx, cancel := f.untilDeadline(open.ctx, j)
	defer cancel()
	s := n.openJobTable.newSearch(open, 0)
	outcome, found := f.search(ctx, j.ID, s, true)
	outcome.Started = true
	state.asked = s.Asked()
	return outcome, state, found
}

// abandonOpenJobs abandons all open jobs, so that their callers get an answer before this
// node stops.
func (f *front) abandonOpenJobs() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, open := range f.open {
		open.cancel(errStopping)
	}
}
