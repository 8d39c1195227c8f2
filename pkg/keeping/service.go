// Package keeping carries out what pkg/kept decides: it writes the rows of kept jobs,
// follows jobs from owner to owner, and answers for them. The node tells it who the
// keepers are and takes its jobs to owners.
package keeping

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// Intervals of the work of keepers.
const (
	tickInterval = 50 * time.Millisecond
	// viewInterval is how often it is worked out which partitions this host keeps.
	viewInterval = 200 * time.Millisecond
	// secondReading and the pauses after it are when the rows of a partition are read
	// again after its keepers may have changed: another host may have taken a job in
	// meanwhile, and died. A last look comes every regularReading.
	secondReading  = 700 * time.Millisecond
	thirdReading   = 3 * time.Second
	regularReading = 30 * time.Second
	readingPause   = 400 * time.Millisecond // at least, between two readings
	// callTime bounds calls to the store, which take 15 ms when it is calm: a second
	// try fits into a caller's time.
	callTime = 400 * time.Millisecond
	// keepTime is how long a caller waits for its job to be kept at most.
	keepTime = 1500 * time.Millisecond
	// askTime bounds calls to the keeper, which take 20 ms, and stateWait more for a
	// state: the front then turns to the store itself.
	askTime = 600 * time.Millisecond
	// ownerWait is how long a job waits for a cell that can run it.
	ownerWait = time.Second
	// tellTime bounds the word to an owner that a job was cancelled, for which the
	// caller waits.
	tellTime = 400 * time.Millisecond
	// shortQueue is the work that may wait in a cell without a look at what it is worth:
	// a host carries so many jobs well.
	shortQueue = 5 * time.Second
	// stateWait is how long the answer to a question for the state of an open job waits
	// for its end, at most: callers often ask just when the last task ends, and then
	// again a quarter of a second later.
	stateWait = 300 * time.Millisecond
	comeBack  = time.Second
)

// Reasons of refusals and of answers that leave the fate of a job open.
const (
	ReasonNoOwner    = "no_owner"
	ReasonOverloaded = "overloaded"
	ReasonNoAnswer   = "keeper_silent"
	ReasonRowUnread  = "rows_unread"
)

// CoordinatorHost is a host that keeps a partition.
type CoordinatorHost struct {
	Address string
	Self    bool
}

// OwnerNotice is what the owner of a cell is told of kept jobs there.
type OwnerNotice struct {
	Cell      string
	IDs       []string
	Cancelled bool // they are to be stopped
	Moved     bool // another cell is to run them
	Progress  int  // so many ends of the job's tasks stand in its row; 0 when this isn't about them
}

// Host is the node as keepers need it.
type Host interface {
	// Settled reports whether this host knows the others well enough to say who
	// keeps what.
	Settled() bool
	// ViewVersion changes when hosts have come or gone.
	ViewVersion() uint64
	// CoordinatorOf returns the keeper of a partition as this host sees it.
	CoordinatorOf(partition int) CoordinatorHost
	// AskCoordinator asks another host to keep a job; sent is false when nothing can have
	// reached it.
	AskCoordinator(ctx context.Context, address, cell string, j *job.Job, hops int) (answer kept.Answer, sent bool)
	// AskState asks another host for the state of a job, or to cancel it.
	AskState(ctx context.Context, address, id string, cancel bool, hops int) (kept.Answer, bool)
	// ChooseCell returns the cell that should run a job, or false when there is none.
	ChooseCell(j *job.Job) (string, bool)
	// WaitAt returns how long a job handed to a cell now waits for room, as its owner
	// has told how much waits there.
	WaitAt(cell string) time.Duration
	// HasOwner reports whether a cell has an owner in sight.
	HasOwner(cell string) bool
	// SeesMinority reports whether this host sees under half of the hosts that should be there.
	SeesMinority() bool
	// CellIsGone reports whether the store lists no executor of a cell any more, by a
	// host that can read it and sees more than half of the others.
	CellIsGone(cell string) bool
	// Changed returns a channel that is closed when owners may have changed.
	Changed() <-chan struct{}
	// Dispatch hands a job to the owner of its cell and waits for its end there.
	Dispatch(ctx context.Context, j *job.Job, cell string, epoch int, progress []job.Progress) job.Outcome
	// NotifyOwner tells the owner of a cell what stands in the rows of jobs. It returns the
	// moved jobs that run there all the same, and false when the owner wasn't reached or
	// can't say yet.
	NotifyOwner(ctx context.Context, word OwnerNotice) ([]string, bool)
}

