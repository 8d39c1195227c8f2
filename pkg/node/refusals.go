package node

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A refusal says that nothing of a job has run and nothing will. It has to be true of all
// sendings that this host knows of: whoever refuses the last of them, an owner or another
// front, may not know of the others.

// ofAllSendings returns the end of a job, of all its sendings and parts, as its callers are
// told. One that was refused though a task of it may have started has expired for them.
func ofAllSendings(outcome job.Outcome) job.Outcome {
	if outcome.Kind == job.Refused && outcome.Started {
		outcome.Kind = job.Expired
	}
	return outcome
}

// turnAway answers for a job that comes while this host stops, without a try: by the end
// of an earlier sending if one is open here or its end is known, and else by a refusal.
func (f *front) turnAway(ctx context.Context, j *job.Job) job.Outcome {
	if open := f.join(j.ID); open != nil {
		return f.awaitHere(ctx, open, j)
	}
	if end := f.node.endOf(j.ID); end.Kind != job.Moved {
		return end
	}
	news := f.node.openNews
	isOpenElsewhere := len(news.find(j.ID, f.node.Clock.Now())) > 0
	return ofAllSendings(job.Outcome{
		Kind: job.Refused, Reason: errStopping.Error(), RetryAfter: comeBack,
		Started: isOpenElsewhere || news.mayHaveRun(j.ID),
	})
}
