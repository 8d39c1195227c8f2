package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
)

// Two owners can have one job if its second submission came before the first one was announced: the
// front received the first one late, or the owner has just started. Owners find that out by each
// other's announcements, and end it by one rule, openjobs.LetsGoFirst: the owner of one of the two
// returns the job to its front, which joins the other one.

// reasonOpenElsewhere marks a job that an owner returns to its front because another front holds it
// open, and the owner of another cell has it from that one. Its runs are being stopped.
const reasonOpenElsewhere = "open_elsewhere"

// resolveOpenTwice logs and counts the jobs that the owner of another cell has announced for a front,
// and that are open here as well: in a cell for another front, or at this host's front. It returns
// them to the fronts here that let the other one go first. Jobs that a front announces itself don't
// count, as it may be waiting for this host's.
func (n *Node) resolveOpenTwice(front openjobs.Front, reporter string, jobs []openjobs.Announcement) {
	for _, announced := range jobs {
		if announced.Cell == "" {
			continue
		}
		report := func(j *job.Job, where, cellName, here string, returned bool) {
			n.metrics.JobOpenTwice(where)
			n.Log.Warn("job_open_twice", "job", j.ID, "cell", cellName, "front", here, "age_ms", (n.Clock.Now() - j.Received).Milliseconds(),
				"other_cell", announced.Cell, "other_front", front.Address, "by", reporter, "runs_end_in_ms", announced.Remaining.Milliseconds(), "returned", returned)
		}
		for _, o := range n.allOwners() {
			waiting, returned := o.returnOpenTwice(announced, front)
			for _, w := range waiting {
				report(w.job, "cell", o.cell, w.front, false)
			}
			for _, w := range returned {
				report(w.job, "cell", o.cell, w.front, true)
			}
		}
		if j := n.front.followed(announced.ID); j != nil && front.Address != n.settings.PeerAddress {
			report(j, "front", "", n.settings.PeerAddress, false)
		}
	}
}

// returnOpenTwice returns a job to the fronts that wait for it here and let another one go first, for
// which the owner of another cell has announced it. It returns these waiters, and the others of other
// fronts than that one. Their job is announced at once, so that the other owner learns of it.
func (o *owner) returnOpenTwice(announced openjobs.Announcement, front openjobs.Front) (waiting, returned []waiter) {
	if announced.Cell == o.cell {
		return nil, nil
	}
	var outcome job.Outcome
	o.do(func(state *cell.Cell, now time.Duration) {
		at := openAt(front, announced.Remaining)
		for _, id := range state.PartsOf(announced.ID) {
			hasStarted := state.MayHaveStarted(id)
			var letsGo []string
			for i := range o.waiters[id] {
				w := &o.waiters[id][i]
				switch {
				case w.job.Kept || w.front == front.Address:
				case o.canReturn(w, hasStarted) && openjobs.LetsGoFirst(o.node.frontOf(w), front, hasStarted):
					letsGo = append(letsGo, w.front)
				default:
					w.announceNow = !w.isAnnounced
					waiting = append(waiting, *w)
				}
			}
			if len(letsGo) == 0 {
				continue
			}
			outcome = job.Outcome{Kind: job.Moved, Reason: reasonNotOwner, OpenAt: at}
			if hasStarted {
				outcome = job.Outcome{Kind: job.Moved, Reason: reasonOpenElsewhere, Started: true, Progress: state.Progress(id), OpenAt: at}
			}
			for _, address := range letsGo {
				taken, last := o.takeWaiters(id, address, true)
				returned = append(returned, taken...)
				if last {
					state.Withdraw(id, reasonOpenElsewhere, now)
				} else {
					o.updateLeaseLimit(state, id, now)
				}
			}
		}
	})
	for _, w := range returned {
		w.reply(outcome)
	}
	return waiting, returned
}

// canReturn reports whether a job can be returned to a front that is to join another one. Fronts of
// earlier builds would forget the runs here. Other parts of a part go on elsewhere.
func (o *owner) canReturn(w *waiter, hasStarted bool) bool {
	return !w.job.IsPart() && (!hasStarted || w.namesAsked)
}
