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

// greeted takes the hello on a new session. The session before it handles nothing
// any more: its peer sends what matters again. A process that took the place of
// another one is told of as such first.
func (c *callers) greeted(hello *peerpb.Hello, session *servedSession) {
	before := c.replace(hello, session)
	if before == nil {
		return
	}
	before.session.end()
	if !bytes.Equal(before.hello.Incarnation, hello.Incarnation) {
		c.left(before.hello)
	}
}

// replace makes a session the current one of its link and returns the caller
// before it, or nil.
func (c *callers) replace(hello *peerpb.Hello, session *servedSession) *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.current[keyOf(hello)]
	c.current[keyOf(hello)] = &caller{hello: hello, session: session}
	if before != nil && before.leaves != nil {
		before.leaves.Stop()
	}
	return before
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
		delete(c.current, keyOf(hello))
	}
	c.mu.Unlock()
	if isCurrent {
		c.left(hello)
	}
}
