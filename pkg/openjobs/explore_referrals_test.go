package openjobs

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var referralCount = flag.Int("openjobs.referrals", 400, "number of plays of the simulation of referrals")

const (
	referralDeadline = 12 * time.Second // of a submission, from its receipt
	referralFaults   = 8 * time.Second  // after which nothing fails any more
	referralEnd      = 24 * time.Second
	jobLease         = unrenewedRunTTL - 50*ms
	maxReferrals     = 60 // of a play
)

// referrals simulates one job, two fronts and the owners of two cells of their domain. The caller's
// connections break, so that it submits the job again, while the front before may not notice that; it
// may also receive a submission late. Links between fronts and owners are reset, which loses the
// messages in transit, answers among them, and requests to join the job are lost. In half of the plays
// the fronts don't get each other's announcements, as two hosts that are cut from each other. No run of the job
// may be alive at both owners, and the last submission has to be answered.
type referrals struct {
	random *rand.Rand
	now    time.Duration
	queue  []event
	fronts [2]*referredFront
	owners [2]*referringOwner
	links  [2][2]int // number of resets, by front and owner

	referralRules
	referred     int
	submissions  int
	lastReceived time.Duration
	answered     bool // a submission whose connection had not broken
	isMuted      bool // the fronts don't get each other's announcements
	ranTwice     bool
	twiceSince   time.Duration // when the run began beside which another one is alive; 0 if there is none
	longestTwice time.Duration
	events       []string
}

// referralRules are variants of the simulation.
type referralRules struct {
	refersByMarks bool // owners decide as for fronts of earlier builds
	isLate        bool // submissions may be received so late that two owners can have the job
	goesOnTwice   bool // the owners then don't return it
}

func newReferrals(seed uint64, rules referralRules) *referrals {
	w := &referrals{random: rand.New(rand.NewPCG(seed, 1)), referralRules: rules}
	for i := range 2 {
		w.fronts[i] = &referredFront{world: w, index: i, local: NewLocalJobs(resubmitAfter, unrenewedRunTTL), table: NewTable(unrenewedRunTTL)}
		w.owners[i] = &referringOwner{world: w, index: i, table: NewTable(unrenewedRunTTL), waiters: map[int]*ownedWaiter{}}
	}
	w.isMuted = w.random.IntN(2) == 0
	for i := range 2 {
		w.fronts[i].announce()
		w.owners[i].announce()
	}
	w.submit()
	w.after(w.between(0, time.Second), w.injectReset)
	return w
}

func (w *referrals) logf(format string, arguments ...any) {
	w.events = append(w.events, fmt.Sprintf("%6d ", w.now.Milliseconds())+fmt.Sprintf(format, arguments...))
}

func (w *referrals) after(d time.Duration, do func()) {
	w.queue = append(w.queue, event{at: w.now + max(0, d), do: do})
}

func (w *referrals) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *referrals) transit() time.Duration { return w.between(ms, 40*ms) }

func (w *referrals) run() {
	for len(w.queue) > 0 {
		next := 0
		for i := range w.queue {
			if w.queue[i].at < w.queue[next].at {
				next = i
			}
		}
		e := w.queue[next]
		w.queue = slices.Delete(w.queue, next, next+1)
		if e.at > referralEnd {
			continue
		}
		w.now = e.at
		e.do()
	}
}

// submit has the caller submit the job to a front, and again some time after its connection broke.
// The last connection does not break.
func (w *referrals) submit() {
	w.submissions++
	f, name := w.fronts[w.random.IntN(2)], fmt.Sprint("caller ", w.submissions)
	received, breaks := w.between(0, 40*ms), w.between(0, 2*time.Second)
	if w.random.IntN(3) == 0 {
		received = w.between(0, maxOwnerReceiptDelay-100*ms)
	}
	if w.isLate && w.random.IntN(2) == 0 {
		received = w.between(0, 3*time.Second)
	}
	isLast := w.submissions == 4 || w.now > referralFaults-3*time.Second
	isAnswered, isBroken := false, false
	w.after(received, func() {
		w.logf("front %d receives the job of %s", f.index, name)
		w.lastReceived = w.now
		f.receive(name, func(done bool) {
			isAnswered = isAnswered || done
			w.answered = w.answered || done && !isBroken
		})
	})
	if isLast {
		return
	}
	w.after(breaks, func() {
		if isAnswered {
			return
		}
		isBroken = true
		w.logf("connection of %s breaks", name)
		w.after(resubmitAfter, w.submit)
		if w.random.IntN(3) == 0 {
			w.after(max(0, received-breaks)+w.between(0, maxDetectionDelay), func() { f.callerLeft(name) })
		}
	})
}

