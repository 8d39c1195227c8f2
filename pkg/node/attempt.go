package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/keeping"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

const (
	// maxOwnerWait is the longest time that a job waits for an owner.
	maxOwnerWait = 1500 * time.Millisecond
	// startupGrace is how long after its start a node waits for owners of its own
	// domain. When all hosts restart, the first owners would otherwise get the jobs of
	// every domain.
	startupGrace = 1200 * time.Millisecond
	// ownerRecheckInterval is how often a waiting job searches for an owner when no change
	// is signalled.
	ownerRecheckInterval = 200 * time.Millisecond
	// redispatchDelay is the delay before a returned job is dispatched again, so that a front
	// does not retry in a tight loop.
	redispatchDelay = 20 * time.Millisecond
)

// attempt is the state of a job that its front passes from one owner to the next.
type attempt struct {
	epoch         int
	progress      []job.Progress
	progressAt    time.Duration // when progress was reported
	started       bool
	formerCell    string        // cell of a former owner, where runs of the job may still be alive
	notBefore     time.Duration // runs in formerCell have ended by then
	preferredCell string        // cell to try first, once; empty when none
	namesRuns     bool          // progress names all runs that former owners may have left

	asked openjobs.Asked // other fronts, about this job
}

// recordMoved records that an owner has returned the job. Its runs go on in the cell, where
// the next owner adopts them.
func (a *attempt) recordMoved(cellName string, outcome job.Outcome, now, notBefore time.Duration) {
	if outcome.Reason == reasonNotOwner {
		return // the job was not accepted there
	}
	a.progress, a.progressAt = outcome.Progress, now
	a.namesRuns = outcome.NamesAllRuns(a.namesRuns)
	a.started = a.started || outcome.Started
	if outcome.Reason == cell.ReasonClosed {
		a.formerCell = "" // no run of the job is left there
		return
	}
	if outcome.Started {
		a.formerCell, a.notBefore = cellName, notBefore
	}
}

// recordLost records that the owner of the job is unreachable. The progress before it still tells
// of runs of earlier owners.
func (a *attempt) recordLost(cellName string, notBefore time.Duration) {
	a.started = true
	a.namesRuns = false
	a.formerCell, a.notBefore = cellName, notBefore
}

// recordSearch records that the job may have run for another front, of which no run is alive.
func (a *attempt) recordSearch() {
	a.epoch = max(a.epoch, 2)
	a.started, a.namesRuns = true, false
}

// progressAsOf returns the progress for an owner that gets the job now.
func (a *attempt) progressAsOf(now time.Duration) []job.Progress {
	return job.AgeProgress(a.progress, now-a.progressAt)
}

// Reasons in outcomes of fronts and owners.
const (
	reasonUnreadableJob = "unreadable_job"  // the job can't be carried out; nothing of it has run
	reasonNotOwner      = "not_owner"       // the node does not own the cell; nothing of the job has run there
	reasonNoOwner       = "no_owner"        // no owner was reachable in time
	reasonCutFromOwners = "cut_from_owners" // this host reaches no owner, and others do
	reasonNoneCanRun    = keeping.ReasonNoneCanRun
	reasonDomainClosed  = "domain_closed" // this domain is closed, and no owner of an open one is reachable
)

// follow dispatches a job to one owner after another until it has ended.
func (f *front) follow(ctx context.Context, j *job.Job, state attempt) job.Outcome {
	for {
		if state.started && f.node.Clock.Now() >= j.Deadline {
			return job.Outcome{Kind: job.Expired, Reason: reasonDeadline, Started: true}
		}
		if outcome, mayRun := f.awaitConfirmed(ctx, j, &state); !mayRun {
			return outcome
		}
		claim, ok := f.awaitOwner(ctx, j, &state)
		if !ok {
			return f.outcomeWithoutOwner(ctx, j, &state)
		}
		f.markDispatched(j.WholeID(), claim.Cell, state.epoch)
		outcome := f.dispatch(ctx, j, claim, &state)
		if ctx.Err() != nil {
			return abandoned(ctx, true)
		}
		if outcome.OpenAt != nil {
			now := f.node.Clock.Now()
			state.recordMoved(claim.Cell, outcome, now, now+f.node.settleTime())
			if outcome, ended := f.joinOpenAt(ctx, j, claim.Owner, outcome.OpenAt, &state); ended {
				outcome.Started = outcome.Started || state.started
				return outcome
			}
			if state.recordSearch(); outcome.Started {
				state.epoch++
				f.node.Log.Info("job_handed_on", "job", j.ID, "cell", claim.Cell, "token", claim.Token, "epoch", state.epoch, "why", outcome.Kind.String(), "reason", outcome.Reason)
			}
			continue
		}
		switch outcome.Kind {
		case job.Moved:
			now := f.node.Clock.Now()
			state.recordMoved(claim.Cell, outcome, now, now+f.node.settleTime())
			common.Sleep(ctx, redispatchDelay)
		case job.Lost:
			state.recordLost(claim.Cell, f.node.Clock.Now()+f.node.settleTime())
			common.Sleep(ctx, redispatchDelay)
		default:
			outcome.Started = outcome.Started || state.started
			return outcome
		}
		if f.node.standsStillOften() {
			return givenUp(errStandsStill.Error(), state.started)
		}
		if outcome.Reason == reasonNotOwner || returnedUnstarted(outcome) {
			continue
		}
		state.epoch++
		f.node.metrics.JobRedispatched(outcome.Kind.String())
		f.node.Log.Info("job_handed_on", "job", j.ID, "cell", claim.Cell, "token", claim.Token, "epoch", state.epoch, "why", outcome.Kind.String(), "reason", outcome.Reason)
		if outcome, ended := f.rejoin(ctx, j, &state); ended {
			outcome.Started = outcome.Started || state.started
			return outcome
		}
	}
}

