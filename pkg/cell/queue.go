package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The tiers of jobs, by how good their answers can still be.
const (
	tierOnTime      = iota // can meet the objective
	tierLate               // late, but the answer still has value
	tierLittleValue        // the answer has little or no value
)

// candidate returns what orders may know of a job.
func (w *jobState) candidate(now time.Duration) Candidate {
	ends := now + w.minRemainingTime()
	objective := w.job.Objective(w.chain)
	tier := tierLittleValue
	switch {
	case ends <= w.job.Received+objective:
		tier = tierOnTime
	case ends <= w.job.UsefulUntil(w.chain):
		tier = tierLate
	}
	return Candidate{Job: w.job, Tier: tier, WorkLeft: w.waitingWork(), Slack: w.job.Received + objective - ends}
}

// rankedJobs returns the jobs that have tasks to start, in scheduling order.
func (c *Cell) rankedJobs(now time.Duration) []*jobState {
	type entry struct {
		job  *jobState
		rank Rank
	}
	entries := make([]entry, 0, len(c.jobs))
	for _, w := range c.jobs {
		if c.mayHaveUnknownRuns(w, now) || !c.mayStartTasks(w, now) {
			continue
		}
		if w.hasWaitingTask() {
			entries = append(entries, entry{job: w, rank: c.order.Rank(w.candidate(now))})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(a.rank.compare(b.rank), strings.Compare(a.job.job.ID, b.job.job.ID))
	})
	jobs := make([]*jobState, len(entries))
	for i, e := range entries {
		jobs[i] = e.job
	}
	return jobs
}
