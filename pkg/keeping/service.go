// Package keeping carries out the decisions of pkg/kept: it writes the rows of kept jobs,
// dispatches the jobs to the owners of their cells, and answers calls about them. The node
// tells it which host coordinates each partition and delivers its messages to owners.
package keeping

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/rowlog"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// Intervals and timeouts.
const (
	tickInterval = 50 * time.Millisecond
	// viewInterval is how often the partitions that this host coordinates are computed.
	viewInterval = 200 * time.Millisecond
	// The rows of a partition are read again some time after its coordinators may have
	// changed, because another host may have accepted a job meanwhile and failed. After
	// that they are read at readInterval. While some hosts are unreachable, one of them may
	// coordinate the partition too and answer cancels, which have to take effect here within the
	// users' bound (cancel_ms): then open jobs are read at sharedReadInterval.
	secondReadDelay    = 700 * time.Millisecond
	thirdReadDelay     = 3 * time.Second
	readInterval       = 30 * time.Second
	sharedReadInterval = time.Second
	minReadPause       = 400 * time.Millisecond // least time between two readings
	// storeTimeout bounds calls to the store. It is well above their usual duration, 15 ms, and
	// leaves time for a second attempt within keepTimeout.
	storeTimeout = 400 * time.Millisecond
	// keepTimeout is the longest time that a caller waits for its job to be kept.
	keepTimeout = 1500 * time.Millisecond
	// coordinatorTimeout bounds calls to the coordinator, endWait included. After it the
	// front uses the store itself.
	coordinatorTimeout = 600 * time.Millisecond
	// cellWait is how long a job waits for a cell that can run it.
	cellWait = time.Second
	// notifyTimeout bounds a notice to an owner. The caller of a cancel waits for it.
	notifyTimeout = 400 * time.Millisecond
	// shortWait is the queueing time up to which jobs are kept without a check that they
	// can still be of value when they end.
	shortWait = 5 * time.Second
	// endWait is the longest time that a state query for an open job waits for the job to
	// end. Callers often ask just before the last task ends, and would ask again soon.
	endWait    = 300 * time.Millisecond
	retryDelay = time.Second
	// UnmeetableRetryAfter is the retry delay suggested to callers of jobs that no target can run.
	// Targets change by planned work, which takes longer than an overload.
	UnmeetableRetryAfter = 5 * time.Second
)

// Reasons of refusals and of answers with the verdict Unknown.
const (
	ReasonNoOwner                 = "no_owner"
	ReasonNoneCanRun              = "no_target_can_run_it" // none has the label, or the capacity, that a task asks for
	ReasonOverloaded              = "overloaded"
	ReasonCoordinatorUnresponsive = "keeper_silent"
	ReasonRowsUnreadable          = "rows_unread"
)

// CoordinatorHost is the host that coordinates a partition.
type CoordinatorHost struct {
	Address string
	Self    bool
}

// OwnerNotice notifies the owner of a cell of what the rows of kept jobs say.
type OwnerNotice struct {
	Cell      string
	IDs       []string
	Cancelled bool // the jobs must be stopped
	Moved     bool // the jobs are assigned to another cell
	Progress  int  // number of task ends that are stored in the job's row; 0 if the notice is not about progress
}

// Dispatch is how a job is sent to the owner of its cell.
type Dispatch struct {
	Cell      string
	Epoch     int
	Progress  []job.Progress
	NamesRuns bool // Progress names all runs that its owners may have left
}