// injectReset resets the link between a front and an owner from time to time. The front notices that at
// once, the owner when the lease of the job ends at the latest.
func (w *referrals) injectReset() {
	if w.now > referralFaults {
		return
	}
	w.after(w.between(50*ms, 900*ms), w.injectReset)
	f, o := w.fronts[w.random.IntN(2)], w.owners[w.random.IntN(2)]
	w.reset(f, o)
}

func (w *referrals) reset(f *referredFront, o *referringOwner) {
	w.links[f.index][o.index]++
	w.logf("link between front %d and owner %d is reset", f.index, o.index)
	if waiter := o.waiters[f.index]; waiter != nil {
		w.after(w.between(0, jobLease), func() { o.remove(f.index, waiter) })
	}
	if open := f.open; open != nil && open.dispatchedTo == o {
		open.lose(o)
	}
}

// send delivers a message between a front and an owner, unless the link is reset meanwhile.
func (w *referrals) send(f *referredFront, o *referringOwner, deliver func()) {
	resets := w.links[f.index][o.index]
	w.after(w.transit(), func() {
		if w.links[f.index][o.index] == resets {
			deliver()
		}
	})
}

// referringOwner owns a cell and runs the job there while a front waits for it.
type referringOwner struct {
	world     *referrals
	index     int
	table     *Table
	waiters   map[int]*ownedWaiter // by front
	startsAt  time.Duration
	isRunning bool
	runs      int
}

type ownedWaiter struct {
	receivedAt  time.Duration // by the front
	deadline    time.Duration
	acceptedAt  time.Duration
	isAnnounced bool
	announceNow bool
	answer      func(done bool)
	refer       func(h Holder, hasStarted bool)
}

func (o *referringOwner) address() string { return fmt.Sprint("owner:", o.index) }

// handover is a job as a front hands it over.
type handover struct {
	epoch      int
	receivedAt time.Duration
	deadline   time.Duration
	notBefore  time.Duration
	asked      Asked
}

func (o *referringOwner) submit(f *referredFront, h handover, refer func(h Holder, hasStarted bool), answer func(done bool)) {
	w := o.world
	if holder, mustAsk := o.decide(f, h); mustAsk {
		w.referred++
		w.logf("owner %d refers front %d to %s, epoch %d", o.index, f.index, holder.Front.Address, h.epoch)
		refer(holder, false)
		return
	}
	w.logf("owner %d accepts the job from front %d, epoch %d", o.index, f.index, h.epoch)
	o.waiters[f.index] = &ownedWaiter{receivedAt: h.receivedAt, deadline: h.deadline, acceptedAt: w.now, answer: answer, refer: refer}
	o.startsAt = max(o.startsAt, h.notBefore)
	if o.isRunning {
		return
	}
	o.runs++
	run := o.runs
	w.after(o.startsAt-w.now, func() { o.start(run) })
}

func (o *referringOwner) decide(f *referredFront, h handover) (Holder, bool) {
	w := o.world
	var here []Holder
	for _, i := range slices.Sorted(maps.Keys(o.waiters)) {
		waiter := o.waiters[i]
		here = append(here, Holder{Front: w.fronts[i].front(), Since: waiter.acceptedAt, ExpiresAt: waiter.deadline + unrenewedRunTTL})
	}
	if !w.refersByMarks {
		return MustAsk(f.front(), h.asked, slices.Concat(here, o.table.Holders(jobID, w.now)), w.now)
	}
	if len(here) > 0 {
		if h.epoch > 1 {
			return Holder{}, false
		}
		return MustAsk(f.front(), nil, here, w.now)
	}
	e, isOpen := o.table.Refer(jobID, f.front(), w.now)
	return Holder{Front: e.Front, ExpiresAt: e.ExpiresAt}, isOpen
}

