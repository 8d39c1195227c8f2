package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
)

// Bounds of calls to executors, beyond what a hold waits by itself.
const (
	orderTimeout = 150 * time.Millisecond
	holdSlack    = 200 * time.Millisecond
)

// calls carries out the commands of cells.
type calls struct {
	executors Executors
	clock     func() time.Duration
}

// run carries out a command and feeds its answer back. It doesn't block.
func (c *calls) run(o *owner, command cell.Command) {
	switch command.Kind {
	case cell.Start:
		go c.start(o, command)
	case cell.Stop:
		go c.stop(o, command)
	case cell.Hold:
		go c.hold(o, command)
	}
}

func (c *calls) start(o *owner, command cell.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	verdict, clock := c.executors.Start(ctx, &command.Executor, StartOrder{
		Task: command.Task, Run: command.Run, Spec: command.Spec, Deadline: command.Deadline, Token: command.Token,
	})
	o.node.metrics.OrderAnswered("start", verdict.String())
	if verdict != cell.Accepted {
		o.node.Log.Info("start_refused", "cell", o.cell, "executor", command.Executor.ID, "task", command.Task, "run", command.Run, "verdict", verdict.String())
	}
	o.do(func(state *cell.Cell, now time.Duration) {
		state.StartAnswered(command.Executor.ID, command.Task, command.Run, verdict, clock, now)
	})
}

func (c *calls) stop(o *owner, command cell.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	verdict, clock := c.executors.Stop(ctx, &command.Executor, command.Task, command.Run, command.Token)
	o.node.metrics.OrderAnswered("stop", verdict.String())
	o.do(func(state *cell.Cell, now time.Duration) {
		state.StopAnswered(command.Executor.ID, verdict, clock, now)
	})
}

func (c *calls) hold(o *owner, command cell.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), command.Wait+holdSlack)
	defer cancel()
	sentAt := c.clock()
	answer := c.executors.Hold(ctx, &command.Executor, HoldOrder{
		Deadline: command.Deadline, Token: command.Token, LastSeen: command.LastSeen, Wait: command.Wait,
	})
	o.node.metrics.OrderAnswered("hold", answer.Verdict.String())
	o.do(func(state *cell.Cell, now time.Duration) {
		state.HoldAnswered(command.Executor.ID, answer, sentAt, now)
	})
}
