package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/rtt"
)

// Bounds of what the way to an executor and back may take, beyond what a hold
// waits by itself. Between them the round trips of late decide.
const (
	// shortestRoundTrip is that on a link that takes no time. With one order in five lost
	// for 5 s, and jobs of 60 ms, callers got 0.53 of the worth of a day with 80 ms, 0.61
	// with 40, 0.64 with 25 and 0.65 with 15 and 10, no more than days differ by.
	shortestRoundTrip = 25 * time.Millisecond
	// burstBytes is what may be ahead of an order on the host's link: the starts
	// that a cell has under way (cell.Params.LinkRate), and as much of the rest.
	burstBytes = 16 << 10
	// longestRoundTrip has a hold that goes unanswered be followed by the next one well
	// before the lease that the one before it gave is over.
	longestRoundTrip = 300 * time.Millisecond
)

// calls carries out the commands of cells.
type calls struct {
	executors Executors
	clock     func() time.Duration
	trips     *rtt.Estimator // of starts and stops, whose executors don't make them wait
	listeners listeners
	workers   *workers[call]
}

// call is a command with the owner that waits for its answer.
type call struct {
	owner   *owner
	command cell.Command
}

// newCalls makes the calls of a host whose link carries linkRate bytes a second;
// 0 when that isn't known.
func newCalls(executors Executors, clock func() time.Duration, linkRate float64) *calls {
	shortest := shortestRoundTrip
	if linkRate > 0 {
		shortest += time.Duration(burstBytes / linkRate * float64(time.Second))
	}
	shortest = min(shortest, longestRoundTrip)
	c := &calls{executors: executors, clock: clock, trips: rtt.NewEstimator(shortest, longestRoundTrip)}
	c.workers = newWorkers(c.carryOut)
	return c
}

// run carries out a command and feeds its answer back. It doesn't block.
func (c *calls) run(o *owner, command cell.Command) {
	c.workers.run(call{owner: o, command: command})
}

func (c *calls) carryOut(todo call) {
	switch todo.command.Kind {
	case cell.Start:
		c.start(todo.owner, &todo.command)
	case cell.Stop:
		c.stop(todo.owner, &todo.command)
	case cell.Hold:
		c.hold(todo.owner, &todo.command)
	}
}

func (c *calls) start(o *owner, command *cell.Command) {
	order := StartOrder{Task: command.Task, Run: command.Run, Spec: command.Spec, Deadline: command.Deadline, Token: command.Token}
	sentAt := c.clock()
	listening := c.listeners.listen(c.trips.Timeout(), func() {
		o.do(func(state *cell.Cell, now time.Duration) {
			state.StartOverdue(command.Executor.Incarnation(), command.Task, command.Run, now)
		})
	})
	answer := c.executors.Start(&command.Executor, order, listening.within)
	late := listening.ended()
	c.observe(answer.Verdict, c.clock()-sentAt)
	o.node.metrics.OrderAnswered("start", answer.Verdict.String())
	c.logNotAccepted("start_not_accepted", o, command, answer, sentAt)
	o.do(func(state *cell.Cell, now time.Duration) {
		if late {
			state.LateStartAnswered(command.Executor.Incarnation(), command.Task, command.Run, answer.Verdict, answer.Clock, now)
			return
		}
		state.StartAnswered(command.Executor.Incarnation(), command.Task, command.Run, answer.Verdict, answer.Clock, now)
	})
}

func (c *calls) stop(o *owner, command *cell.Command) {
	order := StopOrder{Task: command.Task, Run: command.Run, Token: command.Token}
	sentAt := c.clock()
	answered := func(verdict cell.Verdict, clock time.Duration) {
		o.do(func(state *cell.Cell, now time.Duration) {
			state.StopAnswered(command.Executor.Incarnation(), command.Task, command.Run, verdict, clock, now)
		})
	}
	listening := c.listeners.listen(c.trips.Timeout(), func() { answered(cell.Unanswered, 0) })
	answer := c.executors.Stop(&command.Executor, order, listening.within)
	late := listening.ended()
	c.observe(answer.Verdict, c.clock()-sentAt)
	o.node.metrics.OrderAnswered("stop", answer.Verdict.String())
	c.logNotAccepted("stop_not_accepted", o, command, answer, sentAt)
	if !late {
		answered(answer.Verdict, answer.Clock)
	}
}

// logNotAccepted logs an order that was not accepted, with what its answer said: whether the
// run may go on is decided by that.
func (c *calls) logNotAccepted(event string, o *owner, command *cell.Command, answer CommandResult, sentAt time.Duration) {
	if answer.Verdict == cell.Accepted {
		return
	}
	o.node.Log.Info(event, "cell", o.cell, "executor", command.Executor.ID, "task", command.Task, "run", command.Run,
		"verdict", answer.Verdict.String(), "told", answer.Message, "age_ms", (c.clock() - sentAt).Milliseconds())
}

func (c *calls) hold(o *owner, command *cell.Command) {
	order := HoldOrder{Deadline: command.Deadline, Token: command.Token, LastSeen: command.LastSeen, Wait: command.Wait}
	sentAt := c.clock()
	listening := c.listeners.listen(command.Wait+c.trips.Timeout(), func() {
		o.do(func(state *cell.Cell, now time.Duration) {
			state.HoldOverdue(command.Executor.Incarnation(), sentAt, now)
		})
	})
	answer := c.executors.Hold(&command.Executor, order, listening.within)
	late := listening.ended()
	o.node.metrics.OrderAnswered("hold", answer.Verdict.String())
	if answer.Message != "" { // silence is told by the cell, once
		c.logNotAccepted("hold_not_accepted", o, command, CommandResult{Verdict: answer.Verdict, Message: answer.Message}, sentAt)
	}
	o.node.noteAnswer(answer)
	o.do(func(state *cell.Cell, now time.Duration) {
		if late {
			state.LateHoldAnswered(command.Executor.Incarnation(), answer, sentAt, now)
			return
		}
		state.HoldAnswered(command.Executor.Incarnation(), answer, sentAt, now)
	})
}

// observe takes how long an order and its answer took. A call without an answer has
// no round trip: lost ones tell nothing of the link.
func (c *calls) observe(verdict cell.Verdict, trip time.Duration) {
	if verdict != cell.Unreached && verdict != cell.Unanswered {
		c.trips.Observe(trip)
	}
}
