package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// dispatch submits a job to an owner and waits for the outcome.
func (f *front) dispatch(ctx context.Context, j *job.Job, claim ownership.Claim, state *attempt) job.Outcome {
	f.node.Log.Info("job_dispatched", "job", j.ID, "cell", claim.Cell, "owner", claim.Owner, "token", claim.Token, "epoch", state.epoch, "queued_work", claim.Load.QueuedWork)
	if state.formerCell != "" && state.formerCell != claim.Cell {
		f.node.Log.Info("job_leaves_cell", "job", j.ID, "former", state.formerCell, "cell", claim.Cell, "epoch", state.epoch, "runs_end_in_ms", (state.notBefore - f.node.Clock.Now()).Milliseconds())
	}
	notBefore := f.earliestStart(claim, state)
	var outcome job.Outcome
	if claim.Owner == f.node.settings.PeerAddress {
		outcome = f.dispatchLocal(ctx, j, claim, state, notBefore)
	} else {
		outcome = f.dispatchToPeer(ctx, j, claim, state, notBefore)
	}
	if outcome.Kind == job.Expired {
		f.node.recordCrashes(j.WholeID(), outcome.Progress)
	}
	return outcome
}

// earliestStart returns the time before which an owner may not start a job, or 0 if it finds all
// runs of the job itself: at the executors that it fenced after the former owner started them.
func (f *front) earliestStart(claim ownership.Claim, state *attempt) time.Duration {
	n := f.node
	n.mu.Lock()
	isSuperseded := n.claims.IsSuperseded(claim)
	n.mu.Unlock()
	switch {
	case state.epoch > 1 && isSuperseded:
		return n.Clock.Now() + n.settleTime()
	case state.formerCell != "" && state.formerCell != claim.Cell:
		return state.notBefore
	}
	return 0
}

func (f *front) dispatchLocal(ctx context.Context, j *job.Job, claim ownership.Claim, state *attempt, notBefore time.Duration) job.Outcome {
	o := f.node.owner(claim.Cell)
	if o == nil {
		return job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}
	}
	done := make(chan job.Outcome, 1)
	self := f.node.settings.PeerAddress
	limit, end := f.beginDispatch(j, self)
	defer end()
	handover := cell.Handover{
		Job: j, Epoch: state.epoch, Progress: f.node.progressFor(j, state), NotBefore: notBefore,
		RenewedAt: f.node.renewals.confirmedHere(), LeaseLimit: limit, NamesRuns: state.namesRuns,
	}
	o.submit(handover, waiter{front: self, keepsRuns: true, asked: state.asked, namesAsked: true, reply: func(outcome job.Outcome) { done <- outcome }})
	select {
	case outcome := <-done:
		return outcome
	case <-ctx.Done():
		f.node.recordCrashes(j.WholeID(), o.withdraw(j.ID, self, reasonCallerLeft))
		return abandoned(ctx, true)
	}
}

func (f *front) dispatchToPeer(ctx context.Context, j *job.Job, claim ownership.Claim, state *attempt, notBefore time.Duration) job.Outcome {
	link := f.node.links.Link(claim.Owner)
	if link == nil || !link.Up() {
		return job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}
	}
	defer f.recordDispatch(claim.Owner)()
	limit, end := f.beginDispatch(j, claim.Owner)
	defer end()
	now := f.node.Clock.Now()
	settle := max(0, notBefore-now)
	m := jobwire.ToDispatch(j, claim.Cell, state.epoch, f.node.progressFor(j, state), settle, now)
	m.NamesRuns, m.KeepsRuns = state.namesRuns, true
	m.Asked, m.NamesAsked = toAsked(state.asked, now), true
	m.Renewed = f.node.renewals.confirmed(claim.Owner)
	if limit != 0 {
		m.LeaseUs = max(1, (limit - now).Microseconds())
		m.SentUs = f.node.renewals.timeAt(claim.Owner, m.Renewed, now).Microseconds()
	}
	answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Dispatch{Dispatch: m}}, 0)
	if ctx.Err() != nil {
		f.withdraw(link, j, &peerpb.Withdraw{Id: j.ID, Cell: claim.Cell, Epoch: uint32(state.epoch)})
		return abandoned(ctx, true)
	}
	if err != nil {
		return job.Outcome{Kind: job.Lost, Reason: err.Error()}
	}
	f.node.recordTimestamp(claim.Owner, answer)
	outcome := answer.GetOutcome()
	if outcome == nil {
		return job.Outcome{Kind: job.Lost, Reason: "wrong_answer"}
	}
	return fromOutcome(outcome)
}

// recordDispatch counts a job as dispatched to another node until the returned function
// is called.
func (f *front) recordDispatch(address string) func() {
	f.mu.Lock()
	f.dispatched[address]++
	first := f.dispatched[address] == 1
	f.mu.Unlock()
	if first && !f.node.hasFrequentHeartbeats(address) {
		f.node.links.NudgeOne(address) // send frequent heartbeats before the owner considers this host unresponsive
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dispatched[address]--
		if f.dispatched[address] == 0 {
			delete(f.dispatched, address)
		}
	}
}

// dispatchedTo reports whether a job of this front is with another node.
func (f *front) dispatchedTo(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatched[address] > 0
}

// hasDispatched reports whether any job of this front is with another node.
func (f *front) hasDispatched() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dispatched) > 0
}
