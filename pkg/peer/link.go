// Package peer carries messages between entry hosts: yamux sessions over TCP
// with protobuf frames. Each host dials every peer that it calls and serves
// the calls of those that dial it.
package peer

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/pkg/errors"
)

const (
	dialTimeout    = time.Second
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// Observer is notified of the state of links. Its methods must not block.
type Observer interface {
	LinkUp(address string, hello *peerpb.Hello)
	LinkDown(address string)
	HeartbeatReply(address string, reply *peerpb.Message)
	Hello() *peerpb.Hello
	Heartbeat() *peerpb.Heartbeat
}

// Pacer is an Observer that slows the heartbeats of some links down.
type Pacer interface {
	// Slowdown returns the factor, at least 1, by which the settings' heartbeat
	// interval and suspect timeout are multiplied on the link to an address.
	Slowdown(address string) int
}

// Resumer is an Observer that is notified when a link continues on another
// connection: one-way messages on the former connection may be lost.
type Resumer interface {
	LinkResumed(address string, hello *peerpb.Hello)
}

// RefusalObserver is an Observer that is notified when a peer's machine refuses a connection, as no process
// listens there.
type RefusalObserver interface {
	ConnectionRefused(address string)
}

// Link is the outgoing side of the connection to one peer. It dials again
// whenever the connection is lost.
type Link struct {
	*common.Common
	address  string
	settings settings.Link
	observer Observer
	counters *Counters
	session  atomic.Pointer[session]
	calls    atomic.Uint64 // number of the last call, over all sessions
	reports  *linkReports
	number   atomic.Uint64 // sent in the hello; rises with each link to the address and each time that this one goes down
	answered atomic.Int64  // when the newest heartbeat that was answered was sent, as a time of the clock; 0 for none
	nudge    chan struct{} // requests an immediate heartbeat
	redial   chan struct{} // requests an immediate attempt to open the link
	cancel   context.CancelFunc
}

// NewLink makes a link and starts dialling.
func NewLink(c *common.Common, address string, s settings.Link, observer Observer, counters *Counters) *Link {
	return newLink(c, s, newLinkReports(address, observer), counters)
}

// newLink makes a link that replaces the former ones with the same reports.
func newLink(c *common.Common, s settings.Link, reports *linkReports, counters *Counters) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{Common: c.With("peer", reports.address), address: reports.address, settings: s, observer: reports.observer, reports: reports, counters: counters, nudge: make(chan struct{}, 1), redial: make(chan struct{}, 1), cancel: cancel}
	l.number.Store(reports.nextNumber())
	go l.run(ctx)
	return l
}

// Close ends the link.
func (l *Link) Close() {
	l.cancel()
	if s := l.session.Load(); s != nil {
		s.close()
	}
}

// Call sends a message, which may be delayed by up to wait to share a frame with others, and
// returns the reply. It fails with PeerDown when the link is down, goes down, or
// ctx ends; the peer may have acted on the message nevertheless.
func (l *Link) Call(ctx context.Context, m *peerpb.Message, wait time.Duration) (*peerpb.Message, error) {
	return l.Begin(m, wait).Await(ctx)
}

// PendingCall is a call whose message has been sent.
type PendingCall struct {
	link    *Link
	session *session
	number  uint64
	reply   chan *peerpb.Message // nil: the link was down
}

// Begin sends the message of a call, in order with those that are sent before and after it. Await has to
// follow.
func (l *Link) Begin(m *peerpb.Message, wait time.Duration) *PendingCall {
	c := &PendingCall{link: l, session: l.session.Load()}
	if c.session != nil {
		c.number = l.calls.Add(1)
		c.reply = c.session.call(c.number, m, wait)
	}
	return c
}

// Await returns the reply. It fails as Call does.
func (c *PendingCall) Await(ctx context.Context) (*peerpb.Message, error) {
	if c.reply == nil {
		return nil, c.link.down()
	}
	select {
	case answer, ok := <-c.reply:
		if !ok {
			return nil, c.link.down()
		}
		if failure := answer.GetFailure(); failure != nil {
			return nil, errkind.New(errkind.Kind(failure.Kind), failure.Remedy, "%s", failure.Message)
		}
		return answer, nil
	case <-ctx.Done():
		c.session.forget(c.number)
		return nil, errkind.Wrap(ctx.Err(), errkind.PeerDown, "try again", "peer %s did not answer", c.link.address)
	}
}

// Up reports whether the link is up.
func (l *Link) Up() bool { return l.session.Load() != nil }

// Send sends a one-way message. A message on a link that is down is lost.
func (l *Link) Send(m *peerpb.Message, wait time.Duration) {
	if s := l.session.Load(); s != nil {
		s.pipeFor(m).send(m, wait)
	}
}

func (l *Link) down() error {
	return errkind.New(errkind.PeerDown, "try again", "the link to peer %s is down", l.address)
}

func (l *Link) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		s, err := l.open(min(dialTimeout, l.settings.SuspectAfter))
		if err != nil {
			l.Log.Debug("link_failed", "error", err.Error())
			l.reportRefusal(err)
			l.awaitRedial(ctx, common.Jitter(backoff, common.Unit()))
			backoff = min(2*backoff, longestBackoff, l.settings.SuspectAfter/2)
			continue
		}
		backoff = firstBackoff
		l.session.Store(s)
		if !l.reports.up(ctx, l, s.peer) {
			l.session.Store(nil)
			s.close()
			return
		}
		l.maintain(ctx, s)
		l.reports.down(l)
		l.number.Store(l.reports.nextNumber())
	}
}