// Host is what this package needs of the node.
type Host interface {
	// MembershipKnown reports whether this host knows the other hosts well enough to tell which of
	// them coordinates each partition.
	MembershipKnown() bool
	// ViewVersion changes when hosts join or leave the view.
	ViewVersion() uint64
	// CoordinatorOf returns the coordinator of a partition as this host sees it.
	CoordinatorOf(partition int) CoordinatorHost
	// AskCoordinator asks another host to keep a job. It returns sent as false if the
	// request cannot have reached that host.
	AskCoordinator(ctx context.Context, address, cell string, j *job.Job, hops int) (answer kept.Answer, sent bool)
	// AskState asks another host for the state of a job, or to cancel it. It returns false
	// if the request was not sent.
	AskState(ctx context.Context, address, id string, cancel bool, hops int) (kept.Answer, bool)
	// ChooseCell returns the cell that should run a job, or false if there is none.
	ChooseCell(j *job.Job) (string, bool)
	// ChooseOtherCell returns the cell other than the given one that should run what remains of a
	// job, or false if there is none that can.
	ChooseOtherCell(cell string, j *job.Job, progress []job.Progress) (string, bool)
	// IsUnmeetable reports whether a job has tasks that no listed target can ever run.
	IsUnmeetable(j *job.Job) bool
	// QueueDelay returns how long a job that is sent to a cell now waits in its queue, by the
	// load that its owner reports.
	QueueDelay(cell string) time.Duration
	// HasOwner reports whether a cell has a reachable owner.
	HasOwner(cell string) bool
	// SeesAll reports whether this host reaches all expected hosts. Otherwise another host may take
	// itself for the coordinator of the same partitions.
	SeesAll() bool
	// SeesMinority reports whether this host reaches less than half of the expected hosts.
	SeesMinority() bool
	// CellRemoved reports whether the store lists no executors of a cell any more. It is
	// true only at a host that can read the store and reaches more than half of the
	// expected hosts.
	CellRemoved(cell string) bool
	// VacancyObstacle returns why a cell isn't vacant, for logs; empty if it is. Then nothing of a kept
	// job can run or start there until a host claims it again: the store has listed none of
	// its executors for long, and no owner of it can be alive that still lets runs of kept jobs go on.
	// It is empty only at a host that reaches more than half of the expected hosts.
	VacancyObstacle(cell string) string
	Successors
	// OwnersChanged returns a channel that is closed when owners may have changed.
	OwnersChanged() <-chan struct{}
	// Dispatch sends a job to the owner of its cell and waits for its end there.
	Dispatch(ctx context.Context, j *job.Job, d Dispatch) job.Outcome
	// NotifyOwner sends a notice to the owner of a cell. It returns the moved jobs that
	// still run there, and false if the owner was not reached or cannot say yet.
	NotifyOwner(ctx context.Context, notice OwnerNotice) ([]string, bool)
}

// Meter counts transactions and answers.
type Meter interface {
	// KeptWritten counts a transaction with its outcome, its number of changes, and its
	// duration.
	KeptWritten(outcome string, changes int, took time.Duration)
	// KeptAnswered counts an answer to a caller.
	KeptAnswered(call, verdict string)
	// RowsUnreadable counts rows of a table that cannot be decoded.
	RowsUnreadable(table, reason string, rows int)
}

// Service serves kept jobs at one host.
type Service struct {
	*common.Common
	host       Host
	store      tables.Store
	meter      Meter
	partitions []*partition
	endNotices *endNotices
	unresolved *unresolvedJobs
	rowLog     *rowlog.Log
	storeReach storeReach
	health     kept.Health
	ctx        context.Context
	stop       context.CancelFunc
}

// NewService returns a service that is idle until Run is called.
func NewService(c *common.Common, host Host, store tables.Store, meter Meter) *Service {
	s := &Service{Common: c, host: host, store: store, meter: meter, endNotices: newEndNotices(), unresolved: newUnresolvedJobs(), rowLog: rowlog.New()}
	s.ctx, s.stop = context.WithCancel(context.Background())
	for i := range kept.Partitions {
		s.partitions = append(s.partitions, newPartition(s, i))
	}
	return s
}

// Run serves the partitions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.stop()
	go s.watchIsolation(ctx)
	nextView := time.Duration(0)
	for common.Sleep(ctx, s.pause()) {
		now := s.Clock.Now()
		if now >= nextView && s.host.MembershipKnown() {
			s.updateCoordinators(now)
			nextView = now + viewInterval
		}
		for _, p := range s.partitions {
			p.tick(now)
		}
		for _, notice := range s.endNotices.takeDue(now) {
			go s.notifyUntilAnswered(notice)
		}
	}
}

