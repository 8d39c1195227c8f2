package cell

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// timeline is simulated time and its scheduled events.
type timeline struct {
	random *rand.Rand
	now    time.Duration
	later  []event
	buffer []event // reused for the next list
}

type event struct {
	at time.Duration
	do func()
}

func (t *timeline) after(d time.Duration, do func()) {
	t.later = append(t.later, event{at: t.now + d, do: do})
}

// between returns a random time of whole milliseconds, with most excluded.
func (t *timeline) between(from, limit time.Duration) time.Duration {
	return from + time.Duration(t.random.IntN(int((limit-from)/ms)))*ms
}

// oneIn returns true with a probability of 1/count.
func (t *timeline) oneIn(count int) bool { return t.random.IntN(count) == 0 }

// fire runs the events that are due.
func (t *timeline) fire() {
	due := t.later
	t.later = t.buffer[:0]
	for _, e := range due {
		if e.at <= t.now {
			e.do()
		} else {
			t.later = append(t.later, e)
		}
	}
	clear(due)
	t.buffer = due
}

// modelProcess is a process that may freeze or crash.
type modelProcess struct {
	frozen time.Duration // until this time
	dead   bool
}

// commandSender is an owner as its commands' transport sees it.
type commandSender interface {
	state() *Cell
	process() *modelProcess
	// handle feeds an event into the cell and carries out the resulting actions.
	handle(event func())
}

// transport carries commands and answers between owners and model executors. Unless calm, it
// loses, delays or leaves unanswered some commands, or carries them out seconds later.
type transport struct {
	timeline
	executors []*modelExecutor
	calm      bool
	rates     faultRates // of faults; defaultRates if empty
	doubles   []string
	lasts     func(task string) (time.Duration, EndKind) // draws the duration and the end of a run
}

func (w *transport) executor(id string) *modelExecutor {
	for _, e := range w.executors {
		if e.id == id {
			return e
		}
	}
	return nil
}