// Meter takes the figures of what keepers do.
type Meter interface {
	// KeptWritten counts a transaction: how it ended, its changes, and its time.
	KeptWritten(outcome string, changes int, took time.Duration)
	// KeptAnswered counts an answer to a caller.
	KeptAnswered(call, verdict string)
}

// Service keeps jobs at one host.
type Service struct {
	*common.Common
	host       Host
	store      tables.Store
	meter      Meter
	partitions []*partition
	notes      *notes
	doubts     *doubts
	reach      reach
	health     kept.Health
	ctx        context.Context
	stop       context.CancelFunc
}

// NewService makes a service. Run lets it work.
func NewService(c *common.Common, host Host, store tables.Store, meter Meter) *Service {
	s := &Service{Common: c, host: host, store: store, meter: meter, notes: newNotes(), doubts: newDoubts()}
	s.ctx, s.stop = context.WithCancel(context.Background())
	for i := range kept.Partitions {
		s.partitions = append(s.partitions, newPartition(s, i))
	}
	return s
}

// Run looks after the partitions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.stop()
	go s.runReach(ctx)
	nextView := time.Duration(0)
	for common.Sleep(ctx, s.pause()) {
		now := s.Clock.Now()
		if now >= nextView && s.host.Settled() {
			s.look(now)
			nextView = now + viewInterval
		}
		for _, p := range s.partitions {
			p.tick(now)
		}
		for _, word := range s.notes.take(now) {
			go s.tellUntilHeard(word)
		}
	}
}

// pause returns how long to wait before the partitions are looked after again. Hosts
// without kept jobs only have to know whose keepers they are: looks each 50 ms took 6% of
// all processor time of 40 hosts on a quiet day (36.2 and 34.0 s in 28 s, one play each).
func (s *Service) pause() time.Duration {
	if s.Open() > 0 || s.notes.waiting() {
		return tickInterval
	}
	return viewInterval
}

// look works out which partitions this host keeps.
func (s *Service) look(now time.Duration) {
	version := s.host.ViewVersion()
	for _, p := range s.partitions {
		p.setKeeper(s.host.CoordinatorOf(p.number).Self, version, now)
	}
}

// partitionOf returns the partition of a job.
func (s *Service) partitionOf(id string) *partition { return s.partitions[kept.PartitionOf(id)] }

// Open returns the number of kept jobs that this host looks after.
func (s *Service) Open() int {
	open := 0
	for _, p := range s.partitions {
		open += p.open()
	}
	return open
}

// Waiting counts, by route, the jobs that are kept and with no owner yet.
func (s *Service) Waiting() map[string]int {
	counts := map[string]int{}
	for _, p := range s.partitions {
		p.countWaiting(counts)
	}
	return counts
}

// Keep has a job kept: by its keeper, or by this host when that one can't be asked
// or can't write.
func (s *Service) Keep(ctx context.Context, j *job.Job) kept.Answer {
	cell, ok := s.chooseCell(ctx, j)
	if !ok {
		return s.answered("keep", j.ID, s.turnAway(ctx, j.ID, ReasonNoOwner, comeBack))
	}
	if wait := s.host.WaitAt(cell); s.comesTooLate(j, wait) {
		return s.answered("keep", j.ID, s.turnAway(ctx, j.ID, ReasonOverloaded, max(wait, comeBack)))
	}
	return s.answered("keep", j.ID, s.keepAt(ctx, cell, j, 0))
}

// comesTooLate reports whether a job would be done too late to be worth anything. Its
// caller can try elsewhere sooner; kept, it would only be carried along. Before a job of
// much value not all comes that waits.
func (s *Service) comesTooLate(j *job.Job, wait time.Duration) bool {
	if wait <= shortQueue {
		return false
	}
	chain := j.LongestChain()
	return s.Clock.Now()+wait+chain > j.UsefulUntil(chain)
}

// turnAway refuses a job that comes too late or that no cell can run, unless it was
// accepted before.
func (s *Service) turnAway(ctx context.Context, id, reason string, retryAfter time.Duration) kept.Answer {
	known := s.stateAt(ctx, id, 0)
	if known.Verdict != kept.NotFound {
		return known
	}
	refusal := kept.Answer{Verdict: kept.Refused, Reason: reason, RetryAfter: retryAfter}
	return s.doubts.judge(id, refusal, s.Clock.Now())
}