func (o *referringOwner) start(run int) {
	w := o.world
	if o.isRunning || run != o.runs || len(o.waiters) == 0 {
		return
	}
	if other := w.owners[1-o.index]; other.isRunning {
		w.ranTwice = true
		w.twiceSince = w.now
		w.logf("TWICE: owner %d starts the job, which runs at owner %d", o.index, other.index)
	}
	w.logf("owner %d starts the job", o.index)
	o.isRunning = true
	w.after(w.between(500*ms, 4*time.Second), func() {
		if o.isRunning && run == o.runs {
			w.logf("owner %d has completed the job", o.index)
			o.stop()
			o.answerAll(true)
		}
	})
}

func (o *referringOwner) answerAll(done bool) {
	for _, i := range slices.Sorted(maps.Keys(o.waiters)) {
		o.waiters[i].answer(done)
	}
	clear(o.waiters)
}

// remove removes the waiter of a front. The run is stopped with the last one.
func (o *referringOwner) remove(front int, waiter *ownedWaiter) {
	if o.waiters[front] != waiter {
		return
	}
	delete(o.waiters, front)
	if len(o.waiters) == 0 && o.isRunning {
		o.world.logf("owner %d stops the run", o.index)
		o.stop()
	}
}

func (o *referringOwner) stop() {
	w := o.world
	o.isRunning = false
	if w.twiceSince > 0 {
		w.longestTwice = max(w.longestTwice, w.now-w.twiceSince)
		w.twiceSince = 0
	}
}

// announce announces the jobs that run here to the owner of the other cell.
func (o *referringOwner) announce() {
	w := o.world
	w.after(w.between(ScanInterval/2, ScanInterval), o.announce)
	for _, i := range slices.Sorted(maps.Keys(o.waiters)) {
		waiter := o.waiters[i]
		if waiter.isAnnounced || !o.isRunning || !waiter.announceNow && w.now < waiter.receivedAt+OwnerAnnounceAfter(resubmitAfter) {
			continue
		}
		waiter.isAnnounced = true
		announced := []Announcement{{ID: jobID, Remaining: max(0, waiter.deadline-w.now) + unrenewedRunTTL}}
		w.after(w.transit(), func() {
			w.owners[1-o.index].handleAnnouncement(w.fronts[i], o, announced)
		})
	}
}

// handleAnnouncement records the job that the owner of the other cell has for a front, and returns it
// to a front here that lets that one go first.
func (o *referringOwner) handleAnnouncement(front *referredFront, from *referringOwner, announced []Announcement) {
	w := o.world
	o.table.Record(front.front(), from.address(), announced, false, w.now)
	if w.goesOnTwice {
		return
	}
	for _, i := range slices.Sorted(maps.Keys(o.waiters)) {
		waiter := o.waiters[i]
		if i == front.index {
			continue
		}
		if !LetsGoFirst(w.fronts[i].front(), front.front(), o.isRunning) {
			waiter.announceNow = true
			continue
		}
		w.logf("owner %d returns the job to front %d, which lets front %d go first", o.index, i, front.index)
		hasStarted := o.isRunning
		o.remove(i, waiter)
		waiter.refer(Holder{Front: front.front(), ExpiresAt: w.now + announced[0].Remaining}, hasStarted)
	}
}

// referredFront follows the job from owner to owner.
type referredFront struct {
	world *referrals
	index int
	local *LocalJobs
	table *Table
	open  *referredOpen

	runsEndBy time.Duration // of the job that was followed last
	isDone    bool
}

func (f *referredFront) address() string { return fmt.Sprint("front:", f.index) }
func (f *referredFront) front() Front    { return Front{Address: f.address(), Process: "1"} }

// announce announces the open job to the other front and to the owners.
func (f *referredFront) announce() {
	w := f.world
	w.after(w.between(ScanInterval/2, ScanInterval), f.announce)
	batch := f.local.NextBatch(w.now)
	if len(batch) == 0 {
		return
	}
	told := []*Table{w.owners[0].table, w.owners[1].table}
	if !w.isMuted {
		told = append(told, w.fronts[1-f.index].table)
	}
	for _, t := range told {
		w.after(w.transit(), func() { t.Record(f.front(), f.address(), batch, false, w.now) })
	}
}

