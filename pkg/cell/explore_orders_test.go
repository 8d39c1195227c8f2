package cell

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// timeline is simulated time, and what is to happen in it.
type timeline struct {
	random *rand.Rand
	now    time.Duration
	later  []event
	spare  []event // room for the next list
}

type event struct {
	at time.Duration
	do func()
}

func (t *timeline) after(d time.Duration, do func()) {
	t.later = append(t.later, event{at: t.now + d, do: do})
}

// between returns a random time of whole milliseconds, most excluded.
func (t *timeline) between(least, most time.Duration) time.Duration {
	return least + time.Duration(t.random.IntN(int((most-least)/ms)))*ms
}

// oneIn reports true once in so many times.
func (t *timeline) oneIn(count int) bool { return t.random.IntN(count) == 0 }

// fire does what is due.
func (t *timeline) fire() {
	due := t.later
	t.later = t.spare[:0]
	for _, e := range due {
		if e.at <= t.now {
			e.do()
		} else {
			t.later = append(t.later, e)
		}
	}
	clear(due)
	t.spare = due
}

// modelProcess is one that may stand still or be gone.
type modelProcess struct {
	frozen time.Duration // stands still until then
	dead   bool
}

// orderer is an owner as its orders see it.
type orderer interface {
	state() *Cell
	process() *modelProcess
	// handle feeds an event into the cell and carries out what comes of it.
	handle(event func())
}

// orders is the way between owners and model executors. Orders are lost, late,
// answered by silence, or carried out seconds later; not where it is calm.
type orders struct {
	timeline
	executors []*modelExecutor
	calm      bool
	fates     fates // of orders; the usual ones when there is no word on them
	doubles   []string
	lasts     func(task string) (time.Duration, EndKind) // how a run goes
}

func (w *orders) executor(id string) *modelExecutor {
	for _, e := range w.executors {
		if e.id == id {
			return e
		}
	}
	return nil
}

// deliver hands an event to an owner once it is awake.
func (w *orders) deliver(o orderer, d time.Duration, event func()) {
	w.after(d, func() {
		p := o.process()
		switch {
		case p.dead:
		case w.now < p.frozen:
			w.deliver(o, p.frozen-w.now, event)
		default:
			o.handle(event)
		}
	})
}

// fates are how many of a hundred orders meet with each trouble.
type fates struct {
	lost       int // never carried out
	delayed    int // carried out seconds later, and not answered
	answerLost int
	slow       int // carried out or answered late
	unclear    int // answered at once by nothing that says whether they were carried out
}

// usualFates are those of a play without a word on them.
var usualFates = fates{lost: 3, delayed: 3, answerLost: 3, slow: 6}

// lateOrders are those of a window in which a fifth of all orders gets no answer and is
// carried out 2 to 10 s later.
var lateOrders = fates{delayed: 20, slow: 6}

// slowOrders are those of full links: copies of a start come before and after its
// deadline.
var slowOrders = fates{lost: 3, slow: 50}

// unclearOrders are those of executors that answer one order in eight by an error that the
// protocol doesn't name.
var unclearOrders = fates{lost: 3, delayed: 3, slow: 6, unclear: 12}

// modelCall is an order on its way, as pkg/node follows it: it is called overdue, and
// listened to for some time more.
type modelCall struct {
	owner   orderer
	command Command
	sentAt  time.Duration
	overdue bool
	over    bool
}

func (w *orders) send(o orderer, command Command) {
	e := w.executor(command.Executor.ID)
	call := &modelCall{owner: o, command: command, sentAt: w.now}
	inTime := w.between(20*ms, 40*ms)
	if command.Kind == Hold {
		inTime += command.Wait
	}
	w.deliver(o, inTime, func() { w.becomeOverdue(call) })
	w.deliver(o, inTime+orderListening, func() { w.answer(call, Unanswered, HoldResponse{Verdict: Unanswered}) })
	w.meetFate(e, call)
}

// meetFate decides what becomes of an order.
func (w *orders) meetFate(e *modelExecutor, call *modelCall) {
	travel := time.Duration(w.random.IntN(3)) * ms
	fate := w.random.IntN(100)
	if e.cut {
		return
	}
	if w.calm {
		travel, fate = ms, 100
	}
	f := w.fates
	if f == (fates{}) {
		f = usualFates
	}
	fate -= f.lost
	if fate < 0 {
		return
	}
	fate -= f.delayed
	if fate < 0 {
		born := e.born
		w.after(2*time.Second+time.Duration(w.random.IntN(8000))*ms, func() {
			if e.born == born { // else it has died with the life that had it
				w.carryOut(e, call.command)
			}
		})
		return
	}
	fate -= f.answerLost
	if fate < 0 {
		w.after(travel, func() { w.carryOut(e, call.command) })
		return
	}
	if e.misanswers {
		f.unclear = 100
	}
	fate -= f.unclear
	if fate < 0 {
		w.after(travel, func() { w.misanswer(e, call) })
		return
	}
	back := ms
	if fate < f.slow {
		travel, back = w.between(0, 400*ms), w.between(ms, 200*ms)
	}
	w.after(travel, func() {
		if !e.cut {
			w.serve(e, call, back)
		}
	})
}

