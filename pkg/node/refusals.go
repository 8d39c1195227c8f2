package node

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A refusal states that no task of a job has run or will run. It must hold for all
// submissions of the job that this host knows of: the owner or front that refuses the
// last one may not know of the others.

// acrossSubmissions returns the outcome of a job, over all its submissions and parts, as its
// callers get it: a refusal becomes an expiry if a task may have started.
func acrossSubmissions(outcome job.Outcome) job.Outcome {
	if outcome.Kind == job.Refused && outcome.Started {
		outcome.Kind = job.Expired
	}
	return outcome
}

// refuseStopping answers a job that arrives while this host stops, without dispatching it: with
// the outcome of an earlier submission that is open or has ended here, or with a refusal.
func (f *front) refuseStopping(ctx context.Context, j *job.Job) job.Outcome {
	if open := f.join(j.ID); open != nil {
		return f.awaitHere(ctx, open, j)
	}
	if end := f.node.endOf(j.ID); end.Kind != job.Moved {
		return end
	}
	news := f.node.openJobTable
	isOpenElsewhere := len(news.find(j.ID, f.node.Clock.Now())) > 0
	return acrossSubmissions(job.Outcome{
		Kind: job.Refused, Reason: errStopping.Error(), RetryAfter: refusalRetryAfter,
		Started: isOpenElsewhere || news.mayHaveRun(j.ID),
	})
}
