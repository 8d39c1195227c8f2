package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// This explorer plays kept jobs, beside others: a table that loses nothing, keepers
// that die and read it again, owners that die at any moment, stand still, wake and
// give their cell up, and orders that are lost or carried out late. What has ended
// at an executor and was noted must be known for good to whoever owns the cell.

const (
	keptArrivals = 10 * time.Second // no new jobs later
	keptTime     = 40 * time.Second
	keeperGone   = 1500 * ms // until another keeper has read the table
)

// keptRow is a job in the table.
type keptRow struct {
	job      *job.Job
	accepted time.Duration
	ended    bool
	state    job.Kind
}

// keptWorld is one play.
type keptWorld struct {
	orders
	owners []*keptOwner
	rows   map[string]*keptRow
	keeper *keeper
	starts map[string]int               // by task
	done   map[string]bool              // tasks that have ended well, as executors know
	failed map[string][]int             // by task: the starts before each noted failure
	before map[string]map[int64]keptEnd // by executor and number of the end
	broken []string
	deaths int
	events int
	dieAt  int  // the newest owner dies at that event; 0 for none
	byStep bool // and there is no other trouble
	quiet  bool
}

// keptEnd is the end of a run as it was.
type keptEnd struct {
	starts int
	lapses int
}

// keptOwner is an owner of the cell and what its host keeps beside.
type keptOwner struct {
	modelProcess
	world   *keptWorld
	cell    *Cell
	waiters map[string]*keeper
	ended   map[string]job.Outcome
	lastRun time.Duration
}

// keeper follows all open jobs.
type keeper struct {
	world *keptWorld
	dead  bool
	epoch map[string]int
	owner map[string]*keptOwner
}

func newKeptWorld(seed uint64) *keptWorld {
	w := &keptWorld{
		rows: map[string]*keptRow{}, starts: map[string]int{}, done: map[string]bool{},
		failed: map[string][]int{}, before: map[string]map[int64]keptEnd{},
	}
	w.random = rand.New(rand.NewPCG(seed, 3))
	w.lasts = w.runLasts
	for i := range 4 {
		e := newModelExecutor(i, 1-maxClockDrift*w.random.Float64())
		e.onEnd, e.onNoted = w.runEnded, w.endNoted
		w.before[e.id] = map[int64]keptEnd{}
		w.executors = append(w.executors, e)
	}
	w.newOwner()
	w.keeper = w.newKeeper()
	return w
}

// runLasts notes the start of a task and draws how it goes.
func (w *keptWorld) runLasts(task string) (time.Duration, EndKind) {
	w.starts[task]++
	w.checkStart(task)
	if w.oneIn(8) {
		return w.between(20*ms, 300*ms), EndFailed
	}
	return w.between(20*ms, 600*ms), EndDone
}

// checkStart checks that a task's turn has come.
func (w *keptWorld) checkStart(task string) {
	id, key, _ := parseTaskName(task)
	row := w.rows[id]
	if row.ended && row.job.Kept && row.state == job.Completed {
		w.breakRule("%s starts after its job was shown as completed", task)
	}
	for _, earlier := range row.job.Steps[key.Step].After {
		for i := range row.job.Steps[earlier].Count {
			if name := row.job.TaskName(job.TaskKey{Step: earlier, Index: i}); !w.done[name] {
				w.breakRule("%s starts before %s is done", task, name)
			}
		}
	}
}

func (w *keptWorld) breakRule(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...)+" at "+w.now.String())
}

func (w *keptWorld) runEnded(e *modelExecutor, end EndedTask) {
	if end.Kind == EndDone {
		w.done[end.Task] = true
	}
	w.before[e.id][end.Number] = keptEnd{starts: w.starts[end.Task], lapses: e.lapses}
}

// endNoted takes that an executor may forget an end: it stands for good, unless all
// leases there have ended meanwhile.
func (w *keptWorld) endNoted(e *modelExecutor, end EndedTask) {
	id, _, _ := parseTaskName(end.Task)
	was := w.before[e.id][end.Number]
	row := w.rows[id]
	if was.lapses != e.lapses || !row.job.Kept {
		return
	}
	switch end.Kind {
	case EndDone:
		w.failed[end.Task+" done"] = []int{was.starts}
	case EndFailed:
		w.failed[end.Task] = append(w.failed[end.Task], was.starts)
	}
}

