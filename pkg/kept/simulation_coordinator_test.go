package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// modelCoordinator is a host that coordinates the partition, or believes so.
type modelCoordinator struct {
	sim         *simulation
	coordinator *Coordinator
	alive       bool
	replies     map[uint64]func(Answer)
	followers   map[string]*follower
	nextCheck   time.Duration // when the next check for a group is scheduled; 0 for never
}

func (sim *simulation) newCoordinator() {
	co := &modelCoordinator{sim: sim, coordinator: NewCoordinator("p00", jsonCodec{}, &Health{}), alive: true, replies: map[uint64]func(Answer){}, followers: map[string]*follower{}}
	sim.coordinators = append(sim.coordinators, co)
	co.load()
	co.tick()
	sim.reread()
}

// handle passes an event to the coordinator if its host is alive, and carries out the
// effects.
func (co *modelCoordinator) handle(event func()) {
	if !co.alive {
		return
	}
	event()
	effects := co.coordinator.TakeEffects()
	for _, answer := range effects.Answers {
		co.reply(answer)
	}
	for _, f := range effects.Follow {
		co.follow(f)
	}
	for _, e := range effects.Ended {
		co.handleEnd(e)
	}
	for _, id := range effects.ReadRows {
		co.readJob(id, func(*tables.Row) {})
	}
	co.writeNext()
}

func (co *modelCoordinator) tick() {
	co.handle(func() { co.coordinator.Expire(co.sim.now) })
	if co.alive {
		co.sim.after(50*ms, co.tick)
	}
}

// reply answers a caller. For a cancelled job the owner is notified before.
func (co *modelCoordinator) reply(a CallAnswer) {
	reply := co.replies[a.Call]
	if reply == nil {
		return
	}
	delete(co.replies, a.Call)
	delay := co.sim.between(1*ms, 10*ms)
	if a.Cell != "" {
		delay += 20 * ms
		co.sim.after(10*ms, func() {
			if co.alive {
				co.sim.cells[a.Cell].cancel(co.sim.asked[a.Call])
			}
		})
	}
	co.sim.after(delay, func() {
		if co.alive {
			reply(a.Answer)
		}
	})
}

// writeNext sends the next group when it is due.
func (co *modelCoordinator) writeNext() {
	sim := co.sim
	t, ok := co.coordinator.Next(sim.now)
	if !ok {
		if due, pending := co.coordinator.NextWriteAt(); pending && co.nextCheck <= sim.now {
			co.nextCheck = max(due, sim.now+1*ms)
			sim.after(co.nextCheck-sim.now, func() { co.handle(func() {}) })
		}
		return
	}
	sim.write(t, func(result tables.Result, err error) {
		co.handle(func() { co.coordinator.Committed(result, err, sim.now) })
	})
}

// write sends a transaction to the store, with random faults.
func (sim *simulation) write(t tables.Transaction, answered func(tables.Result, error)) {
	carryOut := func() (tables.Result, error) { return sim.store.commit(t, sim.now) }
	sim.after(sim.between(2*ms, 15*ms), func() {
		switch {
		case sim.now < sim.down && sim.chance(0.6), sim.faulty() && sim.chance(0.05):
			sim.after(5*ms, func() { answered(tables.Result{}, errDown) })
		case sim.faulty() && sim.chance(0.15): // the answer is lost
			if sim.chance(0.4) {
				carryOut()
			} else if sim.chance(0.7) {
				sim.after(sim.between(50*ms, 4*time.Second), func() { carryOut() })
			}
			sim.after(sim.between(300*ms, 900*ms), func() { answered(tables.Result{}, errMaybe) })
		default:
			result, err := carryOut()
			sim.after(sim.between(1*ms, 10*ms), func() { answered(result, err) })
		}
	})
}

// load reads the open jobs.
func (co *modelCoordinator) load() {
	sim := co.sim
	began := sim.now
	sim.after(sim.between(2*ms, 15*ms), func() {
		if sim.now < sim.down || sim.faulty() && sim.chance(0.1) {
			sim.after(200*ms, co.load)
			return
		}
		rows, at := sim.store.read(TableOpen), sim.now
		sim.after(sim.between(1*ms, 40*ms), func() {
			co.handle(func() {
				co.coordinator.ObserveClock(at, sim.now)
				co.coordinator.ApplyOpenRows(rows, began, sim.now)
			})
		})
	})
}

// readJob reads the rows of one job, applies them, and passes the open one to then.
func (co *modelCoordinator) readJob(id string, then func(open *tables.Row)) {
	sim := co.sim
	began := sim.now
	sim.after(sim.between(2*ms, 15*ms), func() {
		if sim.now < sim.down || sim.faulty() && sim.chance(0.1) {
			sim.after(200*ms, func() { co.readJob(id, then) })
			return
		}
		open := sim.store.row(TableOpen, id)
		sim.after(sim.between(1*ms, 10*ms), func() {
			ended := sim.store.row(TableEnded, id)
			sim.after(sim.between(1*ms, 10*ms), func() {
				co.handle(func() { co.coordinator.ApplyRows(id, open, ended, began, sim.now) })
				co.handle(func() { then(open) }) // the effects of the rows have been carried out
			})
		})
	})
}

