package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/rtt"
)

// Bounds of the timeout of calls to executors, in addition to the time that a hold
// request waits at the executor. Between the bounds, recent round trips decide.
const (
	// minRoundTrip applies to a link with negligible delay. A short timeout limits how
	// long a job waits for the retry of a lost command, which matters for jobs of 60 ms; a
	// shorter one gains nothing more (docs/design/unanswered-orders.md).
	minRoundTrip = 25 * time.Millisecond
	// burstBytes may be queued ahead of a command on the host's link: the starts
	// that a cell has in flight (cell.Params.LinkRate), and as much of other traffic.
	burstBytes = 16 << 10
	// maxRoundTrip is short enough that an unanswered hold request is followed by
	// the next one well before the lease that the previous one granted ends.
	maxRoundTrip = 300 * time.Millisecond
)

// calls executes the commands of cells.
type calls struct {
	executors    Executors
	clock        func() time.Duration
	roundTrips   *rtt.Estimator // of start and stop requests, which executors answer at once
	overdueCalls overdueCalls
	workers      *workers[call]
}

// call is a command and the owner that waits for its result.
type call struct {
	owner   *owner
	command cell.Command
}

// newCalls returns calls for a host whose link carries linkRate bytes per second;
// 0 when the rate is not known.
func newCalls(executors Executors, clock func() time.Duration, linkRate float64) *calls {
	shortest := minRoundTrip
	if linkRate > 0 {
		shortest += time.Duration(burstBytes / linkRate * float64(time.Second))
	}
	shortest = min(shortest, maxRoundTrip)
	c := &calls{executors: executors, clock: clock, roundTrips: rtt.NewEstimator(shortest, maxRoundTrip)}
	c.workers = newWorkers(c.execute)
	return c
}

// run executes a command on another goroutine, which passes the result to the owner.
func (c *calls) run(o *owner, command cell.Command) {
	c.workers.run(call{owner: o, command: command})
}

func (c *calls) execute(todo call) {
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
	request := StartRequest{Task: command.Task, Run: command.Run, Spec: command.Spec, Deadline: command.Deadline, Token: command.Token}
	sentAt := c.clock()
	pending := c.overdueCalls.begin(c.roundTrips.Timeout(), func() {
		o.do(func(state *cell.Cell, now time.Duration) {
			state.StartOverdue(command.Executor.Incarnation(), command.Task, command.Run, now)
		})
	})
	result := c.executors.Start(&command.Executor, request, pending.timeout)
	late := pending.finish()
	c.observe(result.Verdict, c.clock()-sentAt)
	o.node.metrics.CommandAnswered("start", result.Verdict.String())
	c.logNotAccepted("start_not_accepted", o, command, result, sentAt)
	o.do(func(state *cell.Cell, now time.Duration) {
		if late {
			state.LateStartAnswered(command.Executor.Incarnation(), command.Task, command.Run, result.Verdict, result.Clock, now)
			return
		}
		state.StartAnswered(command.Executor.Incarnation(), command.Task, command.Run, result.Verdict, result.Clock, now)
	})
}

func (c *calls) stop(o *owner, command *cell.Command) {
	request := StopRequest{Task: command.Task, Run: command.Run, Token: command.Token}
	sentAt := c.clock()
	answered := func(verdict cell.Verdict, clock time.Duration) {
		o.do(func(state *cell.Cell, now time.Duration) {
			state.StopAnswered(command.Executor.Incarnation(), command.Task, command.Run, verdict, clock, now)
		})
	}
	pending := c.overdueCalls.begin(c.roundTrips.Timeout(), func() { answered(cell.Unanswered, 0) })
	result := c.executors.Stop(&command.Executor, request, pending.timeout)
	late := pending.finish()
	c.observe(result.Verdict, c.clock()-sentAt)
	o.node.metrics.CommandAnswered("stop", result.Verdict.String())
	c.logNotAccepted("stop_not_accepted", o, command, result, sentAt)
	if !late {
		answered(result.Verdict, result.Clock)
	}
}

// logNotAccepted logs a command that was not accepted, with the executor's message and clock.
func (c *calls) logNotAccepted(event string, o *owner, command *cell.Command, result CommandResult, sentAt time.Duration) {
	if result.Verdict == cell.Accepted {
		return
	}
	o.node.Log.Info(event, "cell", o.cell, "executor", command.Executor.ID, "task", command.Task, "run", command.Run,
		"verdict", result.Verdict.String(), "told", result.Message, "clock_ms", result.Clock.Milliseconds(), "age_ms", (c.clock() - sentAt).Milliseconds())
}

func (c *calls) hold(o *owner, command *cell.Command) {
	request := HoldRequest{Deadline: command.Deadline, Token: command.Token, AckedEnd: command.AckedEnd, Wait: command.Wait}
	sentAt := c.clock()
	pending := c.overdueCalls.begin(command.Wait+c.roundTrips.Timeout(), func() {
		o.do(func(state *cell.Cell, now time.Duration) {
			state.HoldOverdue(command.Executor.Incarnation(), sentAt, now)
		})
	})
	response := c.executors.Hold(&command.Executor, request, pending.timeout)
	late := pending.finish()
	o.node.metrics.CommandAnswered("hold", response.Verdict.String())
	if response.Message != "" { // the cell logs an unanswered request itself, once
		c.logNotAccepted("hold_not_accepted", o, command, CommandResult{Verdict: response.Verdict, Clock: response.Clock, Message: response.Message}, sentAt)
	}
	o.node.countUnreadableEntries(response)
	o.do(func(state *cell.Cell, now time.Duration) {
		if late {
			state.LateHoldAnswered(command.Executor.Incarnation(), response, sentAt, now)
			return
		}
		state.HoldAnswered(command.Executor.Incarnation(), response, sentAt, now)
	})
}

// observe records the round trip of a command. A call without an answer has none:
// lost messages say nothing about the delay of the link.
func (c *calls) observe(verdict cell.Verdict, trip time.Duration) {
	if verdict != cell.Unreached && verdict != cell.Unanswered {
		c.roundTrips.Observe(trip)
	}
}
