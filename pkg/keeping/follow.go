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
	// ownerPause keeps a follower from asking one that gives jobs back at once.
	ownerPause = 20 * time.Millisecond
	// ownerRecheck is how soon a follower looks for an owner again when nothing changes.
	ownerRecheck = 200 * time.Millisecond
	// firstEpochTime is how long after the commit the first epoch may be used.
	firstEpochTime = 50 * time.Millisecond
)

// follower follows a job from owner to owner of its cell.
type follower struct {
	partition *partition
	record    kept.Record
	job       *job.Job
	progress  []job.Progress
	epoch     int
	asOf      time.Duration // when the row was known to be so
	since     time.Duration
	cleared   bool        // the cell that the job was moved from doesn't run it
	handed    atomic.Bool // it is or has been with an owner
	cancel    context.CancelFunc
	over      chan struct{} // closed when the end of the job lasts
	ownerless time.Duration // since when no owner of its cell has been in sight; 0 while there is one

	stopped atomic.Bool // it waits to be replaced
	goesOn  bool        // the owner has it, and is only asked again

	handing atomic.Pointer[context.CancelFunc] // ends the handover under way
	written atomic.Pointer[[]byte]             // the job with the progress that was given to be written last
}

// interrupt ends the handover under way.
func (f *follower) interrupt() {
	if cancel := f.handing.Load(); cancel != nil {
		(*cancel)()
	}
}

// follow begins to follow a job, in place of an earlier follower. p.mu is held.
func (p *partition) follow(f kept.FollowRequest, now time.Duration) {
	old := p.followers[f.Record.ID]
	if old != nil && old.follows(&f.Record) {
		p.service.tellWritten(old, &f.Record)
		return
	}
	if old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(p.service.ctx)
	next := &follower{partition: p, record: f.Record, epoch: f.Epoch, asOf: f.AsOf, since: now, cancel: cancel, over: make(chan struct{})}
	next.job, next.progress = jobOf(&f.Record, p.keeper.Age(&f.Record, now), now)
	if old != nil {
		next.over = old.over
	}
	p.followers[f.Record.ID] = next
	p.service.Log.Info("kept_followed", "job", f.Record.ID, "part", p.part, "cell", f.Record.Cell, "epoch", f.Epoch, "from", f.Record.From)
	go next.run(ctx)
}

// follows reports whether a follower can go on by a new row of its job. One that asks
// the owner that the row names isn't replaced: that owner might take the withdrawal
// of the old one for the new one's.
func (f *follower) follows(record *kept.Record) bool {
	return !f.stopped.Load() && f.record.Cell == record.Cell && (record.From == "" || record.From == f.record.From)
}

// run hands the job to owners until it has ended or moves to another cell.
func (f *follower) run(ctx context.Context) {
	defer f.stopped.Store(true)
	for ctx.Err() == nil {
		if !f.goesOn && !f.prepare(ctx) {
			continue
		}
		f.raiseEpoch()
		f.goesOn = false
		f.handed.Store(true)
		outcome := f.hand(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.take(ctx, outcome) {
			return
		}
	}
}

// hand hands the job to the owner of its cell and waits for its end there.
func (f *follower) hand(ctx context.Context) job.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.handing.Store(&cancel)
	return f.service().host.Dispatch(ctx, f.job, f.record.Cell, f.epoch, f.progress)
}

func (f *follower) service() *Service { return f.partition.service }

// prepare sees that the job may be handed over now: its row is known well enough, its
// old cell doesn't run it, and its cell has an owner. It waits a while otherwise.
func (f *follower) prepare(ctx context.Context) bool {
	now := f.service().Clock.Now()
	switch {
	case f.record.From != "" && !f.cleared && now < f.since+kept.EndNoticeDelay:
		common.Sleep(ctx, f.since+kept.EndNoticeDelay-now)
		return false
	case f.service().reach.cutOff.Load():
		common.Sleep(ctx, ownerRecheck)
		return false
	case !f.service().host.HasOwner(f.record.Cell):
		f.awaitOwner(ctx, now)
		return false
	case now > f.asOf+kept.RecordFreshness:
		f.refresh(ctx)
		return false
	case f.record.From != "" && !f.cleared:
		f.clear(ctx, now)
		return false
	}
	f.ownerless = 0
	return true
}

// awaitOwner waits for an owner of the job's cell. A cell that is gone gets none, so
// another one has to run the job in the end.
func (f *follower) awaitOwner(ctx context.Context, now time.Duration) {
	if f.ownerless == 0 {
		f.ownerless = now
	}
	if now > f.ownerless+cellGoneTime && f.service().host.CellIsGone(f.record.Cell) {
		f.moveOn(ctx)
		return
	}
	f.awaitChange(ctx)
}

// awaitChange waits until owners may have changed.
func (f *follower) awaitChange(ctx context.Context) {
	timer := time.NewTimer(ownerRecheck)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.service().host.Changed():
	case <-timer.C:
	}
}

