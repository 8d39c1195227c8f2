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

// orders is the way between owners and model executors. Orders are lost,
// answered by silence, or carried out seconds later; not where it is calm.
type orders struct {
	timeline
	executors []*modelExecutor
	calm      bool
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

func (w *orders) send(o orderer, command Command) {
	e := w.executor(command.Executor.ID)
	travel := time.Duration(w.random.IntN(3)) * ms
	fate := w.random.IntN(100)
	if e.cut {
		fate = 0
	}
	if w.calm {
		travel, fate = ms, 99
	}
	sentAt := w.now
	unanswered := func() { w.answer(o, command, Unanswered, HoldAnswer{Verdict: Unanswered}, sentAt) }
	switch {
	case fate < 3: // lost
		w.deliver(o, orderSilence, unanswered)
	case fate < 6: // carried out seconds later
		w.after(2*time.Second+time.Duration(w.random.IntN(8000))*ms, func() { w.carryOut(e, command) })
		w.deliver(o, orderSilence, unanswered)
	case fate < 9: // carried out, the answer is lost
		w.after(travel, func() { w.carryOut(e, command) })
		w.deliver(o, orderSilence, unanswered)
	default:
		w.after(travel, func() { w.serve(o, e, command, sentAt) })
	}
}

// serve carries an order out and answers it; a hold waits for an end.
func (w *orders) serve(o orderer, e *modelExecutor, command Command, sentAt time.Duration) {
	verdict := w.carryOut(e, command)
	answer := HoldAnswer{Verdict: verdict, Clock: e.clock(w.now)}
	if command.Kind == Hold && verdict == Accepted {
		w.reportHold(o, e, command, sentAt, w.now+command.Wait)
		return
	}
	w.deliver(o, ms, func() { w.answer(o, command, verdict, answer, sentAt) })
}

func (w *orders) reportHold(o orderer, e *modelExecutor, command Command, sentAt, until time.Duration) {
	e.pass(w.now)
	ended := e.ends()
	if len(ended) == 0 && w.now < until {
		w.after(exploreStep, func() { w.reportHold(o, e, command, sentAt, until) })
		return
	}
	answer := HoldAnswer{Clock: e.clock(w.now), Running: e.running(), Ended: ended}
	w.deliver(o, ms, func() { w.answer(o, command, Accepted, answer, sentAt) })
}

func (w *orders) answer(o orderer, command Command, verdict Verdict, hold HoldAnswer, sentAt time.Duration) {
	switch command.Kind {
	case Start:
		o.state().StartAnswered(command.Executor.ID, command.Task, command.Run, verdict, hold.Clock, w.now)
	case Stop:
		o.state().StopAnswered(command.Executor.ID, command.Task, command.Run, verdict, hold.Clock, w.now)
	case Hold:
		o.state().HoldAnswered(command.Executor.ID, hold, sentAt, w.now)
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