// referredOpen is the job as a front holds it open.
type referredOpen struct {
	front      *referredFront
	receivedAt time.Duration
	waiters    map[string]func(done bool)
	isFollowed bool
	isJoined   bool
	joins      int
	search     *Search // while it isn't followed
	rejoin     *Search // while it is followed and at no owner
	rejoinEnds time.Duration

	epoch        int
	asked        Asked
	former       *referringOwner
	notBefore    time.Duration
	dispatchedTo *referringOwner
	step         int // increases with each change, so that late answers are ignored
}

func (f *referredFront) receive(name string, answer func(done bool)) {
	if f.open != nil {
		f.open.waiters[name] = answer
		return
	}
	w := f.world
	open := &referredOpen{front: f, receivedAt: w.now, waiters: map[string]func(bool){name: answer}, epoch: 1}
	f.open = open
	f.local.Add(jobID, w.now, w.now, w.now+referralDeadline)
	w.after(referralDeadline, func() {
		if open.isOpen() {
			w.logf("deadline at front %d", f.index)
			open.end(false)
		}
	})
	if f.isDone {
		open.end(true)
		return
	}
	if w.now >= f.runsEndBy && len(f.table.Find(jobID, w.now)) == 0 {
		open.isFollowed = true
		open.dispatch()
		return
	}
	open.searchFor(NewSearch(jobID, f.runsEndBy))
}

func (f *referredFront) callerLeft(name string) {
	open := f.open
	if open == nil || open.waiters[name] == nil {
		return
	}
	delete(open.waiters, name)
	if len(open.waiters) == 0 {
		f.world.logf("front %d gives the job up", f.index)
		open.end(false)
	}
}

func (o *referredOpen) isOpen() bool { return o.front.open == o }

// end ends the job at the front, which withdraws it from its owner.
func (o *referredOpen) end(done bool) {
	f, w := o.front, o.front.world
	f.open = nil
	f.local.Remove(jobID)
	f.isDone = done
	if o.isFollowed && !done {
		f.runsEndBy = w.now + unrenewedRunTTL
	}
	if at := o.dispatchedTo; at != nil && !done {
		waiter := at.waiters[f.index]
		w.send(f, at, func() { at.remove(f.index, waiter) })
	}
	for _, name := range slices.Sorted(maps.Keys(o.waiters)) {
		o.waiters[name](done)
	}
}

// searchFor searches for an earlier submission before the job is handed to an owner.
func (o *referredOpen) searchFor(s *Search) {
	o.search = s
	o.round(s, false, func() {
		o.search = nil
		o.isFollowed = true
		o.epoch = max(o.epoch, 2)
		o.dispatch()
	})
}

// searchAgain searches for other fronts while this one goes on following the job.
func (o *referredOpen) searchAgain() {
	o.rejoin, o.rejoinEnds = NewSearch(jobID, 0), 0
	if o.former != nil {
		o.rejoinEnds = o.notBefore
	}
	o.round(o.rejoin, true, func() {
		o.rejoin = nil
		o.epoch = max(o.epoch, 2)
		o.dispatch()
	})
}

func (o *referredOpen) round(s *Search, follows bool, then func()) {
	f, w := o.front, o.front.world
	if !o.isOpen() {
		return
	}
	o.ask(s, s.Round(f.table, w.now), follows, func() {
		at, mayStart := s.Next(f.table, w.now)
		if !mayStart {
			w.after(at-w.now, func() { o.round(s, follows, then) })
			return
		}
		o.asked = o.asked.Merged(s.Asked())
		then()
	})
}

func (o *referredOpen) ask(s *Search, entries []Entry, follows bool, then func()) {
	f, w := o.front, o.front.world
	if !o.isOpen() {
		return
	}
	if len(entries) == 0 {
		then()
		return
	}
	other := w.fronts[1-f.index]
	isAnswered := false
	answer := func(reply Reply, done bool) {
		if isAnswered || !o.isOpen() {
			return
		}
		isAnswered = true
		if done {
			o.end(true)
			return
		}
		s.HandleReplies(f.table, entries[0], []Reply{reply}, w.now)
		o.ask(s, entries[1:], follows, then)
	}
	if w.now < referralFaults && w.random.IntN(8) == 0 {
		w.after(w.between(10*ms, 300*ms), func() { answer(Reply{}, false) })
		return
	}
	w.after(w.transit(), func() {
		if o.isOpen() {
			other.join(o, follows, func(reply Reply, done bool) { w.after(w.transit(), func() { answer(reply, done) }) })
		}
	})
}