// checkNoted checks that no task has started after what was noted of it.
func (w *keptWorld) checkNoted() {
	for _, task := range slices.Sorted(maps.Keys(w.starts)) {
		id, _, _ := parseTaskName(task)
		if done, ok := w.failed[task+" done"]; ok && w.starts[task] > done[0] {
			w.breakRule("%s started again after its noted end", task)
		}
		failed := slices.Sorted(slices.Values(w.failed[task]))
		if most := w.rows[id].job.MaxAttempts; len(failed) >= most && w.starts[task] > failed[most-1] {
			w.breakRule("%s started again after %d noted failures", task, most)
		}
	}
}

// newOwner has a host claim the cell.
func (w *keptWorld) newOwner() *keptOwner {
	token := int64(len(w.owners) + 1)
	o := &keptOwner{
		world: w, cell: New(DefaultParams(time.Second, testJobLease, 50*ms), token, w.now),
		waiters: map[string]*keeper{}, ended: map[string]job.Outcome{}, lastRun: w.now,
	}
	w.owners = append(w.owners, o)
	var listed []catalog.Executor
	for i := range w.executors {
		listed = append(listed, testExecutor(i))
	}
	o.handle(func() {
		o.cell.MarkListComplete()
		o.cell.SetExecutors(listed, w.now)
	})
	return o
}

func (w *keptWorld) newest() *keptOwner { return w.owners[len(w.owners)-1] }

func (o *keptOwner) state() *Cell           { return o.cell }
func (o *keptOwner) process() *modelProcess { return &o.modelProcess }

// handle implements orderer.
func (o *keptOwner) handle(event func()) {
	w := o.world
	if o.dead {
		return
	}
	if w.now-o.lastRun > hostStoodStill {
		o.cell.Pause(w.now + pauseAfterStand)
	}
	o.lastRun = w.now
	event()
	w.events++
	dies := o == w.newest() && w.events == w.dieAt
	commands, finished, _ := o.cell.TakeActions()
	for _, command := range commands {
		w.send(o, command)
	}
	for _, f := range finished {
		if f.Outcome.Kind != job.Moved && f.Outcome.Kind != job.Refused {
			o.ended[f.ID] = f.Outcome
		}
		if k := o.waiters[f.ID]; k != nil {
			delete(o.waiters, f.ID)
			outcome := f.Outcome
			w.after(ms, func() { k.take(o, f.ID, outcome) })
		}
	}
	if dies {
		w.dieAt = 0
		w.die(o)
	}
}

// die ends the host of an owner, half of the time that of the keeper with it, and
// has another one claim the cell.
func (w *keptWorld) die(o *keptOwner) {
	w.deaths++
	o.dead = true
	if w.oneIn(2) {
		w.loseKeeper()
	}
	w.after(w.between(100*ms, 700*ms), func() {
		if w.newest() == o {
			w.replace(o)
		}
	})
}

// replace has another host claim the cell, and the keeper hand it its jobs.
func (w *keptWorld) replace(former *keptOwner) {
	w.newOwner()
	w.keeper.ownerLost(former)
}

// freeze has an owner stand still. Nobody waits at it any more when it wakes late.
func (w *keptWorld) freeze(o *keptOwner) {
	o.frozen = w.now + w.between(0, 4*time.Second)
	w.after(frontSuspects, func() {
		if w.now >= o.frozen || o.dead {
			return
		}
		o.waiters = map[string]*keeper{}
		if w.newest() == o {
			w.replace(o)
		}
	})
}

// cutOff has all other hosts lose sight of an owner that goes on.
func (w *keptWorld) cutOff(o *keptOwner) {
	if o.dead {
		return
	}
	o.waiters = map[string]*keeper{}
	w.after(frontSuspects, func() {
		if w.newest() == o {
			w.replace(o)
		}
	})
}

// loseKeeper has the keeper die, and another one read the table later.
func (w *keptWorld) loseKeeper() {
	k := w.keeper
	k.dead = true
	for _, o := range w.owners {
		o.waiters = map[string]*keeper{}
	}
	w.after(w.between(300*ms, keeperGone), func() {
		if w.keeper == k {
			w.keeper = w.newKeeper()
		}
	})
}

