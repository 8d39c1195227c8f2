package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// A coordinator that moves a job out of a removed cell asks the owners of the cells that have
// replaced it for the ends of the job's tasks. They go on holding these, as no row has them yet.
func TestEndsOfMovedJobsAreReported(t *testing.T) {
	type scenario struct {
		testName   string
		reportEnds bool
		wantEnds   int
		wantAgain  int // when asked a second time
	}
	scenarios := []scenario{
		{testName: "the cell has replaced a part of the former one", reportEnds: true, wantEnds: 1, wantAgain: 1},
		{testName: "the cell is the former one, whose ends the row holds"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			k := newKeptOwnerTest(c)
			n := k.owner.node
			k.owner = newOwner(n, "z/2.1", 1, n.Clock.Now()-time.Minute)
			k.listEnd("a.0.0.0", 501)
			o := k.owner
			m := &peerpb.Noted{Cell: "z/2.1", Ids: []string{"a"}, Moved: true, ReportEnds: s.reportEnds}
			answer, ok := o.answerNotice(m)
			c.Assert(ok, qt.IsTrue)
			c.Assert(answer.Ids, qt.HasLen, 0)
			c.Assert(answer.Ends, qt.HasLen, s.wantEnds)
			again, _ := o.answerNotice(&peerpb.Noted{Cell: "z/2.1", Ids: []string{"a"}, Moved: true, ReportEnds: true})
			c.Assert(again.Ends, qt.HasLen, s.wantAgain)
		})
	}
}

// listEnd makes an executor of the cell list the end of a run of a kept job that a former owner
// started.
func (k *keptOwnerTest) listEnd(task string, run int64) {
	o := k.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.node.Clock.Now()
	executor := catalog.Executor{ID: "i-1", Address: "10.0.0.1:80", Service: "s", Capacity: job.Resources{CPU: 1000}}
	o.state.MarkListComplete()
	o.state.SetExecutors([]catalog.Executor{executor}, now)
	o.state.HoldAnswered("i-1", cell.HoldResponse{
		Clock: time.Second, Ended: []cell.EndedTask{{Task: task, Run: run, Number: 1, Kind: cell.EndDone}},
	}, now, now)
	o.state.TakeActions()
}
