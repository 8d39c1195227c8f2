package keeping

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/kept"
	qt "github.com/frankban/quicktest"
)

// Guards against jobs that stand still after the loss of their cell: it is vacant, so neither the wait for its next
// owner nor its owner's confirmation has to come first.
func TestAJobLeavesAVacantCellAtOnce(t *testing.T) {
	type scenario struct {
		testName string
		outcome  job.Outcome // in the cell
	}
	scenarios := []scenario{
		{testName: "its owner was lost", outcome: job.Outcome{Kind: job.Lost}},
		{testName: "its owner has returned it and released the cell", outcome: job.Outcome{Kind: job.Moved, Reason: "no_usable_executor"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			host, _, first := keepOne(c, t.Cleanup)
			host.cells.change(func(f *fakeCells) {
				f.ownerless, f.vacant = map[string]bool{"x": true}, map[string]bool{"x": true}
				f.chosen = "y"
			})
			first.end <- s.outcome
			next := within(c, host.dispatches)
			c.Assert(next.cell, qt.Equals, "y")
			c.Assert(next.epoch > first.epoch, qt.IsTrue)
		})
	}
}

// The wait for a cell that isn't known to be vacant counts from the loss of its owner, once for all steps of the move.
func TestTheWaitForALostCellIsCountedOnce(t *testing.T) {
	c := qt.New(t)
	record := kept.Record{ID: "a", Cell: "x", From: "y"}
	former := &follower{}
	former.left.Store(&handover{record: record, ownerlessSince: time.Second})
	next := &follower{record: record, formerOwnerless: time.Minute}
	next.inherit(former)
	c.Assert(next.formerOwnerless, qt.Equals, time.Second)
}
