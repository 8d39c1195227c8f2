package cell

import (
	"fmt"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// callerGone is how long a front that is awake needs at most to notice that a
// caller's connection has broken.
const callerGone = 5 * ms

// call is a job as its caller sees it.
type call struct {
	cluster  *cluster
	id       string
	tasks    int
	estimate time.Duration // of a task
	deadline time.Duration
}

// sending is one sending of a call, by one front.
type sending struct {
	call     *call
	front    *host
	attempts []*attempt
	broken   bool // the connection has ended
}

// newCall has a caller hand in a job: a short one, or one that lasts for longer
// than callers wait until they send again.
func (w *cluster) newCall() {
	c := &call{cluster: w, id: fmt.Sprintf("job%d", len(w.jobs)+1), tasks: 1 + w.random.IntN(4), estimate: 200 * ms, deadline: w.now + 5*time.Second}
	if w.oneIn(4) {
		c.estimate = 1500 * ms
	}
	w.jobs[c.id] = c
	c.send()
}

// send sends the job by any front. Now and then the connection breaks.
func (c *call) send() {
	w := c.cluster
	h := w.anyHost()
	if h == nil || w.now > c.deadline {
		return
	}
	s := &sending{call: c, front: h}
	h.sendings = append(h.sendings, s)
	w.note(c.id, "its caller sends %s to %s", c.id, h.name)
	w.to(h, ms, s.accept)
	if w.oneIn(8) {
		w.after(w.between(0, 600*ms), s.breakOff)
	}
}

// anyHost returns a host that takes connections, or nil.
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

// breakOff ends the connection. The caller sends the job again, and the front, if
// it lives, notices.
func (s *sending) breakOff() {
	w := s.call.cluster
	if s.broken || s.answered() {
		return
	}
	s.broken = true
	w.count.sentAgain++
	w.note(s.call.id, "the connection for %s at %s breaks", s.call.id, s.front.name)
	w.after(callerResends, s.call.send)
	w.to(s.front, w.between(0, callerGone), func() {
		for _, a := range s.attempts {
			a.callerLeft()
		}
	})
}

// answered reports whether the front has an answer for the caller.
func (s *sending) answered() bool {
	for _, a := range s.attempts {
		if !a.over {
			return false
		}
	}
	return len(s.attempts) > 0
}

// accept has the front follow the job, half of the time in two parts.
func (s *sending) accept() {
	c, w := s.call, s.call.cluster
	if s.broken {
		return
	}
	j := testJob(c.id, c.tasks, w.now)
	j.Steps[0].Estimate, j.Deadline, j.MaxAttempts, j.Target = c.estimate, c.deadline, 5, c.deadline-w.now
	parts := []*job.Job{j}
	if c.tasks > 1 && w.oneIn(2) {
		first := 1 + w.random.IntN(c.tasks-1)
		parts = j.Split([]int{first, c.tasks - first})
	}
	for _, part := range parts {
		a := &attempt{front: s.front, job: part, epoch: 1}
		s.attempts = append(s.attempts, a)
		s.front.open = append(s.front.open, a)
		a.follow()
	}
}