// HandleKeep answers another host that asks to have a job kept.
func (s *Service) HandleKeep(cell string, j *job.Job, hops int) kept.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, keepTime)
	defer cancel()
	return s.keepAt(ctx, cell, j, hops)
}

// mostHops is how often a call is passed on: a host that is asked by one that sees
// other hosts may know the keeper better.
const mostHops = 1

// keepAt has a job kept, and answers for all its sendings that this host knows of.
func (s *Service) keepAt(ctx context.Context, cell string, j *job.Job, hops int) kept.Answer {
	answer := s.keepBy(ctx, cell, j, hops)
	return s.doubts.judge(j.ID, answer, s.Clock.Now())
}

// keepBy has a job kept by its keeper, or by this host.
func (s *Service) keepBy(ctx context.Context, cell string, j *job.Job, hops int) kept.Answer {
	keeper := s.host.CoordinatorOf(kept.PartitionOf(j.ID))
	if keeper.Self || hops > mostHops {
		return s.keepHere(ctx, cell, j)
	}
	asked, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	answer, sent := s.host.AskCoordinator(asked, keeper.Address, cell, j, hops+1)
	if sent && (answer.Verdict == kept.Accepted || hops > 0) {
		return answer
	}
	here := s.keepHere(ctx, cell, j)
	if here.Verdict == kept.Refused && sent && answer.Verdict != kept.Refused {
		return kept.Answer{Verdict: kept.Unknown, Reason: ReasonNoAnswer, RetryAfter: comeBack} // the keeper may have kept it
	}
	return here
}

// chooseCell returns the cell that should run a job, waiting a while for one.
func (s *Service) chooseCell(ctx context.Context, j *job.Job) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, min(ownerWait, timeFor(ctx)/2))
	defer cancel()
	for {
		changed := s.host.Changed()
		if cell, ok := s.host.ChooseCell(j); ok {
			return cell, true
		}
		select {
		case <-changed:
		case <-time.After(ownerRecheck):
		case <-ctx.Done():
			return "", false
		}
	}
}

// StoreIsDown reports whether the store has failed for a while, as seen from this host.
func (s *Service) StoreIsDown() bool { return s.health.IsDown() }

// keepHere keeps a job as its keeper.
func (s *Service) keepHere(ctx context.Context, cell string, j *job.Job) kept.Answer {
	record := kept.Record{ID: j.ID, Cell: cell, Job: encodeJob(j, nil)}
	answer, _ := s.partitionOf(j.ID).call(ctx, func(k *kept.Coordinator, number uint64, until, now time.Duration) bool {
		k.Accept(number, record, until, now)
		return true
	})
	return answer.Answer
}

// State returns the state of a kept job.
func (s *Service) State(ctx context.Context, id string) kept.Answer {
	return s.answered("state", id, s.stateAt(ctx, id, 0))
}

// HandleState answers another host that asks for the state of a job, or cancels it.
func (s *Service) HandleState(id string, cancelled bool, hops int) kept.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, keepTime)
	defer cancel()
	if cancelled {
		return s.cancelAt(ctx, id, hops)
	}
	return s.stateAt(ctx, id, hops)
}

func (s *Service) stateAt(ctx context.Context, id string, hops int) kept.Answer {
	if answer, ok := s.ask(ctx, id, false, hops); ok && answer.Verdict != kept.Unknown {
		return answer
	}
	return s.stateHere(ctx, id)
}

