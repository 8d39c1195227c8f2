package kept

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// modelKeeper is a host that is the keeper, or takes itself for it.
type modelKeeper struct {
	world     *world
	keeper    *Coordinator
	alive     bool
	replies   map[uint64]func(Answer)
	followers map[string]*follower
	pumped    time.Duration // when the next look for a group is due; 0 when none is
}

func (w *world) newKeeper() {
	k := &modelKeeper{world: w, keeper: NewCoordinator("p00", jsonCodec{}, &Health{}), alive: true, replies: map[uint64]func(Answer){}, followers: map[string]*follower{}}
	w.keepers = append(w.keepers, k)
	k.load()
	k.tick()
	w.reread()
}

// handle feeds an event into the keeper, if it is alive, and carries out what comes of it.
func (k *modelKeeper) handle(event func()) {
	if !k.alive {
		return
	}
	event()
	effects := k.keeper.TakeEffects()
	for _, answer := range effects.Answers {
		k.reply(answer)
	}
	for _, f := range effects.Follow {
		k.follow(f)
	}
	for _, e := range effects.Ended {
		k.ended(e)
	}
	for _, id := range effects.ReadRows {
		k.look(id, func(*tables.Row) {})
	}
	k.pump()
}

func (k *modelKeeper) tick() {
	k.handle(func() { k.keeper.Expire(k.world.now) })
	if k.alive {
		k.world.after(50*ms, k.tick)
	}
}

// reply answers a caller. One whose job was cancelled hears of it once the owner has.
func (k *modelKeeper) reply(a CallAnswer) {
	reply := k.replies[a.Call]
	if reply == nil {
		return
	}
	delete(k.replies, a.Call)
	delay := k.world.between(1*ms, 10*ms)
	if a.Cell != "" {
		delay += 20 * ms
		k.world.after(10*ms, func() {
			if k.alive {
				k.world.cells[a.Cell].cancel(k.world.asked[a.Call])
			}
		})
	}
	k.world.after(delay, func() {
		if k.alive {
			reply(a.Answer)
		}
	})
}

// pump has the next group written when it is due.
func (k *modelKeeper) pump() {
	w := k.world
	t, ok := k.keeper.Next(w.now)
	if !ok {
		if due, wants := k.keeper.NextWriteAt(); wants && k.pumped <= w.now {
			k.pumped = max(due, w.now+1*ms)
			w.after(k.pumped-w.now, func() { k.handle(func() {}) })
		}
		return
	}
	w.write(t, func(result tables.Result, err error) {
		k.handle(func() { k.keeper.Committed(result, err, w.now) })
	})
}

// write has the store carry a transaction out, with its faults.
func (w *world) write(t tables.Transaction, answered func(tables.Result, error)) {
	carryOut := func() (tables.Result, error) { return w.store.commit(t, w.now) }
	w.after(w.between(2*ms, 15*ms), func() {
		switch {
		case w.now < w.down && w.chance(0.6), w.faulty() && w.chance(0.05):
			w.after(5*ms, func() { answered(tables.Result{}, errDown) })
		case w.faulty() && w.chance(0.15): // the answer is lost
			if w.chance(0.4) {
				carryOut()
			} else if w.chance(0.7) {
				w.after(w.between(50*ms, 4*time.Second), func() { carryOut() })
			}
			w.after(w.between(300*ms, 900*ms), func() { answered(tables.Result{}, errMaybe) })
		default:
			result, err := carryOut()
			w.after(w.between(1*ms, 10*ms), func() { answered(result, err) })
		}
	})
}

// load reads the open jobs.
func (k *modelKeeper) load() {
	w := k.world
	began := w.now
	w.after(w.between(2*ms, 15*ms), func() {
		if w.now < w.down || w.faulty() && w.chance(0.1) {
			w.after(200*ms, k.load)
			return
		}
		rows, at := w.store.read(TableOpen), w.now
		w.after(w.between(1*ms, 40*ms), func() {
			k.handle(func() {
				k.keeper.ObserveClock(at, w.now)
				k.keeper.ApplyOpenRows(rows, began, w.now)
			})
		})
	})
}

// look reads the rows of one job, the open one first, which it hands on.
func (k *modelKeeper) look(id string, then func(open *tables.Row)) {
	w := k.world
	began := w.now
	w.after(w.between(2*ms, 15*ms), func() {
		if w.now < w.down || w.faulty() && w.chance(0.1) {
			w.after(200*ms, func() { k.look(id, then) })
			return
		}
		open := w.store.row(TableOpen, id)
		w.after(w.between(1*ms, 10*ms), func() {
			ended := w.store.row(TableEnded, id)
			w.after(w.between(1*ms, 10*ms), func() {
				k.handle(func() { k.keeper.ApplyRows(id, open, ended, began, w.now) })
				k.handle(func() { then(open) }) // what is known by now has been carried out
			})
		})
	})
}

