package node

import (
	"context"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/common"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	qt "github.com/frankban/quicktest"
)

// A job that may have run stays with its cell, so that the next owner finds its runs.
// Guards against next owners that wait for runs which have ended while their job waited for an owner.
func TestAttemptAgesTheTimesOfActiveRuns(t *testing.T) {
	const reportedAt, activeFor = 10 * time.Second, 900 * time.Millisecond
	type scenario struct {
		testName string
		after    time.Duration
		want     job.Progress
	}
	scenarios := []scenario{
		{testName: "at once", want: job.Progress{Run: 7, ActiveAt: "i-1", ActiveFor: activeFor}},
		{testName: "before the run has ended", after: 300 * time.Millisecond, want: job.Progress{Run: 7, ActiveAt: "i-1", ActiveFor: 600 * time.Millisecond}},
		{testName: "after the run has ended", after: time.Second, want: job.Progress{Run: 7}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a := &attempt{epoch: 1}
			reported := []job.Progress{{Run: 7, ActiveAt: "i-1", ActiveFor: activeFor}}
			a.recordMoved("cell", job.Outcome{Started: true, Progress: reported}, reportedAt, reportedAt+time.Second)
			c.Assert(a.progressAsOf(reportedAt+s.after), qt.DeepEquals, []job.Progress{s.want})
			c.Assert(a.progress, qt.DeepEquals, reported)
		})
	}
}

func TestAttemptStateAfterAnOwner(t *testing.T) {
	const reportedAt, settle = time.Second, 5 * time.Second
	progress := []job.Progress{{Key: job.TaskKey{Step: 0, Index: 1}, Done: true}}
	type scenario struct {
		testName      string
		before        attempt
		apply         func(a *attempt)
		wantCell      string
		wantStarted   bool
		wantProgress  []job.Progress
		wantNamesRuns bool // the progress names the runs of all owners
	}
	scenarios := []scenario{
		{
			testName: "returned while it runs: the next owner of its cell adopts it",
			apply: func(a *attempt) {
				a.recordMoved("cell", job.Outcome{Started: true, Progress: progress, NamesRuns: true}, reportedAt, settle)
			},
			wantCell:      "cell",
			wantStarted:   true,
			wantProgress:  progress,
			wantNamesRuns: true,
		},

		{
			testName:      "returned before it started: any cell may run it",
			before:        attempt{namesRuns: true},
			apply:         func(a *attempt) { a.recordMoved("cell", job.Outcome{}, reportedAt, settle) },
			wantNamesRuns: true,
		},
		{
			testName:     "returned untouched by a host that isn't the owner: the state stays",
			before:       attempt{formerCell: "before", progress: progress},
			apply:        func(a *attempt) { a.recordMoved("other", job.Outcome{Reason: reasonNotOwner}, reportedAt, 2*settle) },
			wantCell:     "before",
			wantProgress: progress,
		},
		{
			testName: "returned by a closed cell: no runs of it are alive there",
			apply: func(a *attempt) {
				a.recordMoved("cell", job.Outcome{Reason: cell.ReasonClosed, Started: true, Progress: progress, NamesRuns: true}, reportedAt, settle)
			},
			wantStarted:   true,
			wantProgress:  progress,
			wantNamesRuns: true,
		},

		{
			testName:    "lost with its owner: it may run there",
			apply:       func(a *attempt) { a.recordLost("cell", settle) },
			wantCell:    "cell",
			wantStarted: true,
		},
		{
			testName:     "lost with its owner after another one had returned it: that one's runs may go on",
			before:       attempt{formerCell: "before", progress: progress, namesRuns: true},
			apply:        func(a *attempt) { a.recordLost("cell", settle) },
			wantCell:     "cell",
			wantStarted:  true,
			wantProgress: progress,
		},
		{
			testName: "returned by an earlier build, whose progress names no runs",
			apply: func(a *attempt) {
				a.recordMoved("cell", job.Outcome{Started: true, Progress: progress}, reportedAt, settle)
			},
			wantCell:     "cell",
			wantStarted:  true,
			wantProgress: progress,
		},
		{
			testName: "withdrawn because this front was silent: another front may have it there, where it goes on",
			apply: func(a *attempt) {
				a.recordMoved("cell", job.Outcome{Reason: reasonFrontUnresponsive, Started: true}, reportedAt, settle)
			},
			wantCell:    "cell",
			wantStarted: true,
		},
		{
			testName: "returned by an owner that found its runs after another one was lost",
			before:   attempt{formerCell: "cell"},
			apply: func(a *attempt) {
				a.recordMoved("cell", job.Outcome{Started: true, Progress: progress, NamesRuns: true}, reportedAt, settle)
			},
			wantCell:      "cell",
			wantStarted:   true,
			wantProgress:  progress,
			wantNamesRuns: true,
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			a := &s.before
			s.apply(a)
			c.Assert(a.formerCell, qt.Equals, s.wantCell)
			c.Assert(a.started, qt.Equals, s.wantStarted)
			c.Assert(a.progress, qt.DeepEquals, s.wantProgress)
			c.Assert(a.namesRuns, qt.Equals, s.wantNamesRuns)
		})
	}
}

