package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

// A stopping node must answer every job that still arrives.
func TestJobsOfAStoppingNode(t *testing.T) {
	type scenario struct {
		testName string
		stopsIn  time.Duration // 0 when no stop is planned
		estimate time.Duration
		giveUp   bool
		want     job.Kind
		reason   string
	}
	scenarios := []scenario{
		{testName: "too little time is left: refused", stopsIn: 100 * time.Millisecond, estimate: time.Second, want: job.Refused, reason: "stopping"},
		{testName: "enough time, but no owner is found before the stop", stopsIn: time.Minute, estimate: time.Second, giveUp: true, want: job.Refused, reason: "stopping"},
		{testName: "no stop, no owner", estimate: time.Second, want: job.Refused, reason: "no_owner"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.executors.Store(newListing(0, &catalog.Executors{}, nil, nil))
			if s.stopsIn > 0 {
				n.front.stopsAt.Store(int64(n.Clock.Now() + s.stopsIn))
			}
			now := n.Clock.Now()
			j := &job.Job{ID: "00112233445566ff", Steps: []job.Step{{Count: 1, Estimate: s.estimate}}, Received: now, Deadline: now + 2*time.Second, Stretch: 2}
			if s.giveUp {
				go func() {
					for n.openJobs() == 0 {
						time.Sleep(time.Millisecond)
					}
					n.front.abandonOpenJobs()
				}()
			}
			outcome := n.front.submit(context.Background(), j)
			c.Assert(outcome.Kind, qt.Equals, s.want)
			c.Assert(outcome.Reason, qt.Equals, s.reason)
		})
	}
}