// ask asks the keeper of a job's partition, if that is another host.
func (s *Service) ask(ctx context.Context, id string, cancelled bool, hops int) (kept.Answer, bool) {
	keeper := s.host.CoordinatorOf(kept.PartitionOf(id))
	if keeper.Self || hops > mostHops {
		return kept.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	return s.host.AskState(ctx, keeper.Address, id, cancelled, hops+1)
}

// stateHere tells the state of a job by what this host knows and by its rows, where
// another keeper may have changed them.
func (s *Service) stateHere(ctx context.Context, id string) kept.Answer {
	p := s.partitionOf(id)
	p.awaitEnd(ctx, id)
	state, known := p.state(id)
	if state.Ended() || known && p.isSure() {
		return kept.Answer{Verdict: kept.Accepted, State: state}
	}
	rows, err := s.readRows(ctx, id)
	switch {
	case err != nil && known:
		return kept.Answer{Verdict: kept.Accepted, State: state}
	case err != nil:
		return kept.Answer{Verdict: kept.Unknown, Reason: ReasonRowUnread, RetryAfter: comeBack}
	case rows.ended != nil:
		p.learn(id, rows)
		return s.endOf(p, id, rows)
	case rows.open != nil && known:
		return kept.Answer{Verdict: kept.Accepted, State: state}
	case rows.open != nil:
		return kept.Answer{Verdict: kept.Accepted, State: kept.Queued}
	}
	return kept.Answer{Verdict: kept.NotFound}
}

// endOf tells the state of a job by the row of its end.
func (s *Service) endOf(p *partition, id string, rows rowsOf) kept.Answer {
	if state, _ := p.state(id); state.Ended() {
		return kept.Answer{Verdict: kept.Accepted, State: state}
	}
	end, err := codec{}.DecodeEnd(rows.ended.Value)
	if err != nil {
		return kept.Answer{Verdict: kept.Unknown, Reason: kept.ReasonUnread, RetryAfter: comeBack}
	}
	return kept.Answer{Verdict: kept.Accepted, State: end.State}
}

// Cancel cancels a kept job for good.
func (s *Service) Cancel(ctx context.Context, id string) kept.Answer {
	return s.answered("cancel", id, s.cancelAt(ctx, id, 0))
}

// cancelAt cancels a job. That there is none has to be true of a write that this host, or
// a keeper that it asked, may have under way.
func (s *Service) cancelAt(ctx context.Context, id string, hops int) kept.Answer {
	answer := s.cancelBy(ctx, id, hops)
	if answer.Verdict == kept.NotFound && s.doubts.has(id, s.Clock.Now()) {
		return kept.Answer{Verdict: kept.Unknown, Reason: reasonSentBefore, RetryAfter: comeBack}
	}
	return answer
}

// cancelBy has a job cancelled by its keeper, or by this host.
func (s *Service) cancelBy(ctx context.Context, id string, hops int) kept.Answer {
	answer, ok := s.ask(ctx, id, true, hops)
	if !ok || answer.Verdict == kept.Unknown {
		return s.cancelHere(ctx, id)
	}
	if answer.Verdict != kept.NotFound {
		return answer
	}
	if here, known := s.cancelKnown(ctx, id); known {
		return here
	}
	return answer
}

// cancelHere cancels a job as its keeper.
func (s *Service) cancelHere(ctx context.Context, id string) kept.Answer {
	if answer, known := s.cancelKnown(ctx, id); known {
		return answer
	}
	rows, err := s.readRows(ctx, id)
	if err != nil {
		return kept.Answer{Verdict: kept.Unknown, Reason: ReasonRowUnread, RetryAfter: comeBack}
	}
	s.partitionOf(id).learn(id, rows)
	if answer, known := s.cancelKnown(ctx, id); known {
		return answer
	}
	return kept.Answer{Verdict: kept.NotFound}
}

// cancelKnown cancels a job that this host knows, and answers once its owner knows it, so
// that a keeper that dies then leaves nothing running. Without an owner in sight there is
// nobody to tell: owners start nothing that no keeper asks for.
func (s *Service) cancelKnown(ctx context.Context, id string) (kept.Answer, bool) {
	answer, known := s.partitionOf(id).call(ctx, func(k *kept.Coordinator, number uint64, until, now time.Duration) bool {
		return k.Cancel(number, id, until, now)
	})
	if known && answer.Cell != "" {
		told, cancel := context.WithTimeout(ctx, tellTime)
		defer cancel()
		s.host.NotifyOwner(told, OwnerNotice{Cell: answer.Cell, IDs: []string{id}, Cancelled: true})
	}
	return answer.Answer, known
}

// answered logs and counts the answer to a caller.
func (s *Service) answered(call, id string, answer kept.Answer) kept.Answer {
	s.meter.KeptAnswered(call, answer.Verdict.String())
	if call != "state" || answer.Verdict != kept.Accepted {
		s.Log.Info("kept_answered", "job", id, "call", call, "verdict", answer.Verdict.String(), "state", answer.State.String(), "reason", answer.Reason)
	}
	return answer
}
