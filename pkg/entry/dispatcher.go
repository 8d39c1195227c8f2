package entry

import (
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/foxcroft/foxcroft/pkg/retry"
	"github.com/foxcroft/foxcroft/pkg/route"
	"github.com/foxcroft/foxcroft/pkg/schedule"
	"github.com/foxcroft/foxcroft/pkg/target"
	"github.com/pkg/errors"
)

// finishFunc receives the answer of a job that a dispatcher has ended.
type finishFunc func(j *job, answer *once.Answer)

// dispatcher carries out the decisions of the scheduler of one pool: it makes the
// attempts and sends the messages about lent slots. Nothing blocks while mu is held.
type dispatcher struct {
	*common.Common
	pool    string
	client  *target.Client
	metrics *metrics.Metrics
	finish  finishFunc
	send    lendingSender

	mu        sync.Mutex
	scheduler *schedule.Scheduler[*job]
	batch     time.Duration // how long a lending message that is not urgent may wait
	wakeAt    time.Duration // when the timer fires, if later than now
	timer     *time.Timer
}

// idleReturnWait is how long borrowed slots for which no demand is known are retained,
// so that several are returned in one message.
const idleReturnWait = 5 * time.Millisecond

type start = schedule.Start[*job]

func newDispatcher(c *common.Common, host, pool string, retryRatio float64, client *target.Client, m *metrics.Metrics, finish finishFunc, send lendingSender) *dispatcher {
	d := &dispatcher{
		Common:    c.With("pool", pool),
		pool:      pool,
		client:    client,
		metrics:   m,
		finish:    finish,
		send:      send,
		scheduler: schedule.New[*job](host, retryRatio),
	}
	d.timer = time.AfterFunc(time.Hour, func() { d.update(func() {}) })
	return d
}

// update changes the scheduler's state and carries out the resulting decisions.
func (d *dispatcher) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.launch(d.pump())
}

// admit decides whether a job is admitted.
func (d *dispatcher) admit(j *job) *errkind.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	request := schedule.Request{
		Team:     j.team.Name,
		Tasks:    len(j.tasks),
		Left:     j.deadline - d.Clock.Now(),
		MaxQueue: j.service.MaxQueue,
	}
	return d.scheduler.Admit(request, common.Unit())
}

// enqueue queues a job that may start. It drops a job that has ended, since stop has
// already looked for it in the queue.
func (d *dispatcher) enqueue(j *job) {
	d.update(func() {
		if !j.hasEnded() {
			d.scheduler.Add(j.item)
		}
	})
}

// stop ends a job early; see job.stop.
func (d *dispatcher) stop(j *job, err *errkind.Error) {
	answer := j.stop(err)
	if answer == nil {
		return
	}
	d.update(func() { d.scheduler.Drop(j.item) })
	d.finish(j, answer)
}

// pump runs the scheduler, sends the lending messages and returns the tasks to start.
// The caller holds mu.
func (d *dispatcher) pump() []start {
	now := d.Clock.Now()
	starts, messages := d.scheduler.Pump(now, common.Unit)
	for _, message := range messages {
		wait := max(d.batch, idleReturnWait)
		if message.Urgent {
			wait = 0
		}
		if !d.send(d.pool, message, wait) {
			d.scheduler.Lending().Undelivered(message)
		}
	}
	d.setTimer(now)
	return starts
}

func (d *dispatcher) setTimer(now time.Duration) {
	at, ok := d.scheduler.WakeAt(now)
	if !ok || d.wakeAt > now && d.wakeAt <= at {
		return
	}
	d.wakeAt = at
	d.timer.Reset(at - now)
}

func (d *dispatcher) launch(starts []start) {
	for _, s := range starts {
		go d.run(s)
	}
}

// run makes attempts, one after another, until there is no next task.
func (d *dispatcher) run(s start) {
	for {
		next, ok := d.attempt(s)
		if !ok {
			return
		}
		s = next
	}
}

// attempt makes one attempt and returns the next task for the same goroutine.
func (d *dispatcher) attempt(s start) (start, bool) {
	j := s.Item.Job
	index := j.takeIndex()
	wasWritten := false
	result := d.client.Run(j.ctx, target.Attempt{
		Address: s.Address,
		Task:    j.taskName(index),
		Payload: j.tasks[index],
		MayWrite: func() bool {
			wasWritten = j.mayWrite(d.Clock.Now())
			return wasWritten
		},
	})
	d.metrics.AttemptEnded(j.labels, resultName(result.Err), s.Began-j.received)
	again := d.recordResult(j, index, result, wasWritten)
	return d.complete(s, outcomeOf(result), again)
}

// recordResult applies a result to its job and reports whether the task waits again.
func (d *dispatcher) recordResult(j *job, index int, result target.Result, wasWritten bool) bool {
	if result.Err == nil {
		if j.succeed(index, result.Output) {
			d.finish(j, j.completeAnswer())
		}
		return false
	}
	if result.Progress.MayRetry() {
		return j.notStarted(index, wasWritten)
	}
	d.stop(j, j.whyEnded(result.Err))
	return false
}

func (d *dispatcher) complete(s start, outcome route.Outcome, again bool) (start, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Complete(s, outcome, again, d.Clock.Now())
	starts := d.pump()
	if len(starts) == 0 {
		return start{}, false
	}
	d.launch(starts[1:])
	return starts[0], true
}

func resultName(err *errkind.Error) string {
	if err == nil {
		return "served"
	}
	return string(err.Kind)
}

func outcomeOf(result target.Result) route.Outcome {
	switch {
	case result.Err == nil || result.Err.Kind == errkind.TaskFailed:
		return route.Served
	case result.Leaving:
		return route.LeavingNow
	case result.Progress == retry.RefusedIdle:
		return route.Full
	case errors.Is(result.Err, target.ErrWithdrawn):
		return route.Withdrawn
	}
	return route.Unreachable
}

// setLeaving applies the platform's list of leaving targets, by address.
func (d *dispatcher) setLeaving(leaving map[string]bool) {
	d.update(func() {
		for address, isLeaving := range leaving {
			d.scheduler.SetLeaving(address, isLeaving)
		}
	})
}

func (d *dispatcher) load() schedule.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Load(d.Clock.Now())
}