// join answers the other front, which asks to wait for the job.
func (f *referredFront) join(asker *referredOpen, follows bool, answer func(reply Reply, done bool)) {
	w, open := f.world, f.open
	switch {
	case open == nil && f.isDone:
		answer(Reply{}, true)
	case open == nil:
		answer(Reply{Verdict: NotOpen, RunsEndBy: max(w.now, f.runsEndBy)}, false)
	case open.isFollowed:
		open.isJoined = true
		open.joins++
		name := fmt.Sprint("front ", open.joins) // an earlier request of the front may not have ended here
		open.waiters[name] = func(done bool) {
			answer(Reply{Verdict: NotOpen, RunsEndBy: f.runsEndBy}, done)
		}
		open.awaitOrYield(asker, follows, name, answer)
	case open.search != nil && open.search.ShouldYield(f.table, asker.front.front(), f.address(), follows, w.now):
		answer(Reply{Verdict: Yields, RunsEndBy: max(w.now, f.runsEndBy)}, false)
	default:
		answer(Reply{Verdict: Busy}, false)
	}
}

// awaitOrYield keeps the other front waiting, and lets it go first if both follow the job and have no
// owner for it. The front's waiter leaves with its job.
func (o *referredOpen) awaitOrYield(asker *referredOpen, follows bool, name string, answer func(reply Reply, done bool)) {
	f, w := o.front, o.front.world
	switch {
	case !o.isOpen() || o.waiters[name] == nil:
	case !asker.isOpen():
		f.callerLeft(name)
	case follows && o.rejoin != nil && o.rejoin.ShouldYield(f.table, asker.front.front(), f.address(), false, w.now):
		delete(o.waiters, name)
		answer(Reply{Verdict: Yields, RunsEndBy: max(w.now, o.rejoinEnds)}, false)
		if len(o.waiters) == 0 {
			o.end(false)
		}
	default:
		w.after(100*ms, func() { o.awaitOrYield(asker, follows, name, answer) })
	}
}

// dispatch hands the job to an owner: to the former one while its runs may be alive.
func (o *referredOpen) dispatch() {
	f, w := o.front, o.front.world
	if !o.isOpen() {
		return
	}
	to := w.owners[w.random.IntN(2)]
	if o.former != nil && w.now < o.notBefore {
		to = o.former
	}
	h := handover{epoch: o.epoch, receivedAt: o.receivedAt, deadline: o.receivedAt + referralDeadline, asked: maps.Clone(o.asked)}
	if o.former != nil && o.former != to {
		h.notBefore = o.notBefore
	}
	o.dispatchedTo = to
	o.step++
	step := o.step
	isCurrent := func() bool { return o.isOpen() && o.step == step }
	w.send(f, to, func() {
		if !isCurrent() {
			return
		}
		to.submit(f, h, func(holder Holder, hasStarted bool) {
			remaining := holder.ExpiresAt - w.now
			w.send(f, to, func() {
				if !isCurrent() {
					return
				}
				if hasStarted {
					o.former, o.notBefore = to, w.now+unrenewedRunTTL
					o.epoch++
				}
				o.refer(holder.Front, to, remaining)
			})
		}, func(done bool) {
			w.send(f, to, func() {
				if isCurrent() {
					o.dispatchedTo = nil
					o.end(done)
				}
			})
		})
	})
}

func (o *referredOpen) refer(to Front, by *referringOwner, remaining time.Duration) {
	f, w := o.front, o.front.world
	o.dispatchedTo = nil
	f.table.Record(to, by.address(), []Announcement{{ID: jobID, Remaining: remaining}}, false, w.now)
	if o.former != nil || o.isJoined {
		o.searchAgain()
		return
	}
	o.isFollowed = false
	o.searchFor(NewSearch(jobID, 0))
}

