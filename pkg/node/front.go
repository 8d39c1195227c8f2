package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
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
	// comeBack is the advice to callers that were refused.
	comeBack = time.Second
	// ownerPause keeps a front from asking one that gives jobs back at once.
	ownerPause = 20 * time.Millisecond
)

// front holds callers' jobs open and hands each to the owner of a cell.
type front struct {
	node    *Node
	calls   *calls
	stopsAt atomic.Int64 // when open jobs are given up, as a time of the node's clock; 0 while no stop is under way

	mu         sync.Mutex
	open       map[string]*openJob // by job id
	dispatched map[string]int      // jobs and parts that are with another node, by its address
}

// openJob is a job that a caller of this node waits for.
type openJob struct {
	job     *job.Job
	started bool
	cancel  context.CancelCauseFunc
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
	if cause := context.Cause(ctx); errors.Is(cause, errCancelled) || errors.Is(cause, errStopping) {
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
		outcome = job.Outcome{Kind: job.Refused, Reason: errStopping.Error(), RetryAfter: comeBack}
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

// keepOpen keeps a job open and follows it from owner to owner until it has ended.
func (f *front) keepOpen(ctx context.Context, j *job.Job) job.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.open[j.ID] = &openJob{job: j, cancel: cancel}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.open, j.ID)
	}()
	shares := f.split(j)
	if len(shares) == 0 {
		return f.follow(ctx, j, attempt{epoch: 1})
	}
	return f.followParts(ctx, j, shares)
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
		f.markDispatched(j.WholeID())
		outcome := f.dispatch(ctx, j, claim, &state)
		if ctx.Err() != nil {
			return abandoned(ctx, true)
		}
		switch outcome.Kind {
		case job.Moved:
			state.moved(claim.Cell, outcome, f.node.Clock.Now()+f.node.settleTime())
			f.pause(ctx)
		case job.Lost:
			state.lost(claim.Cell, f.node.Clock.Now()+f.node.settleTime())
			f.pause(ctx)
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
	}
}

// untouched reports whether an owner has given a job back of which nothing has run,
// so that the next one may still refuse it.
func untouched(outcome job.Outcome) bool {
	return !outcome.Started && (outcome.Reason == cell.ReasonClosed || outcome.Reason == cell.ReasonNotRenewed)
}

// markDispatched notes that a job is with an owner, who may start it any time.
func (f *front) markDispatched(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open := f.open[id]; open != nil {
		open.started = true
	}
}

// settleTime is how long after losing an owner its runs may go on: until the
// lease has ended that the job had there, and executors that are late have ended them.
func (n *Node) settleTime() time.Duration { return n.jobLease() + n.settings.StopTime }

func (f *front) pause(ctx context.Context) {
	timer := time.NewTimer(ownerPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

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

// dispatch hands a job to an owner and waits for its end there.
func (f *front) dispatch(ctx context.Context, j *job.Job, claim ownership.Claim, state *attempt) job.Outcome {
	f.node.Log.Info("job_dispatched", "job", j.ID, "cell", claim.Cell, "owner", claim.Owner, "token", claim.Token, "epoch", state.epoch, "queued_work", claim.Load.QueuedWork)
	settleAt := time.Duration(0)
	if state.lostCell != "" && state.lostCell != claim.Cell {
		settleAt = state.settleAt
	}
	if claim.Owner == f.node.settings.PeerAddress {
		return f.dispatchHere(ctx, j, claim, state, settleAt)
	}
	return f.dispatchToPeer(ctx, j, claim, state, settleAt)
}

func (f *front) dispatchHere(ctx context.Context, j *job.Job, claim ownership.Claim, state *attempt, settleAt time.Duration) job.Outcome {
	o := f.node.owner(claim.Cell)
	if o == nil {
		return job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}
	}
	done := make(chan job.Outcome, 1)
	self := f.node.settings.PeerAddress
	handover := cell.Handover{Job: j, Epoch: state.epoch, Progress: state.progress, SettleAt: settleAt, RenewedAt: f.node.renewals.sureHere()}
	o.submit(handover, waiter{front: self, reply: func(outcome job.Outcome) { done <- outcome }})
	select {
	case outcome := <-done:
		return outcome
	case <-ctx.Done():
		o.withdraw(j.ID, self, "caller_left")
		return abandoned(ctx, true)
	}
}

func (f *front) dispatchToPeer(ctx context.Context, j *job.Job, claim ownership.Claim, state *attempt, settleAt time.Duration) job.Outcome {
	link := f.node.links.Link(claim.Owner)
	if link == nil || !link.Up() {
		return job.Outcome{Kind: job.Moved, Reason: reasonNotOwner}
	}
	defer f.noteDispatch(claim.Owner)()
	now := f.node.Clock.Now()
	settle := max(0, settleAt-now)
	m := toDispatch(j, claim.Cell, state.epoch, state.progress, settle, now)
	m.Renewed = f.node.renewals.sure(claim.Owner)
	answer, err := link.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Dispatch{Dispatch: m}}, 0)
	if ctx.Err() != nil {
		link.Send(&peerpb.Message{Body: &peerpb.Message_Withdraw{Withdraw: &peerpb.Withdraw{Id: j.ID, Cell: claim.Cell, Epoch: uint32(state.epoch)}}}, 0)
		return abandoned(ctx, true)
	}
	if err != nil {
		return job.Outcome{Kind: job.Lost, Reason: err.Error()}
	}
	f.node.takeMoment(claim.Owner, answer)
	outcome := answer.GetOutcome()
	if outcome == nil {
		return job.Outcome{Kind: job.Lost, Reason: "wrong_answer"}
	}
	return fromOutcome(outcome)
}

// noteDispatch notes that a job is with another node, until the function that it
// returns is called.
func (f *front) noteDispatch(address string) func() {
	f.mu.Lock()
	f.dispatched[address]++
	first := f.dispatched[address] == 1
	f.mu.Unlock()
	if first && !f.node.beatsFast(address) {
		f.node.links.NudgeOne(address) // it beats fast from now on, before the owner takes us for silent
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

// dispatchedTo reports whether a job is with another node.
func (f *front) dispatchedTo(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatched[address] > 0
}

// dispatches reports whether jobs are with other nodes.
func (f *front) dispatches() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dispatched) > 0
}

func (n *Node) owner(cellName string) *owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[cellName]
}
