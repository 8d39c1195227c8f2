package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

func TestAnOwnerForsakesAMovedJobUnlessItRanThere(t *testing.T) {
	scenarios := []struct {
		testName string
		prepare  func(k *keptOwnerTest)
		goesOn   []string
		outcomes int // that its keepers are told
	}{
		{"it isn't here", func(*keptOwnerTest) {}, nil, 0},
		{"it waits here", func(k *keptOwnerTest) { k.submit("a", true) }, nil, 1},
		{"it has ended here", func(k *keptOwnerTest) {
			k.submit("a", true)
			k.end("a", job.Completed)
		}, []string{"a"}, 1},
		{"a task of it has run here", func(k *keptOwnerTest) {
			k.submit("a", true)
			k.owner.do(func(state *cell.Cell, now time.Duration) {
				state.Withdraw("a", "test", now)
				state.Submit(cell.Handover{
					Job:      &job.Job{ID: "a", Kept: true, MaxAttempts: 3, Steps: []job.Step{{Count: 1}}, Received: now, Deadline: now + time.Hour},
					Epoch:    2,
					Progress: []job.Progress{{Failures: 1, Run: 1501}},
				}, now)
			})
		}, []string{"a"}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			s.prepare(k)
			c.Assert(k.owner.told(&peerpb.Noted{Ids: []string{"a"}, Moved: true}), qt.DeepEquals, s.goesOn)
			c.Assert(k.outcomes, qt.HasLen, s.outcomes)
		})
	}
}
