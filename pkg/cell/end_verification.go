package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// The notice that an end is persisted may be lost, and the job of an end may never be handed over. Executors
// would then retain the end for good. No time limit tells whether the store holds it, as an outage of
// the store may last longer. The owner reads the rows of such a job instead.

const (
	// verifyAfter is how long an end is retained before the rows of its job are read.
	verifyAfter = 10 * time.Second
	// verifyInterval is the time between two readings of the rows of a job.
	verifyInterval = 5 * time.Second
	// maxToVerify limits how many jobs' rows are read at once.
	maxToVerify = 4
	// otherCellRetention limits the retention of ends that the row doesn't hold, of a job that another
	// cell, or a later build, goes on with: its owner has learned of them.
	otherCellRetention = time.Minute
)

// EndsToVerify returns the kept jobs of which the rows should be read now, those that have waited longest first.
func (c *Cell) EndsToVerify(now time.Duration) []string {
	type candidate struct {
		id string
		at time.Duration
	}
	var due []candidate
	for id, ends := range c.unpersisted {
		if at := earliestVerification(ends); at > 0 && now >= at {
			due = append(due, candidate{id, at})
		}
	}
	slices.SortFunc(due, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	due = due[:min(len(due), maxToVerify)]
	ids := make([]string, len(due))
	for i, d := range due {
		ids[i] = d.id
		for _, u := range c.unpersisted[d.id] {
			u.verifyAt = now + verifyInterval
		}
	}
	return ids
}

// earliestVerification returns when the rows of a job with these ends should be read; 0 for never.
func earliestVerification(ends []*unpersistedEnd) time.Duration {
	var earliest time.Duration
	for _, u := range ends {
		if earliest == 0 || u.verifyAt > 0 && u.verifyAt < earliest {
			earliest = u.verifyAt
		}
	}
	return earliest
}

// EndsVerified applies what the rows of a kept job hold.
func (c *Cell) EndsVerified(id string, stored job.StoredEnds, now time.Duration) {
	if stored.Final || job.CoversEnds(stored.Progress, c.ListedEnds(id)) {
		c.EndsPersisted([]string{id}, now)
		return
	}
	if !stored.Elsewhere {
		return
	}
	for _, u := range slices.Clone(c.unpersisted[id]) {
		u.abandoned = u.abandoned || now >= u.listedAt+otherCellRetention
	}
	c.releaseUnlistedEnds()
	for _, e := range c.sorted {
		c.releaseForgettable(e, now)
	}
	c.advance(now)
}