// refresh reads the rows of the job. One that has ended is followed no more, one that
// has moved is followed anew.
func (f *follower) refresh(ctx context.Context) {
	rows, err := f.service().readRows(ctx, f.record.ID)
	if err != nil {
		common.Sleep(ctx, ownerRecheck)
		return
	}
	if rows.open == nil && rows.ended == nil {
		f.service().Log.Error("kept_job_without_rows", "job", f.record.ID)
		common.Sleep(ctx, ownerRecheck)
		return
	}
	f.partition.learn(f.record.ID, rows)
	if !f.partition.isCurrent(f.record.ID, rows) {
		common.Sleep(ctx, ownerPause) // a change of ours is under way, and will be refused
		return
	}
	f.asOf = rows.began
}

// clear makes sure that the cell that the job was moved from doesn't run it. If it
// does, the job goes back there.
func (f *follower) clear(ctx context.Context, now time.Duration) {
	told, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	runs, ok := f.service().host.NotifyOwner(told, OwnerNotice{Cell: f.record.From, IDs: []string{f.record.ID}, Moved: true})
	switch {
	case !ok && now > f.since+cellGoneTime && f.service().host.CellIsGone(f.record.From):
		f.cleared = true // nothing is left of it
	case !ok:
		f.awaitChange(ctx)
	case len(runs) > 0:
		f.move(f.record.From, f.progress)
		f.awaitReplacement(ctx)
	default:
		f.cleared = true
	}
}

// raiseEpoch chooses the epoch of the next handover.
func (f *follower) raiseEpoch() {
	now := f.service().Clock.Now()
	if !f.handed.Load() && now < f.since+firstEpochTime {
		return
	}
	f.partition.mu.Lock()
	age := f.partition.keeper.Age(&f.record, now)
	f.partition.mu.Unlock()
	f.epoch = max(f.epoch+1, f.record.EpochAt(age))
}

// take takes how the job has ended at an owner, and reports whether this follower is done.
func (f *follower) take(ctx context.Context, outcome job.Outcome) bool {
	f.service().Log.Info("kept_came_back", "job", f.record.ID, "cell", f.record.Cell, "epoch", f.epoch, "outcome", outcome.Kind.String(), "reason", outcome.Reason)
	switch outcome.Kind {
	case job.Completed:
		f.finish(kept.Completed)
		return true
	case job.Failed:
		f.finish(kept.Failed)
		return true
	case job.Moved:
		if len(outcome.Progress) > 0 {
			f.progress = outcome.Progress
		}
		return f.givenBack(ctx, outcome)
	default: // the owner is lost, or can't have it now
		common.Sleep(ctx, ownerPause)
	}
	return false
}

// givenBack goes on with a job that an owner has given back.
func (f *follower) givenBack(ctx context.Context, outcome job.Outcome) bool {
	switch {
	case cell.NothingRuns(outcome.Reason):
		return f.moveOn(ctx)
	case outcome.Reason == ReasonProgress:
		f.checkpoint(outcome.Progress)
		f.goesOn = true
		return false
	case outcome.Reason == ReasonCancelled:
		f.asOf = 0 // its row tells more
	}
	common.Sleep(ctx, ownerPause)
	return false
}

// ReasonProgress marks a job that goes on at its owner, who wants the progress written.
const ReasonProgress = "kept_progress"

// checkpoint has the row hold what is known of the job's tasks.
func (f *follower) checkpoint(progress []job.Progress) {
	written := f.record
	written.Epoch = f.epoch
	written.Job = encodeJob(f.job, progress)
	f.written.Store(&written.Job)
	f.partition.do(func(k *kept.Coordinator, _ time.Duration) { k.Move(written) })
}

// tellWritten tells the owner of a job that the progress that it wanted written lasts.
func (s *Service) tellWritten(f *follower, record *kept.Record) {
	written := f.written.Load()
	if written == nil || !bytes.Equal(*written, record.Job) {
		return
	}
	_, progress := jobOf(record, 0, 0)
	word := OwnerNotice{Cell: record.Cell, IDs: []string{record.ID}, Progress: cell.EndsOf(progress)}
	go s.tell(word) // lost, the owner asks again
}

// ReasonCancelled marks a job that an owner gave back because it was cancelled.
const ReasonCancelled = "kept_cancelled"

// moveOn gives the job to a cell that takes new work, if there is one.
func (f *follower) moveOn(ctx context.Context) bool {
	next, ok := f.service().host.ChooseCell(f.job)
	if !ok || next == f.record.Cell {
		common.Sleep(ctx, ownerRecheck)
		return false
	}
	f.move(next, f.progress)
	f.awaitReplacement(ctx)
	return true
}

// awaitReplacement waits for the follower of the row as it is to be.
func (f *follower) awaitReplacement(ctx context.Context) {
	f.stopped.Store(true)
	<-ctx.Done()
}

// move has the row name another cell. The job is followed there once it does.
func (f *follower) move(to string, progress []job.Progress) {
	moved := f.record
	moved.Cell, moved.Epoch = to, f.epoch
	moved.Job = encodeJob(f.job, progress)
	f.service().Log.Info("kept_moves", "job", f.record.ID, "cell", f.record.Cell, "to", to, "epoch", f.epoch)
	f.partition.do(func(k *kept.Coordinator, _ time.Duration) { k.Move(moved) })
}

func (f *follower) finish(state kept.State) {
	f.partition.do(func(k *kept.Coordinator, _ time.Duration) { k.Finish(f.record.ID, state) })
}
