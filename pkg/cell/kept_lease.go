package cell

import "time"

// The coordinators of kept jobs move them to other cells once the executors of this one have left the
// store's list and its owner has not been heard for long (pkg/node/vacancy.go). The owner may be alive
// and cut off. It therefore lets its kept runs end in time by itself: they share a lease, which its node
// extends while it has evidence that the others know of this owner (pkg/node/kept_lease.go).

// SetKeptLeaseEnd sets when the lease of all kept jobs ends, on the owner's clock. Jobs whose lease was
// about to end are returned first, as others may have them run elsewhere already.
func (c *Cell) SetKeptLeaseEnd(end, now time.Duration) {
	if c.fenced {
		return
	}
	if c.keptLeaseEndsSoon(now) {
		c.returnUnrenewed(now)
	}
	c.keptLeaseLimit = end
}

// keptLeaseEnd returns when the lease of all kept jobs ends.
func (c *Cell) keptLeaseEnd() time.Duration {
	if c.keptLeaseLimit == 0 {
		return noExpiry
	}
	return c.keptLeaseLimit
}

// keptLeaseEndsSoon reports whether kept jobs have to be returned, so that their runs are stopped before
// those of other jobs at the same executors end with them.
func (c *Cell) keptLeaseEndsSoon(now time.Duration) bool {
	return now > c.keptLeaseEnd()-c.params.Lease/2
}
