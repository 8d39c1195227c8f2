package cell

import (
	"fmt"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// maxDisconnectNotice is how long a front that is awake needs at most to notice that a
// caller's connection has closed.
const maxDisconnectNotice = 5 * ms

// call is a job as its caller sees it.
type call struct {
	cluster  *cluster
	id       string
	tasks    int
	estimate time.Duration // of a task
	deadline time.Duration
}

// submission is one request of a caller for its call, at one front.
type submission struct {
	call         *call
	front        *host
	attempts     []*attempt
	disconnected bool // the connection has closed
	sentAt       time.Duration
	receivedAt   time.Duration // 0 before

	isConfirmed bool // all hosts know of it
	isUnseen    bool // the connection has closed, and the front won't notice
}

// newCall has a caller submit a job whose tasks are estimated to be either short or
// longer than resubmitDelay.
func (w *cluster) newCall() {
	c := &call{cluster: w, id: fmt.Sprintf("job%d", len(w.jobs)+1), tasks: 1 + w.random.IntN(4), estimate: 200 * ms, deadline: w.now + 5*time.Second}
	if w.oneIn(4) {
		c.estimate = 1500 * ms
	}
	w.jobs[c.id] = c
	c.send()
}

// send submits the job at any front. The connection of some submissions closes early.
func (c *call) send() {
	w := c.cluster
	h := w.anyHost()
	if h == nil || w.now > c.deadline {
		return
	}
	s := &submission{call: c, front: h, sentAt: w.now}
	h.submissions = append(h.submissions, s)
	w.record(c.id, "the caller submits %s to %s", c.id, h.name)
	w.deliverTo(h, ms, s.accept)
	breaks := 8 // one submission in so many
	if w.faults.unseenBreaks {
		breaks = 3
	}
	if w.oneIn(breaks) {
		w.after(w.between(0, 600*ms), s.disconnect)
	}
}

// anyHost returns a random host that accepts connections, or nil.
func (w *cluster) anyHost() *host {
	var living []*host
	for _, h := range w.hosts {
		if !h.dead {
			living = append(living, h)
		}
	}
	if len(living) == 0 {
		return nil
	}
	return living[w.random.IntN(len(living))]
}

// disconnect closes the connection. The caller resubmits the job later, and the front
// notices if it is alive.
func (s *submission) disconnect() {
	w := s.call.cluster
	if s.disconnected || s.answered() {
		return
	}
	s.disconnected = true
	w.count.resubmitted++
	w.record(s.call.id, "the connection for %s at %s closes", s.call.id, s.front.name)
	if s.breaksUnseen() {
		s.isUnseen = true
		w.count.unseen++
		w.record(s.call.id, "%s does not notice", s.front.name)
		w.after(resubmitDelay, s.resubmit)
		return
	}
	w.after(resubmitDelay, s.call.send)
	w.deliverTo(s.front, w.between(0, maxDisconnectNotice), func() {
		for _, a := range s.attempts {
			a.callerLeft()
		}
	})
}

// answered reports whether the front has an answer for the caller.
func (s *submission) answered() bool {
	for _, a := range s.attempts {
		if !a.done {
			return false
		}
	}
	return len(s.attempts) > 0
}

// accept has the front dispatch the job, half of the time in two parts.
func (s *submission) accept() {
	c, w := s.call, s.call.cluster
	if s.disconnected {
		return
	}
	s.receivedAt = w.now
	s.scheduleConfirmation()
	j := testJob(c.id, c.tasks, w.now)
	j.Steps[0].Estimate, j.Deadline, j.MaxAttempts, j.Target = c.estimate, c.deadline, 5, c.deadline-w.now
	parts := []*job.Job{j}
	if c.tasks > 1 && w.oneIn(2) {
		first := 1 + w.random.IntN(c.tasks-1)
		parts = j.Split([]int{first, c.tasks - first})
	}
	for _, part := range parts {
		a := &attempt{front: s.front, submission: s, job: part, epoch: 1, namesRuns: true}
		s.attempts = append(s.attempts, a)
		s.front.open = append(s.front.open, a)
		a.tryDispatch()
	}
}
