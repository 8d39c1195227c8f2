package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// comeBack is the advice to callers that were refused.
const comeBack = time.Second

// front holds callers' jobs open and hands each to the owner of a cell.
type front struct {
	node    *Node
	calls   *calls
	stopsAt atomic.Int64 // when open jobs are given up, as a time of the node's clock; 0 while no stop is under way

	mu         sync.Mutex
	open       map[string]*openJob // by job id
	dispatched map[string]int      // jobs and parts that are with another node, by its address
}

func newFront(n *Node) *front {
	return &front{
		node:  n,
		calls: newCalls(n.adapter.Executors(), n.Clock.Now, n.settings.LinkRate()),
		open:  map[string]*openJob{},

		dispatched: map[string]int{},
	}
}

// Why a front no longer waits for a job.
var (
	errCancelled = errors.New("caller_cancelled")
	errStopping  = errors.New("stopping")
)

// abandoned returns the end of a job that the front no longer waits for.
func abandoned(ctx context.Context, started bool) job.Outcome {
	reason := "caller_left"
	if cause := context.Cause(ctx); errors.Is(cause, errCancelled) || errors.Is(cause, errStopping) || errors.Is(cause, errDeadline) {
		reason = cause.Error()
	}
	if reason == errStopping.Error() && !started {
		return job.Outcome{Kind: job.Refused, Reason: reason, RetryAfter: comeBack}
	}
	return job.Outcome{Kind: job.Expired, Reason: reason, Started: started}
}

// submit answers for a job and tells its end.
func (f *front) submit(ctx context.Context, j *job.Job) job.Outcome {
	var outcome job.Outcome
	if f.tooLateFor(j) {
		outcome = f.turnAway(ctx, j)
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

// tooLateFor reports whether this node stops before a job can be done. Callers
// may come until the end, where too few other nodes of the domain are ready.
func (f *front) tooLateFor(j *job.Job) bool {
	stopsAt := time.Duration(f.stopsAt.Load())
	return stopsAt > 0 && f.node.Clock.Now()+j.LongestChain() > stopsAt
}

// keepOpen keeps a job open until it has ended. One that is open already ends once
// for all that wait for it.
func (f *front) keepOpen(ctx context.Context, j *job.Job) job.Outcome {
	open, former := f.enter(j)
	if open.job != j {
		return f.awaitHere(ctx, open, j)
	}
	stop := context.AfterFunc(ctx, func() { f.leave(open) })
	defer stop()
	outcome := ofAllSendings(f.carry(open, former))
	f.end(open, outcome)
	return outcome
}

// carry follows a job from owner to owner until it has ended, or has it end at the
// front that holds an earlier sending open.
func (f *front) carry(open, former *openJob) job.Outcome {
	j, ctx := open.job, open.ctx
	f.node.openNews.opened(j)
	outcome, state, ended := f.begin(open, former)
	if ended {
		return outcome
	}
	f.markCarried(open)
	shares := f.split(j)
	if len(shares) == 0 {
		return f.follow(ctx, j, state)
	}
	f.markWide(open)
	return f.followParts(ctx, j, shares, state)
}

// begin returns how to begin a job, or its end at another front.
func (f *front) begin(open, former *openJob) (job.Outcome, attempt, bool) {
	if former != nil && former.cell != "" {
		return job.Outcome{}, f.afterFormer(open.ctx, former), false
	}
	return f.joinElsewhere(open.ctx, open)
}

// giveUpOpen ends the wait for all open jobs, so that their callers get an
// answer while this node can still give one.
func (f *front) giveUpOpen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, open := range f.open {
		open.cancel(errStopping)
	}
}
