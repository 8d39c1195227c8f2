package logbuffer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestAStuckOutputBlocksNobodyAndDropsAreTold(t *testing.T) {
	c := qt.New(t)
	out := &stuckWriter{release: make(chan struct{})}
	b := New(out, 4)
	for i := range 100 {
		n, err := fmt.Fprintf(b, "line %d\n", i) // returns although nothing is written
		c.Assert(err, qt.IsNil)
		c.Assert(n > 0, qt.IsTrue)
	}
	c.Assert(b.Dropped() >= 90, qt.IsTrue)
	close(out.release)
	b.Close()
	text := out.String()
	c.Assert(strings.HasPrefix(text, "line 0\n"), qt.IsTrue)
	c.Assert(droppedIn(c, text), qt.Equals, b.Dropped(), qt.Commentf("%s", text))
}

// droppedIn adds up the drops that a log tells of. They may be told in several
// lines, as the output comes and goes.
func droppedIn(c *qt.C, text string) uint64 {
	var total uint64
	for _, line := range strings.Split(text, "\n") {
		var told struct {
			Message string `json:"msg"`
			Count   uint64 `json:"count"`
		}
		if !strings.HasPrefix(line, "{") {
			continue
		}
		c.Assert(json.Unmarshal([]byte(line), &told), qt.IsNil)
		c.Assert(told.Message, qt.Equals, "log_lines_dropped")
		total += told.Count
	}
	return total
}

func TestEveryLineIsWrittenInOrder(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	b := New(&out, 100)
	want := ""
	for i := range 50 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		_, _ = b.Write([]byte(line))
	}
	b.Close()
	c.Assert(out.String(), qt.Equals, want)
}

func TestALineAfterTheEndIsDropped(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	b := New(&out, 4)
	b.Close()
	n, err := b.Write([]byte("late\n")) // a goroutine that outlives the stop
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 5)
	c.Assert(b.Dropped(), qt.Equals, uint64(1))
	c.Assert(out.String(), qt.Equals, "")
	b.Close()
}