// reportRefusal notifies the observer if err is a refused connection.
func (l *Link) reportRefusal(err error) {
	if observer, ok := l.observer.(RefusalObserver); ok && errors.Is(err, syscall.ECONNREFUSED) {
		observer.ConnectionRefused(l.address)
	}
}

// awaitRedial waits until the next attempt to open the link, at most for a time.
func (l *Link) awaitRedial(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.redial:
	case <-timer.C:
	}
}

// Redial attempts to open a link that is down at once, as when its peer has shown that it can be reached.
func (l *Link) Redial() {
	if l.Up() {
		return
	}
	select {
	case l.redial <- struct{}{}:
	default:
	}
}

// maintain sends heartbeats until the peer is lost. Losing a connection does not
// mean losing the peer: while the same process answers on another connection, the
// link stays up. Calls on the former connection fail and can be retried at once.
func (l *Link) maintain(ctx context.Context, s *session) {
	for s != nil {
		next := l.sendHeartbeats(ctx, s)
		l.session.Store(next)
		s.close()
		if next != nil {
			l.Log.Info("link_resumed", "name", next.peer.Name)
			l.reports.resumed(l, next.peer)
		}
		s = next
	}
}

// open dials, opens both streams and exchanges hellos. The time limit within holds
// for the dial and for the hello separately.
func (l *Link) open(within time.Duration) (*session, error) {
	conn, err := net.DialTimeout("tcp", l.address, within)
	if err != nil {
		return nil, err
	}
	s := newSession(conn)
	mux, err := newClientMux(&receiveTrackingConn{Conn: l.counters.Wire.Conn(conn), clock: l.Clock, lastReceived: &s.lastReceived})
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.mux = mux
	for _, stream := range []**pipe{&s.control, &s.jobs} {
		opened, err := mux.Open()
		if err != nil {
			_ = mux.Close()
			return nil, err
		}
		*stream = newPipe(opened, l.counters)
	}
	for _, stream := range []*pipe{s.control, s.jobs} {
		go func() {
			_ = stream.readLoop(s.deliver)
			s.endStreams()
		}()
	}
	if err := l.greet(s, within); err != nil {
		s.close()
		return nil, err
	}
	s.lastReceived.Store(int64(l.Clock.Now()))
	return s, nil
}

func (l *Link) greet(s *session, within time.Duration) error {
	hello := l.observer.Hello()
	hello.Dialled, hello.Link, hello.OrderedLinks = l.address, l.number.Load(), true
	reply := s.call(l.calls.Add(1), &peerpb.Message{Body: &peerpb.Message_Hello{Hello: hello}}, 0)
	if reply == nil {
		return l.down()
	}
	select {
	case m, ok := <-reply:
		if !ok || m.GetHello() == nil {
			return l.down()
		}
		s.peer = m.GetHello()
		return nil
	case <-time.After(within):
		return l.down()
	}
}

// Resuming a link on another connection.
const (
	// probeFraction is the fraction of the suspect timeout after which another
	// connection is tried: more than one heartbeat is unanswered by then.
	probeFraction = 0.4
	// resumeTimeout bounds each step of opening it. The server waits as long for a
	// peer to reconnect before it counts the link as closed.
	resumeTimeout = 200 * time.Millisecond
)

// resume opens a connection that replaces that of s. It returns nil when the peer
// is unreachable or another process answers at its address.
func (l *Link) resume(s *session) *session {
	next, err := l.open(resumeTimeout)
	if err != nil {
		l.Log.Debug("link_not_resumed", "error", err.Error())
		return nil
	}
	if !bytes.Equal(next.peer.Incarnation, s.peer.Incarnation) {
		next.close()
		return nil
	}
	return next
}

// Nudge sends a heartbeat at once, for an update that should not wait.
func (l *Link) Nudge() {
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends heartbeats until the session ends or its peer is
// unresponsive. It returns the session to continue with, or nil when the peer is lost.
func (l *Link) sendHeartbeats(ctx context.Context, s *session) *session {
	timer := time.NewTimer(l.settings.Heartbeat)
	defer timer.Stop()
	watch := &livenessMonitor{link: l, lastCheck: l.Clock.Now(), lastLimit: l.settings.SuspectAfter}
	l.Nudge()
	for {
		select {
		case <-ctx.Done():
			watch.abandon()
			return nil
		case <-s.mux.CloseChan():
			return watch.replacement(ctx, s)
		case next := <-watch.probe:
			if next != nil {
				return next
			}
			watch.probeFailed()
			continue
		case <-timer.C:
		case <-l.nudge:
		}
		slowdown := l.slowdown()
		timer.Reset(slowdown * l.settings.Heartbeat)
		if watch.isPeerLost(s, slowdown) {
			return nil
		}
		go l.heartbeat(s)
	}
}

// slowdown returns the factor on the heartbeat interval and the suspect timeout.
func (l *Link) slowdown() time.Duration {
	if pacer, ok := l.observer.(Pacer); ok {
		return time.Duration(pacer.Slowdown(l.address))
	}
	return 1
}

// replyTimeoutFactor times the suspect timeout is how long a heartbeat waits for its
// reply, which comes late on a busy link that other messages show to be up.
const replyTimeoutFactor = 2

func (l *Link) heartbeat(s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeoutFactor*l.slowdown()*l.settings.SuspectAfter)
	defer cancel()
	sentAt := l.Clock.Now()
	reply, err := l.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: l.observer.Heartbeat()}}, 0)
	if err != nil || reply.GetHeartbeat() == nil {
		return
	}
	s.lastReceived.Store(int64(l.Clock.Now()))
	l.answered.Store(max(l.answered.Load(), int64(sentAt)))
	l.reports.heartbeatReply(l, reply)
}
