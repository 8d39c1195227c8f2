package relayd

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLossHitsSomePiecesOfSomeConnections(t *testing.T) {
	loss := Loss{Conns: 3, Pieces: 4, Late: 200 * time.Millisecond}
	scenarios := []struct {
		testName string
		loss     Loss
		number   int
		piece    int
		expected time.Duration
	}{
		{testName: "no loss", number: 3, piece: 4, expected: 0},
		{testName: "another connection", loss: loss, number: 2, piece: 4, expected: 0},
		{testName: "a piece that comes in time", loss: loss, number: 3, piece: 3, expected: 0},
		{testName: "a piece that comes late", loss: loss, number: 3, piece: 4, expected: loss.Late},
		{testName: "a later one", loss: loss, number: 6, piece: 8, expected: loss.Late},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.Assert(t, s.loss.lateBy(s.number, s.piece), qt.Equals, s.expected)
		})
	}
}

func TestCutOfOneOpener(t *testing.T) {
	c := qt.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer echo.Close()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	relay := NewRelay(echo.Addr().String(), 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go relay.Serve(listener)
	dial := func(opener string) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte(opener))
		c.Assert(err, qt.IsNil)
		return conn
	}
	passes := func(conn net.Conn) bool {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := conn.Read(make([]byte, 64))
		return err == nil
	}
	first, other := dial("first"), dial("other")
	defer first.Close()
	defer other.Close()
	c.Assert(passes(first), qt.IsTrue)
	c.Assert(passes(other), qt.IsTrue)
	relay.SetCutOf("first", true)
	for _, conn := range []net.Conn{first, other} {
		_, err = conn.Write([]byte("more"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(passes(first), qt.IsFalse)
	c.Assert(passes(other), qt.IsTrue)
	relay.SetCutOf("first", false)
	c.Assert(passes(first), qt.IsTrue)
	relay.SetCutWaysOf("other", false, true) // the echo stays away
	_, err = other.Write([]byte("more"))
	c.Assert(err, qt.IsNil)
	c.Assert(passes(other), qt.IsFalse)
	relay.SetCutWaysOf("other", false, false)
	c.Assert(passes(other), qt.IsTrue)
}

func TestOnlyTheNextPieceOfAnOpenerComesLate(t *testing.T) {
	c := qt.New(t)
	relay := NewRelay("", 0)
	for number, head := range []string{"first", "other", "first again"} {
		relay.recordHead(number, []byte(head))
	}
	relay.DelayNext("first", time.Second)
	var late []time.Duration
	for _, number := range []int{1, 2, 0} {
		late = append(late, relay.nextLate(number))
	}
	c.Assert(late, qt.DeepEquals, []time.Duration{0, time.Second, 0})
}
