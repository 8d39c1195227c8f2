package cell

import "time"

// An owner that claims its cell from a minority of the hosts can't rely on keptRunsEndWithin: the former owner may
// live among the others, which renew its kept jobs for as long as they reach most hosts. All that bounds its runs is
// that executors obey this owner once they have answered it. So kept jobs that the former owner may run wait until
// each executor that it can know has answered, and those that leave the list without an answer count as running
// them, until this host reaches most hosts.

// ExpectLivingOwner has kept jobs wait until all executors that the former owner can know have answered. lacksSome is
// whether some of them are missing from this owner's list already.
func (c *Cell) ExpectLivingOwner(lacksSome bool, now time.Duration) {
	c.ownerMayLive = true
	if lacksSome {
		c.forgotAt = now
	}
}

// BoundFormerOwner notes that this host reaches most hosts, so that the former owner ends its kept runs by itself
// within keptRunsEndWithin if it lives.
func (c *Cell) BoundFormerOwner(now time.Duration) {
	if !c.ownerMayLive {
		return
	}
	c.ownerMayLive, c.ownerBoundedAt = false, now
	for _, w := range c.jobs {
		if w.lostOwnerUntil > 0 {
			w.lostOwnerUntil = now + keptRunsEndWithin
		}
	}
	c.dirty = true
}

// lacksAnswers reports whether a former owner that may live can have runs at executors that have left the list
// without having answered this owner.
func (c *Cell) lacksAnswers() bool { return c.ownerMayLive && c.forgotAt > 0 }
