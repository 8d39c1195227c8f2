package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// owner is the owner of a cell as pkg/node runs it.
type owner struct {
	host    *host
	cell    *Cell
	token   int64
	waiters []waiter
	waited  map[string]time.Duration // by job id: the newest time at which its front is known to have waited
	ended   map[string]job.Outcome   // of jobs that came to an end here
	lastRun time.Duration
	over    bool // it has been fenced or has given its cell up
}

// waiter is a front that waits for a job.
type waiter struct {
	id      string
	front   *host
	attempt *attempt
	link    *link // nil for the front of the same host
}

// claim has a host of the domain become the owner, unless another one has done so
// since former was the newest.
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
		waited: map[string]time.Duration{}, ended: map[string]job.Outcome{}, lastRun: w.now,
	}
	d.owners = append(d.owners, o)
	h.owners = append(h.owners, o)
	w.count.takeovers++
	w.note("", "%s claims", o.name())
	o.handle(func() {
		o.cell.MarkListComplete()
		o.cell.SetExecutors(d.listed, w.now)
	})
	w.after(w.between(5*ms, 60*ms), func() {
		if d.newest() == o {
			d.known = o
		}
	})
	w.endChained(d, o)
}

// claimer returns a host that may claim a cell, or nil.
func (w *cluster) claimer(d *domain, former *owner) *host {
	var able []*host
	for _, h := range w.hosts {
		if h.domain == d && h.awake() && (former == nil || h != former.host) {
			able = append(able, h)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[w.random.IntN(len(able))]
}

func (o *owner) name() string           { return fmt.Sprintf("%s(%d)", o.host.name, o.token) }
func (o *owner) state() *Cell           { return o.cell }
func (o *owner) process() *modelProcess { return &o.host.modelProcess }

// handle implements orderer. An owner that notices that its process stood still
// starts nothing for a moment.
func (o *owner) handle(event func()) {
	w := o.host.cluster
	if w.now-o.lastRun > hostStoodStill {
		o.cell.Pause(w.now + pauseAfterStand)
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
		w.note(jobOf(n.Task), "  %s: %s %s %s %s", o.name(), n.Event, n.Task, n.Executor, n.Detail)
	}
	o.over = o.over || o.cell.Fenced()
	for _, command := range commands {
		if command.Kind == Stop {
			w.note(jobOf(command.Task), "  %s stops %s at %s: %s", o.name(), command.Task, command.Executor.ID, command.Reason)
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

// finish tells those that wait for a job its end.
func (o *owner) finish(id string, outcome job.Outcome) {
	if outcome.Kind != job.Moved && outcome.Kind != job.Refused {
		o.ended[id] = outcome
	}
	for _, waiting := range o.takeWaiters(func(waiting waiter) bool { return waiting.id == id }) {
		o.reply(waiting, outcome)
	}
}

func (o *owner) reply(to waiter, outcome job.Outcome) {
	w := o.host.cluster
	if to.link == nil {
		to.attempt.take(o, outcome)
		return
	}
	w.to(to.front, w.travel(), func() {
		if !to.link.frontOver {
			to.attempt.take(o, outcome)
		}
	})
}

// takeWaiters removes those that the function picks, and returns them.
func (o *owner) takeWaiters(pick func(waiter) bool) []waiter {
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

// submit takes a job from a front.
func (o *owner) submit(from waiter, d dispatch) {
	w := o.host.cluster
	if o.over {
		o.reply(from, job.Outcome{Kind: job.Moved, Reason: "not_owner"})
		return
	}
	if outcome, known := o.ended[from.id]; known {
		o.reply(from, outcome)
		return
	}
	w.note(d.job.WholeID(), "%s has %s from %s, epoch %d", o.name(), from.id, from.front.name, d.epoch)
	o.waiters = append(o.waiters, from)
	o.waited[from.id] = max(o.waited[from.id], d.echo)
	settleAt := time.Duration(0)
	if d.settle > 0 {
		settleAt = w.now + d.settle
	}
	handover := Handover{Job: d.job, Epoch: d.epoch, Progress: d.progress, SettleAt: settleAt, RenewedAt: d.echo}
	o.handle(func() { o.cell.Submit(handover, w.now) })
}

// withdraw takes the wish of a front back. The job ends once nobody waits.
func (o *owner) withdraw(id string, front *host, reason string) {
	o.takeBack(reason, func(waiting waiter) bool { return waiting.id == id && waiting.front == front })
}

// linkEnded takes back what came by a link.
func (o *owner) linkEnded(l *link) {
	if l.ownerOver {
		return
	}
	l.ownerOver = true
	delete(o.host.heard, l.front)
	o.takeBack("front_gone", func(waiting waiter) bool { return waiting.link == l })
}

// dropSilentFronts gives the jobs of silent fronts back to them.
func (o *owner) dropSilentFronts() {
	for _, waiting := range slices.Clone(o.waiters) {
		if waiting.link == nil || !o.host.takesForSilent(waiting.front) {
			continue
		}
		o.host.cluster.count.suspected++
		progress := o.cell.Progress(waiting.id)
		for _, taken := range o.takeBack("front_silent", func(other waiter) bool { return other == waiting }) {
			o.reply(taken, job.Outcome{Kind: job.Moved, Reason: "front_silent", Started: true, Progress: progress})
		}
	}
}

// takeBack takes wishes back and ends the jobs that nobody waits for any more.
func (o *owner) takeBack(reason string, pick func(waiter) bool) []waiter {
	w := o.host.cluster
	taken := o.takeWaiters(pick)
	for _, t := range taken {
		w.note(job.WholeIDOf(t.id), "%s drops %s of %s, which was known to wait at %s: %s", o.name(), t.id, t.front.name, o.waited[t.id], reason)
		if !slices.ContainsFunc(o.waiters, func(waiting waiter) bool { return waiting.id == t.id }) {
			o.handle(func() { o.cell.Withdraw(t.id, reason, w.now) })
		}
	}
	return taken
}
