package traffic

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBytesAreCountedByPurpose(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served, calling := NewMeter(), NewMeter()
	listener = served.Of(Callers).Listener(listener)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.CopyN(conn, conn, 5)
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	conn := calling.Of(Store).Conn(raw)
	_, err = conn.Write([]byte("hello"))
	c.Assert(err, qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "hello")

	c.Assert(calling.Of(Store).Out(), qt.Equals, uint64(5))
	c.Assert(calling.Of(Store).In(), qt.Equals, uint64(5))
	c.Assert(calling.Of(Peers).Out(), qt.Equals, uint64(0))
	c.Assert(served.Of(Callers).In(), qt.Equals, uint64(5))
	c.Assert(served.Of(Callers).Out(), qt.Equals, uint64(5))
}

func TestNilCounterReturnsTheConnection(t *testing.T) {
	var none *Counter
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	qt.Assert(t, none.Conn(client), qt.Equals, client)
}
