package keeping

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
)

// A domain that is divided into another number of cells fences the owners of the former ones. A
// kept job need not wait for cellRemovalDelay then: it runs in one of the domain's new cells once
// the owner of each other one confirms that all executors there obey it and list no run of the
// job. Nothing of it can start in the former cell then, whoever asks an owner of that cell for it.
// The owner of the cell that it moves to waits for its own executors, as at each takeover.

// Successors is what this package needs of the node to move jobs out of cells that were replaced.
type Successors interface {
	// Successors returns the cells of a removed cell's domain. It reports false unless CellRemoved
	// holds, the cell has no reachable owner, and each of its successors has one.
	Successors(cell string) ([]string, bool)
	// ReleaseMoved has the owner of a cell drop a job that was moved to another one. It returns the
	// ends of the job's tasks that executors there list, and false unless the owner confirms that
	// all executors obey it and none runs the job.
	ReleaseMoved(ctx context.Context, cell, id string) ([]job.Progress, bool)
	// ChooseAmong returns which of some cells should run a job, or false if none can.
	ChooseAmong(cells []string, j *job.Job, progress []job.Progress) (string, bool)
}

// handover is what a follower that moves a job to another cell leaves to the next one.
type handover struct {
	record     kept.Record // as written
	progress   []job.Progress
	progressAt time.Duration
	namesRuns  bool
	ranBefore  bool

	ownerlessSince time.Duration // since when the former cell has had no reachable owner; 0 if it has one
}

// inherit takes over what the owner of the job's former cell has told of its runs, which its row
// doesn't hold, unless another coordinator may have dispatched the job since.
func (f *follower) inherit(old *follower) {
	left := old.left.Load()
	if left == nil || left.record.Cell != f.record.Cell || left.record.Epoch != f.record.Epoch || !bytes.Equal(left.record.Job, f.record.Job) {
		return
	}
	f.namesRuns, f.ranBefore = left.namesRuns, left.ranBefore
	if left.ownerlessSince > 0 {
		f.formerOwnerless = left.ownerlessSince
	}
	if left.namesRuns {
		f.progress, f.progressAt = left.progress, left.progressAt
	}
}

// moveToSuccessor moves the job to one of the cells that have replaced its own, and reports whether
// it did.
func (f *follower) moveToSuccessor(ctx context.Context) bool {
	cells, ok := f.service().host.Successors(f.record.Cell)
	if !ok {
		return false
	}
	next, ok := f.service().host.ChooseAmong(cells, f.job, f.progress)
	if !ok {
		return false
	}
	f.move(next, f.progress)
	f.awaitReplacement(ctx)
	return true
}

// isReleasedBySuccessors reports whether nothing of the job can run or start outside of its new
// cell, by the word of the owners of the other cells that have replaced its former one. Ends of its
// tasks that are known there count as progress of the job.
func (f *follower) isReleasedBySuccessors(ctx context.Context) bool {
	cells, ok := f.service().host.Successors(f.record.From)
	if !ok || !slices.Contains(cells, f.record.Cell) {
		return false
	}
	for _, cell := range cells {
		if cell == f.record.Cell {
			continue
		}
		ends, ok := f.service().host.ReleaseMoved(ctx, cell, f.record.ID)
		if !ok {
			return false
		}
		f.addEnds(ends)
	}
	return true
}

// addEnds adds ends of tasks that are listed outside of the job's cell.
func (f *follower) addEnds(ends []job.Progress) {
	if len(ends) == 0 {
		return
	}
	f.progress, f.progressAt = job.MergeEnds(f.progressAsOfNow(), ends), f.service().Clock.Now()
	f.begun.Store(true)
}
