// Package peer carries messages between entry hosts: yamux sessions over TCP
// with protobuf frames. Each host dials every peer that it calls and serves
// the calls of those that dial it.
package peer

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/hashicorp/yamux"
)

const (
	dialTimeout    = time.Second
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// Observer is told of the state of links. Its methods must not block.
type Observer interface {
	LinkUp(address string, hello *peerpb.Hello)
	LinkDown(address string)
	HeartbeatReply(address string, reply *peerpb.Message)
	Hello() *peerpb.Hello
	Heartbeat() *peerpb.Heartbeat
}

// Pacer is an Observer that wants some links to beat more slowly than others.
type Pacer interface {
	// Slowdown returns how many times the settings' interval and limit of
	// silence hold on the link to an address; 1 at least.
	Slowdown(address string) int
}

// Resumer is an Observer that wants to know when a link goes on by another
// connection: one-way messages on the former one may be lost.
type Resumer interface {
	LinkResumed(address string, hello *peerpb.Hello)
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
	calls    atomic.Uint64 // numbers calls, over all sessions
	number   atomic.Uint64 // rises each time that the link comes up anew
	nudge    chan struct{} // asks for a heartbeat at once
	cancel   context.CancelFunc
}

// NewLink makes a link and starts dialling.
func NewLink(c *common.Common, address string, s settings.Link, observer Observer, counters *Counters) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{Common: c.With("peer", address), address: address, settings: s, observer: observer, counters: counters, nudge: make(chan struct{}, 1), cancel: cancel}
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

// Call sends a message that may wait for company and returns the reply. It
// fails with PeerDown when the link is down, goes down, or ctx ends; the peer
// may have acted on the message all the same.
func (l *Link) Call(ctx context.Context, m *peerpb.Message, wait time.Duration) (*peerpb.Message, error) {
	s := l.session.Load()
	if s == nil {
		return nil, l.down()
	}
	number := l.calls.Add(1)
	reply := s.call(number, m, wait)
	if reply == nil {
		return nil, l.down()
	}
	select {
	case answer, ok := <-reply:
		if !ok {
			return nil, l.down()
		}
		if failure := answer.GetFailure(); failure != nil {
			return nil, errkind.New(errkind.Kind(failure.Kind), failure.Remedy, "%s", failure.Message)
		}
		return answer, nil
	case <-ctx.Done():
		s.forget(number)
		return nil, errkind.Wrap(ctx.Err(), errkind.PeerDown, "try again", "peer %s did not answer", l.address)
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
	l.number.Add(1)
	for ctx.Err() == nil {
		s, err := l.open(min(dialTimeout, l.settings.SuspectAfter))
		if err != nil {
			l.Log.Debug("link_failed", "error", err.Error())
			common.Sleep(ctx, common.Jitter(backoff, common.Unit()))
			backoff = min(2*backoff, longestBackoff, l.settings.SuspectAfter/2)
			continue
		}
		backoff = firstBackoff
		l.session.Store(s)
		l.observer.LinkUp(l.address, s.peer)
		l.Log.Info("link_up", "name", s.peer.Name)
		l.keep(ctx, s)
		l.number.Add(1)
		l.observer.LinkDown(l.address)
		l.Log.Info("link_down", "name", s.peer.Name)
	}
}

// keep beats until the peer is lost. The loss of a connection is not the peer's:
// while the same process answers on another one, the link stays up. Calls on the
// former connection fail, and may be made again at once.
func (l *Link) keep(ctx context.Context, s *session) {
	for s != nil {
		next := l.beat(ctx, s)
		l.session.Store(next)
		s.close()
		if next != nil {
			l.Log.Info("link_resumed", "name", next.peer.Name)
			l.tellResumed(next)
		}
		s = next
	}
}

func (l *Link) tellResumed(s *session) {
	if resumer, ok := l.observer.(Resumer); ok {
		resumer.LinkResumed(l.address, s.peer)
	}
}

// open dials, opens both streams and exchanges hellos, each step within a time.
func (l *Link) open(within time.Duration) (*session, error) {
	conn, err := net.DialTimeout("tcp", l.address, within)
	if err != nil {
		return nil, err
	}
	s := newSession(conn)
	mux, err := yamux.Client(&heardConn{Conn: l.counters.Wire.Conn(conn), clock: l.Clock, heard: &s.lastHeard}, muxConfig())
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
	s.lastHeard.Store(int64(l.Clock.Now()))
	return s, nil
}

func (l *Link) greet(s *session, within time.Duration) error {
	hello := l.observer.Hello()
	hello.Dialled, hello.Link = l.address, l.number.Load()
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
	// probeShare is the part of the limit of silence after which another
	// connection is tried: more than one heartbeat has gone unanswered.
	probeShare = 0.4
	// resumeTimeout bounds each step of opening it. The server waits as long for
	// a peer to come back before it counts it as gone.
	resumeTimeout = 200 * time.Millisecond
)

// resume opens a connection in place of that of s, and returns nil when the peer
// can't be reached or is another process by now.
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

// Nudge sends a heartbeat at once, for news that should not wait.
func (l *Link) Nudge() {
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}

// beat sends heartbeats until the session dies or its peer falls silent. It
// returns the session to go on with, or nil when the peer is lost.
func (l *Link) beat(ctx context.Context, s *session) *session {
	timer := time.NewTimer(l.settings.Heartbeat)
	defer timer.Stop()
	watch := &silenceWatch{link: l, lastTurn: l.Clock.Now(), lastLimit: l.settings.SuspectAfter}
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
			watch.failed()
			continue
		case <-timer.C:
		case <-l.nudge:
		}
		slowdown := l.slowdown()
		timer.Reset(slowdown * l.settings.Heartbeat)
		if watch.lost(s, slowdown) {
			return nil
		}
		go l.heartbeat(s)
	}
}

// slowdown returns the factor on the interval and the limit of silence.
func (l *Link) slowdown() time.Duration {
	if pacer, ok := l.observer.(Pacer); ok {
		return time.Duration(pacer.Slowdown(l.address))
	}
	return 1
}

// replyLife is how many times the limit of silence the reply to a heartbeat is
// waited for: on a full link, which other messages show to be up, it comes late.
const replyLife = 2

func (l *Link) heartbeat(s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), replyLife*l.slowdown()*l.settings.SuspectAfter)
	defer cancel()
	reply, err := l.Call(ctx, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: l.observer.Heartbeat()}}, 0)
	if err != nil || reply.GetHeartbeat() == nil {
		return
	}
	s.lastHeard.Store(int64(l.Clock.Now()))
	l.observer.HeartbeatReply(l.address, reply)
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // our heartbeats find silent peers sooner
	config.LogOutput = discard{}
	config.MaxStreamWindowSize = 4 << 20
	return config
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
