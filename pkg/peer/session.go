package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/hashicorp/yamux"
)

// session is one connection's life.
type session struct {
	conn      net.Conn
	mux       *yamux.Session
	control   *pipe         // short messages
	jobs      *pipe         // jobs, answers and configuration bodies
	peer      *peerpb.Hello // of the process at the other end; set before the session is used
	lastHeard atomic.Int64

	mu    sync.Mutex
	calls map[uint64]chan *peerpb.Message // by number; closed when there will be no reply; nil once the session is dead
}

func newSession(conn net.Conn) *session {
	return &session{conn: conn, calls: map[uint64]chan *peerpb.Message{}}
}

// call sends a message that may wait for company, and returns where its reply
// will come, or nil when the session is dead.
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

// deliver hands a reply to the call it belongs to. A late, doubled or crossed
// reply finds no call and is dropped.
func (s *session) deliver(m *peerpb.Message) {
	s.mu.Lock()
	reply, known := s.calls[m.Call]
	delete(s.calls, m.Call)
	s.mu.Unlock()
	if known && m.Reply {
		reply <- m
	}
}

// takeCalls marks the session as dead and returns the calls that wait.
func (s *session) takeCalls() map[uint64]chan *peerpb.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return calls
}

// endStreams ends the connection. Calls wait until it is known whether the peer
// can be reached by another one.
func (s *session) endStreams() {
	// What is under way counts as lost here, so it mustn't arrive later: a
	// reset drops it, an ordinary close would deliver it after a cut. The
	// connection goes first: a session that is closed over an open one held up
	// the whole process for 150 to 700 ms (docs/incidents/inc-acca.md).
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = s.conn.Close()
	_ = s.mux.Close()
	s.control.close()
	s.jobs.close()
}

// close ends the connection and the calls that wait.
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
		*peerpb.Message_Dispatch, *peerpb.Message_Withdraw, *peerpb.Message_Renew, *peerpb.Message_Noted, // these four stay in order
		*peerpb.Message_Join: // and these among themselves
		return s.jobs
	}
	return s.control
}

// heardConn notes when anything came from the peer. On a full link the reply to a
// heartbeat waits behind jobs and their answers, which show that it lives too.
type heardConn struct {
	net.Conn
	clock common.Clock
	heard *atomic.Int64
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(int64(c.clock.Now()))
	}
	return n, err
}
