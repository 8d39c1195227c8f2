// Package logbuffer is a bounded buffer between a logger and its output. A
// write never blocks: when the buffer is full the line is dropped, and a line with
// the number of dropped lines follows once there is room.
package logbuffer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// DefaultLines is the default capacity of a buffer in lines.
const DefaultLines = 4096

// Buffer implements io.Writer. It is safe for concurrent use.
type Buffer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu     sync.RWMutex // Write holds it for reading, Close for writing
	closed bool
}

// New returns a buffer with a capacity of lines in front of out.
func New(out io.Writer, lines int) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. Each call writes one line. Lines written after Close
// are dropped.
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

// Dropped returns the total number of dropped lines.
func (b *Buffer) Dropped() uint64 { return b.dropped.Load() }

// Close writes the buffered lines and stops the buffer.
func (b *Buffer) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}

// run writes the buffered lines, with one call for all that are ready.
func (b *Buffer) run() {
	defer close(b.done)
	reported := uint64(0)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		batch = b.appendReady(batch)
		if dropped := b.Dropped(); dropped > reported {
			batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log_lines_dropped\",\"count\":%d}\n", dropped-reported)
			reported = dropped
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
