package peer

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// newMuxPair returns both ends of a session over a TCP connection.
func newMuxPair(t *testing.T) (client, server *streamMux) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	client, err = newClientMux(conn)
	c.Assert(err, qt.IsNil)
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	server, err = newServerMux(accepted)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// Guards against losing messages that have arrived when their connection ends, and that
// a busy host has not handled by then.
func TestMessagesReceivedBeforeTheEndAreHandled(t *testing.T) {
	c := qt.New(t)
	client, server := newMuxPair(t)
	opened, err := client.Open()
	c.Assert(err, qt.IsNil)
	sender := &pipe{conn: opened, counters: &Counters{}}
	accepted, err := server.Accept()
	c.Assert(err, qt.IsNil)
	receiver := newPipe(accepted, &Counters{})
	const messages = 50
	busy := make(chan struct{})
	var handled atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = receiver.readLoop(func(*peerpb.Message) {
			<-busy
			handled.Add(1)
		})
	}()
	out := bufio.NewWriter(opened)
	text := string(make([]byte, bufferBytes)) // more than one frame never fits the reader's buffer
	for range messages {
		c.Assert(sender.write(out, []*peerpb.Message{record(text)}), qt.IsNil)
	}
	time.Sleep(100 * time.Millisecond) // lets the messages arrive
	c.Assert(client.Close(), qt.IsNil)
	<-server.CloseChan()
	close(busy)
	<-ended
	c.Assert(handled.Load(), qt.Equals, int64(messages))
}

// A stream that is accepted while the session shuts down ends as well.
func TestStreamAddedAfterTheEnd(t *testing.T) {
	c := qt.New(t)
	client, _ := newMuxPair(t)
	stream, err := client.session.Open()
	c.Assert(err, qt.IsNil)
	client.conn.streams.end()
	client.conn.streams.add(stream)
	_, err = stream.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorMatches, "i/o deadline reached")
}

// Guards against links that are opened again and again, as each of their connections ends with a message that can't be
// encoded: an entry of another writer had a text that isn't UTF-8.
func TestAMessageThatCannotBeEncodedLeavesTheOthers(t *testing.T) {
	c := qt.New(t)
	client, server := newMuxPair(t)
	opened, err := client.Open()
	c.Assert(err, qt.IsNil)
	sender := newPipe(opened, &Counters{})
	accepted, err := server.Accept()
	c.Assert(err, qt.IsNil)
	receiver := newPipe(accepted, &Counters{})
	received := make(chan *peerpb.Message, 3)
	go func() { _ = receiver.readLoop(func(m *peerpb.Message) { received <- m }) }()
	odd := &peerpb.Message{Body: &peerpb.Message_Snapshot{Snapshot: &peerpb.Snapshot{Gone: []string{"caf\xe9"}}}}
	for _, m := range []*peerpb.Message{record("first"), odd, record("last")} {
		sender.send(m, 10*time.Millisecond)
	}
	for range 2 {
		select {
		case m := <-received:
			c.Assert(m.GetSnapshot(), qt.IsNil)
		case <-time.After(5 * time.Second):
			c.Fatal("a message is missing")
		}
	}
	c.Assert(sender.counters.NotEncoded(), qt.Equals, uint64(1))
	select {
	case <-sender.closed:
		c.Fatal("the connection has ended")
	default:
	}
}
