package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// session is one connection of a link, from its hello to its end.
type session struct {
	conn         net.Conn
	mux          *streamMux
	control      *pipe         // short messages
	jobs         *pipe         // jobs, answers and configuration bodies
	peer         *peerpb.Hello // of the process at the other end; set before the session is used
	lastReceived atomic.Int64

	mu    sync.Mutex
	calls map[uint64]chan *peerpb.Message // by number; closed when there will be no reply; nil once the session has ended
}

func newSession(conn net.Conn) *session {
	return &session{conn: conn, calls: map[uint64]chan *peerpb.Message{}}
}

// call sends a message, which may be delayed by up to wait to share a frame with others. It
// returns the channel of its reply, or nil when the session has ended.
func (s *session) call(number uint64, m *peerpb.Message, wait time.Duration) chan *peerpb.Message {
	m.Call = number
	reply := make(chan *peerpb.Message, 1)
	if !s.register(number, reply) {
		return nil
	}
	s.pipeFor(m).send(m, wait)
	return reply
}

func (s *session) register(number uint64, reply chan *peerpb.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		return false
	}
	s.calls[number] = reply
	return true
}

func (s *session) forget(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, number)
}

// deliver passes a reply to the call it belongs to. A late or duplicate reply matches
// no call and is dropped.
func (s *session) deliver(m *peerpb.Message) {
	s.mu.Lock()
	reply, known := s.calls[m.Call]
	delete(s.calls, m.Call)
	s.mu.Unlock()
	if known && m.Reply {
		reply <- m
	}
}

// takeCalls marks the session as ended and returns the calls without a reply.
func (s *session) takeCalls() map[uint64]chan *peerpb.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return calls
}

// endStreams ends the connection. Calls without a reply stay open until it is known
// whether the peer can be reached on another connection.
func (s *session) endStreams() {
	// Data in transit counts as lost, so it must not arrive later: a reset drops
	// it, whereas an ordinary close delivers it once a network cut ends. The
	// connection is closed before the yamux session, so that nothing more is sent.
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = s.conn.Close()
	_ = s.mux.Close()
	s.control.close()
	s.jobs.close()
}

// close ends the connection and fails the calls without a reply.
func (s *session) close() {
	s.endStreams()
	for _, reply := range s.takeCalls() {
		close(reply)
	}
}

func (s *session) pipeFor(m *peerpb.Message) *pipe {
	switch m.Body.(type) {
	case *peerpb.Message_Submit, *peerpb.Message_FetchConfig, *peerpb.Message_FetchSnapshot,
		*peerpb.Message_Keep, *peerpb.Message_KeptQuery,
		*peerpb.Message_Dispatch, *peerpb.Message_Withdraw, *peerpb.Message_Renew, *peerpb.Message_Noted, // these four must stay in order
		*peerpb.Message_Join: // joins must stay in order among themselves
		return s.jobs
	}
	return s.control
}

// receiveTrackingConn records when data last arrived from the peer. On a busy link the
// reply to a heartbeat queues behind jobs and answers, which also show that the peer
// is alive.
type receiveTrackingConn struct {
	net.Conn
	clock        common.Clock
	lastReceived *atomic.Int64
}

// Read implements net.Conn.
func (c *receiveTrackingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(int64(c.clock.Now()))
	}
	return n, err
}
