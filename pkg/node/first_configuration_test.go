package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// Guards against jobs that a host refuses in the moment after its start, though other hosts may run them.
func TestRequestsAwaitTheFirstConfiguration(t *testing.T) {
	loaded := catalog.NewConfiguration(1, nil, nil, catalog.Limits{})
	tests := []struct {
		name  string
		now   time.Duration // since the node's start
		after func(n *Node, leave func())
		want  *catalog.Configuration
	}{
		{"loaded", 0, func(n *Node, _ func()) { n.configuration.Store(&activeConfiguration{parsed: loaded}) }, loaded},
		{"the caller leaves", 0, func(_ *Node, leave func()) { leave() }, nil},
		{"none for long", startupGrace, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := peerNode(t, "a", "z", 1)
			n.Clock = &manualClock{now: test.now}
			n.configuration.Store(nil)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			answer := make(chan *catalog.Configuration, 1)
			go func() { answer <- n.AwaitConfiguration(ctx) }()
			if test.after != nil {
				select {
				case <-answer:
					c.Fatal("the request didn't wait")
				case <-time.After(3 * configurationPollInterval):
				}
				test.after(n, leave)
			}
			select {
			case got := <-answer:
				c.Assert(got, qt.Equals, test.want)
			case <-time.After(5 * time.Second):
				c.Fatal("the request got no answer")
			}
		})
	}
}