// newKeeper makes one that reads the table.
func (w *keptWorld) newKeeper() *keeper {
	k := &keeper{world: w, epoch: map[string]int{}, owner: map[string]*keptOwner{}}
	for _, id := range slices.Sorted(maps.Keys(w.rows)) {
		if row := w.rows[id]; !row.ended && row.job.Kept {
			k.epoch[id] = 2 + int((w.now-row.accepted)/(100*ms))
			k.dispatch(id, nil)
		}
	}
	return k
}

// ownerLost hands the jobs of an owner to the next.
func (k *keeper) ownerLost(former *keptOwner) {
	for _, id := range slices.Sorted(maps.Keys(k.owner)) {
		if k.owner[id] == former {
			k.handOn(id, nil)
		}
	}
}

func (k *keeper) handOn(id string, progress []job.Progress) {
	k.epoch[id]++
	k.dispatch(id, progress)
}

// dispatch hands a job to the newest owner.
func (k *keeper) dispatch(id string, progress []job.Progress) {
	w := k.world
	o := w.newest()
	k.owner[id] = o
	epoch := k.epoch[id]
	w.deliver(o, ms, func() {
		if k.dead || k.owner[id] != o || w.rows[id].ended {
			return
		}
		if o.cell.Fenced() {
			w.after(20*ms, func() { k.take(o, id, job.Outcome{Kind: job.Moved, Reason: "not_owner"}) })
			return
		}
		if outcome, ok := o.ended[id]; ok {
			w.after(ms, func() { k.take(o, id, outcome) })
			return
		}
		o.waiters[id] = k
		o.cell.Submit(Handover{Job: w.rows[id].job, Epoch: epoch, Progress: progress, RenewedAt: max(1, w.now-renewalAge)}, w.now)
	})
	if o.dead {
		w.after(frontSuspects, func() {
			if !k.dead && k.owner[id] == o && w.newest() != o {
				k.handOn(id, nil)
			}
		})
	}
}

// take takes the end of a job at an owner.
func (k *keeper) take(o *keptOwner, id string, outcome job.Outcome) {
	w := k.world
	if k.dead || k.owner[id] != o {
		return
	}
	if outcome.Kind == job.Moved {
		k.handOn(id, outcome.Progress)
		return
	}
	delete(k.owner, id)
	w.after(w.between(5*ms, 400*ms), func() { k.commit(o, id, outcome) })
}

// commit writes the end of a job and tells the owner. Now and then the word is lost.
func (k *keeper) commit(o *keptOwner, id string, outcome job.Outcome) {
	w := k.world
	row := w.rows[id]
	if k.dead {
		return
	}
	row.ended, row.state = true, outcome.Kind
	w.checkEnd(row)
	if !row.job.Kept || w.oneIn(10) {
		return
	}
	w.deliver(o, ms, func() {
		delete(o.ended, id)
		o.cell.EndsPersisted([]string{id}, w.now)
	})
}

// checkEnd checks that a job has ended as it is shown to its caller.
func (w *keptWorld) checkEnd(row *keptRow) {
	if row.state != job.Completed {
		return
	}
	for step := range row.job.Steps {
		for i := range row.job.Steps[step].Count {
			if name := row.job.TaskName(job.TaskKey{Step: step, Index: i}); !w.done[name] {
				w.breakRule("%s is completed though %s isn't done", row.job.ID, name)
			}
		}
	}
}

// ask has the keeper ask for its jobs again.
func (w *keptWorld) ask() {
	if w.now%(100*ms) != 0 {
		return
	}
	for _, o := range w.owners {
		var ids []string
		for _, id := range slices.Sorted(maps.Keys(o.waiters)) {
			if k := o.waiters[id]; !k.dead && k.owner[id] == o {
				ids = append(ids, id)
			}
		}
		at := max(1, w.now-renewalAge)
		if len(ids) > 0 && !o.dead && w.now >= o.frozen {
			o.handle(func() { o.cell.Renew(ids, at, w.now) })
		}
	}
}