// cancel cancels a job, after a reading of its rows if it is unknown.
func (co *modelCoordinator) cancel(number uint64, id string) {
	if co.coordinator.Cancel(number, id, co.sim.now+answerTime, co.sim.now) {
		return
	}
	co.readJob(id, func(*tables.Row) {
		if !co.coordinator.Cancel(number, id, co.sim.now+answerTime, co.sim.now) {
			co.reply(CallAnswer{Call: number, Answer: Answer{Verdict: NotFound}})
		}
	})
}

// handleEnd stops following a job whose end is stored and notifies the owner.
func (co *modelCoordinator) handleEnd(e EndedJob) {
	if f := co.followers[e.ID]; f != nil {
		f.stop()
	}
	cell := co.sim.cells[e.Cell]
	if e.State == Cancelled {
		for _, d := range []time.Duration{0, time.Second, 2 * time.Second} {
			co.sim.after(d, func() {
				if co.alive {
					cell.cancel(e.ID)
				}
			})
		}
		return
	}
	co.sim.after(EndNoticeDelay, func() {
		if co.alive {
			cell.handleEndNotice(e.ID)
		}
	})
}

// follower dispatches a job to the successive owners of its cell.
type follower struct {
	host       *modelCoordinator
	record     Record
	epoch      int
	asOf       time.Duration
	since      time.Duration
	dispatched bool // it has been dispatched to an owner
	released   bool // the cell that the job was moved from does not run it
	stopped    bool
}

func (co *modelCoordinator) follow(f FollowRequest) {
	if old := co.followers[f.Record.ID]; old != nil {
		old.stop()
	}
	next := &follower{host: co, record: f.Record, epoch: f.Epoch, asOf: f.AsOf, since: co.sim.now}
	co.followers[f.Record.ID] = next
	co.sim.after(0, next.dispatch)
}

func (f *follower) stop() {
	f.stopped = true
	f.host.sim.cells[f.record.Cell].leave(f)
}

func (f *follower) over() bool { return f.stopped || !f.host.alive }

// dispatch sends the job to the owner of its cell.
func (f *follower) dispatch() {
	sim := f.host.sim
	if f.over() {
		return
	}
	if sim.now > f.asOf+RecordFreshness {
		began := sim.now
		f.host.readJob(f.record.ID, func(row *tables.Row) {
			if f.host.coordinator.IsCurrent(f.record.ID, row) {
				f.asOf = began
			}
			sim.after(10*ms, f.dispatch)
		})
		return
	}
	if f.record.From != "" && !f.released {
		f.confirmReleased()
		return
	}
	owner := sim.cells[f.record.Cell].owner
	if !owner.alive {
		sim.after(50*ms, f.dispatch)
		return
	}
	if f.dispatched || sim.now > f.since+epochInterval {
		f.epoch = max(f.epoch+1, f.record.EpochAt(f.host.coordinator.Age(&f.record, sim.now)))
	}
	f.dispatched = true
	epoch := f.epoch
	sim.after(sim.between(1*ms, 10*ms), func() {
		if sim.faulty() && sim.chance(0.05) {
			sim.after(sim.between(100*ms, 600*ms), func() { f.handleOutcome(job.Outcome{Kind: job.Lost}) })
			return
		}
		owner.dispatch(f, epoch)
	})
}

// confirmReleased checks that the cell that the job was moved from does not run it.
func (f *follower) confirmReleased() {
	sim := f.host.sim
	from := sim.cells[f.record.From].owner
	if sim.now < f.since+EndNoticeDelay || !from.alive {
		sim.after(50*ms, f.dispatch)
		return
	}
	sim.after(sim.between(1*ms, 10*ms), func() {
		if !from.alive || sim.faulty() && sim.chance(0.1) {
			sim.after(200*ms, f.dispatch)
			return
		}
		runs := from.release(f.record.ID)
		sim.after(sim.between(1*ms, 10*ms), func() {
			f.released = !runs
			if runs {
				f.move(f.record.From)
				return
			}
			f.dispatch()
		})
	})
}

// move assigns the job to another cell.
func (f *follower) move(cell string) {
	if f.over() {
		return
	}
	moved := f.record
	moved.Epoch, moved.Cell = f.epoch, cell
	f.host.handle(func() { f.host.coordinator.Move(moved) })
}

// handleOutcome handles the outcome of a dispatch.
func (f *follower) handleOutcome(o job.Outcome) {
	if f.over() {
		return
	}
	co := f.host
	switch o.Kind {
	case job.Completed:
		co.handle(func() { co.coordinator.Finish(f.record.ID, Completed) })
	case job.Failed:
		co.handle(func() { co.coordinator.Finish(f.record.ID, Failed) })
	case job.Moved:
		if o.Reason != reasonClosed {
			f.asOf = 0
			co.sim.after(20*ms, f.dispatch)
			return
		}
		f.move(map[string]string{"x": "y", "y": "x"}[f.record.Cell])
	default:
		co.sim.after(20*ms, f.dispatch)
	}
}
