package node

import (
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
)

// reportOpenTwice logs and counts the jobs that the owner of another cell has announced for a front,
// and that are open here as well: in a cell for another front, or at this host's front. Jobs that a
// front announces itself don't count, as it may be waiting for this host's.
func (n *Node) reportOpenTwice(front openjobs.Front, reporter string, jobs []openjobs.Announcement) {
	for _, announced := range jobs {
		if announced.Cell == "" {
			continue
		}
		report := func(j *job.Job, where, cellName, here string) {
			n.metrics.JobOpenTwice(where)
			n.Log.Warn("job_open_twice", "job", j.ID, "cell", cellName, "front", here, "age_ms", (n.Clock.Now() - j.Received).Milliseconds(),
				"other_cell", announced.Cell, "other_front", front.Address, "by", reporter, "runs_end_in_ms", announced.Remaining.Milliseconds())
		}
		for _, o := range n.allOwners() {
			for _, w := range o.openForOther(announced, front) {
				report(w.job, "cell", o.cell, w.front)
			}
		}
		if j := n.front.followed(announced.ID); j != nil && front.Address != n.settings.PeerAddress {
			report(j, "front", "", n.settings.PeerAddress)
		}
	}
}

// openForOther returns the waiters for a job, or for parts of it, of other fronts than the one for
// which the owner of another cell has announced it.
func (o *owner) openForOther(announced openjobs.Announcement, front openjobs.Front) []waiter {
	if announced.Cell == o.cell {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var others []waiter
	for _, id := range o.state.PartsOf(announced.ID) {
		for _, w := range o.waiters[id] {
			if w.front != front.Address && !w.job.Kept {
				others = append(others, w)
			}
		}
	}
	return others
}