// givenUp returns the outcome of a job without an owner that its front gives up: a refusal if nothing of
// it can have started.
func givenUp(reason string, started bool) job.Outcome {
	if started {
		return job.Outcome{Kind: job.Expired, Reason: reason, Started: true}
	}
	return job.Outcome{Kind: job.Refused, Reason: reason, RetryAfter: refusalRetryAfter}
}

// returnedUnstarted reports whether an owner has returned a job of which nothing has
// run, so that the next owner may still refuse it.
func returnedUnstarted(outcome job.Outcome) bool {
	switch outcome.Reason {
	case cell.ReasonClosed, cell.ReasonNotRenewed, cell.ReasonNotConfirmed:
		return !outcome.Started
	}
	return false
}

// settleTime is the time after which no unrenewed run can be alive: the lease of the job
// at its owner has ended, and executors have had time to stop its runs.
func (n *Node) settleTime() time.Duration { return n.jobLease() + n.settings.StopTime }

// outcomeWithoutOwner returns the outcome of a job for which no owner was found in time,
// or whose caller has left.
func (f *front) outcomeWithoutOwner(ctx context.Context, j *job.Job, state *attempt) job.Outcome {
	if ctx.Err() != nil {
		return abandoned(ctx, state.started)
	}
	switch {
	case f.node.noOpenOwnerReachable():
		return givenUp(reasonDomainClosed, state.started)
	case !state.started && f.node.executors.Load().isUnmeetable(j):
		return job.Outcome{Kind: job.Refused, Reason: reasonNoneCanRun, RetryAfter: keeping.UnmeetableRetryAfter}
	case !j.Kept && f.node.isCutFromOwners():
		return givenUp(reasonCutFromOwners, true) // callers submit it again to another host after a 504 only
	}
	return givenUp(reasonNoOwner, state.started)
}

// ownerWaitLimit returns until when a job waits for an owner: as long as an owner found then
// can still complete it while its answer has value.
func (f *front) ownerWaitLimit(j *job.Job, state *attempt) time.Duration {
	limit := min(j.Deadline, f.node.Clock.Now()+maxOwnerWait)
	if state.started {
		return limit // the next owner may find it completed
	}
	chain := j.LongestChain()
	return min(limit, j.UsefulUntil(chain)-chain)
}

// awaitOwner returns the claim of the owner to dispatch a job to, and waits for one if
// there is none. It reports false when none appears in time.
func (f *front) awaitOwner(ctx context.Context, j *job.Job, state *attempt) (ownership.Claim, bool) {
	limit := f.ownerWaitLimit(j, state)
	for {
		changed := f.node.changed.wait()
		if claim, ok := f.chooseOwner(j, state); ok {
			return claim, true
		}
		left := limit - f.node.Clock.Now()
		if !state.started && f.node.executors.Load().isUnmeetable(j) {
			return ownership.Claim{}, false
		}
		if left <= 0 || f.node.noOpenOwnerReachable() || !state.started && !j.Kept && f.node.isCutFromOwners() {
			return ownership.Claim{}, false
		}
		f.awaitChange(ctx, changed, min(left, ownerRecheckInterval))
		if ctx.Err() != nil {
			return ownership.Claim{}, false
		}
	}
}

// chooseOwner selects an owner for a job. A job whose former owner is unreachable stays in
// that cell, where the next owner finds its runs.
func (f *front) chooseOwner(j *job.Job, state *attempt) (ownership.Claim, bool) {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if state.formerCell != "" && n.Clock.Now() < state.notBefore {
		return n.claims.Owner(state.formerCell)
	}
	if wanted := state.preferredCell; wanted != "" {
		state.preferredCell = ""
		if claim, ok := n.claims.Owner(wanted); ok && !n.closed(claim) {
			return claim, true
		}
	}
	if len(n.unowned) > 0 && n.Clock.Now() < startupGrace {
		return ownership.Claim{}, false
	}
	return n.chooseAmong(n.openClaims(), j, state.progress)
}

// chooseAmong selects one of some claims, on a cell that can run what remains of a job. n.mu is held.
func (n *Node) chooseAmong(claims []ownership.Claim, j *job.Job, progress []job.Progress) (ownership.Claim, bool) {
	eligible := n.executors.Load().eligible(claims, j, progress)
	return ownership.Choose(eligible, n.settings.Domain, j.Service, maxTaskCPU(j))
}

func maxTaskCPU(j *job.Job) int64 {
	var need int64
	for _, step := range j.Steps {
		need = max(need, step.Needs.CPU)
	}
	return need
}