// pause returns the time until the next tick of the partitions. It is longer without kept
// jobs: ticks each 50 ms took 6% of the processor time of 40 hosts on a quiet day.
func (s *Service) pause() time.Duration {
	if s.Open() > 0 || s.endNotices.pending() {
		return tickInterval
	}
	return viewInterval
}

// updateCoordinators determines which partitions this host coordinates.
func (s *Service) updateCoordinators(now time.Duration) {
	version := s.host.ViewVersion()
	for _, p := range s.partitions {
		p.setCoordinator(s.host.CoordinatorOf(p.number).Self, version, now)
	}
}

// partitionOf returns the partition that a job belongs to.
func (s *Service) partitionOf(id string) *partition { return s.partitions[kept.PartitionOf(id)] }

// Open returns the number of kept jobs at this host that are not known to have ended.
func (s *Service) Open() int {
	open := 0
	for _, p := range s.partitions {
		open += p.open()
	}
	return open
}

// Waiting counts, by route, the jobs followed here that no owner has and of which no task is
// known to have begun. Owners count the jobs that they have.
func (s *Service) Waiting() map[string]int {
	counts := map[string]int{}
	for _, p := range s.partitions {
		p.countWaiting(counts)
	}
	return counts
}

// Keep keeps a job: at its coordinator, or at this host if the coordinator cannot be
// reached or cannot write.
func (s *Service) Keep(ctx context.Context, j *job.Job) kept.Answer {
	cell, ok := s.chooseCell(ctx, j)
	switch {
	case !ok && s.host.IsUnmeetable(j):
		return s.recordAnswer("keep", j.ID, s.refuseUnlessKept(ctx, j.ID, ReasonNoneCanRun, UnmeetableRetryAfter))
	case !ok:
		return s.recordAnswer("keep", j.ID, s.refuseUnlessKept(ctx, j.ID, ReasonNoOwner, retryDelay))
	}
	if wait := s.host.QueueDelay(cell); s.endsTooLate(j, wait) {
		return s.recordAnswer("keep", j.ID, s.refuseUnlessKept(ctx, j.ID, ReasonOverloaded, max(wait, retryDelay)))
	}
	return s.recordAnswer("keep", j.ID, s.keepAt(ctx, cell, j, 0))
}

// endsTooLate reports whether a job would end too late to be of value. Its caller can then
// try elsewhere sooner. The wait is an upper bound, as a job of high value overtakes
// others in the queue.
func (s *Service) endsTooLate(j *job.Job, wait time.Duration) bool {
	if wait <= shortWait {
		return false
	}
	chain := j.LongestChain()
	return s.Clock.Now()+wait+chain > j.UsefulUntil(chain)
}

// refuseUnlessKept refuses a job unless it was accepted before.
func (s *Service) refuseUnlessKept(ctx context.Context, id, reason string, retryAfter time.Duration) kept.Answer {
	known := s.stateAt(ctx, id, 0)
	if known.Verdict != kept.NotFound {
		return known
	}
	refusal := kept.Answer{Verdict: kept.Refused, Reason: reason, RetryAfter: retryAfter}
	return s.unresolved.reconcile(id, refusal, s.Clock.Now())
}

// HandleKeep answers a keep request of another host.
func (s *Service) HandleKeep(cell string, j *job.Job, hops int) kept.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, keepTimeout)
	defer cancel()
	return s.keepAt(ctx, cell, j, hops)
}

// maxHops is how often a call is forwarded. A host that receives a call from one with a
// different view may know the coordinator better.
const maxHops = 1

// keepAt keeps a job, and gives the answer that holds for all its submissions that this
// host knows of.
func (s *Service) keepAt(ctx context.Context, cell string, j *job.Job, hops int) kept.Answer {
	answer := s.keepOrForward(ctx, cell, j, hops)
	return s.unresolved.reconcile(j.ID, answer, s.Clock.Now())
}

