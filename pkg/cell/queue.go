package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The tiers of jobs, by how good an answer they can still have.
const (
	tierGood   = iota // within the objective
	tierLate          // late, and worth something
	tierLittle        // worth little or nothing
)

// standing returns what orders may know of a job.
func (w *work) standing(now time.Duration) Candidate {
	ends := now + w.leastTime()
	objective := w.job.Objective(w.chain)
	tier := tierLittle
	switch {
	case ends <= w.job.Received+objective:
		tier = tierGood
	case ends <= w.job.UsefulUntil(w.chain):
		tier = tierLate
	}
	return Candidate{Job: w.job, Tier: tier, WorkLeft: w.waitingWork(), Slack: w.job.Received + objective - ends}
}

// ranked returns the jobs that have tasks to start, in order.
func (c *Cell) ranked(now time.Duration) []*work {
	type entry struct {
		work *work
		rank Rank
	}
	entries := make([]entry, 0, len(c.works))
	for _, w := range c.works {
		if w.settleAt > now && !(w.unseen && c.allAdopted()) || !c.mayStartFor(w, now) {
			continue
		}
		if s := w.standing(now); s.WorkLeft > 0 {
			entries = append(entries, entry{work: w, rank: c.order.Rank(s)})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(a.rank.compare(b.rank), strings.Compare(a.work.job.ID, b.work.job.ID))
	})
	works := make([]*work, len(entries))
	for i, e := range entries {
		works[i] = e.work
	}
	return works
}
