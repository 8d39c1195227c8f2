package node

import (
	"context"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// The withdrawal of a join request may be handled before the request itself: each has a goroutine of
// its own. The job must not keep a waiter that has left, and a cancellation must reach it.
func TestAJoinRequestThatWasWithdrawnBeforeItIsServed(t *testing.T) {
	type scenario struct {
		testName  string
		cause     error
		cancelled bool
	}
	scenarios := []scenario{
		{testName: "the asker has left", cause: errLeft},
		{testName: "the asker's caller has cancelled the job", cause: errCancelled, cancelled: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			open := openUnannounced(n)
			ctx, cancel := context.WithCancelCause(context.Background())
			cancel(s.cause)
			n.answerJoin(ctx, &peerpb.Join{Id: joinID, Front: n.settings.PeerAddress, Process: n.inc[:], Asker: "asker:1"})
			c.Assert(waiters(n, open), qt.Equals, 1, qt.Commentf("its own caller"))
			c.Assert(context.Cause(open.ctx) == errCancelled, qt.Equals, s.cancelled)
		})
	}
}