// Guards against an overload of the first owners after a restart of all hosts: a starting node
// sends jobs to other domains only if its own domain has no owner for long.
func TestAStartingNodeKeepsJobsForItsOwnDomain(t *testing.T) {
	type scenario struct {
		testName  string
		age       time.Duration
		ownerless bool
		want      bool // the job goes to the other domain
	}
	scenarios := []scenario{
		{testName: "just started, no owner here yet", age: 500 * time.Millisecond, ownerless: true},
		{testName: "just started, an owner here", age: 500 * time.Millisecond, want: true},
		{testName: "no owner here for long", age: 2 * time.Second, ownerless: true, want: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.Clock = &common.ManualClock{At: s.age}
			if s.ownerless {
				n.unowned = []string{n.settings.Domain}
			}
			load := ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}
			n.claims.SetClaims("far:1", []ownership.Claim{{Cell: "far", Token: 1, Load: load}})
			_, found := n.front.chooseOwner(&job.Job{Service: "s"}, &attempt{})
			c.Assert(found, qt.Equals, s.want)
		})
	}
}

// A job that hasn't started waits for an owner only as long as its outcome could still have
// value.
func TestHowLongAJobWaitsForAnOwner(t *testing.T) {
	const (
		task    = 100 * time.Millisecond
		target  = 50 * time.Millisecond
		dead    = 10 * time.Second
		useful  = job.LateFactor * (task + target)
		latestA = useful - task
	)
	type scenario struct {
		testName string
		deadline time.Duration
		target   time.Duration
		state    attempt
		want     time.Duration
	}
	scenarios := []scenario{
		{testName: "until its outcome would have no value", deadline: dead, target: target, want: latestA},
		{testName: "until its deadline can't be met", deadline: 200 * time.Millisecond, target: target, want: 100 * time.Millisecond},
		{testName: "no longer than maxOwnerWait", deadline: dead, target: dead, want: maxOwnerWait},
		{testName: "started: its deadline counts", deadline: time.Second, target: target, state: attempt{started: true}, want: time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			n.Clock = &common.ManualClock{}
			j := &job.Job{Deadline: s.deadline, Stretch: 1, Target: s.target, Steps: []job.Step{{Count: 1, Estimate: task}}}
			c.Assert(n.front.ownerWaitLimit(j, &s.state), qt.Equals, s.want)
		})
	}
}

// Guards against starts after a job's deadline: a front that had stood still waited for the
// announcements of the others, and then handed the job on.
func TestAJobIsNotHandedOnAfterItsDeadline(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.claims.SetClaims("far:1", []ownership.Claim{{Cell: "y", Token: 1, Load: ownership.Load{CapacityCPU: 1000, FreeCPU: 1000, Ready: true, Services: []string{"s"}}}})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	j := submission(n)
	j.Deadline = n.Clock.Now()
	outcome := n.front.follow(ctx, j, attempt{epoch: 2, started: true})
	c.Assert(outcome, qt.DeepEquals, job.Outcome{Kind: job.Expired, Reason: reasonDeadline, Started: true})
}
