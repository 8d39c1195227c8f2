package cell

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

const (
	frontSettles = testJobLease + 50*ms // after which a front hands the job of a lost owner to another cell
	frontPause   = 20 * ms              // before a front looks for another owner
)

// attempt is a job, or a part of one, that a front follows from owner to owner.
type attempt struct {
	front    *host
	job      *job.Job
	epoch    int
	progress []job.Progress
	owner    *owner  // that has it, as far as the front knows; nil while it looks for one
	link     *link   // to the owner; nil for one on the same host
	cell     *domain // of that owner
	lostCell *domain // where runs of it may go on; nil for none
	settleAt time.Duration
	over     bool // the front no longer waits
}

// dispatch is what a front tells an owner of a job.
type dispatch struct {
	job      *job.Job
	epoch    int
	progress []job.Progress
	settle   time.Duration // no start sooner, from the arrival on
	echo     time.Duration // the newest time of the owner up to which the front vouches; 0 for none
}

func (a *attempt) id() string { return a.job.WholeID() }

// follow hands the job to an owner, as soon as one is known.
func (a *attempt) follow() {
	w := a.front.cluster
	if a.over {
		return
	}
	if w.now > a.job.Deadline {
		a.end()
		return
	}
	d := a.choose()
	if d == nil {
		a.again()
		return
	}
	a.dispatchTo(d)
}

// again looks for an owner a moment later.
func (a *attempt) again() {
	a.owner, a.link = nil, nil
	a.front.cluster.to(a.front, frontPause, a.follow)
}

// choose returns the cell for a job. One whose owner was lost stays with its cell
// until its runs there have settled.
func (a *attempt) choose() *domain {
	w := a.front.cluster
	d := w.domains[w.random.IntN(len(w.domains))]
	if a.lostCell != nil && w.now < a.settleAt {
		d = a.lostCell
	}
	if d.known == nil || !a.front.reachable(d.known) {
		return nil
	}
	return d
}

func (a *attempt) dispatchTo(target *domain) {
	w := a.front.cluster
	o := target.known
	d := dispatch{job: a.job, epoch: a.epoch, progress: a.progress}
	if a.lostCell != nil && a.lostCell != target {
		d.settle = max(0, a.settleAt-w.now)
	}
	a.owner, a.cell, a.link = o, target, nil
	from := waiter{id: a.job.ID, front: a.front, attempt: a}
	if o.host == a.front {
		d.echo = a.front.sureHere
		o.submit(from, d)
		return
	}
	a.link = a.front.linkTo(o)
	from.link, d.echo = a.link, a.link.sure
	w.note(a.id(), "%s sends %s to %s, epoch %d", a.front.name, a.job.ID, o.name(), a.epoch)
	w.to(o.host, w.backedUp(20), func() {
		if !from.link.ownerOver {
			o.host.heard[a.front] = w.now
			o.submit(from, d)
		}
	})
}

// backedUp is the time of a message on a stream that is held up once in so many
// times.
func (w *cluster) backedUp(oneIn int) time.Duration {
	if w.faults.words && w.oneIn(oneIn) {
		return w.between(20*ms, 400*ms)
	}
	return w.travel()
}

// take takes the answer of an owner.
func (a *attempt) take(from *owner, outcome job.Outcome) {
	w := a.front.cluster
	if a.over || a.owner != from {
		return
	}
	if outcome.Kind != job.Moved {
		if outcome.Kind == job.Completed {
			w.count.ended++
		}
		w.note(a.id(), "%s learns that %s is %s", a.front.name, a.job.ID, outcome.Kind)
		a.end()
		return
	}
	if outcome.Reason != "not_owner" {
		a.epoch++
		a.progress = outcome.Progress
		if outcome.Started {
			a.lostCell, a.settleAt = a.cell, w.now+frontSettles
		}
	}
	a.again()
}

// lost takes the job back from an owner that can't be asked.
func (a *attempt) lost() {
	w := a.front.cluster
	w.note(a.id(), "%s has lost the owner of %s, %s", a.front.name, a.job.ID, a.owner.name())
	a.epoch++
	a.progress = nil
	a.lostCell, a.settleAt = a.cell, w.now+frontSettles
	a.again()
}

// end ends the front's wait.
func (a *attempt) end() {
	a.over = true
	a.front.open = slices.DeleteFunc(a.front.open, func(other *attempt) bool { return other == a })
}

// callerLeft ends the front's wait and tells the owner. On the way to another
// host the word may be lost, or overtake the job or be overtaken.
func (a *attempt) callerLeft() {
	if a.over {
		return
	}
	w, o, l := a.front.cluster, a.owner, a.link
	a.end()
	switch {
	case o == nil:
	case l == nil:
		o.withdraw(a.job.ID, a.front, "caller_left")
	case w.faults.words && w.oneIn(10):
		w.note(a.id(), "%s withdraws %s from %s: lost", a.front.name, a.job.ID, o.name())
	default:
		w.note(a.id(), "%s withdraws %s from %s", a.front.name, a.job.ID, o.name())
		w.to(o.host, w.backedUp(10), func() {
			if !l.ownerOver {
				o.withdraw(a.job.ID, a.front, "caller_left")
			}
		})
	}
}
