package node

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/jobwire"
	"github.com/foxcroft/foxcroft/pkg/keeping"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

// answerNotice applies a coordinator's notice, and returns the answer to it, or false when the
// coordinator has to ask again.
func (o *owner) answerNotice(m *peerpb.Noted) (*peerpb.Noted, bool) {
	continuing, known := o.handleNotice(m)
	answer := &peerpb.Noted{Cell: m.Cell, Ids: continuing}
	if m.ReportEnds {
		answer.Ends = jobwire.ToProgress(o.listedEnds(m.Ids))
	}
	return answer, known
}

// handleNotice applies a coordinator's notice about the rows of kept jobs. It returns
// those of the moved jobs that continue here, and false when that is not known yet.
func (o *owner) handleNotice(m *peerpb.Noted) ([]string, bool) {
	switch {
	case m.Moved:
		return o.releaseMoved(m.Ids, !m.ReportEnds)
	case m.Progress > 0:
		o.do(func(state *cell.Cell, now time.Duration) {
			for _, id := range m.Ids {
				state.CheckpointPersisted(id, int(m.Progress), now)
			}
		})
		return nil, true
	}
	o.recordPersisted(m.Ids, m.Cancelled)
	return nil, true
}

// reasonKeptMoved marks a kept job that was moved to another cell.
const reasonKeptMoved = "kept_moved"

// releaseMoved releases kept jobs that were moved to another cell, and returns those that
// stay because a task of them has run or ended here. While unknown runs of a former owner may
// be alive, it releases none and reports false: the other cell would run the same tasks a second
// time. The ends of the jobs' tasks may be forgotten if holdEnds says that the rows of the jobs hold
// them.
func (o *owner) releaseMoved(ids []string, holdEnds bool) ([]string, bool) {
	var continuing []string
	var replies []reply
	complete := false
	o.do(func(state *cell.Cell, now time.Duration) {
		if complete = !o.stopped && state.KnowsKeptRuns(now); !complete {
			return
		}
		for _, id := range ids {
			if _, ended := o.ended[id]; ended || len(state.Progress(id)) > 0 || state.HasRunsOf(id) {
				continuing = append(continuing, id)
				continue
			}
			for _, w := range o.waiters[id] {
				replies = append(replies, w.reply)
			}
			delete(o.waiters, id)
			o.kept.remove(id)
			state.Withdraw(id, reasonKeptMoved, now)
			if holdEnds {
				state.EndsPersisted([]string{id}, now)
			}
		}
	})
	for _, reply := range replies {
		reply(job.Outcome{Kind: job.Moved, Reason: reasonKeptMoved})
	}
	return continuing, complete
}

// listedEnds returns what executors list of the ends of tasks of kept jobs.
func (o *owner) listedEnds(ids []string) []job.Progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ends []job.Progress
	for _, id := range ids {
		ends = append(ends, o.state.ListedEnds(id)...)
	}
	return ends
}

// checkpointInterval is how often an owner checks kept jobs for progress to persist, and for ends of
// which the rows should be read.
const checkpointInterval = 250 * time.Millisecond

// checkEnds has coordinators persist the progress of kept jobs, and reads the rows of those whose ends
// executors have retained for long.
func (o *owner) checkEnds() {
	var replies []func()
	var toVerify []string
	o.do(func(state *cell.Cell, now time.Duration) {
		if now < o.kept.nextCheckpoint {
			return
		}
		o.kept.nextCheckpoint = now + checkpointInterval
		replies = o.takeCheckpoints(state, now)
		if !o.kept.verifying {
			toVerify = state.EndsToVerify(now)
			o.kept.verifying = len(toVerify) > 0
		}
	})
	for _, reply := range replies {
		reply()
	}
	if len(toVerify) > 0 {
		go o.readEnds(toVerify)
	}
}

// takeCheckpoints returns the answers to the coordinators of kept jobs that have made progress, so that
// they persist it. The jobs go on, and the coordinators submit them again at once. o.mu is held.
func (o *owner) takeCheckpoints(state *cell.Cell, now time.Duration) []func() {
	var replies []func()
	for _, checkpoint := range state.Checkpoints(now) {
		outcome := job.Outcome{Kind: job.Moved, Reason: keeping.ReasonProgress, Started: true, Progress: checkpoint.Progress}
		for _, w := range o.waiters[checkpoint.ID] {
			replies = append(replies, func() { w.reply(outcome) })
		}
		delete(o.waiters, checkpoint.ID)
	}
	return replies
}
