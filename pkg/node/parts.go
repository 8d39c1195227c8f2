package node

import (
	"context"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// split says to which cells the tasks of a wide job go. It returns nil for a job
// that stays whole, which all do whose tasks depend on each other's places.
func (f *front) split(j *job.Job) []ownership.Share {
	if len(j.Steps) != 1 {
		return nil
	}
	step := &j.Steps[0]
	if step.Constraint != "" || step.Affinity != "" || step.AntiAffinity > 0 {
		return nil
	}
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	claims := n.openClaims()
	chosen, ok := ownership.Choose(claims, n.settings.Domain, j.Service, step.Needs.CPU)
	if !ok {
		return nil
	}
	return ownership.Split(claims, chosen, j.Service, step.Count, step.Needs.CPU)
}

// part is one part of a job, the cell that it goes to, and how it has ended.
type part struct {
	job     *job.Job
	cell    string
	outcome job.Outcome
}

// followParts follows the parts of a job and tells how the whole has ended. When
// some are refused and others have run, those are handed in again as started
// ones, which owners don't refuse. begin is how each part begins.
func (f *front) followParts(ctx context.Context, j *job.Job, shares []ownership.Share, begin attempt) job.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	counts := make([]int, len(shares))
	for i, share := range shares {
		counts[i] = share.Tasks
	}
	parts := make([]*part, len(shares))
	for i, partJob := range j.Split(counts) {
		parts[i] = &part{job: partJob, cell: shares[i].Cell}
	}
	f.node.Log.Info("job_split", "job", j.ID, "tasks", j.TaskCount(), "shares", shares)
	whole := f.followAll(ctx, cancel, parts, begin)
	refused := refusedOf(parts)
	if len(refused) == 0 || len(refused) == len(parts) || ctx.Err() != nil {
		return whole
	}
	f.node.Log.Info("parts_handed_in_again", "job", j.ID, "parts", len(refused), "reason", refused[0].outcome.Reason)
	return joinOutcomes(job.Outcome{Kind: job.Completed, Started: true, Chain: whole.Chain}, f.followAll(ctx, cancel, refused, attempt{epoch: begin.epoch + 1}))
}

// refusedOf returns the parts that were refused.
func refusedOf(parts []*part) []*part {
	var refused []*part
	for _, p := range parts {
		if p.outcome.Kind == job.Refused {
			refused = append(refused, p)
		}
	}
	return refused
}

// followAll follows parts until all have ended, and tells how they have ended
// together. One that fails or expires ends the others.
func (f *front) followAll(ctx context.Context, cancel context.CancelFunc, parts []*part, begin attempt) job.Outcome {
	ended := make(chan *part, len(parts))
	for _, p := range parts {
		state := begin
		state.wanted = p.cell
		go func() {
			p.outcome = f.follow(ctx, p.job, state)
			ended <- p
		}()
	}
	whole := (<-ended).outcome
	for range len(parts) - 1 {
		if whole.Kind != job.Completed && whole.Kind != job.Refused {
			cancel()
		}
		whole = joinOutcomes(whole, (<-ended).outcome)
	}
	return whole
}

// joinOutcomes tells how a job has ended whose parts have ended like this, the
// first one earlier. It is refused only when nothing of any part has run.
func joinOutcomes(first, second job.Outcome) job.Outcome {
	joined := first
	if first.Kind == job.Completed || (first.Kind == job.Refused && second.Kind != job.Completed) {
		joined = second
	}
	joined.Started = first.Started || second.Started
	joined.Chain = max(first.Chain, second.Chain)
	return ofAllSendings(joined)
}