// cancel cancels a job, by its rows when it isn't known here.
func (k *modelKeeper) cancel(number uint64, id string) {
	if k.keeper.Cancel(number, id, k.world.now+answerTime, k.world.now) {
		return
	}
	k.look(id, func(*tables.Row) {
		if !k.keeper.Cancel(number, id, k.world.now+answerTime, k.world.now) {
			k.reply(CallAnswer{Call: number, Answer: Answer{Verdict: NotFound}})
		}
	})
}

// ended takes that the end of a job lasts, and tells its owner.
func (k *modelKeeper) ended(e EndedJob) {
	if f := k.followers[e.ID]; f != nil {
		f.stop()
	}
	cell := k.world.cells[e.Cell]
	if e.State == Cancelled {
		for _, d := range []time.Duration{0, time.Second, 2 * time.Second} {
			k.world.after(d, func() {
				if k.alive {
					cell.cancel(e.ID)
				}
			})
		}
		return
	}
	k.world.after(EndNoticeDelay, func() {
		if k.alive {
			cell.note(e.ID)
		}
	})
}

// follower follows a job from owner to owner.
type follower struct {
	keeper  *modelKeeper
	record  Record
	epoch   int
	asOf    time.Duration
	since   time.Duration
	handed  bool // it has been handed to an owner
	cleared bool // the cell that it was moved from doesn't run it
	stopped bool
}

func (k *modelKeeper) follow(f FollowRequest) {
	if old := k.followers[f.Record.ID]; old != nil {
		old.stop()
	}
	next := &follower{keeper: k, record: f.Record, epoch: f.Epoch, asOf: f.AsOf, since: k.world.now}
	k.followers[f.Record.ID] = next
	k.world.after(0, next.hand)
}

func (f *follower) stop() {
	f.stopped = true
	f.keeper.world.cells[f.record.Cell].leave(f)
}

func (f *follower) over() bool { return f.stopped || !f.keeper.alive }

// hand gives the job to the owner of its cell.
func (f *follower) hand() {
	w := f.keeper.world
	if f.over() {
		return
	}
	if w.now > f.asOf+RecordFreshness {
		began := w.now
		f.keeper.look(f.record.ID, func(row *tables.Row) {
			if f.keeper.keeper.IsCurrent(f.record.ID, row) {
				f.asOf = began
			}
			w.after(10*ms, f.hand)
		})
		return
	}
	if f.record.From != "" && !f.cleared {
		f.clear()
		return
	}
	owner := w.cells[f.record.Cell].owner
	if !owner.alive {
		w.after(50*ms, f.hand)
		return
	}
	if f.handed || w.now > f.since+epochTime {
		f.epoch = max(f.epoch+1, f.record.EpochAt(f.keeper.keeper.Age(&f.record, w.now)))
	}
	f.handed = true
	epoch := f.epoch
	w.after(w.between(1*ms, 10*ms), func() {
		if w.faulty() && w.chance(0.05) {
			w.after(w.between(100*ms, 600*ms), func() { f.outcome(job.Outcome{Kind: job.Lost}) })
			return
		}
		owner.dispatch(f, epoch)
	})
}

// clear makes sure that the cell that the job was moved from doesn't run it.
func (f *follower) clear() {
	w := f.keeper.world
	from := w.cells[f.record.From].owner
	if w.now < f.since+EndNoticeDelay || !from.alive {
		w.after(50*ms, f.hand)
		return
	}
	w.after(w.between(1*ms, 10*ms), func() {
		if !from.alive || w.faulty() && w.chance(0.1) {
			w.after(200*ms, f.hand)
			return
		}
		runs := from.forsake(f.record.ID)
		w.after(w.between(1*ms, 10*ms), func() {
			f.cleared = !runs
			if runs {
				f.move(f.record.From)
				return
			}
			f.hand()
		})
	})
}

// move gives the job to another cell.
func (f *follower) move(cell string) {
	if f.over() {
		return
	}
	moved := f.record
	moved.Epoch, moved.Cell = f.epoch, cell
	f.keeper.handle(func() { f.keeper.keeper.Move(moved) })
}

// outcome takes how the job has ended at an owner.
func (f *follower) outcome(o job.Outcome) {
	if f.over() {
		return
	}
	k := f.keeper
	switch o.Kind {
	case job.Completed:
		k.handle(func() { k.keeper.Finish(f.record.ID, Completed) })
	case job.Failed:
		k.handle(func() { k.keeper.Finish(f.record.ID, Failed) })
	case job.Moved:
		if o.Reason != reasonClosed {
			f.asOf = 0
			k.world.after(20*ms, f.hand)
			return
		}
		f.move(map[string]string{"x": "y", "y": "x"}[f.record.Cell])
	default:
		k.world.after(20*ms, f.hand)
	}
}
