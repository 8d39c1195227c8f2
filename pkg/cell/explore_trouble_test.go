package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// faults selects the faults that a simulation injects, besides closed connections of
// callers and planned takeovers.
type faults struct {
	hostCrashes      bool
	ownerCrashChains bool       // several owners of a cell crash, one after the other
	freezes          bool       // hosts freeze, also repeatedly
	frontMessages    bool       // messages from fronts to owners are delayed, and withdrawals are lost
	commands         bool       // commands to executors are lost, late or unanswered
	rates            faultRates // of the faults of commands; defaultRates if empty
	unreadableRows   bool       // rows and responses of executors can't be read for a while

	refusals        bool // executors refuse all commands for a while
	executorCrashes bool // executors crash and restart under the same id
	unclearAnswers  bool // executors answer only by errors that the protocol doesn't define, for a while
	vanishingRows   bool // rows of executors leave the store for a while; the executors serve on
	partialCuts     bool // an executor is cut off from the newest owner of its cell only, and former owners last

	unseenBreaks  bool // fronts don't notice that connections of callers close
	ignoresLimits bool // fronts set no limits of leases
}

// injectFault injects a random fault in some steps.
func (w *cluster) injectFault() {
	d := w.domains[w.random.IntN(len(w.domains))]
	switch kind := w.random.IntN(700); {
	case kind < 2 && w.faults.commands:
		w.disconnect(w.executors[w.random.IntN(len(w.executors))])
	case kind == 2 && !w.faults.partialCuts:
		w.takeOverGracefully(d)
	case kind == 3 && w.faults.freezes:
		w.freeze(d.newest().host, w.between(0, 4*time.Second))
	case kind > 3 && kind < 6 && w.faults.freezes:
		w.freezeRepeatedly(w.anyHost(), 3+w.random.IntN(6))
	case kind == 6 && w.faults.hostCrashes:
		w.crashHost(w.anyHost(), w.oneIn(2))
	case kind > 6 && kind < 9 && w.faults.ownerCrashChains:
		d.pendingCrashes = w.random.IntN(4)
		w.crashHost(d.newest().host, w.oneIn(2))
	case kind == 9 && w.faults.ownerCrashChains:
		w.crashHostsInTurn(d)
	case kind == 10 && w.faults.hostCrashes && w.faults.freezes:
		w.crashFrontOfFrozenOwner(d)
	case kind > 10 && kind < 14 && w.faults.unreadableRows:
		w.withhold(d, w.random.IntN(len(d.listed)))
	case kind > 13 && kind < 16 && w.faults.unreadableRows:
		w.hideRuns(w.executors[w.random.IntN(len(w.executors))])
	case kind > 15 && kind < 20 && w.faults.refusals:
		w.refuse(w.executors[w.random.IntN(len(w.executors))])
	case kind > 19 && kind < 22 && w.faults.unclearAnswers:
		w.answerUnclearly(w.executors[w.random.IntN(len(w.executors))])
	case kind > 21 && kind < 25 && w.faults.executorCrashes:
		w.crashExecutor(d, w.random.IntN(len(d.listed)))
	case kind > 24 && kind < 30 && w.faults.vanishingRows:
		w.vanish(d, w.random.IntN(len(d.listed)))
	case kind > 29 && kind < 36 && w.faults.partialCuts:
		w.takeOverCutOff(d)
	}
}

// takeOverCutOff has another host claim a cell that doesn't reach one of its executors for a while.
// Half of the time the former owner loses its links to all hosts as well.
func (w *cluster) takeOverCutOff(d *domain) {
	former := d.newest()
	if !former.host.awake() {
		return
	}
	w.count.cut++
	w.claim(d, former)
	next := d.newest()
	e := w.executors[w.numberOf(d, w.random.IntN(len(d.listed)))]
	w.record("", "%s does not reach %s", next.name(), e.id)
	w.cutOff(e, next, w.between(0, 4*time.Second))
	if w.oneIn(2) {
		w.after(w.between(0, heartbeatTimeout), func() { w.resetLinksTo(former) })
	}
	w.handOver(former, next)
}

// handOver has the former owner of a cell release it once the next one has found the takeover
// complete.
func (w *cluster) handOver(former, next *owner) {
	w.deliverTo(next.host, 20*ms, func() {
		if !next.cell.IsTakeoverComplete(w.now) {
			w.handOver(former, next)
			return
		}
		w.deliverTo(former.host, ms, func() {
			former.handle(func() { former.cell.Release("taken over") })
		})
	})
}

// vanish has the row of an executor leave the store for a while. Hosts keep the executor on
// their lists as a withheld one for defaultListRetention.
func (w *cluster) vanish(d *domain, index int) {
	if d.vanished[index] {
		return
	}
	w.count.vanished++
	number := w.numberOf(d, index)
	w.record("", "the row of %s vanishes", w.executors[number].id)
	d.vanished[index] = true
	w.updateListing(d, index, w.executors[number].info(number).Withheld())
	missingFor := w.between(time.Second, 8*time.Second)
	w.after(defaultListRetention, func() {
		if missingFor > defaultListRetention {
			d.dropped[index] = true
			w.announceListing(d)
		}
	})
	w.after(missingFor, func() {
		d.vanished[index], d.dropped[index] = false, false
		w.updateListing(d, index, w.executors[number].info(number))
	})
}

// randomInitialClock draws the initial clock of an executor's next incarnation: zero, within a
// second of the current clock, or an hour ahead of it.
func (w *cluster) randomInitialClock(e *modelExecutor) time.Duration {
	switch w.random.IntN(4) {
	case 0:
		return 0
	case 1:
		return e.clock(w.now) + time.Hour
	}
	return max(ms, e.clock(w.now)+w.between(-time.Second, time.Second))
}

