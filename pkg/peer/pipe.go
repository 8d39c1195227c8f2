package peer

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	bufferBytes   = 4 << 10 // per direction of a stream; a host may have hundreds of streams
	maxFrameBytes = 256 << 20
)

// pipe writes and reads frames on one stream. Messages that are pending at the same
// time are sent in one frame.
type pipe struct {
	conn     net.Conn
	counters *Counters
	wake     chan struct{}
	closed   chan struct{}
	once     sync.Once

	mu      sync.Mutex
	pending []*peerpb.Message
	due     time.Time // when the pending messages must be sent
}

func newPipe(conn net.Conn, counters *Counters) *pipe {
	p := &pipe{conn: conn, counters: counters, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go p.writeLoop()
	return p
}

// send queues a message, which is sent within wait.
func (p *pipe) send(m *peerpb.Message, wait time.Duration) {
	due := time.Now().Add(wait)
	p.mu.Lock()
	if len(p.pending) == 0 || due.Before(p.due) {
		p.due = due
	}
	p.pending = append(p.pending, m)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pipe) close() {
	p.once.Do(func() {
		close(p.closed)
		_ = p.conn.Close()
	})
}

func (p *pipe) writeLoop() {
	defer p.close()
	out := bufio.NewWriterSize(p.conn, bufferBytes)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-p.closed:
			return
		case <-p.wake:
		case <-timer.C:
		}
		batch, wait := p.take()
		if len(batch) == 0 {
			timer.Reset(wait)
			continue
		}
		if err := p.write(out, batch); err != nil {
			return
		}
	}
}

// take returns the pending messages once one of them is due, and otherwise how long
// to wait.
func (p *pipe) take() ([]*peerpb.Message, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return nil, time.Hour
	}
	if wait := time.Until(p.due); wait > 0 {
		return nil, wait
	}
	batch := p.pending
	p.pending = nil
	return batch, 0
}

// write sends a batch of messages, without those that can't be encoded, such as one with a text that isn't UTF-8.
// They must not end the connection, which a new one would not mend.
func (p *pipe) write(out *bufio.Writer, batch []*peerpb.Message) error {
	n, err := protodelim.MarshalTo(out, &peerpb.Frame{Messages: batch})
	if err == nil {
		p.counters.sent(batch, n)
		return out.Flush()
	}
	encodable := encodableOf(batch)
	if len(encodable) == len(batch) {
		return err
	}
	p.counters.notEncoded.Add(uint64(len(batch) - len(encodable)))
	if len(encodable) == 0 {
		return nil
	}
	return p.write(out, encodable)
}

func encodableOf(batch []*peerpb.Message) []*peerpb.Message {
	var encodable []*peerpb.Message
	for _, m := range batch {
		if _, err := proto.Marshal(m); err == nil {
			encodable = append(encodable, m)
		}
	}
	return encodable
}

// readLoop calls handle for each message until the stream ends.
func (p *pipe) readLoop(handle func(*peerpb.Message)) error {
	defer p.close()
	in := bufio.NewReaderSize(p.conn, bufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &peerpb.Frame{}
		if err := options.UnmarshalFrom(in, frame); err != nil {
			return err
		}
		for _, m := range frame.Messages {
			handle(m)
		}
	}
}
