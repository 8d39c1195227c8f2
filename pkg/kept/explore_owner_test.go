package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

const reasonClosed = "closed"

// modelCell is a cell: its executors, which outlive its owners.
type modelCell struct {
	name    string
	owner   *modelOwner
	running map[string]*modelRun // by job
	ended   map[string]State     // ends that haven't been noted
	closed  bool
}

// modelRun is a run of a job of one task.
type modelRun struct {
	owner *modelOwner // that renews its lease
	over  bool
}

// modelOwner is an owner of a cell.
type modelOwner struct {
	world     *world
	cell      *modelCell
	alive     bool
	jobs      map[string]*ownedJob
	outcomes  map[string]State
	cancelled map[string]bool
}

// ownedJob is a job at an owner.
type ownedJob struct {
	askers []*follower
	asked  time.Duration // when a keeper was last known to wait
}

func (w *world) newOwner(cell *modelCell) {
	cell.owner = &modelOwner{world: w, cell: cell, alive: true, jobs: map[string]*ownedJob{}, outcomes: map[string]State{}, cancelled: map[string]bool{}}
	cell.owner.tick()
}

// killOwner has an owner die. Its runs go on until their leases end, and those that
// wait for it learn of its death.
func (w *world) killOwner(cell *modelCell) {
	old := cell.owner
	if !old.alive {
		return
	}
	old.alive = false
	for _, j := range old.jobs {
		for _, f := range j.askers {
			w.after(w.between(0, 600*ms), func() { f.outcome(job.Outcome{Kind: job.Lost}) })
		}
	}
	for id, run := range cell.running {
		w.after(leaseTime, func() {
			if run.owner == old && cell.running[id] == run {
				run.over = true
				delete(cell.running, id)
			}
		})
	}
	w.after(w.between(100*ms, 1200*ms), func() { w.newOwner(cell) })
}

// dispatch takes a job from a keeper.
func (o *modelOwner) dispatch(f *follower, epoch int) {
	w, id := o.world, f.record.ID
	switch {
	case !o.alive:
		w.after(w.between(100*ms, 600*ms), func() { f.outcome(job.Outcome{Kind: job.Lost}) })
		return
	case o.cancelled[id]:
		f.answer(job.Outcome{Kind: job.Moved, Reason: "kept_cancelled"})
		return
	case o.outcomes[id] != 0:
		f.answer(outcomeOf(o.outcomes[id]))
		return
	}
	if j := o.jobs[id]; j != nil {
		j.askers = append(j.askers, f)
		return
	}
	j := &ownedJob{askers: []*follower{f}, asked: w.now}
	o.jobs[id] = j
	if epoch == firstEpoch && w.byID[id].starts > 0 {
		w.breaks("%s was handed over as if nothing of it had run", id)
	}
	o.adopt(id, j)
}

// adopt goes on with what the executors tell of a job.
func (o *modelOwner) adopt(id string, j *ownedJob) {
	w := o.world
	if state, ended := o.cell.ended[id]; ended {
		o.finish(id, j, state)
		return
	}
	if run := o.cell.running[id]; run != nil {
		run.owner = o
		return
	}
	w.after(w.between(0, 150*ms), func() { o.start(id, j) })
}

// start begins a run, unless the cell is closed or nobody asks for the job.
func (o *modelOwner) start(id string, j *ownedJob) {
	w, m := o.world, o.world.byID[id]
	if !o.alive || o.jobs[id] != j || o.cell.running[id] != nil {
		return
	}
	if o.cell.closed || w.now > j.asked+startsAsked {
		w.after(50*ms, func() { o.start(id, j) })
		return
	}
	for _, cell := range w.cells {
		if cell.running[id] != nil {
			w.breaks("%s runs twice", id)
		}
	}
	if m.noted && m.done > 0 {
		w.breaks("%s starts after its noted end", id)
	}
	if m.cancelled > 0 && w.now > m.cancelled+cancelTime {
		w.breaks("%s starts %s after it was cancelled", id, w.now-m.cancelled)
	}
	m.starts++
	run := &modelRun{owner: o}
	o.cell.running[id] = run
	w.after(w.between(20*ms, 900*ms), func() { o.cell.end(id, run) })
}

