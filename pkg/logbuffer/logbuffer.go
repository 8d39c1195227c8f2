// Package logbuffer is a bounded buffer between a logger and its output. A
// write never blocks: when the buffer is full the line is dropped and counted,
// and a line that tells the count follows once there is room.
package logbuffer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultLines is the number of lines that a buffer holds.
const DefaultLines = 4096

// Buffer implements io.Writer. It is safe for concurrent use.
type Buffer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu     sync.RWMutex // held for reading by writers, for writing to close
	closed bool
}

// New makes a buffer of so many lines in front of out.
func New(out io.Writer, lines int) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. Each call is one line. After Close lines are
// dropped.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (b *Buffer) Dropped() uint64 { return b.dropped.Load() }

// Close writes what is buffered.
func (b *Buffer) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}

// run writes lines, those that are ready together in one call.
func (b *Buffer) run() {
	defer close(b.done)
	told := uint64(0)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		batch = b.appendReady(batch)
		if dropped := b.Dropped(); dropped > told {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log_lines_dropped\",\"count\":%d}\n", dropped-told)
			told = dropped
		}
		_, _ = b.out.Write(batch)
	}
}

func (b *Buffer) appendReady(batch []byte) []byte {
	for range cap(b.lines) {
		select {
		case line, ok := <-b.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
