package peer

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/settings"
	qt "github.com/frankban/quicktest"
)

// refusedHost counts refused connections.
type refusedHost struct {
	fakeHost
	refused atomic.Int64
}

func (h *refusedHost) ConnectionRefused(string) { h.refused.Add(1) }

// Guards against hosts that have ended and count as out of reach for good, and against a machine that answers nothing
// and counts as one whose host has ended.
func TestRefusedConnectionsAreReported(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts by its backlog, and never answers
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ended.Close(), qt.IsNil)
	for _, s := range []struct {
		testName string
		address  string
		want     bool
	}{
		{testName: "the process has ended", address: ended.Addr().String(), want: true},
		{testName: "nobody answers", address: silent.Addr().String()},
	} {
		t.Run(s.testName, func(t *testing.T) {
			host := &refusedHost{}
			l := NewLink(common.NewTestCommon(), s.address, settings.Link{Heartbeat: 20 * time.Millisecond, SuspectAfter: 200 * time.Millisecond}, host, &Counters{})
			defer l.Close()
			for end := time.Now().Add(time.Second); host.refused.Load() < 2 && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			qt.Assert(t, host.refused.Load() >= 2, qt.Equals, s.want)
		})
	}
}