// keepOrForward keeps a job at its coordinator, or at this host.
func (s *Service) keepOrForward(ctx context.Context, cell string, j *job.Job, hops int) kept.Answer {
	coordinator := s.host.CoordinatorOf(kept.PartitionOf(j.ID))
	if coordinator.Self || hops > maxHops {
		return s.keepLocally(ctx, cell, j)
	}
	askCtx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	answer, sent := s.host.AskCoordinator(askCtx, coordinator.Address, cell, j, hops+1)
	if sent && (answer.Verdict == kept.Accepted || hops > 0) {
		return answer
	}
	local := s.keepLocally(ctx, cell, j)
	if local.Verdict == kept.Refused && sent && answer.Verdict != kept.Refused {
		return kept.Answer{Verdict: kept.Unknown, Reason: ReasonCoordinatorUnresponsive, RetryAfter: retryDelay} // the coordinator may have kept the job
	}
	return local
}

// chooseCell returns the cell that should run a job. It waits up to cellWait for one, and
// at most half of the caller's time, which leaves the rest for storing the job.
func (s *Service) chooseCell(ctx context.Context, j *job.Job) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, min(cellWait, remainingTime(ctx)/2))
	defer cancel()
	for {
		changed := s.host.OwnersChanged()
		if cell, ok := s.host.ChooseCell(j); ok {
			return cell, true
		}
		if s.host.IsUnmeetable(j) {
			return "", false
		}
		select {
		case <-changed:
		case <-time.After(ownerCheckInterval):
		case <-ctx.Done():
			return "", false
		}
	}
}

// StoreIsDown reports whether the last transactions of this host have all failed.
func (s *Service) StoreIsDown() bool { return s.health.IsDown() }

// keepLocally keeps a job with this host as its coordinator.
func (s *Service) keepLocally(ctx context.Context, cell string, j *job.Job) kept.Answer {
	record := kept.Record{ID: j.ID, Cell: cell, Job: encodeJob(j, nil)}
	answer, _ := s.partitionOf(j.ID).call(ctx, func(co *kept.Coordinator, number uint64, deadline, now time.Duration) bool {
		co.Accept(number, record, deadline, now)
		return true
	})
	return answer.Answer
}

// State returns the state of a kept job.
func (s *Service) State(ctx context.Context, id string) kept.Answer {
	return s.recordAnswer("state", id, s.stateAt(ctx, id, 0))
}

// HandleState answers a state or cancel request of another host.
func (s *Service) HandleState(id string, cancelled bool, hops int) kept.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, keepTimeout)
	defer cancel()
	if cancelled {
		return s.cancelAt(ctx, id, hops)
	}
	return s.stateAt(ctx, id, hops)
}

// stateAt asks the coordinator for the state of a job, and answers from this host's
// knowledge and the job's rows if there is no clear answer.
func (s *Service) stateAt(ctx context.Context, id string, hops int) kept.Answer {
	if answer, ok := s.forwardState(ctx, id, false, hops); ok && isClear(answer) {
		return answer
	}
	return s.stateLocally(ctx, id)
}

// isClear reports whether an answer of another host tells the state of a job.
func isClear(answer kept.Answer) bool {
	return answer.Verdict != kept.Unknown && (answer.Verdict != kept.Accepted || answer.State != kept.Undetermined)
}

