package peer

import (
	"bytes"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// callers remembers the peers that have opened links to this host. A peer may
// lose its connection and open another one; it is gone only when it doesn't.
type callers struct {
	left func(from *peerpb.Hello)

	mu      sync.Mutex
	current map[callerKey]*caller
}

// callerKey tells links apart: a peer may know this host by two addresses.
type callerKey struct {
	from    string // address of the peer
	dialled string // address at which it reaches this host
}

// caller is the process that has opened a link.
type caller struct {
	hello   *peerpb.Hello
	session *servedSession // the newest one
	leaves  *time.Timer    // runs while the link has no connection; nil otherwise
}

func newCallers(left func(from *peerpb.Hello)) *callers {
	return &callers{left: left, current: map[callerKey]*caller{}}
}

func keyOf(hello *peerpb.Hello) callerKey {
	return callerKey{from: hello.Address, dialled: hello.Dialled}
}

// isSameLink reports whether a hello is of the same process, and of a link that it
// hasn't counted as down since.
func isSameLink(a, b *peerpb.Hello) bool {
	return bytes.Equal(a.Incarnation, b.Incarnation) && a.Link == b.Link
}

// greeted takes the hello on a new session. A process that took the place of
// another one, or a peer that has given up what it had under way here, is told of
// as one that has left first.
func (c *callers) greeted(hello *peerpb.Hello) {
	c.mu.Lock()
	before := c.current[keyOf(hello)]
	if before == nil || isSameLink(before.hello, hello) {
		c.mu.Unlock()
		return
	}
	c.forget(before)
	c.mu.Unlock()
	before.session.end()
	c.left(before.hello)
}

// forget takes a caller off the list. c.mu is held.
func (c *callers) forget(gone *caller) {
	delete(c.current, keyOf(gone.hello))
	if gone.leaves != nil {
		gone.leaves.Stop()
	}
}

// used takes that a peer uses a new session. From the one before it nothing is
// handled any more: the peer sends what matters again. A session that the peer
// only tried, and gave up before it had an answer, changes nothing.
func (c *callers) used(hello *peerpb.Hello, session *servedSession) {
	c.mu.Lock()
	before := c.current[keyOf(hello)]
	if before != nil {
		c.forget(before)
	}
	c.current[keyOf(hello)] = &caller{hello: hello, session: session}
	c.mu.Unlock()
	if before != nil {
		before.session.over.Store(true)
	}
}

// ended takes the end of a session. Its peer has a while to open another one.
func (c *callers) ended(hello *peerpb.Hello, session *servedSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current[keyOf(hello)]
	if current == nil || current.session != session {
		return // there is a newer one
	}
	current.leaves = time.AfterFunc(resumeTimeout, func() { c.expire(hello, current) })
}

// expire takes that a peer hasn't come back.
func (c *callers) expire(hello *peerpb.Hello, gone *caller) {
	c.mu.Lock()
	isCurrent := c.current[keyOf(hello)] == gone
	if isCurrent {
		c.forget(gone)
	}
	c.mu.Unlock()
	if isCurrent {
		c.left(hello)
	}
}
