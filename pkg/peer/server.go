package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// Reply sends the reply to a call. It may be delayed by up to wait to share a
// frame with others.
type Reply func(m *peerpb.Message, wait time.Duration)

// Handler serves the messages of peers. Handle is called in the order of
// arrival on a stream and must not block; slow work goes to a goroutine.
type Handler interface {
	Handle(from *peerpb.Hello, m *peerpb.Message, reply Reply)
	// LinkAccepted is called when a peer opens a link.
	LinkAccepted(from *peerpb.Hello)
	// LinkClosed is called when a link that a peer opened has ended: the peer did not
	// reconnect in time, counted the link as down, or was replaced by another process.
	LinkClosed(from *peerpb.Hello)
}

// Server accepts the links of peers.
type Server struct {
	*common.Common
	listener net.Listener
	handler  Handler
	observer Observer
	counters *Counters

	callers *callers

	mu       sync.Mutex
	sessions map[*streamMux]bool
}

// NewServer makes a server on a listener. Serve runs it.
func NewServer(c *common.Common, listener net.Listener, handler Handler, observer Observer, counters *Counters) *Server {
	return &Server{
		Common: c, listener: listener, handler: handler, observer: observer, counters: counters,
		callers: newCallers(handler.LinkClosed), sessions: map[*streamMux]bool{},
	}
}

// Serve accepts links until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		mux, err := newServerMux(s.counters.Wire.Conn(conn))
		if err != nil {
			_ = conn.Close()
			continue
		}
		s.track(mux, true)
		go s.serveSession(mux)
	}
}

// Close ends the listener and all sessions.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for mux := range s.sessions {
		_ = mux.Close()
	}
}

func (s *Server) track(mux *streamMux, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.sessions[mux] = true
		return
	}
	delete(s.sessions, mux)
}

func (s *Server) serveSession(mux *streamMux) {
	defer s.track(mux, false)
	defer mux.Close()
	served := &servedSession{server: s}
	defer func() {
		if from := served.end(); from != nil {
			s.callers.onSessionEnd(from, served)
		}
	}()
	for {
		stream, err := mux.Accept()
		if err != nil {
			return
		}
		p := newPipe(stream, s.counters)
		go func() {
			_ = p.readLoop(func(m *peerpb.Message) { served.handle(p, m) })
		}()
	}
}

// servedSession is one peer's link as seen by the server.
type servedSession struct {
	server *Server
	mu     sync.Mutex
	hello  *peerpb.Hello
	ended  bool

	// handling is read-locked while a message is handled, so that none is handled
	// after LinkClosed.
	handling   sync.RWMutex
	used       atomic.Bool // a message other than the hello has arrived
	superseded atomic.Bool // the peer uses a newer session
}

// end marks the session as ended and returns its hello, or nil.
func (s *servedSession) end() *peerpb.Hello {
	s.handling.Lock()
	defer s.handling.Unlock()
	s.ended = true
	return s.getHello()
}

func (s *servedSession) handle(p *pipe, m *peerpb.Message) {
	s.handling.RLock()
	defer s.handling.RUnlock()
	if s.ended || s.superseded.Load() {
		return // the peer counts messages on this session as lost
	}
	reply := func(answer *peerpb.Message, wait time.Duration) {
		answer.Call = m.Call
		answer.Reply = true
		p.send(answer, wait)
	}
	if hello := m.GetHello(); hello != nil {
		s.setHello(hello)
		if !s.server.callers.onHello(hello) {
			s.superseded.Store(true)
			return
		}
		s.server.handler.LinkAccepted(hello)
		reply(&peerpb.Message{Body: &peerpb.Message_Hello{Hello: s.server.observer.Hello()}}, 0)
		return
	}
	from := s.getHello()
	if from == nil {
		reply(FailureMessage(errkind.New(errkind.BadRequest, "send a hello first", "the link has no hello")), 0)
		return
	}
	if !s.used.Swap(true) && !s.server.callers.activate(from, s) {
		s.superseded.Store(true)
		return
	}
	s.server.handler.Handle(from, m, reply)
}

func (s *servedSession) setHello(hello *peerpb.Hello) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hello = hello
}

func (s *servedSession) getHello() *peerpb.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hello
}

// FailureMessage makes the reply to a call that could not be served.
func FailureMessage(err *errkind.Error) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Failure{Failure: &peerpb.Failure{
		Kind: string(err.Kind), Message: err.Message, Remedy: err.Remedy,
	}}}
}