// lose handles that the link to the owner was reset.
func (o *referredOpen) lose(owner *referringOwner) {
	f, w := o.front, o.front.world
	o.dispatchedTo = nil
	o.step++
	o.former, o.notBefore = owner, w.now+unrenewedRunTTL
	o.epoch++
	w.after(redispatchDelay, func() {
		switch {
		case !o.isOpen() || o.dispatchedTo != nil:
		case len(f.table.Find(jobID, w.now)) == 0:
			o.dispatch()
		default:
			o.searchAgain()
		}
	})
}

func (w *referrals) fault() string {
	switch {
	case w.ranTwice:
		return "the job ran twice at once"
	case !w.answered && w.lastReceived+referralDeadline < referralEnd:
		return "the last submission was not answered"
	case w.referred > maxReferrals:
		return fmt.Sprintf("%d referrals", w.referred)
	}
	return ""
}

// Guards against two owners of one domain that run a job at once, and against fronts that are referred
// back and forth until a job's deadline.
func TestExploredReferralsNeverDoubleOrLoseAJob(t *testing.T) {
	referred, most := 0, 0
	var failed []string
	for seed := *firstSeed; seed < *firstSeed+uint64(*referralCount); seed++ {
		w := newReferrals(seed, referralRules{})
		w.run()
		referred += w.referred
		most = max(most, w.referred)
		if fault := w.fault(); fault != "" {
			failed = append(failed, fmt.Sprintf("%d (%s)", seed, fault))
			if len(failed) <= *logCount {
				t.Errorf("seed %d: %s\n%s", seed, fault, strings.Join(w.events, "\n"))
			}
		}
	}
	if len(failed) > 0 {
		t.Errorf("%d of %d plays failed: %s", len(failed), *referralCount, strings.Join(failed[:min(len(failed), 50)], "; "))
	}
	t.Logf("%d plays: %d referrals, at most %d in one", *referralCount, referred, most)
	if referred == 0 {
		t.Errorf("the simulated faults cause no referrals")
	}
}

// longestOpenTwice is how long two owners can have runs of a job at most, after which one of them has
// the other's announcement and has returned the job.
func longestOpenTwice() time.Duration {
	return OwnerAnnounceAfter(resubmitAfter) + ScanInterval + transitTime
}

// Guards against two owners that run a job until its deadlines: a submission may be received too late
// for the announcements.
func TestExploredJobsThatAreOpenTwiceEndAtOneOwner(t *testing.T) {
	twice := 0
	for _, rules := range []referralRules{{isLate: true}, {isLate: true, goesOnTwice: true}} {
		longest, faults := time.Duration(0), 0
		for seed := *firstSeed; seed < *firstSeed+uint64(*referralCount); seed++ {
			w := newReferrals(seed, rules)
			w.run()
			if w.ranTwice {
				twice++
			}
			longest = max(longest, w.longestTwice)
			w.ranTwice = false // not prevented, but bounded
			fault := w.fault()
			if fault == "" && w.longestTwice > longestOpenTwice() {
				fault = fmt.Sprintf("two runs for %s", w.longestTwice)
			}
			if fault == "" {
				continue
			}
			if faults++; faults <= *logCount && !rules.goesOnTwice {
				t.Errorf("seed %d: %s\n%s", seed, fault, strings.Join(w.events, "\n"))
			}
		}
		t.Logf("%+v: %d plays, %d of them failed; two runs for %s at most", rules, *referralCount, faults, longest)
		if isFailure := faults > 0; isFailure != rules.goesOnTwice {
			t.Errorf("%+v: %d of %d plays failed", rules, faults, *referralCount)
		}
	}
	if twice == 0 {
		t.Errorf("the simulated late receipts don't bring a job to two owners")
	}
}

// The simulation has to find the double runs of owners that go by what they have answered.
func TestExploredReferralsByMarksDoubleJobs(t *testing.T) {
	for seed := range uint64(20000) {
		w := newReferrals(seed, referralRules{refersByMarks: true, goesOnTwice: true})
		w.run()
		if w.ranTwice {
			t.Logf("seed %d", seed)
			return
		}
	}
	t.Errorf("the simulation finds no double run")
}