// arrive hands a job in: a kept one, or now and then another one beside.
func (w *keptWorld) arrive() {
	id := fmt.Sprintf("job%d", len(w.rows)+1)
	j := keptJob(id, 1+w.random.IntN(3), w.now)
	j.MaxAttempts = 2 + w.random.IntN(2)
	j.Steps[0].Estimate = 300 * ms
	if w.oneIn(2) {
		j.Steps = append(j.Steps, j.Steps[0])
		j.Steps[1].After = []int{0}
	}
	if w.oneIn(4) {
		j.Kept, j.Deadline = false, w.now+5*time.Second
	}
	w.rows[id] = &keptRow{job: j, accepted: w.now}
	if w.keeper.dead {
		return // the next keeper finds it, if it is kept
	}
	w.keeper.epoch[id] = 1
	w.keeper.dispatch(id, nil)
}

// trouble brings a fault now and then.
func (w *keptWorld) trouble() {
	if w.byStep || w.quiet {
		return
	}
	o := w.newest()
	switch w.random.IntN(600) {
	case 0, 1:
		e := w.executors[w.random.IntN(len(w.executors))]
		e.cut = true
		w.after(w.between(0, 3*time.Second), func() { e.cut = false })
	case 2:
		if !o.dead {
			w.replaceAsPlanned(o)
		}
	case 3:
		w.freeze(o)
	case 4:
		if !o.dead {
			w.die(o)
		}
	case 5:
		w.loseKeeper()
	case 6:
		w.cutOff(o)
	}
}

// replaceAsPlanned has another host claim the cell and the former owner give it up.
func (w *keptWorld) replaceAsPlanned(former *keptOwner) {
	w.newOwner()
	w.deliver(former, 20*ms, func() { former.cell.Release("taken over") })
	w.after(2*frontSuspects, func() { w.keeper.ownerLost(former) }) // if it didn't come to it
}

// play runs to the end, or until all jobs have ended.
func (w *keptWorld) play() {
	for w.now < keptTime && len(w.doubles) == 0 {
		w.now += exploreStep
		if w.now < keptArrivals && w.oneIn(30) {
			w.arrive()
		}
		w.quiet = w.now > keptArrivals+10*time.Second
		w.trouble()
		w.ask()
		w.fire()
		for _, o := range w.owners {
			if !o.dead && w.now >= o.frozen {
				o.handle(func() { o.cell.Tick(w.now) })
			}
		}
		if w.now > keptArrivals && w.allEnded() {
			break
		}
	}
	w.checkNoted()
	w.broken = append(w.broken, w.doubles...)
	for _, id := range slices.Sorted(maps.Keys(w.rows)) {
		if row := w.rows[id]; row.job.Kept && !row.ended {
			w.breakRule("%s hasn't ended", id)
		}
	}
}

func (w *keptWorld) allEnded() bool {
	for _, row := range w.rows {
		if row.job.Kept && !row.ended {
			return false
		}
	}
	return true
}

func TestExploredKeptJobsEndOnce(t *testing.T) {
	type scenario struct {
		testName string
		plays    int
		fates    fates
	}
	scenarios := []scenario{
		{testName: "orders are lost", plays: 100},
		{testName: "answers don't say whether orders were carried out", plays: 30, fates: unclearOrders},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			plays := s.plays * max(usualPlays, *explorePlays) / usualPlays
			c := qt.New(t)
			ended, deaths := 0, 0
			var failed []string
			for seed := range uint64(plays) {
				w := newKeptWorld(seed)
				w.fates = s.fates
				w.play()
				deaths += w.deaths
				ended += len(w.rows)
				if len(w.broken) > 0 {
					failed = append(failed, fmt.Sprintf("seed %d: %s", seed, w.broken[0]))
				}
			}
			t.Logf("%d plays, %d jobs, %d owners died", plays, ended, deaths)
			c.Assert(failed, qt.HasLen, 0)
			c.Assert(ended > 40*plays, qt.IsTrue)
			c.Assert(deaths > plays, qt.IsTrue)
		})
	}
}

// The owner dies at each of its events in turn.
func TestExploredKeptJobsOutliveTheirOwnerAtEveryStep(t *testing.T) {
	const steps = 250
	c := qt.New(t)
	var failed []string
	for step := range steps {
		w := newKeptWorld(uint64(step % 7))
		w.byStep, w.calm, w.dieAt = true, true, w.events+1+step*5
		w.play()
		c.Assert(w.deaths, qt.Equals, 1)
		if len(w.broken) > 0 {
			failed = append(failed, fmt.Sprintf("step %d: %s", step, w.broken[0]))
		}
	}
	c.Assert(failed, qt.HasLen, 0)
}