// crashExecutor ends the incarnation of an executor. The next one starts under the
// same id after a while, and is listed some time later.
func (w *cluster) crashExecutor(d *domain, index int) {
	number := w.numberOf(d, index)
	e := w.executors[number]
	if e.disconnected {
		return
	}
	w.count.crashes++
	w.record("", "%s crashes", e.id)
	e.disconnected = true
	initialClock := w.randomInitialClock(e)
	e.restart(initialClock, w.now)
	w.after(w.between(0, 3*time.Second), func() {
		e.disconnected = false
		e.restart(initialClock, w.now)
		w.after(w.between(0, 2*time.Second), func() { w.updateListing(d, index, e.info(number)) })
	})
}

// refuse has an executor refuse all commands for a while.
func (w *cluster) refuse(e *modelExecutor) {
	w.count.refusalPeriods++
	w.record("", "%s refuses all commands", e.id)
	e.refuses = true
	w.after(w.between(300*ms, 3*time.Second), func() { e.refuses = false })
}

// answerUnclearly has an executor answer for a while without saying whether it carried
// a command out.
func (w *cluster) answerUnclearly(e *modelExecutor) {
	w.count.unclearPeriods++
	w.record("", "%s gives unclear answers", e.id)
	e.answersUnclear = true
	w.after(w.between(300*ms, 3*time.Second), func() { e.answersUnclear = false })
}

// withhold makes the row of an executor unreadable for a while.
func (w *cluster) withhold(d *domain, index int) {
	number := w.numberOf(d, index)
	w.count.withheld++
	withheld := w.executors[number].info(number).Withheld()
	if w.faults.executorCrashes && w.oneIn(2) { // a row by another writer, which lacks the start time of the incarnation
		withheld = testExecutor(number)
	}
	w.updateListing(d, index, withheld)
	w.after(w.between(0, 2*time.Second), func() { w.updateListing(d, index, w.executors[number].info(number)) })
}

// numberOf returns the number of an executor that a domain lists.
func (w *cluster) numberOf(d *domain, index int) int {
	return slices.IndexFunc(w.executors, func(e *modelExecutor) bool { return e.id == d.listed[index].ID })
}

// updateListing updates the row of an executor at the owners of a cell. While the row is gone, the
// executor stays withheld.
func (w *cluster) updateListing(d *domain, index int, executor catalog.Executor) {
	if d.vanished[index] {
		executor = executor.Withheld()
	}
	d.listed = slices.Clone(d.listed)
	d.listed[index] = executor
	w.announceListing(d)
}

// announceListing delivers the list of a domain's executors to its owners.
func (w *cluster) announceListing(d *domain) {
	for _, o := range d.owners {
		w.deliver(o, w.between(0, 500*ms), func() { o.cell.SetExecutors(d.listing(), w.now) })
	}
}

// listing returns the executors that hosts have on their lists.
func (d *domain) listing() []catalog.Executor {
	var listing []catalog.Executor
	for index, executor := range d.listed {
		if !d.dropped[index] {
			listing = append(listing, executor)
		}
	}
	return listing
}

// hideRuns makes the runs in an executor's hold responses unreadable for a while.
func (w *cluster) hideRuns(e *modelExecutor) {
	e.hidesRuns = true
	w.after(w.between(0, 1500*ms), func() { e.hidesRuns = false })
}

// crashFrontOfFrozenOwner freezes an owner repeatedly and meanwhile crashes a front
// whose job it has.
func (w *cluster) crashFrontOfFrozenOwner(d *domain) {
	o := d.newest()
	w.freezeRepeatedly(o.host, 3+w.random.IntN(6))
	w.after(w.between(0, 400*ms), func() {
		for _, waiting := range o.waiters {
			if waiting.link != nil {
				w.crashHost(waiting.front, w.oneIn(2))
				return
			}
		}
	})
}

// disconnect has all commands to an executor go unanswered for a while.
func (w *cluster) disconnect(e *modelExecutor) {
	e.disconnected = true
	w.after(w.between(0, 3*time.Second), func() { e.disconnected = false })
}

// takeOverGracefully has another host claim a cell and notify the former owner.
func (w *cluster) takeOverGracefully(d *domain) {
	former := d.newest()
	w.claim(d, former)
	w.deliverTo(former.host, 20*ms, func() {
		former.handle(func() { former.cell.Release("taken over") })
	})
}

// freezeRepeatedly freezes a host the given number of times, mostly for short times.
func (w *cluster) freezeRepeatedly(h *host, times int) {
	if h == nil || h.dead || times == 0 {
		return
	}
	d := w.between(20*ms, 640*ms)
	if w.oneIn(5) {
		d = w.between(600*ms, 1500*ms)
	}
	w.freeze(h, d)
	w.after(d+w.between(2*ms, 120*ms), func() { w.freezeRepeatedly(h, times-1) })
}

// scheduleChainedCrash crashes the host of an owner some time after its claim, if
// crashes are pending in the domain.
func (w *cluster) scheduleChainedCrash(d *domain, o *owner) {
	if d.pendingCrashes == 0 {
		return
	}
	d.pendingCrashes--
	w.after(w.between(100*ms, 900*ms), func() { w.crashHost(o.host, w.oneIn(2)) })
}

func (w *cluster) crashHostsInTurn(d *domain) {
	var wait time.Duration
	for _, h := range w.hosts {
		if h.domain == d && !h.dead {
			w.after(wait, func() { w.crashHost(h, false) })
			wait += w.between(350*ms, 520*ms)
		}
	}
}
