// Package traffic counts the bytes that a host sends and receives, by purpose, and
// limits the rate at which connections are read.
package traffic

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// Purpose is what bytes on the host's link are for.
type Purpose uint8

// The purposes of traffic.
const (
	Store     Purpose = iota // lists, configurations and rows
	Peers                    // heartbeats, announcements and jobs between hosts
	Executors                // start, stop and hold requests
	Callers                  // jobs and their answers
	purposeCount
)

var purposeNames = [purposeCount]string{"store", "peers", "executors", "callers"}

// String returns the name of the purpose in metrics.
func (p Purpose) String() string { return purposeNames[p] }

func Purposes() []Purpose { return []Purpose{Store, Peers, Executors, Callers} }

// Counter counts the bytes of one purpose.
type Counter struct {
	in  atomic.Uint64
	out atomic.Uint64
}

// In returns the number of bytes received.
func (c *Counter) In() uint64 { return c.in.Load() }

// Out returns the number of bytes sent.
func (c *Counter) Out() uint64 { return c.out.Load() }

// Conn wraps a connection to count its bytes. A nil counter returns conn itself.
func (c *Counter) Conn(conn net.Conn) net.Conn {
	if c == nil {
		return conn
	}
	return &countedConn{Conn: conn, counter: c}
}

// Listener wraps a listener to count the bytes of the connections that it accepts.
func (c *Counter) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, counter: c}
}

// Meter has a counter for each purpose.
type Meter struct {
	counters [purposeCount]Counter
}

func NewMeter() *Meter { return &Meter{} }

func (m *Meter) Of(p Purpose) *Counter { return &m.counters[p] }

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(uint64(n))
	return n, err
}

// SyscallConn implements syscall.Conn, if the connection does.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}
