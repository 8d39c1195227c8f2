package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

const (
	shutdownCase     = "FOXCROFT_TEST_SHUTDOWN" // environment of a child process: the ending to play
	shutdownSessions = 4
	streamsEach      = 8
	smallBuffer      = 16 << 10 // of a connection, so that writes get stuck
	shutdownTimeout  = 20 * time.Second
	// lateness is how long after the end of a connection its receive loop goes on, as
	// on a busy host.
	lateness = 500 * time.Millisecond
	// shutdownCPU is above what setting up and ending the sessions takes, and below
	// what a single stream that spins for the lateness uses.
	shutdownCPU = lateness / 2
)

// endings are the ways in which the sessions of a child process end.
var endings = []struct {
	testName string
	end      func(s *shutdownSession)
}{
	{"closed here", func(s *shutdownSession) { _ = s.mux.Close() }},
	{"closed by the peer", func(s *shutdownSession) { _ = s.remote.Close() }},
	{"reset by the peer", func(s *shutdownSession) { s.reset() }},
	{"silent and given up", func(s *shutdownSession) { s.asLinkSession().close() }},
	{"a write fails", func(s *shutdownSession) {
		s.conn.broken.Store(true)
		s.pipes[0].send(record("x"), 0)
	}},
	{"a write times out", func(s *shutdownSession) {
		_ = s.conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		s.fill()
	}},
	{"closed while writes are stuck", func(s *shutdownSession) {
		s.fill()
		time.Sleep(20 * time.Millisecond)
		_ = s.mux.Close()
	}},
	{"closed while writers wait for the window", func(s *shutdownSession) {
		go func() { _, _ = io.Copy(io.Discard, s.remote) }()
		s.fill()
		time.Sleep(20 * time.Millisecond)
		_ = s.mux.Close()
	}},
	{"a protocol error", func(s *shutdownSession) { _, _ = s.remote.Write(bytes.Repeat([]byte{0xff}, 12)) }},
}

// Guards against readers and writers of streams that spin while their session shuts
// down: each of them uses the processor for whole time slices.
func TestNothingSpinsWhileSessionsEnd(t *testing.T) {
	if ending := os.Getenv(shutdownCase); ending != "" {
		playEnding(t, ending)
		return
	}
	testName := t.Name()
	modes := []struct{ testName, debug string }{
		{"without preemption", "asyncpreemptoff=1"},
		{"with preemption", "asyncpreemptoff=0"},
	}
	for _, mode := range modes {
		for _, ending := range endings {
			t.Run(mode.testName+"/"+ending.testName, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
				defer cancel()
				child := exec.CommandContext(ctx, os.Args[0], "-test.run=^"+testName+"$")
				child.Env = append(os.Environ(), shutdownCase+"="+ending.testName, "GOMAXPROCS=1", "GODEBUG="+mode.debug)
				output, err := child.CombinedOutput()
				used := child.ProcessState.UserTime() + child.ProcessState.SystemTime()
				qt.Assert(t, err, qt.IsNil, qt.Commentf("%s of processor time used; %s", used, output))
				t.Logf("%s of processor time used", used)
				qt.Assert(t, used < shutdownCPU, qt.IsTrue)
			})
		}
	}
}

// playEnding opens sessions, ends them and waits until nothing uses their streams and
// their shutdown is complete.
func playEnding(t *testing.T, testName string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	var users sync.WaitGroup
	var sessions []*shutdownSession
	for range shutdownSessions {
		sessions = append(sessions, newShutdownSession(t, listener, &users))
	}
	time.Sleep(20 * time.Millisecond) // lets all readers wait for data
	for _, ending := range endings {
		if ending.testName != testName {
			continue
		}
		for _, s := range sessions {
			go ending.end(s)
		}
	}
	users.Wait()
	for _, s := range sessions {
		_ = s.mux.Close() // waits for a shutdown under way
	}
}

// shutdownSession is a session whose remote end is a plain connection.
type shutdownSession struct {
	conn   *breakableConn
	mux    *streamMux
	remote *net.TCPConn
	pipes  []*pipe
}

func newShutdownSession(t *testing.T, listener net.Listener, users *sync.WaitGroup) *shutdownSession {
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	remote, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	s := &shutdownSession{conn: &breakableConn{Conn: conn}, remote: remote.(*net.TCPConn)}
	qt.Assert(t, conn.(*net.TCPConn).SetWriteBuffer(smallBuffer), qt.IsNil)
	qt.Assert(t, s.remote.SetReadBuffer(smallBuffer), qt.IsNil)
	s.mux, err = newClientMux(s.conn)
	qt.Assert(t, err, qt.IsNil)
	for range streamsEach {
		stream, err := s.mux.Open()
		qt.Assert(t, err, qt.IsNil)
		p := newPipe(stream, &Counters{})
		s.pipes = append(s.pipes, p)
		users.Go(func() { _ = p.readLoop(func(*peerpb.Message) {}) })
		users.Go(func() { <-p.closed })
	}
	return s
}

// fill sends more on each stream than its window and the connection hold.
func (s *shutdownSession) fill() {
	text := string(make([]byte, 300<<10))
	for _, p := range s.pipes {
		p.send(record(text), 0)
	}
}

// asLinkSession returns a session of a link that uses two of the streams.
func (s *shutdownSession) asLinkSession() *session {
	l := newSession(s.conn.Conn)
	l.mux, l.control, l.jobs = s.mux, s.pipes[0], s.pipes[1]
	return l
}

func (s *shutdownSession) reset() {
	_ = s.remote.SetLinger(0)
	_ = s.remote.Close()
}

// breakableConn is a connection whose end its reader notices late, and whose writes can
// be made to fail.
type breakableConn struct {
	net.Conn
	broken atomic.Bool
}

// Read implements net.Conn.
func (c *breakableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(lateness)
	}
	return n, err
}

// Write implements net.Conn.
func (c *breakableConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}
