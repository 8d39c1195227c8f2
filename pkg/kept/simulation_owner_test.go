package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

const reasonClosed = "closed"

// modelCell is a cell with its executors, which outlive its owners.
type modelCell struct {
	name    string
	owner   *modelOwner
	running map[string]*modelRun // by job
	ended   map[string]State     // ends of which no notice has arrived
	closed  bool
}

// modelRun is a run of a single-task job.
type modelRun struct {
	owner *modelOwner // the owner that renews its lease
	over  bool
}

// modelOwner is an owner of a cell.
type modelOwner struct {
	sim       *simulation
	cell      *modelCell
	alive     bool
	jobs      map[string]*ownedJob
	outcomes  map[string]State
	cancelled map[string]bool
}

// ownedJob is a job at an owner.
type ownedJob struct {
	askers []*follower
	asked  time.Duration // when a coordinator last waited for it
}

func (sim *simulation) newOwner(cell *modelCell) {
	cell.owner = &modelOwner{sim: sim, cell: cell, alive: true, jobs: map[string]*ownedJob{}, outcomes: map[string]State{}, cancelled: map[string]bool{}}
	cell.owner.tick()
}

// killOwner stops an owner. Its runs continue until their leases expire, and its followers
// learn that it is lost.
func (sim *simulation) killOwner(cell *modelCell) {
	old := cell.owner
	if !old.alive {
		return
	}
	old.alive = false
	for _, j := range old.jobs {
		for _, f := range j.askers {
			sim.after(sim.between(0, 600*ms), func() { f.handleOutcome(job.Outcome{Kind: job.Lost}) })
		}
	}
	for id, run := range cell.running {
		sim.after(leaseTime, func() {
			if run.owner == old && cell.running[id] == run {
				run.over = true
				delete(cell.running, id)
			}
		})
	}
	sim.after(sim.between(100*ms, 1200*ms), func() { sim.newOwner(cell) })
}

// dispatch accepts a job from a coordinator.
func (o *modelOwner) dispatch(f *follower, epoch int) {
	sim, id := o.sim, f.record.ID
	switch {
	case !o.alive:
		sim.after(sim.between(100*ms, 600*ms), func() { f.handleOutcome(job.Outcome{Kind: job.Lost}) })
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
	j := &ownedJob{askers: []*follower{f}, asked: sim.now}
	o.jobs[id] = j
	if epoch == firstEpoch && sim.byID[id].starts > 0 {
		sim.reportViolation("%s was dispatched with the first epoch after it had run", id)
	}
	o.adopt(id, j)
}

// adopt continues with the job's run or end at the executors, or starts the job.
func (o *modelOwner) adopt(id string, j *ownedJob) {
	sim := o.sim
	if state, ended := o.cell.ended[id]; ended {
		o.finish(id, j, state)
		return
	}
	if run := o.cell.running[id]; run != nil {
		run.owner = o
		return
	}
	sim.after(sim.between(0, 150*ms), func() { o.start(id, j) })
}

// start starts a run, unless the cell is closed or no coordinator asks for the job.
func (o *modelOwner) start(id string, j *ownedJob) {
	sim, m := o.sim, o.sim.byID[id]
	if !o.alive || o.jobs[id] != j || o.cell.running[id] != nil {
		return
	}
	if o.cell.closed || sim.now > j.asked+startsAsked {
		sim.after(50*ms, func() { o.start(id, j) })
		return
	}
	for _, cell := range sim.cells {
		if cell.running[id] != nil {
			sim.reportViolation("%s runs twice", id)
		}
	}
	if m.endForgotten && m.done > 0 {
		sim.reportViolation("%s starts after its end was forgotten", id)
	}
	if m.cancelled > 0 && sim.now > m.cancelled+cancelTime {
		sim.reportViolation("%s starts %s after it was cancelled", id, sim.now-m.cancelled)
	}
	m.starts++
	run := &modelRun{owner: o}
	o.cell.running[id] = run
	sim.after(sim.between(20*ms, 900*ms), func() { o.cell.end(id, run) })
}

// end ends a run.
func (c *modelCell) end(id string, run *modelRun) {
	if run.over || c.running[id] != run {
		return
	}
	delete(c.running, id)
	sim := c.owner.sim
	state := Completed
	if sim.chance(0.1) {
		state = Failed
		sim.byID[id].failed++
	} else {
		sim.byID[id].done++
	}
	c.ended[id] = state
	o := run.owner
	if j := o.jobs[id]; j != nil && o.alive {
		sim.after(sim.between(1*ms, 10*ms), func() {
			if o.alive && o.jobs[id] == j {
				o.finish(id, j, state)
			}
		})
	}
}

// finish reports the end of a job to its followers.
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
	sim := f.host.sim
	sim.after(sim.between(1*ms, 10*ms), func() { f.handleOutcome(o) })
}

// handleEndNotice handles the notice that the end of a job is stored: the executors may
// forget it.
func (c *modelCell) handleEndNotice(id string) {
	o := c.owner
	if !o.alive {
		return
	}
	if _, listed := c.ended[id]; listed {
		delete(c.ended, id)
		o.sim.byID[id].endForgotten = true
	}
	o.sim.after(outcomeTime, func() { delete(o.outcomes, id) })
}

// cancel stops a job, whoever waits for it.
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

// release drops a job that was moved to another cell. It reports whether the job runs or
// has run here.
func (o *modelOwner) release(id string) bool {
	if o.cell.running[id] != nil || o.cell.ended[id] != 0 || o.outcomes[id] != 0 {
		return true
	}
	delete(o.jobs, id)
	return false
}

// leave removes a follower of a job.
func (c *modelCell) leave(f *follower) {
	if j := c.owner.jobs[f.record.ID]; j != nil {
		j.askers = without(j.askers, f)
	}
}

// returnJobs returns the jobs that a closed cell does not run.
func (c *modelCell) returnJobs() {
	for id, j := range c.owner.jobs {
		if c.owner.alive && c.running[id] == nil && c.ended[id] == 0 {
			delete(c.owner.jobs, id)
			for _, f := range j.askers {
				f.answer(job.Outcome{Kind: job.Moved, Reason: reasonClosed})
			}
		}
	}
}

// tick drops the jobs that no coordinator has asked for within unaskedTime.
func (o *modelOwner) tick() {
	if !o.alive {
		return
	}
	for id, j := range o.jobs {
		for _, f := range j.askers {
			if !f.over() {
				j.asked = o.sim.now
			}
		}
		if o.sim.now > j.asked+unaskedTime {
			delete(o.jobs, id)
			if run := o.cell.running[id]; run != nil {
				run.over = true
				delete(o.cell.running, id)
			}
		}
	}
	if o.cell.closed {
		o.cell.returnJobs()
	}
	o.sim.after(50*ms, o.tick)
}
