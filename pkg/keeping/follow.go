package keeping

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

const (
	// redispatchPause limits the rate of dispatches to an owner that returns jobs at once.
	redispatchPause = 20 * time.Millisecond
	// ownerCheckInterval is how often a follower looks for an owner while no change is
	// announced.
	ownerCheckInterval = 200 * time.Millisecond
	// firstEpochWindow is how long after the start of a follower its first dispatch may use
	// the requested epoch. It is short, because the first epoch may be used only right
	// after the commit.
	firstEpochWindow = 50 * time.Millisecond
)

// follower dispatches a job to the successive owners of its cell until the job ends.
type follower struct {
	partition      *partition
	record         kept.Record
	job            *job.Job
	progress       []job.Progress
	progressAt     time.Duration // when progress was reported
	epoch          int
	asOf           time.Duration // when the row was last confirmed
	since          time.Duration // when the follower was created
	namesRuns      bool          // progress names all runs that its owners may have left
	ranBefore      bool          // it may have runs that its owners before that of record.From have left
	released       bool          // the cell that the job was moved from has confirmed that it does not run it
	dispatched     atomic.Bool   // it has been dispatched to an owner
	atOwner        atomic.Bool   // an owner may have the job, and counts it
	begun          atomic.Bool   // a task of the job is known to have begun
	cancel         context.CancelFunc
	ended          chan struct{} // closed when the end of the job is stored
	ownerlessSince time.Duration // since when its cell has had no reachable owner; 0 while it has one

	obstacle        string        // why the cell that it waits to leave is not vacant, as logged last
	formerOwnerless time.Duration // since when the cell that the job was moved from is known to have had no reachable owner

	stopped   atomic.Bool // it waits for its replacement or has ended
	continues bool        // the owner keeps the job, which is dispatched again only to wait for its end

	cancelDispatch atomic.Pointer[context.CancelFunc] // cancels the dispatch in flight
	checkpointed   atomic.Pointer[[]byte]             // the encoded job of the last checkpoint
	awaitsCell     atomic.Bool                        // it waits for long to leave its cell, see noteWait
	left           atomic.Pointer[handover]           // for the follower that replaces this one after a move
}

// interrupt cancels the dispatch in flight.
func (f *follower) interrupt() {
	if cancel := f.cancelDispatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// follow starts following a job and replaces an earlier follower. p.mu is held.
func (p *partition) follow(f kept.FollowRequest, now time.Duration) {
	old := p.followers[f.Record.ID]
	if old != nil && old.canContinueWith(&f.Record) {
		p.service.notifyCheckpoint(old, &f.Record)
		return
	}
	if old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(p.service.ctx)
	next := &follower{partition: p, record: f.Record, epoch: f.Epoch, asOf: f.AsOf, since: now, formerOwnerless: now, cancel: cancel, ended: make(chan struct{})}
	next.job, next.progress = jobOf(&f.Record, p.coordinator.Age(&f.Record, now), now)
	next.begun.Store(len(next.progress) > 0)
	if old != nil {
		next.ended = old.ended
		next.begun.Store(next.begun.Load() || old.begun.Load())
		next.inherit(old)
	}
	p.followers[f.Record.ID] = next
	p.service.Log.Info("kept_followed", "job", f.Record.ID, "part", p.part, "cell", f.Record.Cell, "epoch", f.Epoch, "from", f.Record.From)
	go next.run(ctx)
}

// canContinueWith reports whether the follower can continue with a new row of its job. A
// follower that waits at the owner named by the row is not replaced, because the owner
// could mistake the withdrawal of the old dispatch for one of the new dispatch.
func (f *follower) canContinueWith(record *kept.Record) bool {
	return !f.stopped.Load() && f.record.Cell == record.Cell && (record.From == "" || record.From == f.record.From)
}

// run dispatches the job to owners until it ends or moves to another cell.
func (f *follower) run(ctx context.Context) {
	defer f.stopped.Store(true)
	for ctx.Err() == nil {
		if !f.continues && !f.prepare(ctx) {
			continue
		}
		f.raiseEpoch()
		f.continues = false
		f.dispatched.Store(true)
		outcome := f.dispatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.handleOutcome(ctx, outcome) {
			return
		}
	}
}

// dispatch sends the job to the owner of its cell and waits for its end there.
func (f *follower) dispatch(ctx context.Context) job.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelDispatch.Store(&cancel)
	if f.service().storeReach.isolated.Load() { // the interruption may have come before
		return job.Outcome{Kind: job.Lost}
	}
	f.atOwner.Store(true)
	defer f.atOwner.Store(false)
	return f.service().host.Dispatch(ctx, f.job, Dispatch{Cell: f.record.Cell, Epoch: f.epoch, Progress: f.progressAsOfNow(), NamesRuns: f.namesRuns})
}

