package logbuffer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestABlockedOutputDropsLinesAndCountsThem(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	b := New(out, 4)
	for i := range 100 {
		n, err := fmt.Fprintf(b, "line %d\n", i) // returns although the output is blocked
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

// droppedIn returns the sum of the drop counts in a log, which may have several
// log_lines_dropped lines.
func droppedIn(c *qt.C, text string) uint64 {
	var total uint64
	for _, line := range strings.Split(text, "\n") {
		var reported struct {
			Message string `json:"msg"`
			Count   uint64 `json:"count"`
		}
		if !strings.HasPrefix(line, "{") {
			continue
		}
		c.Assert(json.Unmarshal([]byte(line), &reported), qt.IsNil)
		c.Assert(reported.Message, qt.Equals, "log_lines_dropped")
		total += reported.Count
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

func TestALineAfterCloseIsDropped(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	b := New(&out, 4)
	b.Close()
	n, err := b.Write([]byte("late\n")) // as by a goroutine that logs after shutdown
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 5)
	c.Assert(b.Dropped(), qt.Equals, uint64(1))
	c.Assert(out.String(), qt.Equals, "")
	b.Close()
}
