package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	qt "github.com/frankban/quicktest"
)

func TestWhereAJobStaysAfterAnOwner(t *testing.T) {
	const settle = 5 * time.Second
	progress := []job.Progress{{Key: job.TaskKey{Step: 0, Index: 1}, Done: true}}
	type scenario struct {
		testName     string
		take         func(a *attempt)
		wantCell     string
		wantStarted  bool
		wantProgress []job.Progress
	}
	scenarios := []scenario{
		{
			testName:     "given back while it runs: its cell's next owner adopts it",
			take:         func(a *attempt) { a.moved("cell", job.Outcome{Started: true, Progress: progress}, settle) },
			wantCell:     "cell",
			wantStarted:  true,
			wantProgress: progress,
		},
		{
			testName: "given back before it started: any cell may have it",
			take:     func(a *attempt) { a.moved("cell", job.Outcome{}, settle) },
		},
		{
			testName:     "refused untouched by one that is no owner: nothing changes",
			take:         func(a *attempt) { a.moved("other", job.Outcome{Reason: reasonNotOwner}, 2*settle) },
			wantCell:     "before",
			wantProgress: progress,
		},
		{
			testName:    "lost with its owner: it may run there, and what was known is old",
			take:        func(a *attempt) { a.lost("cell", settle) },
			wantCell:    "cell",
			wantStarted: true,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a := &attempt{epoch: 1}
			if s.wantCell == "before" {
				a.lostCell, a.progress = "before", progress
			}
			s.take(a)
			c.Assert(a.lostCell, qt.Equals, s.wantCell)
			c.Assert(a.started, qt.Equals, s.wantStarted)
			c.Assert(a.progress, qt.DeepEquals, s.wantProgress)
		})
	}
}
