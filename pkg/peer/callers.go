package peer

import (
	"bytes"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// callers tracks the peers that have opened links to this host. A peer whose
// connection is lost has resumeTimeout to open another one before its link counts
// as closed.
type callers struct {
	closed func(from *peerpb.Hello)

	mu      sync.Mutex
	current map[callerKey]*caller
}

// callerKey identifies a link: a peer may know this host by two addresses.
type callerKey struct {
	from    string // address of the peer
	dialled string // address at which it reaches this host
}

// caller is the process that has opened a link.
type caller struct {
	hello   *peerpb.Hello
	session *servedSession // the newest one
	expiry  *time.Timer    // closes the link unless a connection comes first; nil while there is one
}

func newCallers(left func(from *peerpb.Hello)) *callers {
	return &callers{closed: left, current: map[callerKey]*caller{}}
}

func keyOf(hello *peerpb.Hello) callerKey {
	return callerKey{from: hello.Address, dialled: hello.Dialled}
}

// isSameLink reports whether both hellos come from the same process and the same
// link, which that process has not counted as down in between.
func isSameLink(a, b *peerpb.Hello) bool {
	return bytes.Equal(a.Incarnation, b.Incarnation) && a.Link == b.Link
}

// isFormerLink reports whether a hello comes from a link that its process had closed before it opened
// the current one. Processes of earlier builds count each of their links anew.
func isFormerLink(hello, current *peerpb.Hello) bool {
	return bytes.Equal(hello.Incarnation, current.Incarnation) && current.OrderedLinks && hello.Link < current.Link
}

// onHello handles the hello on a new session. If it comes from a new process, or
// from a peer that has counted its former link as down, it first reports the former
// link as closed. It returns false for a hello of a former link, which came late.
func (c *callers) onHello(hello *peerpb.Hello) bool {
	c.mu.Lock()
	before := c.current[keyOf(hello)]
	if before == nil || isSameLink(before.hello, hello) {
		c.mu.Unlock()
		return true
	}
	if isFormerLink(hello, before.hello) {
		c.mu.Unlock()
		return false
	}
	c.remove(before)
	c.mu.Unlock()
	before.session.end()
	c.closed(before.hello)
	return true
}

// remove removes a caller and stops its timer. c.mu is held.
func (c *callers) remove(former *caller) {
	delete(c.current, keyOf(former.hello))
	if former.expiry != nil {
		former.expiry.Stop()
	}
}

// activate makes a session the current one of its link, when the first message
// after the hello arrives on it. Messages of the former session are dropped from
// then on; the peer sends again what is still needed. A session that the peer
// abandons before it uses it changes nothing. It returns false for the session of a
// former link, whose messages come late.
func (c *callers) activate(hello *peerpb.Hello, session *servedSession) bool {
	c.mu.Lock()
	before := c.current[keyOf(hello)]
	if before != nil && isFormerLink(hello, before.hello) {
		c.mu.Unlock()
		return false
	}
	if before != nil {
		c.remove(before)
	}
	c.current[keyOf(hello)] = &caller{hello: hello, session: session}
	c.mu.Unlock()
	if before != nil {
		before.session.superseded.Store(true)
	}
	return true
}

// onSessionEnd starts the time that the peer has to open another connection.
func (c *callers) onSessionEnd(hello *peerpb.Hello, session *servedSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current[keyOf(hello)]
	if current == nil || current.session != session {
		return // there is a newer one
	}
	current.expiry = time.AfterFunc(resumeTimeout, func() { c.expire(hello, current) })
}

// expire closes the link of a peer that opened no other connection in time.
func (c *callers) expire(hello *peerpb.Hello, expired *caller) {
	c.mu.Lock()
	isCurrent := c.current[keyOf(hello)] == expired
	if isCurrent {
		c.remove(expired)
	}
	c.mu.Unlock()
	if isCurrent {
		c.closed(hello)
	}
}
