package cell

import (
	"slices"
	"time"
)

// Connections of callers that close unnoticed: the front goes on with the job until it gives it up. Until
// all hosts know of the job, which a front that is cut off never learns, its lease is limited. Once they
// do, a job that is sent again waits for the open one.

const (
	// testConfirmBy is when a front gives up a job that isn't confirmed, from the receipt on.
	testConfirmBy = testLeaseLimit
	// maxReceiptDelay is how late a front may receive a job whose caller leaves unnoticed.
	maxReceiptDelay = 100 * ms
	announceAge     = 400 * ms
)

// breaksUnseen draws whether the front won't notice that the connection has closed.
func (s *submission) breaksUnseen() bool {
	w := s.call.cluster
	isOpen := s.receivedAt > 0 && !s.front.dead
	return w.faults.unseenBreaks && isOpen && s.receivedAt <= s.sentAt+maxReceiptDelay && w.oneIn(2)
}

// resubmit sends the job again, unless it would wait for the open one, or for the time that a front that
// has crashed has announced.
func (s *submission) resubmit() {
	if !s.isConfirmed || s.answered() {
		s.call.send()
	}
}

// scheduleConfirmation has the job confirmed some time after its announcement, or never. Without a
// confirmation the front gives it up.
func (s *submission) scheduleConfirmation() {
	w := s.call.cluster
	if !w.faults.unseenBreaks {
		s.isConfirmed = true
		return
	}
	w.deliverTo(s.front, testConfirmBy, func() {
		if !s.isConfirmed {
			w.record(s.call.id, "%s gives %s up", s.front.name, s.call.id)
			for _, a := range s.attempts {
				a.callerLeft()
			}
		}
	})
	if w.oneIn(3) {
		s.scheduleTakeover()
		return
	}
	w.deliverTo(s.front, announceAge+w.between(0, testConfirmBy-announceAge), s.confirm)
}

// scheduleTakeover has the cell of a front that is cut off be taken over, by an owner that may not reach one
// of its executors.
func (s *submission) scheduleTakeover() {
	w := s.call.cluster
	w.after(w.between(0, testConfirmBy), func() {
		if d := s.front.domain; w.faults.partialCuts && d.newest().host == s.front {
			w.takeOverCutOff(d)
		}
	})
}

// confirm lifts the limits of the job's lease at its owners.
func (s *submission) confirm() {
	w := s.call.cluster
	if s.answered() {
		return
	}
	s.isConfirmed = true
	w.count.confirmed++
	w.record(s.call.id, "%s is confirmed at %s", s.call.id, s.front.name)
	for _, a := range s.attempts {
		o, l := a.owner, a.link
		switch {
		case a.done || o == nil:
		case l == nil:
			o.liftLimit(a)
		default:
			w.deliverTo(o.host, w.streamDelay(10), func() {
				if !l.ownerClosed {
					o.liftLimit(a)
				}
			})
		}
	}
}

// leaseLimit returns the limit of the lease of the submission's job; 0 for none.
func (s *submission) leaseLimit() time.Duration {
	if s.isConfirmed || s.call.cluster.faults.ignoresLimits {
		return 0
	}
	return s.receivedAt + testLeaseLimit
}

// leaseLimit returns the limit of a job's lease, 0 for none: the latest of the fronts that wait for it.
func (o *owner) leaseLimit(id string) time.Duration {
	latest := time.Duration(0)
	for _, waiting := range o.waiters {
		if waiting.id != id {
			continue
		}
		if waiting.leaseLimit == 0 {
			return 0
		}
		latest = max(latest, waiting.leaseLimit)
	}
	return latest
}

func (o *owner) liftLimit(a *attempt) {
	at := slices.IndexFunc(o.waiters, func(waiting waiter) bool { return waiting.attempt == a })
	if at < 0 {
		return
	}
	o.waiters[at].leaseLimit = 0
	o.updateLimit(o.waiters[at].id)
}

// updateLimit tells the cell the limit of a job's lease after one of its fronts has changed.
func (o *owner) updateLimit(id string) {
	if slices.ContainsFunc(o.waiters, func(waiting waiter) bool { return waiting.id == id }) {
		o.handle(func() {
			o.cell.SetLeaseLimits(map[string]time.Duration{id: o.leaseLimit(id)}, o.host.cluster.now)
		})
	}
}
