package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/keeping"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// told takes what stands in the rows of kept jobs, and returns the moved ones that go
// on here all the same. It reports false when that can't be said yet.
func (o *owner) told(m *peerpb.Noted) ([]string, bool) {
	switch {
	case m.Moved:
		return o.forsake(m.Ids)
	case m.Progress > 0:
		o.do(func(state *cell.Cell, now time.Duration) {
			for _, id := range m.Ids {
				state.CheckpointPersisted(id, int(m.Progress), now)
			}
		})
		return nil, true
	}
	o.noted(m.Ids, m.Cancelled)
	return nil, true
}

// reasonMoved marks a kept job that another cell is to run.
const reasonMoved = "kept_moved"

// forsake drops kept jobs that another cell is to run, and returns those of which
// something has run or ended here. It reports false, and drops none, while runs of a
// former owner may be alive that this one hasn't seen: the other cell would start their
// tasks beside them. That takes as long as a lease.
func (o *owner) forsake(ids []string) ([]string, bool) {
	var goOn []string
	var replies []reply
	settled := false
	o.do(func(state *cell.Cell, now time.Duration) {
		if settled = !o.over && state.IsTakeoverComplete(now); !settled {
			return
		}
		for _, id := range ids {
			if _, ended := o.ended[id]; ended || len(state.Progress(id)) > 0 || state.HasRunsOf(id) {
				goOn = append(goOn, id)
				continue
			}
			for _, w := range o.waiters[id] {
				replies = append(replies, w.reply)
			}
			delete(o.waiters, id)
			o.kept.drop(id)
			state.Withdraw(id, reasonMoved, now)
			state.EndsPersisted([]string{id}, now) // the row tells what has ended here
		}
	})
	for _, reply := range replies {
		reply(job.Outcome{Kind: job.Moved, Reason: reasonMoved})
	}
	return goOn, settled
}

// checkpointInterval is how often an owner looks for progress of kept jobs that is to
// be written.
const checkpointInterval = 250 * time.Millisecond

// tellCheckpoints tells keepers what should stand in the rows of their jobs. The jobs go
// on; their keepers ask for them again at once.
func (o *owner) tellCheckpoints() {
	var tell []func()
	o.do(func(state *cell.Cell, now time.Duration) {
		if now < o.kept.nextCheckpoint {
			return
		}
		o.kept.nextCheckpoint = now + checkpointInterval
		for _, checkpoint := range state.Checkpoints(now) {
			outcome := job.Outcome{Kind: job.Moved, Reason: keeping.ReasonProgress, Started: true, Progress: checkpoint.Progress}
			for _, w := range o.waiters[checkpoint.ID] {
				tell = append(tell, func() { w.reply(outcome) })
			}
			delete(o.waiters, checkpoint.ID)
		}
	})
	for _, f := range tell {
		f()
	}
}
