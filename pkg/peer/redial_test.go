package peer

import (
	"net"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/settings"
	qt "github.com/frankban/quicktest"
)

// Guards against a peer that is back and hears from this host only after the backoff of its failed dials.
func TestALinkThatIsDownRedialsOnRequest(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	local, remote := &fakeHost{}, &fakeHost{}
	l := NewLink(common.NewTestCommon(), address, settings.Link{Heartbeat: 20 * time.Millisecond, SuspectAfter: time.Minute}, local, &Counters{})
	defer l.Close()
	time.Sleep(2 * time.Second) // five dials have failed, the next one is 0.36 s away at least
	listener, err = net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	server := NewServer(common.NewTestCommon(), listener, remote, remote, &Counters{})
	defer server.Close()
	go server.Serve()
	began := time.Now()
	l.Redial()
	for local.up.Load() == 0 && time.Since(began) < 5*time.Second {
		time.Sleep(time.Millisecond)
	}
	c.Assert(local.up.Load(), qt.Equals, int64(1))
	c.Assert(time.Since(began) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("it took %s", time.Since(began)))
}
