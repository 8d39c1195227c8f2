package member

import (
	"maps"
	"time"
)

// EndedFor is how long a refused connection counts as evidence that the process at an address has ended. Links to
// hosts that are out of reach are dialled several times within it, so that a host that starts again, or whose
// machine stops answering, soon counts as possibly running.
const EndedFor = time.Second

// ConnectionRefused records that a connection to an address was refused. Hosts listen until they have ended, and a
// machine that lost its power or is cut off refuses nothing.
func (t *Table) ConnectionRefused(address string, now time.Duration) {
	maps.DeleteFunc(t.refusedAt, func(_ string, at time.Duration) bool { return now >= at+EndedFor })
	t.refusedAt[address] = now
}

// HasEnded reports whether the process at an address is known to have ended.
func (t *Table) HasEnded(address string, now time.Duration) bool {
	at, refused := t.refusedAt[address]
	return refused && now < at+EndedFor
}
