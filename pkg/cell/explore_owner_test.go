package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// owner is the owner of a cell as pkg/node runs it.
type owner struct {
	host      *host
	cell      *Cell
	token     int64
	waiters   []waiter
	renewedAt map[string]time.Duration // by job id: the newest timestamp at which its front is known to have waited
	ended     map[string]job.Outcome   // of jobs that ended here
	lastRun   time.Duration
	fenced    bool // it has been fenced or has released its cell
}

// waiter is a front that waits for a job.
type waiter struct {
	id      string
	front   *host
	attempt *attempt
	link    *link // nil for the front of the same host

	leaseLimit time.Duration // as in Handover, for this front alone
}

// claim has a host of the domain become the owner, unless another one has claimed the
// cell after former.
func (w *cluster) claim(d *domain, former *owner) {
	if former != nil && d.newest() != former {
		return
	}
	h := w.claimer(d, former)
	if h == nil {
		w.after(50*ms, func() { w.claim(d, former) })
		return
	}
	token := int64(len(d.owners) + 1)
	o := &owner{
		host: h, cell: New(DefaultParams(time.Second, testJobLease, 50*ms), token, w.now), token: token,
		renewedAt: map[string]time.Duration{}, ended: map[string]job.Outcome{}, lastRun: w.now,
	}
	d.owners = append(d.owners, o)
	h.owners = append(h.owners, o)
	w.count.takeovers++
	w.record("", "%s claims its cell", o.name())
	o.handle(func() {
		o.cell.MarkListComplete()
		o.cell.SetExecutors(d.listing(), w.now)
	})
	w.after(w.between(5*ms, 60*ms), func() {
		if d.newest() == o {
			d.announced = o
		}
	})
	w.scheduleChainedCrash(d, o)
}

// claimer returns a host that may claim a cell, or nil.
func (w *cluster) claimer(d *domain, former *owner) *host {
	var candidates []*host
	for _, h := range w.hosts {
		if h.domain == d && h.awake() && (former == nil || h != former.host) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}

func (o *owner) name() string           { return fmt.Sprintf("%s(%d)", o.host.name, o.token) }
func (o *owner) state() *Cell           { return o.cell }
func (o *owner) process() *modelProcess { return &o.host.modelProcess }

// handle implements commandSender. An owner that detects that its process was frozen pauses
// its starts.
func (o *owner) handle(event func()) {
	w := o.host.cluster
	if w.now-o.lastRun > freezeThreshold {
		o.cell.PauseStarts(w.now + pauseAfterFreeze)
	}
	o.lastRun = w.now
	event()
	commands, finished, notices := o.cell.TakeActions()
	for _, n := range notices {
		if n.Event == "job_not_renewed" {
			w.count.suspected++
		}
		if n.Task == "" {
			continue
		}
		w.record(jobOf(n.Task), "  %s: %s %s %s %s", o.name(), n.Event, n.Task, n.Executor, n.Detail)
	}
	o.fenced = o.fenced || o.cell.Fenced()
	for _, command := range commands {
		if command.Kind == Stop {
			w.record(jobOf(command.Task), "  %s stops %s at %s: %s", o.name(), command.Task, command.Executor.ID, command.Reason)
		}
		w.send(o, command)
	}
	for _, f := range finished {
		o.finish(f.ID, f.Outcome)
	}
}

// jobOf returns the id of a task's job.
func jobOf(task string) string {
	id, _, _ := parseTaskName(task)
	return id
}

// finish records the outcome of a job and reports it to those that wait for it.
func (o *owner) finish(id string, outcome job.Outcome) {
	if outcome.Kind != job.Moved && outcome.Kind != job.Refused {
		o.ended[id] = outcome
	}
	for _, waiting := range o.removeWaiters(func(waiting waiter) bool { return waiting.id == id }) {
		o.reply(waiting, outcome)
	}
}

func (o *owner) reply(to waiter, outcome job.Outcome) {
	w := o.host.cluster
	if to.link == nil {
		to.attempt.handleOutcome(o, outcome)
		return
	}
	w.deliverTo(to.front, w.networkDelay(), func() {
		if !to.link.frontClosed {
			to.attempt.handleOutcome(o, outcome)
		}
	})
}

// removeWaiters removes the waiters that match, and returns them.
func (o *owner) removeWaiters(pick func(waiter) bool) []waiter {
	var taken, kept []waiter
	for _, waiting := range o.waiters {
		if pick(waiting) {
			taken = append(taken, waiting)
		} else {
			kept = append(kept, waiting)
		}
	}
	o.waiters = kept
	return taken
}

// submit handles a job from a front.
func (o *owner) submit(from waiter, d dispatch) {
	w := o.host.cluster
	if o.fenced {
		o.reply(from, job.Outcome{Kind: job.Moved, Reason: "not_owner"})
		return
	}
	if outcome, known := o.ended[from.id]; known {
		o.reply(from, outcome)
		return
	}
	w.record(d.job.WholeID(), "%s accepts %s from %s, epoch %d", o.name(), from.id, from.front.name, d.epoch)
	o.waiters = append(o.waiters, from)
	o.renewedAt[from.id] = max(o.renewedAt[from.id], d.renewedAt)
	settleAt := time.Duration(0)
	if d.settleDelay > 0 {
		settleAt = w.now + d.settleDelay
	}
	handover := Handover{Job: d.job, Epoch: d.epoch, Progress: d.progress, NotBefore: settleAt, RenewedAt: d.renewedAt, LeaseLimit: o.leaseLimit(from.id), NamesRuns: d.namesRuns}
	o.handle(func() { o.cell.Submit(handover, w.now) })
}

// withdraw removes a front from those that wait for a job. The job ends once nobody
// waits for it.
func (o *owner) withdraw(id string, front *host, reason string) {
	o.withdrawWaiters(reason, func(waiting waiter) bool { return waiting.id == id && waiting.front == front })
}

// linkEnded handles the end of a link at the owner: its front no longer waits.
func (o *owner) linkEnded(l *link) {
	if l.ownerClosed {
		return
	}
	l.ownerClosed = true
	delete(o.host.lastReceived, l.front)
	o.withdrawWaiters("front_gone", func(waiting waiter) bool { return waiting.link == l })
}

// dropUnresponsiveFronts returns the jobs of unresponsive fronts to them.
func (o *owner) dropUnresponsiveFronts() {
	for _, waiting := range slices.Clone(o.waiters) {
		if waiting.link == nil || !o.host.isUnresponsive(waiting.front) {
			continue
		}
		o.host.cluster.count.suspected++
		progress := o.cell.Progress(waiting.id)
		for _, taken := range o.withdrawWaiters("front_silent", func(other waiter) bool { return other == waiting }) {
			o.reply(taken, job.Outcome{Kind: job.Moved, Reason: "front_silent", Started: true, Progress: progress})
		}
	}
}

// withdrawWaiters removes the waiters that match, ends the jobs that nobody waits for
// any more, and returns the removed waiters.
func (o *owner) withdrawWaiters(reason string, pick func(waiter) bool) []waiter {
	w := o.host.cluster
	taken := o.removeWaiters(pick)
	for _, t := range taken {
		w.record(job.WholeIDOf(t.id), "%s removes the waiter for %s at %s, last renewed at %s: %s", o.name(), t.id, t.front.name, o.renewedAt[t.id], reason)
		if !slices.ContainsFunc(o.waiters, func(waiting waiter) bool { return waiting.id == t.id }) {
			o.handle(func() { o.cell.Withdraw(t.id, reason, w.now) })
		}
		o.updateLimit(t.id)
	}
	return taken
}
