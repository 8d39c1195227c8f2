package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streamMux is a yamux session that ends its streams before it shuts down.
//
// A shutdown wakes the goroutines that read a stream or wait for its window, but yamux
// changes the state that makes them return only after its receive loop has stopped.
// Until then they spin, each for whole time slices, and the receive loop waits for a
// processor behind them.
type streamMux struct {
	session *yamux.Session
	conn    *muxConn
}

func newClientMux(conn net.Conn) (*streamMux, error) { return newStreamMux(yamux.Client, conn) }

func newServerMux(conn net.Conn) (*streamMux, error) { return newStreamMux(yamux.Server, conn) }

func newStreamMux(construct func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error), conn net.Conn) (*streamMux, error) {
	ending := &muxConn{Conn: conn}
	session, err := construct(ending, muxConfig())
	if err != nil {
		return nil, err
	}
	return &streamMux{session: session, conn: ending}, nil
}

// Open opens a stream.
func (m *streamMux) Open() (net.Conn, error) { return m.tracked(m.session.Open()) }

// Accept waits for a stream that the peer opens.
func (m *streamMux) Accept() (net.Conn, error) { return m.tracked(m.session.Accept()) }

func (m *streamMux) tracked(stream net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	m.conn.streams.add(stream)
	return stream, nil
}

// CloseChan returns a channel that is closed when the session shuts down.
func (m *streamMux) CloseChan() <-chan struct{} { return m.session.CloseChan() }

func (m *streamMux) isClosed() bool { return m.session.IsClosed() }

// Close ends the streams, the session and its connection.
func (m *streamMux) Close() error {
	m.conn.streams.end()
	return m.session.Close()
}

// muxConn is the connection of a streamMux. It ends the streams before yamux sees an
// error. A session that shuts down for another reason closes its connection at once.
type muxConn struct {
	net.Conn
	streams streamSet
}

// Read implements net.Conn.
func (c *muxConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.streams.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *muxConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.streams.end()
	}
	return n, err
}

// Close implements net.Conn.
func (c *muxConn) Close() error {
	c.streams.end()
	return c.Conn.Close()
}

// streamSet holds the streams of a session.
type streamSet struct {
	mu      sync.Mutex
	streams []net.Conn
	ended   bool
}

// pastDeadline ends reads and writes that would have to wait. Data that has been
// received can still be read.
var pastDeadline = time.Unix(1, 0)

// add adds a stream. If the set has ended, the stream ends at once.
func (s *streamSet) add(stream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = stream.SetDeadline(pastDeadline)
		return
	}
	s.streams = append(s.streams, stream)
}

// end ends the streams of the set.
func (s *streamSet) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, stream := range s.streams {
		_ = stream.SetDeadline(pastDeadline)
	}
	s.streams = nil
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false // the heartbeats of Link detect unresponsive peers sooner
	config.LogOutput = discard{}
	config.MaxStreamWindowSize = 4 << 20
	// Streams are closed only as their session ends; a timer would keep them in memory.
	config.StreamCloseTimeout = 0
	return config
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