// end has a run end by itself.
func (c *modelCell) end(id string, run *modelRun) {
	if run.over || c.running[id] != run {
		return
	}
	delete(c.running, id)
	w := c.owner.world
	state := Completed
	if w.chance(0.1) {
		state = Failed
		w.byID[id].failed++
	} else {
		w.byID[id].done++
	}
	c.ended[id] = state
	o := run.owner
	if j := o.jobs[id]; j != nil && o.alive {
		w.after(w.between(1*ms, 10*ms), func() {
			if o.alive && o.jobs[id] == j {
				o.finish(id, j, state)
			}
		})
	}
}

// finish tells the keepers how a job has ended.
func (o *modelOwner) finish(id string, j *ownedJob, state State) {
	delete(o.jobs, id)
	o.outcomes[id] = state
	for _, f := range j.askers {
		f.answer(outcomeOf(state))
	}
}

func outcomeOf(state State) job.Outcome {
	if state == Failed {
		return job.Outcome{Kind: job.Failed}
	}
	return job.Outcome{Kind: job.Completed}
}

// answer sends an outcome to a follower.
func (f *follower) answer(o job.Outcome) {
	w := f.keeper.world
	w.after(w.between(1*ms, 10*ms), func() { f.outcome(o) })
}

// note takes that the end of a job lasts: the executors may forget it.
func (c *modelCell) note(id string) {
	o := c.owner
	if !o.alive {
		return
	}
	if _, listed := c.ended[id]; listed {
		delete(c.ended, id)
		o.world.byID[id].noted = true
	}
	o.world.after(outcomeTime, func() { delete(o.outcomes, id) })
}

// cancel ends a job whoever waits for it.
func (c *modelCell) cancel(id string) {
	o := c.owner
	if !o.alive {
		return
	}
	o.cancelled[id] = true
	if j := o.jobs[id]; j != nil {
		delete(o.jobs, id)
		for _, f := range j.askers {
			f.answer(job.Outcome{Kind: job.Moved, Reason: "kept_cancelled"})
		}
	}
	if run := c.running[id]; run != nil {
		run.over = true
		delete(c.running, id)
	}
}

// forsake drops a job that was moved away, and reports whether it runs or has run here.
func (o *modelOwner) forsake(id string) bool {
	if o.cell.running[id] != nil || o.cell.ended[id] != 0 || o.outcomes[id] != 0 {
		return true
	}
	delete(o.jobs, id)
	return false
}

// leave takes a keeper off those that ask for a job.
func (c *modelCell) leave(f *follower) {
	if j := c.owner.jobs[f.record.ID]; j != nil {
		j.askers = without(j.askers, f)
	}
}

// giveBack hands back what a closed cell doesn't run.
func (c *modelCell) giveBack() {
	for id, j := range c.owner.jobs {
		if c.owner.alive && c.running[id] == nil && c.ended[id] == 0 {
			delete(c.owner.jobs, id)
			for _, f := range j.askers {
				f.answer(job.Outcome{Kind: job.Moved, Reason: reasonClosed})
			}
		}
	}
}

// tick lets time pass for an owner: it drops what no keeper has asked for for long.
func (o *modelOwner) tick() {
	if !o.alive {
		return
	}
	for id, j := range o.jobs {
		for _, f := range j.askers {
			if !f.over() {
				j.asked = o.world.now
			}
		}
		if o.world.now > j.asked+unaskedTime {
			delete(o.jobs, id)
			if run := o.cell.running[id]; run != nil {
				run.over = true
				delete(o.cell.running, id)
			}
		}
	}
	if o.cell.closed {
		o.cell.giveBack()
	}
	o.world.after(50*ms, o.tick)
}