// misanswer answers an order at once by nothing that says whether it was carried out:
// three in four were, and one in eight is later.
func (w *orders) misanswer(e *modelExecutor, call *modelCall) {
	switch lot := w.random.IntN(8); {
	case lot < 6:
		w.carryOut(e, call.command)
	case lot == 6:
		w.after(w.between(0, 2*time.Second), func() { w.carryOut(e, call.command) })
	}
	w.deliver(call.owner, ms, func() { w.answer(call, Unclear, HoldResponse{Verdict: Unclear}) })
}

// serve carries an order out and answers it; a hold waits for an end.
func (w *orders) serve(e *modelExecutor, call *modelCall, back time.Duration) {
	verdict := Unhealthy
	if !e.refuses {
		verdict = w.carryOut(e, call.command)
	}
	answer := HoldResponse{Verdict: verdict, Clock: e.clock(w.now)}
	if call.command.Kind == Hold && call.command.Executor.IsOtherIncarnation(e.born) {
		verdict = verdict.FromOtherIncarnation()
		answer.Verdict = verdict
	}
	if call.command.Kind == Hold && verdict == Accepted {
		w.reportHold(e, call, back, w.now+call.command.Wait)
		return
	}
	w.deliver(call.owner, back, func() { w.answer(call, verdict, answer) })
}

func (w *orders) reportHold(e *modelExecutor, call *modelCall, back, until time.Duration) {
	if call.command.Executor.IsOtherIncarnation(e.born) {
		return // its connection has ended with the life that it was for
	}
	e.pass(w.now)
	ended := e.ends()
	if len(ended) == 0 && w.now < until {
		w.after(exploreStep, func() { w.reportHold(e, call, back, until) })
		return
	}
	answer := HoldResponse{Clock: e.clock(w.now), Running: e.running(), Ended: ended}
	if e.hides {
		answer.UnreadableRuns = max(1, len(answer.Running))
		answer.Running = nil
	}
	w.deliver(call.owner, back, func() { w.answer(call, Accepted, answer) })
}

// becomeOverdue tells the owner that a call hasn't been answered in time.
func (w *orders) becomeOverdue(call *modelCall) {
	if call.over {
		return
	}
	call.overdue = true
	state, command := call.owner.state(), call.command
	switch command.Kind {
	case Start:
		state.StartOverdue(command.Executor.Incarnation(), command.Task, command.Run, w.now)
	case Stop:
		state.StopAnswered(command.Executor.Incarnation(), command.Task, command.Run, Unanswered, 0, w.now)
	case Hold:
		state.HoldOverdue(command.Executor.Incarnation(), call.sentAt, w.now)
	}
}

// answer tells the owner the end of a call.
func (w *orders) answer(call *modelCall, verdict Verdict, hold HoldResponse) {
	if call.over {
		return
	}
	call.over = true
	state, command := call.owner.state(), call.command
	switch {
	case command.Kind == Start && call.overdue:
		state.LateStartAnswered(command.Executor.Incarnation(), command.Task, command.Run, verdict, hold.Clock, w.now)
	case command.Kind == Start:
		state.StartAnswered(command.Executor.Incarnation(), command.Task, command.Run, verdict, hold.Clock, w.now)
	case command.Kind == Stop && !call.overdue:
		state.StopAnswered(command.Executor.Incarnation(), command.Task, command.Run, verdict, hold.Clock, w.now)
	case command.Kind == Hold && call.overdue:
		state.LateHoldAnswered(command.Executor.Incarnation(), hold, call.sentAt, w.now)
	case command.Kind == Hold:
		state.HoldAnswered(command.Executor.Incarnation(), hold, call.sentAt, w.now)
	}
}

// carryOut has an executor obey, and notes a start of a task that runs elsewhere.
func (w *orders) carryOut(e *modelExecutor, command Command) Verdict {
	return e.obey(command, func() (time.Duration, EndKind) {
		for _, other := range w.executors {
			other.pass(w.now)
			if _, ok := other.runs[command.Task]; ok {
				w.doubles = append(w.doubles, fmt.Sprintf("%s: %s and %s at %s", command.Task, other.id, e.id, w.now))
			}
		}
		return w.lasts(command.Task)
	}, w.now)
}