// forwardState sends a state or cancel request to the coordinator of a job's partition. It
// returns false if that is this host, or if the request was not sent.
func (s *Service) forwardState(ctx context.Context, id string, cancelled bool, hops int) (kept.Answer, bool) {
	coordinator := s.host.CoordinatorOf(kept.PartitionOf(id))
	if coordinator.Self || hops > maxHops {
		return kept.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	return s.host.AskState(ctx, coordinator.Address, id, cancelled, hops+1)
}

// stateLocally returns the state of a job from what this host knows and from its rows,
// which another coordinator may have changed.
func (s *Service) stateLocally(ctx context.Context, id string) kept.Answer {
	p := s.partitionOf(id)
	p.awaitEnd(ctx, id)
	state, known := p.state(id)
	if state.Ended() || known && p.isSoleCoordinator() {
		return kept.Answer{Verdict: kept.Accepted, State: state}
	}
	rows, err := s.readRows(ctx, id)
	switch {
	case err != nil && known:
		return kept.Answer{Verdict: kept.Accepted, State: state}
	case err != nil:
		return undetermined(ReasonRowsUnreadable)
	case rows.ended != nil:
		p.applyRows(id, rows)
		return s.endState(p, id, rows)
	case p.isUndetermined(id):
		return undetermined(kept.ReasonEndUnknown)
	case rows.open != nil && known:
		return kept.Answer{Verdict: kept.Accepted, State: state}
	case rows.open != nil && !s.isReadable(rows.open):
		return undetermined(kept.ReasonRowUnreadable)
	case rows.open != nil:
		return kept.Answer{Verdict: kept.Accepted, State: kept.Queued}
	}
	return kept.Answer{Verdict: kept.NotFound}
}

// endState returns the state of a job from its ended row.
func (s *Service) endState(p *partition, id string, rows rowsOf) kept.Answer {
	if state, _ := p.state(id); state.Ended() {
		return kept.Answer{Verdict: kept.Accepted, State: state}
	}
	end, err := codec{}.DecodeEnd(rows.ended.Value)
	if err != nil {
		return undetermined(kept.ReasonEndUnknown)
	}
	return kept.Answer{Verdict: kept.Accepted, State: end.State}
}

// Cancel cancels a kept job. If the job has ended before, the answer gives that state.
func (s *Service) Cancel(ctx context.Context, id string) kept.Answer {
	return s.recordAnswer("cancel", id, s.cancelAt(ctx, id, 0))
}

// cancelAt cancels a job. It answers NotFound only if no submission that this host knows
// of can still be written.
func (s *Service) cancelAt(ctx context.Context, id string, hops int) kept.Answer {
	answer := s.cancelOrForward(ctx, id, hops)
	if answer.Verdict == kept.NotFound && s.unresolved.contains(id, s.Clock.Now()) {
		return kept.Answer{Verdict: kept.Unknown, Reason: reasonSentBefore, RetryAfter: retryDelay}
	}
	return answer
}

// cancelOrForward cancels a job at its coordinator, or at this host.
func (s *Service) cancelOrForward(ctx context.Context, id string, hops int) kept.Answer {
	answer, ok := s.forwardState(ctx, id, true, hops)
	if !ok || answer.Verdict == kept.Unknown {
		return s.cancelLocally(ctx, id)
	}
	if answer.Verdict != kept.NotFound {
		return answer
	}
	if local, known := s.cancelKnown(ctx, id); known {
		return local
	}
	return answer
}

// cancelLocally cancels a job with this host as its coordinator.
func (s *Service) cancelLocally(ctx context.Context, id string) kept.Answer {
	if answer, known := s.cancelKnown(ctx, id); known {
		return answer
	}
	rows, err := s.readRows(ctx, id)
	if err != nil {
		return undetermined(ReasonRowsUnreadable)
	}
	s.partitionOf(id).applyRows(id, rows)
	if answer, known := s.cancelKnown(ctx, id); known {
		return answer
	}
	if rows.open != nil {
		return undetermined(kept.ReasonRowUnreadable)
	}
	return kept.Answer{Verdict: kept.NotFound}
}

// cancelKnown cancels a job that this host knows, and returns once its owner has been
// notified, so that nothing keeps running if the coordinator fails then. An owner that
// isn't reachable starts no task of a job that no coordinator asks for; a coordinator that
// reaches it and not this host reads the cancel from the rows (sharedReadInterval).
func (s *Service) cancelKnown(ctx context.Context, id string) (kept.Answer, bool) {
	answer, known := s.partitionOf(id).call(ctx, func(co *kept.Coordinator, number uint64, deadline, now time.Duration) bool {
		return co.Cancel(number, id, deadline, now)
	})
	if known && answer.Cell != "" {
		notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
		defer cancel()
		s.host.NotifyOwner(notifyCtx, OwnerNotice{Cell: answer.Cell, IDs: []string{id}, Cancelled: true})
	}
	return answer.Answer, known
}

// recordAnswer logs and counts the answer to a caller.
func (s *Service) recordAnswer(call, id string, answer kept.Answer) kept.Answer {
	s.meter.KeptAnswered(call, answer.Verdict.String())
	if call != "state" || answer.Verdict != kept.Accepted {
		s.Log.Info("kept_answered", "job", id, "call", call, "verdict", answer.Verdict.String(), "state", answer.State.String(), "reason", answer.Reason)
	}
	return answer
}
