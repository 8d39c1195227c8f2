package cell

import (
	"strings"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// The explorer of kept jobs with a domain whose number of cells changes from one to two and back.
// Coordinators move jobs out of removed cells as followers of pkg/keeping do.

const (
	// moveDelay is how long after a move its job is dispatched, see EndNoticeDelay in pkg/kept.
	moveDelay = 200 * ms
	// moveRetry is how often a coordinator asks the owners of the other cells.
	moveRetry = 200 * ms
)

// modelDivision is one of several cells of a domain.
type modelDivision struct {
	cells int // of the domain; 0 before a job has a cell
	index int
}

// resize divides the executors into another number of cells, which other hosts claim. The former
// owners learn of it once executors refuse them.
func (w *keptWorld) resize() {
	former := w.newestOwners
	w.division++
	w.newestOwners = make([]*keptOwner, 3-len(former))
	for i := range w.newestOwners {
		w.newOwner(modelDivision{cells: len(w.newestOwners), index: i})
	}
	if w.partialCuts && w.oneIn(2) {
		w.isolateFormer(former)
	}
	w.after(2*heartbeatTimeout, func() { // in case they are dead, or isolated
		for _, o := range former {
			w.coordinator.ownerLost(o)
		}
	})
}

// isolateFormer makes running owners of removed cells unreachable to all other hosts, and an executor
// unreachable to its new owner.
func (w *keptWorld) isolateFormer(former []*keptOwner) {
	for _, o := range former {
		o.waiters = map[string]*coordinator{}
	}
	i := w.random.IntN(len(w.executors))
	w.cutOff(w.executors[i], w.newestOwners[i%len(w.newestOwners)], w.between(0, 10*time.Second))
}

// prepare reports whether a job may be dispatched to its cell now. Otherwise it is dispatched
// later.
func (k *coordinator) prepare(id string, progress []job.Progress) bool {
	w := k.world
	row := w.rows[id]
	cells := len(w.newestOwners)
	if row.cell.cells == 0 {
		row.cell = modelDivision{cells: cells}
		if cells > 1 {
			row.cell.index = w.random.IntN(cells)
		}
	}
	if row.cell.cells != cells {
		if w.withoutMoves {
			delete(k.owner, id)
			return false
		}
		row.cell, row.moved = modelDivision{cells: cells, index: w.random.IntN(cells)}, true
	}
	if !row.moved || w.withoutProof || k.confirmed[id] == w.division {
		return true
	}
	delete(k.owner, id)
	k.confirmLater(id, job.AgeProgress(progress, moveDelay), moveDelay)
	return false
}

// confirmLater asks the owners of the other cells whether a moved job may be dispatched.
func (k *coordinator) confirmLater(id string, progress []job.Progress, delay time.Duration) {
	w := k.world
	division := w.division
	w.after(delay, func() { k.askOthers(id, progress, division, 0) })
}

// askOthers asks the owners of the cells from index on, except that of the job.
func (k *coordinator) askOthers(id string, progress []job.Progress, division, index int) {
	w := k.world
	row := w.rows[id]
	switch {
	case k.dead || row.ended || k.owner[id] != nil:
		return
	case division != w.division:
		k.dispatch(id, progress)
		return
	case index == row.cell.index:
		k.askOthers(id, progress, division, index+1)
		return
	case index >= len(w.newestOwners):
		k.confirmed[id] = division
		k.dispatch(id, progress)
		return
	}
	o := w.newestOwners[index]
	asked := w.now
	answered := false
	w.deliver(o, ms, func() {
		if ends, released := o.releaseMoved(id); released && !answered {
			answered = true
			w.after(ms, func() {
				k.ends[id] = job.MergeEnds(k.ends[id], ends) // kept beyond the loss of an owner
				k.askOthers(id, job.AgeProgress(progress, w.now-asked), division, index+1)
			})
		}
	})
	w.after(moveRetry, func() {
		if !answered {
			answered = true // a later answer is ignored
			k.askOthers(id, job.AgeProgress(progress, moveRetry), division, 0)
		}
	})
}

// releaseMoved corresponds to owner.releaseMoved in pkg/node, for one job whose ends are reported.
func (o *keptOwner) releaseMoved(id string) ([]job.Progress, bool) {
	now := o.world.now
	if o.cell.Fenced() || !o.cell.KnowsKeptRuns(now) {
		return nil, false
	}
	if _, ended := o.ended[id]; ended || len(o.cell.Progress(id)) > 0 || o.cell.HasRunsOf(id) {
		return nil, false
	}
	delete(o.waiters, id)
	o.cell.Withdraw(id, "kept_moved", now)
	return o.cell.ListedEnds(id), true
}

// Guards against kept jobs that run twice at once or stand still when the cells of their domain
// are divided anew.
func TestExploredKeptJobsOutliveTheirCells(t *testing.T) {
	plays := moreInLongRuns(100)
	c := qt.New(t)
	resizes, ended := 0, 0
	faults := exploreKept(plays, func(w *keptWorld) { w.resizes = true }, func(w *keptWorld) {
		resizes += w.division
		ended += len(w.rows)
	})
	t.Logf("%d simulations, %d jobs, %d changes of the number of cells", plays, ended, resizes)
	c.Assert(resizes > plays, qt.IsTrue)
	c.Assert(faults.violations, qt.HasLen, 0)
}

// Guards against tasks of kept jobs that run twice at once: an isolated owner of a removed cell goes
// on with them at an executor that an owner of a new cell doesn't reach.
func TestExploredKeptJobsRunOnceBesideIsolatedOwnersOfRemovedCells(t *testing.T) {
	plays := moreInLongRuns(50)
	c := qt.New(t)
	resizes := 0
	faults := exploreKept(plays, func(w *keptWorld) { w.resizes, w.partialCuts = true, true }, func(w *keptWorld) {
		resizes += w.division
	})
	c.Assert(resizes > plays, qt.IsTrue)
	c.Assert(faults.doubles, qt.HasLen, 0)
}

// The explorer finds jobs that stay in removed cells, and tasks whose ends only executors of other
// cells list.
func TestExplorerFindsFaultsOfMovesBetweenCells(t *testing.T) {
	type scenario struct {
		testName string
		remove   func(w *keptWorld)
		want     string // part of a violation
	}
	scenarios := []scenario{
		{testName: "jobs stay in removed cells", remove: func(w *keptWorld) { w.withoutMoves = true }, want: "hasn't ended"},
		{testName: "the owners of other cells aren't asked", remove: func(w *keptWorld) { w.withoutProof = true }, want: "started again after its forgotten success"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var found []string
			exploreKept(100, func(w *keptWorld) {
				w.resizes = true
				s.remove(w)
			}, func(w *keptWorld) { found = append(found, w.violations...) })
			qt.Assert(t, strings.Join(found, "\n"), qt.Contains, s.want)
		})
	}
}
