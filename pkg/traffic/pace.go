package traffic

import (
	"net"
	"sync"
	"time"
)

// pacedChunk is the most bytes that one read of a paced connection returns. It bounds
// how long other traffic on a slow link waits for a paced connection.
const pacedChunk = 4 << 10

// Pace limits the rate at which connections are read, so that a long response leaves
// bandwidth on a slow link for short ones: TCP flow control slows its sender down.
// Connections with the same Pace share its rate.
type Pace struct {
	rate  float64 // bytes per second; 0 for no limit
	sleep func(time.Duration)
	now   func() time.Time

	mu        sync.Mutex
	busyUntil time.Time // when the bytes read so far would have arrived at the rate
}

// NewPace returns a Pace of rate bytes per second; 0 for no limit.
func NewPace(rate float64) *Pace {
	return &Pace{rate: rate, sleep: time.Sleep, now: time.Now}
}

// Conn wraps a connection to limit the rate at which it is read.
func (p *Pace) Conn(conn net.Conn) net.Conn {
	if p.rate <= 0 {
		return conn
	}
	return &pacedConn{Conn: conn, pace: p}
}

// delayAfter returns how long to wait after a read. Unused bandwidth accumulates up to
// one chunk only.
func (p *Pace) delayAfter(bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if credit := now.Add(-p.timeOf(pacedChunk)); p.busyUntil.Before(credit) {
		p.busyUntil = credit
	}
	p.busyUntil = p.busyUntil.Add(p.timeOf(bytes))
	return p.busyUntil.Sub(now)
}

func (p *Pace) timeOf(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

type pacedConn struct {
	net.Conn
	pace *Pace
}

// Read implements net.Conn.
func (c *pacedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), pacedChunk)])
	if wait := c.pace.delayAfter(n); wait > 0 {
		c.pace.sleep(wait)
	}
	return n, err
}
