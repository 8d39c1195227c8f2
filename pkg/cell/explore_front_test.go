package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

const (
	lostRunsEndWithin = testJobLease + 50*ms // from the loss of an owner until no unrenewed run of its cell can be alive
	ownerRetryDelay   = 20 * ms              // before a front looks for an owner again
)

// attempt is a job, or a part of one, that a front hands to one owner after another
// until it ends.
type attempt struct {
	front *host

	submission *submission

	job       *job.Job
	epoch     int
	progress  []job.Progress
	owner     *owner  // the owner that has the job, as far as the front knows; nil for none
	link      *link   // to the owner; nil for one on the same host
	cell      *domain // of that owner
	lostCell  *domain // where runs of it may still be alive; nil for none
	settleAt  time.Duration
	namesRuns bool // progress names all runs that former owners may have left
	done      bool // the front no longer waits
}

// dispatch is what a front sends to an owner with a job.
type dispatch struct {
	job         *job.Job
	epoch       int
	progress    []job.Progress
	settleDelay time.Duration // from the arrival until the first start is allowed
	namesRuns   bool
	renewedAt   time.Duration // the newest timestamp of the owner at which the front's callers are confirmed to have waited; 0 for none
	leaseLimit  time.Duration // as in Handover
}

func (a *attempt) id() string { return a.job.WholeID() }

// tryDispatch hands the job to an owner, or retries later if none is known.
func (a *attempt) tryDispatch() {
	w := a.front.cluster
	if a.done {
		return
	}
	if w.now > a.job.Deadline {
		a.finish()
		return
	}
	d := a.chooseDomain()
	if limit := a.submission.leaseLimit(); d == nil || limit > 0 && w.now >= ReturnAt(limit, 50*ms) {
		a.retry()
		return
	}
	a.dispatchTo(d)
}

// retry looks for an owner again after a delay.
func (a *attempt) retry() {
	a.owner, a.link = nil, nil
	a.front.cluster.deliverTo(a.front, ownerRetryDelay, a.tryDispatch)
}

// chooseDomain returns the cell for a job, or nil if its owner is unknown or
// unreachable. A job whose owner was lost stays with its cell until no run of it can
// be alive there.
func (a *attempt) chooseDomain() *domain {
	w := a.front.cluster
	d := w.domains[w.random.IntN(len(w.domains))]
	if a.lostCell != nil && w.now < a.settleAt {
		d = a.lostCell
	}
	if d.announced == nil || !a.front.reachable(d.announced) {
		return nil
	}
	return d
}

func (a *attempt) dispatchTo(target *domain) {
	w := a.front.cluster
	o := target.announced
	d := dispatch{job: a.job, epoch: a.epoch, progress: a.progress, namesRuns: a.namesRuns, leaseLimit: a.submission.leaseLimit()}
	if a.lostCell != nil && a.lostCell != target {
		d.settleDelay = max(0, a.settleAt-w.now)
	}
	a.owner, a.cell, a.link = o, target, nil
	from := waiter{id: a.job.ID, front: a.front, attempt: a, leaseLimit: d.leaseLimit}
	if o.host == a.front {
		d.renewedAt = a.front.confirmedHere
		o.submit(from, d)
		return
	}
	a.link = a.front.linkTo(o)
	from.link, d.renewedAt = a.link, a.link.confirmed
	w.record(a.id(), "%s sends %s to %s, epoch %d", a.front.name, a.job.ID, o.name(), a.epoch)
	w.deliverTo(o.host, w.streamDelay(20), func() {
		if !from.link.ownerClosed {
			o.host.lastReceived[a.front] = w.now
			o.submit(from, d)
		}
	})
}

// streamDelay returns the time that a message takes on a stream that, with
// frontMessages faults, is held up once in so many times.
func (w *cluster) streamDelay(oneIn int) time.Duration {
	if w.faults.frontMessages && w.oneIn(oneIn) {
		return w.between(20*ms, 400*ms)
	}
	return w.networkDelay()
}

// handleOutcome handles the answer of an owner.
func (a *attempt) handleOutcome(from *owner, outcome job.Outcome) {
	w := a.front.cluster
	if a.done || a.owner != from {
		return
	}
	if outcome.Kind != job.Moved {
		if outcome.Kind == job.Completed {
			w.count.ended++
		}
		w.record(a.id(), "%s learns that %s is %s", a.front.name, a.job.ID, outcome.Kind)
		a.finish()
		return
	}
	if outcome.Reason != "not_owner" {
		a.epoch++
		a.progress, a.namesRuns = outcome.Progress, outcome.NamesAllRuns(a.namesRuns)
		if outcome.Started {
			a.lostCell, a.settleAt = a.cell, w.now+lostRunsEndWithin
		}
	}
	a.retry()
}

// ownerLost handles the loss of the owner that had the job.
func (a *attempt) ownerLost() {
	w := a.front.cluster
	w.record(a.id(), "%s has lost the owner of %s, %s", a.front.name, a.job.ID, a.owner.name())
	a.epoch++
	a.namesRuns = false
	a.lostCell, a.settleAt = a.cell, w.now+lostRunsEndWithin
	a.retry()
}

// finish ends the front's wait.
func (a *attempt) finish() {
	a.done = true
	a.front.open = slices.DeleteFunc(a.front.open, func(other *attempt) bool { return other == a })
}

// callerLeft ends the front's wait and withdraws the job from its owner. With
// frontMessages faults, a withdrawal to another host may be lost, overtake the job or
// be overtaken.
func (a *attempt) callerLeft() {
	if a.done {
		return
	}
	w, o, l := a.front.cluster, a.owner, a.link
	a.finish()
	switch {
	case o == nil:
	case l == nil:
		o.withdraw(a.job.ID, a.front, "caller_left")
	case w.faults.frontMessages && w.oneIn(10):
		w.record(a.id(), "%s withdraws %s from %s, message lost", a.front.name, a.job.ID, o.name())
	default:
		w.record(a.id(), "%s withdraws %s from %s", a.front.name, a.job.ID, o.name())
		w.deliverTo(o.host, w.streamDelay(10), func() {
			if !l.ownerClosed {
				o.withdraw(a.job.ID, a.front, "caller_left")
			}
		})
	}
}
