package peer

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	"github.com/foxcroft/foxcroft/pkg/settings"
	qt "github.com/frankban/quicktest"
)

func TestNoMessageIsHandledAfterSessionEnd(t *testing.T) {
	c := qt.New(t)
	var handled atomic.Int64
	host := &fakeHost{handle: func(*peerpb.Message, Reply) { handled.Add(1) }}
	served := &servedSession{server: &Server{Common: common.NewTestCommon(), handler: host, observer: host, callers: newCallers(host.LinkClosed)}}
	served.setHello(&peerpb.Hello{Name: "front"})
	dispatch := &peerpb.Message{Body: &peerpb.Message_Dispatch{Dispatch: &peerpb.Dispatch{Id: "a"}}}

	served.handle(nil, dispatch)
	c.Assert(handled.Load(), qt.Equals, int64(1))
	c.Assert(served.end().Name, qt.Equals, "front")
	served.handle(nil, dispatch)
	c.Assert(handled.Load(), qt.Equals, int64(1))
}

func TestLostLinkResetsItsConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ended := make(chan error, 1)
	go func() {
		// The peer accepts the connection and never answers.
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	link := settings.Link{Heartbeat: 20 * time.Millisecond, SuspectAfter: 100 * time.Millisecond}
	host := &fakeHost{}
	l := NewLink(common.NewTestCommon(), listener.Addr().String(), link, host, &Counters{})
	defer l.Close()
	err = <-ended
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("the connection ended with %v", err))
}

// Guards against reordering: a withdrawal that overtakes its job has no effect, and a
// renewal that overtakes a withdrawal renews a withdrawn job.
func TestMessagesOfAJobStayInOrder(t *testing.T) {
	c := qt.New(t)
	s := &session{control: &pipe{}, jobs: &pipe{}}
	messages := []*peerpb.Message{
		{Body: &peerpb.Message_Dispatch{}},
		{Body: &peerpb.Message_Withdraw{}},
		{Body: &peerpb.Message_Renew{}},
		{Body: &peerpb.Message_Join{}}, // a Join with the wish LEAVE must follow its Join with the wish WAIT
	}
	for _, m := range messages {
		c.Assert(s.pipeFor(m), qt.Equals, s.jobs)
	}
	c.Assert(s.pipeFor(&peerpb.Message{Body: &peerpb.Message_Heartbeat{}}), qt.Equals, s.control)
}
