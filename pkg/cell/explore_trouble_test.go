package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// faults are the kinds of trouble that a play has, beside callers whose
// connections break and planned takeovers.
type faults struct {
	deaths bool  // hosts die
	chains bool  // owners die one after the other
	stands bool  // hosts stand still, also again and again
	words  bool  // what fronts send to owners is held up, and withdrawals are lost
	orders bool  // orders to executors are lost, late or unanswered
	fates  fates // of each order in that trouble; the usual ones when there is no word on them
	rows   bool  // rows and answers of executors can't be read for a while

	refusals bool // executors refuse everything for a while
	lives    bool // executors crash, and begin another life under the id that they had
	unclear  bool // executors answer nothing but errors that the protocol doesn't name, for a while
}

// trouble brings a fault now and then.
func (w *cluster) trouble() {
	d := w.domains[w.random.IntN(len(w.domains))]
	switch kind := w.random.IntN(700); {
	case kind < 2 && w.faults.orders:
		w.cutOff(w.executors[w.random.IntN(len(w.executors))])
	case kind == 2:
		w.takeOverAsPlanned(d)
	case kind == 3 && w.faults.stands:
		w.freeze(d.newest().host, w.between(0, 4*time.Second))
	case kind > 3 && kind < 6 && w.faults.stands:
		w.freezeAgain(w.anyHost(), 3+w.random.IntN(6))
	case kind == 6 && w.faults.deaths:
		w.die(w.anyHost(), w.oneIn(2))
	case kind > 6 && kind < 9 && w.faults.chains:
		d.dying = w.random.IntN(4)
		w.die(d.newest().host, w.oneIn(2))
	case kind == 9 && w.faults.chains:
		w.dieInTurn(d)
	case kind == 10 && w.faults.deaths && w.faults.stands:
		w.dieUnnoticed(d)
	case kind > 10 && kind < 14 && w.faults.rows:
		w.withhold(d, w.random.IntN(len(d.listed)))
	case kind > 13 && kind < 16 && w.faults.rows:
		w.hideRuns(w.executors[w.random.IntN(len(w.executors))])
	case kind > 15 && kind < 20 && w.faults.refusals:
		w.refuse(w.executors[w.random.IntN(len(w.executors))])
	case kind > 19 && kind < 22 && w.faults.unclear:
		w.misanswerAll(w.executors[w.random.IntN(len(w.executors))])
	case kind > 21 && kind < 25 && w.faults.lives:
		w.crash(d, w.random.IntN(len(d.listed)))
	}
}

// crash ends the life of an executor. Another one begins under its id after a while, and
// is listed some time later.
func (w *cluster) crash(d *domain, index int) {
	number := w.numberOf(d, index)
	e := w.executors[number]
	if e.cut {
		return
	}
	w.count.crashes++
	w.note("", "%s crashes", e.id)
	e.cut = true
	e.bear(w.now)
	w.after(w.between(shortestRestart, 3*time.Second), func() {
		e.cut = false
		e.bear(w.now)
		w.after(w.between(0, 2*time.Second), func() { w.list(d, index, e.info(number)) })
	})
}

// refuse has an executor carry out no order for a while, and say so.
func (w *cluster) refuse(e *modelExecutor) {
	w.count.refusals++
	w.note("", "%s refuses everything", e.id)
	e.refuses = true
	w.after(w.between(300*ms, 3*time.Second), func() { e.refuses = false })
}

// misanswerAll has an executor say of no order for a while whether it carried it out.
func (w *cluster) misanswerAll(e *modelExecutor) {
	w.count.misanswered++
	w.note("", "%s misanswers everything", e.id)
	e.misanswers = true
	w.after(w.between(300*ms, 3*time.Second), func() { e.misanswers = false })
}

// withhold has the row of an executor be unreadable for a while.
func (w *cluster) withhold(d *domain, index int) {
	number := w.numberOf(d, index)
	w.count.withheld++
	withheld := w.executors[number].info(number).Withheld()
	if w.faults.lives && w.oneIn(2) { // another writer's row, which lacks when the life began
		withheld = testExecutor(number)
	}
	w.list(d, index, withheld)
	w.after(w.between(0, 2*time.Second), func() { w.list(d, index, w.executors[number].info(number)) })
}

// numberOf returns the number of an executor that a domain lists.
func (w *cluster) numberOf(d *domain, index int) int {
	return slices.IndexFunc(w.executors, func(e *modelExecutor) bool { return e.id == d.listed[index].ID })
}

// list tells the owners of a cell how an executor is listed now.
func (w *cluster) list(d *domain, index int, executor catalog.Executor) {
	d.listed = slices.Clone(d.listed)
	d.listed[index] = executor
	for _, o := range d.owners {
		w.deliver(o, w.between(0, 500*ms), func() { o.cell.SetExecutors(d.listed, w.now) })
	}
}

// hideRuns has an executor's answers hold entries that can't be read for a while.
func (w *cluster) hideRuns(e *modelExecutor) {
	e.hides = true
	w.after(w.between(0, 1500*ms), func() { e.hides = false })
}

// dieUnnoticed has an owner stand still again and again, while a front dies that
// it has jobs of.
func (w *cluster) dieUnnoticed(d *domain) {
	o := d.newest()
	w.freezeAgain(o.host, 3+w.random.IntN(6))
	w.after(w.between(0, 400*ms), func() {
		for _, waiting := range o.waiters {
			if waiting.link != nil {
				w.die(waiting.front, w.oneIn(2))
				return
			}
		}
	})
}

// cutOff has all orders to an executor go unanswered for a while.
func (w *cluster) cutOff(e *modelExecutor) {
	e.cut = true
	w.after(w.between(0, 3*time.Second), func() { e.cut = false })
}

// takeOverAsPlanned has another host claim a cell, and tell the former owner.
func (w *cluster) takeOverAsPlanned(d *domain) {
	former := d.newest()
	w.claim(d, former)
	w.to(former.host, 20*ms, func() {
		former.handle(func() { former.cell.Release("taken over") })
	})
}

// freezeAgain has a host stand still, mostly for a short time, as often as told.
func (w *cluster) freezeAgain(h *host, times int) {
	if h == nil || h.dead || times == 0 {
		return
	}
	d := w.between(20*ms, 640*ms)
	if w.oneIn(5) {
		d = w.between(600*ms, 1500*ms)
	}
	w.freeze(h, d)
	w.after(d+w.between(2*ms, 120*ms), func() { w.freezeAgain(h, times-1) })
}

// endChained ends the host of an owner some time after its claim, as often as the
// domain's trouble says.
func (w *cluster) endChained(d *domain, o *owner) {
	if d.dying == 0 {
		return
	}
	d.dying--
	w.after(w.between(100*ms, 900*ms), func() { w.die(o.host, w.oneIn(2)) })
}

func (w *cluster) dieInTurn(d *domain) {
	var wait time.Duration
	for _, h := range w.hosts {
		if h.domain == d && !h.dead {
			w.after(wait, func() { w.die(h, false) })
			wait += w.between(350*ms, 520*ms)
		}
	}
}