// progressAsOfNow returns the progress for an owner that gets the job now.
func (f *follower) progressAsOfNow() []job.Progress {
	return job.AgeProgress(f.progress, f.service().Clock.Now()-f.progressAt)
}

func (f *follower) service() *Service { return f.partition.service }

// prepare reports whether the job may be dispatched now: its row was confirmed recently,
// its previous cell does not run it, and its cell has an owner. Otherwise it does the next
// step towards that, or waits.
func (f *follower) prepare(ctx context.Context) bool {
	now := f.service().Clock.Now()
	switch {
	case f.record.From != "" && !f.released && now < f.since+kept.EndNoticeDelay:
		common.Sleep(ctx, f.since+kept.EndNoticeDelay-now)
		return false
	case f.service().storeReach.isolated.Load():
		common.Sleep(ctx, ownerCheckInterval)
		return false
	case !f.service().host.HasOwner(f.record.Cell):
		f.awaitOwner(ctx, now)
		return false
	case now > f.asOf+kept.RecordFreshness:
		f.refresh(ctx)
		return false
	case f.record.From != "" && !f.released:
		f.confirmReleased(ctx, now)
		return false
	}
	f.ownerlessSince, f.obstacle = 0, ""
	f.awaitsCell.Store(false)
	return true
}

// awaitOwner waits for an owner of the job's cell. If the cell has been removed, the job
// moves to another one: at once to a cell that has replaced its own, or if the cell is vacant.
func (f *follower) awaitOwner(ctx context.Context, now time.Duration) {
	if f.ownerlessSince == 0 {
		f.ownerlessSince = now
	}
	if f.moveToSuccessor(ctx) {
		return
	}
	if f.hasVacated(f.record.Cell, f.ownerlessSince, now, waitsForSuccessor) {
		f.moveToOtherCell(ctx)
		return
	}
	f.awaitChange(ctx)
}

// hasVacated reports whether nothing of the job can run or start in a cell that has had no reachable
// owner since a time. Otherwise it notes that the job waits for that, and for which reason.
func (f *follower) hasVacated(cell string, since, now time.Duration, reason string) bool {
	host := f.service().host
	obstacle := host.VacancyObstacle(cell)
	if obstacle == "" || now > since+cellRemovalDelay && host.CellRemoved(cell) {
		return true
	}
	f.noteWait(since, now, cell, reason, obstacle)
	return false
}

// awaitChange waits for a change of owners, for at most ownerCheckInterval.
func (f *follower) awaitChange(ctx context.Context) {
	timer := time.NewTimer(ownerCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.service().host.OwnersChanged():
	case <-timer.C:
	}
}

// refresh reads the rows of the job and applies them. An ended job is no longer followed;
// a moved job gets a new follower.
func (f *follower) refresh(ctx context.Context) {
	rows, err := f.service().readRows(ctx, f.record.ID)
	if err != nil {
		common.Sleep(ctx, ownerCheckInterval)
		return
	}
	if rows.open == nil && rows.ended == nil {
		f.service().Log.Error("kept_job_without_rows", "job", f.record.ID)
		common.Sleep(ctx, ownerCheckInterval)
		return
	}
	f.partition.applyRows(f.record.ID, rows)
	if !f.partition.isCurrent(f.record.ID, rows) {
		common.Sleep(ctx, redispatchPause) // a change of this host is in flight and will conflict
		return
	}
	f.asOf = rows.began
}

// confirmReleased checks that the cell that the job was moved from does not run it. If it
// does, the job moves back there.
func (f *follower) confirmReleased(ctx context.Context, now time.Duration) {
	notifyCtx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	runs, ok := f.service().host.NotifyOwner(notifyCtx, OwnerNotice{Cell: f.record.From, IDs: []string{f.record.ID}, Moved: true})
	switch {
	case !ok && f.isReleasedBySuccessors(notifyCtx):
		f.released = true
	case !ok && f.hasVacated(f.record.From, f.formerOwnerless, now, waitsForRelease):
		f.released = true
	case !ok:
		f.awaitChange(ctx)
	case len(runs) > 0:
		f.namesRuns, f.ranBefore = false, true // it may have started them since it returned the job
		f.move(f.record.From, f.progress)
		f.awaitReplacement(ctx)
	default:
		f.released, f.namesRuns = true, !f.ranBefore
	}
}

// raiseEpoch sets the epoch of the next dispatch, above all that any coordinator can have
// used. The first dispatch keeps the requested epoch if it follows within
// firstEpochWindow.
func (f *follower) raiseEpoch() {
	now := f.service().Clock.Now()
	if !f.dispatched.Load() && now < f.since+firstEpochWindow {
		return
	}
	f.partition.mu.Lock()
	age := f.partition.coordinator.Age(&f.record, now)
	f.partition.mu.Unlock()
	f.epoch = max(f.epoch+1, f.record.EpochAt(age))
}

