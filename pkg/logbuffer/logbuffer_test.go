package logbuffer

import (
	"bytes"
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
	c.Assert(strings.Contains(text, fmt.Sprintf(`"msg":"log_lines_dropped","count":%d`, b.Dropped())), qt.IsTrue, qt.Commentf("%s", text))
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
