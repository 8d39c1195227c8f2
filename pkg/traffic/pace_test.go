package traffic

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stream is a connection whose reads fill the whole buffer.
type stream struct{ net.Conn }

func (stream) Read(p []byte) (int, error) { return len(p), nil }

func TestPacedReading(t *testing.T) {
	type scenario struct {
		testName string
		rate     float64
		reads    int // of 32 kB each
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "no limit", reads: 100},
		{testName: "the first chunk is read without a delay", rate: 100 << 10, reads: 1},
		{testName: "later chunks are read at the rate", rate: 100 << 10, reads: 26, want: time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			pace := NewPace(s.rate)
			pace.now = func() time.Time { return now }
			pace.sleep = func(d time.Duration) { now = now.Add(d) }
			conn := pace.Conn(stream{})
			buffer := make([]byte, 32<<10)
			for range s.reads {
				_, err := conn.Read(buffer)
				c.Assert(err, qt.IsNil)
			}
			c.Assert(now.Sub(time.Unix(1000, 0)).Round(time.Millisecond), qt.Equals, s.want)
		})
	}
}
