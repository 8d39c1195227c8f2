package node

import (
	"context"
	"slices"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// split returns the cells that the tasks of a wide job are divided among, or nil when
// the job is not split. Jobs of several steps and jobs with placement constraints are
// never split.
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
	claims := n.executors.Load().eligible(n.openClaims(), j, nil)
	chosen, ok := ownership.Choose(claims, n.settings.Domain, j.Service, step.Needs.CPU)
	if !ok {
		return nil
	}
	return ownership.Split(claims, chosen, j.Service, step.Count, step.Needs.CPU)
}

// part is one part of a split job, the cell to try first, and its outcome.
type part struct {
	job     *job.Job
	cell    string
	outcome job.Outcome
}

// followParts follows the parts of a job, each from the state begin, and returns the
// outcome of the parent job. When some parts are refused and others have run, the
// refused ones are submitted again as started jobs, which owners do not refuse.
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
	combined := f.followAll(ctx, cancel, parts, begin)
	refused := refusedParts(parts)
	if !mayHandInAgain(parts) || ctx.Err() != nil {
		return combined
	}
	f.node.Log.Info("parts_handed_in_again", "job", j.ID, "parts", len(refused), "reason", refused[0].outcome.Reason)
	return combineOutcomes(job.Outcome{Kind: job.Completed, Started: true, Chain: combined.Chain}, f.followAll(ctx, cancel, refused, attempt{epoch: begin.epoch + 1, namesRuns: true, asked: begin.asked}))
}

// mayHandInAgain reports whether some parts were refused and all others are completed, so that the job can
// still be completed.
func mayHandInAgain(parts []*part) bool {
	isOver := func(p *part) bool { return p.outcome.Kind != job.Completed && p.outcome.Kind != job.Refused }
	refused := len(refusedParts(parts))
	return refused > 0 && refused < len(parts) && !slices.ContainsFunc(parts, isOver)
}

func refusedParts(parts []*part) []*part {
	var refused []*part
	for _, p := range parts {
		if p.outcome.Kind == job.Refused {
			refused = append(refused, p)
		}
	}
	return refused
}

// followAll follows parts until all have ended, and returns their combined outcome.
// When one fails or expires, the others are cancelled.
func (f *front) followAll(ctx context.Context, cancel context.CancelFunc, parts []*part, begin attempt) job.Outcome {
	ended := make(chan *part, len(parts))
	for _, p := range parts {
		state := begin
		state.preferredCell = p.cell
		go func() {
			p.outcome = f.follow(ctx, p.job, state)
			ended <- p
		}()
	}
	combined := (<-ended).outcome
	for range len(parts) - 1 {
		if combined.Kind != job.Completed && combined.Kind != job.Refused {
			cancel()
		}
		combined = combineOutcomes(combined, (<-ended).outcome)
	}
	return combined
}

// combineOutcomes returns the outcome of a job from the outcomes of two of its parts, of
// which first ended earlier. The job is refused only when nothing of any part has run.
func combineOutcomes(first, second job.Outcome) job.Outcome {
	combined := first
	if first.Kind == job.Completed || (first.Kind == job.Refused && second.Kind != job.Completed) {
		combined = second
	}
	combined.Started = first.Started || second.Started
	combined.Chain = max(first.Chain, second.Chain)
	return acrossSubmissions(combined)
}