// handleOutcome handles the outcome of a dispatch and reports whether this follower is
// done.
func (f *follower) handleOutcome(ctx context.Context, outcome job.Outcome) bool {
	f.service().Log.Info("kept_came_back", "job", f.record.ID, "cell", f.record.Cell, "epoch", f.epoch, "outcome", outcome.Kind.String(), "reason", outcome.Reason)
	if outcome.Started || len(outcome.Progress) > 0 || outcome.Kind == job.Completed || outcome.Kind == job.Failed {
		f.begun.Store(true)
	}
	switch outcome.Kind {
	case job.Completed:
		f.finish(kept.Completed)
		return true
	case job.Failed:
		f.finish(kept.Failed)
		return true
	case job.Moved:
		if len(outcome.Progress) > 0 {
			f.progress, f.progressAt = outcome.Progress, f.service().Clock.Now()
		}
		f.namesRuns = outcome.NamesAllRuns(f.namesRuns)
		return f.handleReturned(ctx, outcome)
	default: // the owner is unreachable or cannot accept the job now
		f.namesRuns = false
		common.Sleep(ctx, redispatchPause)
	}
	return false
}

// handleReturned handles a job that its owner returned, and reports whether this follower
// is done.
func (f *follower) handleReturned(ctx context.Context, outcome job.Outcome) bool {
	switch {
	case cell.LeavesNoRuns(outcome.Reason):
		if f.moveToOtherCell(ctx) {
			return true
		}
		if outcome.Reason == cell.ReasonFailedOnAll {
			common.Sleep(ctx, cell.LastAttemptPause)
		}
		return false
	case outcome.Reason == ReasonProgress:
		f.checkpoint(outcome.Progress)
		f.continues = true
		return false
	case outcome.Reason == ReasonCancelled:
		f.asOf = 0 // read the rows before the next dispatch
	}
	common.Sleep(ctx, redispatchPause)
	return false
}

// ReasonProgress marks a job that continues at its owner, which requests a checkpoint.
const ReasonProgress = "kept_progress"

// checkpoint saves the progress of the job's tasks in its row.
func (f *follower) checkpoint(progress []job.Progress) {
	written := f.record
	written.Epoch = f.epoch
	written.Job = encodeJob(f.job, progress)
	f.checkpointed.Store(&written.Job)
	f.partition.do(func(co *kept.Coordinator, _ time.Duration) { co.Move(written) })
}

// notifyCheckpoint notifies the owner of a job that its checkpoint is stored.
func (s *Service) notifyCheckpoint(f *follower, record *kept.Record) {
	written := f.checkpointed.Load()
	if written == nil || !bytes.Equal(*written, record.Job) {
		return
	}
	_, progress := jobOf(record, 0, 0)
	notice := OwnerNotice{Cell: record.Cell, IDs: []string{record.ID}, Progress: cell.CountEnds(progress)}
	go s.notifyOwner(notice) // if the notice is lost, the owner requests the checkpoint again
}

// ReasonCancelled marks a job that its owner returned because it was cancelled.
const ReasonCancelled = "kept_cancelled"

// moveToOtherCell moves the job to another cell that accepts new work and can run it, if there is
// one, and reports whether it did.
func (f *follower) moveToOtherCell(ctx context.Context) bool {
	next, ok := f.service().host.ChooseOtherCell(f.record.Cell, f.job, f.progress)
	if !ok {
		common.Sleep(ctx, ownerCheckInterval)
		return false
	}
	f.move(next, f.progress)
	f.awaitReplacement(ctx)
	return true
}

// awaitReplacement waits until a follower of the updated row replaces this one.
func (f *follower) awaitReplacement(ctx context.Context) {
	f.stopped.Store(true)
	<-ctx.Done()
}

// move assigns the job to another cell. It is followed there once the row is written.
func (f *follower) move(to string, progress []job.Progress) {
	moved := f.record
	moved.Cell, moved.Epoch = to, f.epoch
	moved.Job = encodeJob(f.job, progress)
	f.left.Store(&handover{
		record: moved, progress: progress, progressAt: f.progressAt, namesRuns: f.namesRuns && f.dispatched.Load(), ranBefore: f.ranBefore,
		ownerlessSince: f.ownerlessSince,
	})
	f.service().Log.Info("kept_moves", "job", f.record.ID, "cell", f.record.Cell, "to", to, "epoch", f.epoch)
	f.partition.do(func(co *kept.Coordinator, _ time.Duration) { co.Move(moved) })
}

// finish reports the end of the job to the coordinator, which stores it.
func (f *follower) finish(state kept.State) {
	f.partition.do(func(co *kept.Coordinator, _ time.Duration) { co.Finish(f.record.ID, state) })
}
