package cli

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// actAsProgram has the test binary run the command line in place of the tests.
const actAsProgram = "FOXCROFT_TEST_ACT_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(actAsProgram) != "" {
		os.Exit(Run())
	}
	os.Exit(m.Run())
}

const nodeSettings = `[node]
name = a
domain = d
adapter = users-platform

[listen]
front = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:3

[peers]
port = 3

[store]
address = 127.0.0.1:4

[limits]
cpu_share = 0.4
`

// A node that was told of new settings 8 ms after its start ended by the signal, as
// nothing caught it yet. Here the settings are a pipe, so that the node reads them
// only once it has had the signal.
func TestASignalDuringTheStartEndsNothing(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	c.Assert(syscall.Mkfifo(path, 0o600), qt.IsNil)
	var output bytes.Buffer
	program := exec.Command(os.Args[0], "node", "-settings", path, "-check")
	program.Env = append(os.Environ(), actAsProgram+"=1")
	program.Stdout, program.Stderr = &output, &output
	c.Assert(program.Start(), qt.IsNil)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the node to open it
	c.Assert(err, qt.IsNil)
	c.Assert(program.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = pipe.WriteString(nodeSettings)
	c.Assert(err, qt.IsNil)
	c.Assert(pipe.Close(), qt.IsNil)
	c.Assert(program.Wait(), qt.IsNil, qt.Commentf("%s", &output))
}
