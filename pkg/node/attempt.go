package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

const (
	// noOwnerWait is how long a job waits for an owner at most.
	noOwnerWait = 1500 * time.Millisecond
	// startPatience is how long after its start a node keeps jobs for owners of
	// its own domain: the first owners of all would else get every domain's jobs.
	startPatience = 1200 * time.Millisecond
	// ownerRecheck is how soon a job that waits looks for an owner again when
	// nothing changes.
	ownerRecheck = 200 * time.Millisecond
	// ownerPause keeps a front from asking one that gives jobs back at once.
	ownerPause = 20 * time.Millisecond
)

// attempt is what a front remembers of a job between owners.
type attempt struct {
	epoch    int
	progress []job.Progress
	started  bool
	lostCell string        // where runs of it may go on
	settleAt time.Duration // they have ended by then
	wanted   string        // cell to try first, or nothing
}

// moved takes a job back from an owner that gave its cell up. Its runs go on
// there, for the next owner of the cell to adopt.
func (a *attempt) moved(cellName string, outcome job.Outcome, settleAt time.Duration) {
	if outcome.Reason == reasonNotOwner {
		return // it hasn't been there
	}
	a.progress = outcome.Progress
	a.started = a.started || outcome.Started
	if outcome.Reason == cell.ReasonClosed {
		a.lostCell = "" // nothing of it runs there
		return
	}
	if outcome.Started {
		a.lostCell, a.settleAt = cellName, settleAt
	}
}

// lost takes a job back from an owner that can't be asked.
func (a *attempt) lost(cellName string, settleAt time.Duration) {
	a.started = true
	a.progress = nil
	a.lostCell, a.settleAt = cellName, settleAt
}

// Reasons that fronts and owners give.
const (
	reasonNotOwner     = "not_owner"     // a job was given back untouched
	reasonNoOwner      = "no_owner"      // no owner was in sight in time
	reasonDomainClosed = "domain_closed" // the own domain is closed, and no owner of an open one is in sight
)

// follow hands a job to owners until it has ended, beginning with state.
func (f *front) follow(ctx context.Context, j *job.Job, state attempt) job.Outcome {
	for {
		claim, ok := f.awaitOwner(ctx, j, &state)
		if !ok {
			return f.giveUp(ctx, j, &state)
		}
		f.markDispatched(j.WholeID(), claim.Cell, state.epoch)
		outcome := f.dispatch(ctx, j, claim, &state)
		if ctx.Err() != nil {
			return abandoned(ctx, true)
		}
		switch outcome.Kind {
		case job.Moved:
			state.moved(claim.Cell, outcome, f.node.Clock.Now()+f.node.settleTime())
			common.Sleep(ctx, ownerPause)
		case job.Lost:
			state.lost(claim.Cell, f.node.Clock.Now()+f.node.settleTime())
			common.Sleep(ctx, ownerPause)
		default:
			outcome.Started = outcome.Started || state.started
			return outcome
		}
		if outcome.Reason == reasonNotOwner || untouched(outcome) {
			continue
		}
		state.epoch++
		f.node.metrics.JobHandedOn(outcome.Kind.String())
		f.node.Log.Info("job_handed_on", "job", j.ID, "cell", claim.Cell, "token", claim.Token, "epoch", state.epoch, "why", outcome.Kind.String(), "reason", outcome.Reason)
		if outcome, ended := f.rejoin(ctx, j); ended {
			outcome.Started = outcome.Started || state.started
			return outcome
		}
	}
}

// untouched reports whether an owner has given a job back of which nothing has run,
// so that the next one may still refuse it.
func untouched(outcome job.Outcome) bool {
	return !outcome.Started && (outcome.Reason == cell.ReasonClosed || outcome.Reason == cell.ReasonNotRenewed)
}

// settleTime is how long after losing an owner its runs may go on: until the
// lease has ended that the job had there, and executors that are late have ended them.
func (n *Node) settleTime() time.Duration { return n.jobLease() + n.settings.StopTime }

// giveUp ends a job for which no owner was found, or whose caller has left.
func (f *front) giveUp(ctx context.Context, j *job.Job, state *attempt) job.Outcome {
	if ctx.Err() != nil {
		return abandoned(ctx, state.started)
	}
	reason := reasonNoOwner
	if f.node.noneOpenInSight() {
		reason = reasonDomainClosed
	}
	if state.started {
		return job.Outcome{Kind: job.Expired, Reason: reason, Started: true}
	}
	return job.Outcome{Kind: job.Refused, Reason: reason, RetryAfter: comeBack}
}

// patience returns until when a job waits for an owner: no longer than an owner
// that comes then could still have it answered in time to be worth something.
func (f *front) patience(j *job.Job, state *attempt) time.Duration {
	limit := min(j.Deadline, f.node.Clock.Now()+noOwnerWait)
	if state.started {
		return limit // an owner may find it done
	}
	chain := j.LongestChain()
	return min(limit, j.UsefulUntil(chain)-chain)
}

// awaitOwner returns the owner to hand a job to, waiting for one if need be.
func (f *front) awaitOwner(ctx context.Context, j *job.Job, state *attempt) (ownership.Claim, bool) {
	limit := f.patience(j, state)
	for {
		changed := f.node.changed.wait()
		if claim, ok := f.choose(j, state); ok {
			return claim, true
		}
		left := limit - f.node.Clock.Now()
		if left <= 0 || f.node.noneOpenInSight() {
			return ownership.Claim{}, false
		}
		timer := time.NewTimer(min(left, ownerRecheck))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ownership.Claim{}, false
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// choose picks an owner. A job whose owner was lost stays with the cell, where
// the next owner finds its runs.
func (f *front) choose(j *job.Job, state *attempt) (ownership.Claim, bool) {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if state.lostCell != "" && n.Clock.Now() < state.settleAt {
		return n.claims.Owner(state.lostCell)
	}
	if wanted := state.wanted; wanted != "" {
		state.wanted = ""
		if claim, ok := n.claims.Owner(wanted); ok && !n.closed(claim) {
			return claim, true
		}
	}
	if n.ownerless && n.Clock.Now() < startPatience {
		return ownership.Claim{}, false
	}
	return ownership.Choose(n.openClaims(), n.settings.Domain, j.Service, largestNeed(j))
}

func largestNeed(j *job.Job) int64 {
	var need int64
	for _, step := range j.Steps {
		need = max(need, step.Needs.CPU)
	}
	return need
}
