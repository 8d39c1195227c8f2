package node

import (
	"net"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peer"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
	qt "github.com/frankban/quicktest"
)

// Guards against a host that has just started and accepts a job that another one holds open, which has not
// dialled it again and dies before it does.
func TestAHostThatReachesThisOneIsDialledAtOnce(t *testing.T) {
	c := qt.New(t)
	a, b := peerNode(t, "a", "z", 1), peerNode(t, "b", "z", 2)
	address := b.settings.PeerAddress
	b.peers.Close()
	a.links = peer.NewSet(a.Common, settings.Link{Heartbeat: 20 * time.Millisecond, SuspectAfter: time.Minute}, a, a.counters)
	a.links.Keep([]string{address})
	time.Sleep(2 * time.Second) // five dials have failed, the next one is 0.36 s away at least
	listener, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	b.peers = peer.NewServer(b.Common, listener, b, b, b.counters)
	go b.peers.Serve()
	a.LinkAccepted(&peerpb.Hello{Name: "b", Domain: "z", Address: address})
	began := time.Now()
	eventually(c, func() bool { return a.links.Link(address).Up() })
	c.Assert(time.Since(began) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("it took %s", time.Since(began)))
}