// deliver delivers an event to an owner, once it is awake.
func (w *transport) deliver(o commandSender, d time.Duration, event func()) {
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

// faultRates are how many of a hundred commands each fault affects.
type faultRates struct {
	lost       int // never carried out
	delayed    int // carried out seconds later, and not answered
	answerLost int
	slow       int // carried out or answered late
	unclear    int // answered at once without saying whether they were carried out
}

// defaultRates apply if a simulation sets none.
var defaultRates = faultRates{lost: 3, delayed: 3, answerLost: 3, slow: 6}

// lateCommandRates leave a fifth of all commands unanswered and carry them out seconds
// later.
var lateCommandRates = faultRates{delayed: 20, slow: 6}

// slowCommandRates are those of congested links, where copies of a start arrive both
// before and after its deadline.
var slowCommandRates = faultRates{lost: 3, slow: 50}

// unclearAnswerRates have one command in eight answered by an error that the protocol
// doesn't define.
var unclearAnswerRates = faultRates{lost: 3, delayed: 3, slow: 6, unclear: 12}

// modelCall is a command in flight as pkg/node follows it: it becomes overdue, and its
// answer is awaited for lateAnswerWindow after that.
type modelCall struct {
	owner   commandSender
	command Command
	sentAt  time.Duration
	overdue bool
	over    bool
}

func (w *transport) send(o commandSender, command Command) {
	e := w.executor(command.Executor.ID)
	call := &modelCall{owner: o, command: command, sentAt: w.now}
	timeout := w.between(20*ms, 40*ms)
	if command.Kind == Hold {
		timeout += command.Wait
	}
	w.deliver(o, timeout, func() { w.becomeOverdue(call) })
	w.deliver(o, timeout+lateAnswerWindow, func() { w.answer(call, Unanswered, HoldResponse{Verdict: Unanswered}) })
	w.transmit(e, call)
}

// transmit draws the fault that a command meets and schedules its execution and its
// answer.
func (w *transport) transmit(e *modelExecutor, call *modelCall) {
	travel := time.Duration(w.random.IntN(3)) * ms
	draw := w.random.IntN(100)
	if !e.isReachedBy(call.owner) {
		return
	}
	if w.calm {
		travel, draw = ms, 100
	}
	f := w.rates
	if f == (faultRates{}) {
		f = defaultRates
	}
	draw -= f.lost
	if draw < 0 {
		return
	}
	draw -= f.delayed
	if draw < 0 {
		w.carryOutLater(e, call.command, 2*time.Second+time.Duration(w.random.IntN(8000))*ms)
		return
	}
	draw -= f.answerLost
	if draw < 0 {
		w.after(travel, func() { w.carryOut(e, call.command) })
		return
	}
	if e.answersUnclear {
		f.unclear = 100
	}
	draw -= f.unclear
	if draw < 0 {
		w.after(travel, func() { w.serveUnclear(e, call) })
		return
	}
	back := ms
	if draw < f.slow {
		travel, back = w.between(0, 400*ms), w.between(ms, 200*ms)
	}
	w.after(travel, func() {
		if e.isReachedBy(call.owner) {
			w.serve(e, call, back)
		}
	})
}

// cutOff has all commands of an owner to an executor go unanswered for a while.
func (w *transport) cutOff(e *modelExecutor, o commandSender, d time.Duration) {
	e.cutOffFrom[o] = true
	w.after(d, func() { delete(e.cutOffFrom, o) })
}

// carryOutLater has an executor carry a command out later, unless the incarnation that received it
// has ended by then.
func (w *transport) carryOutLater(e *modelExecutor, command Command, d time.Duration) {
	incarnation := e.startedAt
	w.after(d, func() {
		if e.startedAt == incarnation {
			w.carryOut(e, command)
		}
	})
}

// serveUnclear answers a command at once without saying whether it was carried out.
// Six commands in eight are carried out at once, one later, and one never.
func (w *transport) serveUnclear(e *modelExecutor, call *modelCall) {
	switch draw := w.random.IntN(8); {
	case draw < 6:
		w.carryOut(e, call.command)
	case draw == 6:
		w.carryOutLater(e, call.command, w.between(0, 2*time.Second))
	}
	w.deliver(call.owner, ms, func() { w.answer(call, Unclear, HoldResponse{Verdict: Unclear}) })
}

// serve carries a command out and answers it. A hold waits for the end of a run.
func (w *transport) serve(e *modelExecutor, call *modelCall, back time.Duration) {
	verdict := Unhealthy
	if !e.refuses {
		verdict = w.carryOut(e, call.command)
	}
	answer := HoldResponse{Verdict: verdict, Clock: e.clock(w.now)}
	if call.command.Kind == Hold && call.command.Executor.IsOtherIncarnation(e.startedAt) {
		verdict = verdict.FromOtherIncarnation()
		answer.Verdict = verdict
	}
	if call.command.Kind == Hold && verdict == Accepted {
		w.reportHold(e, call, back, w.now+call.command.Wait)
		return
	}
	w.deliver(call.owner, back, func() { w.answer(call, verdict, answer) })
}

func (w *transport) reportHold(e *modelExecutor, call *modelCall, back, until time.Duration) {
	if call.command.Executor.IsOtherIncarnation(e.startedAt) {
		return // the connection ended with the incarnation that the command was for
	}
	e.endDueRuns(w.now)
	ended := e.ends()
	if len(ended) == 0 && w.now < until {
		w.after(exploreStep, func() { w.reportHold(e, call, back, until) })
		return
	}
	answer := HoldResponse{Clock: e.clock(w.now), Running: e.running(), Ended: ended}
	if e.hidesRuns {
		answer.UnreadableRuns = max(1, len(answer.Running))
		answer.Running = nil
	}
	w.deliver(call.owner, back, func() { w.answer(call, Accepted, answer) })
}

// becomeOverdue reports to the owner that a call wasn't answered in time.
func (w *transport) becomeOverdue(call *modelCall) {
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

// answer reports the result of a call to the owner.
func (w *transport) answer(call *modelCall, verdict Verdict, hold HoldResponse) {
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

// carryOut applies a command at an executor, and records a double run if it starts a
// task that already runs at an executor.
func (w *transport) carryOut(e *modelExecutor, command Command) Verdict {
	return e.apply(command, func() (time.Duration, EndKind) {
		for _, other := range w.executors {
			other.endDueRuns(w.now)
			if _, ok := other.runs[command.Task]; ok {
				w.doubles = append(w.doubles, fmt.Sprintf("%s: %s and %s at %s", command.Task, other.id, e.id, w.now))
			}
		}
		return w.lasts(command.Task)
	}, w.now)
}
