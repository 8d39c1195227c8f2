package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
	"github.com/foxcroft/foxcroft/pkg/standin/relayd"
	qt "github.com/frankban/quicktest"
)

// fakeHost observes links and handles records with a function of the test.
type fakeHost struct {
	up  atomic.Int64
	ups atomic.Int64 // times that a link came up
	// resumed counts the links that continued on another connection.
	resumed atomic.Int64
	// incarnation is the first byte of the incarnation in the host's hello.
	incarnation   atomic.Int64
	handle        func(m *peerpb.Message, reply Reply)
	linksAccepted atomic.Int64
}

func (f *fakeHost) LinkUp(string, *peerpb.Hello)           { f.up.Add(1); f.ups.Add(1) }
func (f *fakeHost) LinkDown(string)                        { f.up.Add(-1) }
func (f *fakeHost) LinkResumed(string, *peerpb.Hello)      { f.resumed.Add(1) }
func (f *fakeHost) HeartbeatReply(string, *peerpb.Message) {}
func (f *fakeHost) Hello() *peerpb.Hello {
	return &peerpb.Hello{Name: "fake", Incarnation: []byte{byte(f.incarnation.Load())}}
}
func (f *fakeHost) Heartbeat() *peerpb.Heartbeat { return &peerpb.Heartbeat{} }
func (f *fakeHost) LinkAccepted(*peerpb.Hello)   { f.linksAccepted.Add(1) }
func (f *fakeHost) LinkClosed(*peerpb.Hello)     {}
func (f *fakeHost) Handle(_ *peerpb.Hello, m *peerpb.Message, reply Reply) {
	if m.GetHeartbeat() != nil {
		reply(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}, 0)
		return
	}
	f.handle(m, reply)
}

type rig struct {
	link     *Link
	relay    *relayd.Relay
	server   *Server
	local    *fakeHost
	remote   *fakeHost
	counters *Counters
}

// newRig links two hosts through a relay that can be cut.
func newRig(t *testing.T, handle func(m *peerpb.Message, reply Reply)) *rig {
	c := common.NewTestCommon()
	serverSide, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	relaySide, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	remote := &fakeHost{handle: handle}
	r := &rig{local: &fakeHost{}, remote: remote, counters: &Counters{}, relay: relayd.NewRelay(serverSide.Addr().String(), 0)}
	r.server = NewServer(c, serverSide, remote, remote, &Counters{})
	go r.server.Serve()
	go r.relay.Serve(relaySide)
	link := settings.Link{Heartbeat: 20 * time.Millisecond, SuspectAfter: 300 * time.Millisecond}
	r.link = NewLink(c, relaySide.Addr().String(), link, r.local, r.counters)
	t.Cleanup(func() {
		r.relay.SetCut(false)
		r.link.Close()
		r.server.Close()
		_ = relaySide.Close()
	})
	r.eventually(t, func() bool { return r.local.up.Load() == 1 })
	return r
}

func (r *rig) eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not hold within 30 s")
		}
	}
}

func record(part string) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Record{Record: &peerpb.Record{Part: part}}}
}

func acknowledge(ack uint32) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_RecordReply{RecordReply: &peerpb.RecordReply{Ack: ack}}}
}

func TestCalls(t *testing.T) {
	scenarios := []struct {
		testName string
		handle   func(m *peerpb.Message, reply Reply)
		during   func(r *rig)
		expected errkind.Kind
	}{
		{"answered", func(_ *peerpb.Message, reply Reply) { reply(acknowledge(7), 0) }, nil, ""},
		{"answered twice", func(_ *peerpb.Message, reply Reply) { reply(acknowledge(7), 0); reply(acknowledge(8), 0) }, nil, ""},
		{"answered late, in a batch", func(_ *peerpb.Message, reply Reply) { reply(acknowledge(7), 20*time.Millisecond) }, nil, ""},
		{"a failure", func(_ *peerpb.Message, reply Reply) {
			reply(FailureMessage(errkind.New(errkind.NotReady, "wait", "not yet")), 0)
		}, nil, errkind.NotReady},
		{"the peer is cut off", func(*peerpb.Message, Reply) {}, func(r *rig) { r.relay.SetCut(true) }, errkind.PeerDown},
		{"the peer stops", func(*peerpb.Message, Reply) {}, func(r *rig) { r.server.Close() }, errkind.PeerDown},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			r := newRig(t, s.handle)
			if s.during != nil {
				s.during(r)
			}
			reply, err := r.link.Call(context.Background(), record("x"), 0)
			if s.expected != "" {
				qt.Assert(t, errkind.Of(err), qt.Equals, s.expected)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reply.GetRecordReply().GetAck(), qt.Equals, uint32(7))
		})
	}
}

// Guards against delivering the late reply of an abandoned call to the next call.
func TestLateReplyIsDropped(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, func(m *peerpb.Message, reply Reply) {
		if m.GetRecord().Part == "slow" {
			go func() {
				<-release
				reply(acknowledge(1), 0)
			}()
			return
		}
		close(release)
		time.Sleep(10 * time.Millisecond) // lets the late reply be sent first
		reply(acknowledge(2), 0)
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := r.link.Call(ctx, record("slow"), 0)
	qt.Assert(t, errkind.Of(err), qt.Equals, errkind.PeerDown)
	reply, err := r.link.Call(context.Background(), record("quick"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.GetRecordReply().GetAck(), qt.Equals, uint32(2))
}

// Messages that may wait are sent in one frame.
func TestMessagesAreBatched(t *testing.T) {
	r := newRig(t, func(_ *peerpb.Message, reply Reply) { reply(acknowledge(1), 0) })
	const calls = 20
	done := make(chan error, calls)
	for range calls {
		go func() {
			_, err := r.link.Call(context.Background(), record("x"), 500*time.Millisecond)
			done <- err
		}()
	}
	for range calls {
		qt.Assert(t, <-done, qt.IsNil)
	}
	qt.Assert(t, r.counters.Frames(ClassRecord) < calls/2, qt.IsTrue, qt.Commentf("%d frames", r.counters.Frames(ClassRecord)))
}

// A link reconnects by itself after a network cut.
func TestLinkReconnects(t *testing.T) {
	r := newRig(t, func(_ *peerpb.Message, reply Reply) { reply(acknowledge(1), 0) })
	r.relay.SetCut(true)
	r.eventually(t, func() bool { return r.local.up.Load() == 0 })
	r.relay.SetCut(false)
	r.eventually(t, func() bool {
		_, err := r.link.Call(context.Background(), record("x"), 0)
		return err == nil
	})
}
