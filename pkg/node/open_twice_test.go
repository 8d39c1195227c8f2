package node

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
	qt "github.com/frankban/quicktest"
)

// logOf has a node log into the returned buffer.
func logOf(n *Node) *bytes.Buffer {
	lines := &bytes.Buffer{}
	n.Log = log.New(lines)
	return lines
}

// Guards against two owners that have one job without a trace of it in any log.
func TestAJobThatIsOpenTwiceIsReported(t *testing.T) {
	scenarios := []struct {
		testName string
		front    string // for which the job is announced
		cell     string // whose owner announces it; empty when the front does
		isHere   bool   // in a cell of this host
		isOwn    bool   // this host's front follows it
		reported int
	}{
		{testName: "at the owner of another cell and here", front: "second:1", cell: "z/2.0", isHere: true, reported: 1},
		{testName: "at the owner of another cell, and this front follows it", front: "second:1", cell: "z/2.0", isOwn: true, reported: 1},
		{testName: "for the same front, which has split it", front: "first:1", cell: "z/2.0", isHere: true},
		{testName: "by the owner that had this cell before", front: "second:1", cell: "z/2.1", isHere: true},
		{testName: "by a front that may be waiting for the one here", front: "second:1", isHere: true, isOwn: true},
		{testName: "not here", front: "second:1", cell: "z/2.0"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			lines := logOf(n)
			if s.isHere {
				makeOwner(n, "z/2.1").submitFor("first:1", submission(n), 1)
			}
			if s.isOwn {
				openUnannounced(n)
			}
			n.recordOpenJobs(openjobs.Front{Address: s.front, Domain: "z", Process: s.front}, "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute, Cell: s.cell}}, false)
			c.Assert(strings.Count(lines.String(), "job_open_twice"), qt.Equals, s.reported, qt.Commentf("%s", lines))
		})
	}
}

// First submissions, which are nearly all jobs, cause no line of their own at their owner.
func TestAnOwnerLogsWhichFrontsItRefersAndWhatItKnewOfOthers(t *testing.T) {
	scenarios := []struct {
		testName string
		known    bool // another front has announced the job
		own      bool // this host's front submits it
		epoch    int
		logged   string
	}{
		{testName: "first submission", epoch: 1},
		{testName: "first submission, to this host", own: true, epoch: 1},
		{testName: "handed over again", epoch: 2, logged: "job_accepted"},
		{testName: "open at another front", known: true, epoch: 1, logged: "job_referred"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			lines := logOf(n)
			o := newOwner(n, "z/2.1", 1, n.Clock.Now())
			if s.known {
				n.recordOpenJobs(openjobs.Front{Address: "first:1", Domain: "z", Process: "first:1"}, "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute}}, false)
			}
			front := "second:1"
			if s.own {
				front = n.settings.PeerAddress
				openUnannounced(n)
			}
			o.submitFor(front, submission(n), s.epoch)
			if s.logged == "" {
				c.Assert(lines.String(), qt.Equals, "")
				return
			}
			c.Assert(lines.String(), qt.Contains, s.logged)
		})
	}
}

// Guards against two owners that run a job until its deadlines, though each has the other's announcement.
func TestAnOwnerReturnsAJobThatIsOpenTwice(t *testing.T) {
	part := func(n *Node) *job.Job {
		j := submission(n)
		j.Steps[0].Count = 4
		return j.Split([]int{2, 2})[0]
	}
	kept := func(n *Node) *job.Job {
		j := submission(n)
		j.Kept = true
		return j
	}
	scenarios := []struct {
		testName   string
		front      string // for which the owner of another cell has announced the job
		job        func(n *Node) *job.Job
		epoch      int // above 1, a task may have started
		olderBuild bool
		returned   bool
	}{
		{testName: "the other front goes first", front: "first:1", job: submission, epoch: 2, returned: true},
		{testName: "the front here goes first", front: "third:1", job: submission, epoch: 2},
		{testName: "nothing has started here", front: "third:1", job: submission, epoch: 1, returned: true},
		{testName: "the front here is of an earlier build and would forget its runs", front: "first:1", job: submission, epoch: 2, olderBuild: true},
		{testName: "the front here is of an earlier build and has no runs", front: "first:1", job: submission, epoch: 1, olderBuild: true, returned: true},
		{testName: "the same front, which has lost this owner", front: "second:1", job: submission, epoch: 2},
		{testName: "a part", front: "first:1", job: part, epoch: 2},
		{testName: "kept", front: "first:1", job: kept, epoch: 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, &fakeStore{})
			o := makeOwner(n, "z/2.1")
			j := s.job(n)
			submit := func() chan job.Outcome { return o.submitAsked("second:1", j, s.epoch, nil) }
			if s.olderBuild {
				submit = func() chan job.Outcome { return o.submitForBuild("second:1", j, s.epoch, true) }
			}
			answer := submit()
			n.recordOpenJobs(testFront(s.front), "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute, Cell: "z/2.0"}}, false)
			c.Assert(o.has(j.ID), qt.Equals, !s.returned)
			c.Assert(len(o.state.PartsOf(joinID)) == 1, qt.Equals, !s.returned)
			if !s.returned {
				c.Assert(answer, qt.HasLen, 0)
				return
			}
			outcome := <-answer
			c.Assert(outcome.Kind, qt.Equals, job.Moved)
			c.Assert(outcome.Started, qt.Equals, s.epoch > 1)
			c.Assert(outcome.OpenAt.Address, qt.Equals, s.front)
		})
	}
}

// The other owner learns of the job at once, as it may be the one that returns it.
func TestAnOwnerAnnouncesAJobThatIsOpenTwiceAtOnce(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	o := makeOwner(n, "z/2.1")
	o.submitAsked("second:1", submission(n), 2, nil)
	announced := func() int {
		_, due := o.nextAnnouncements([]string{"owner:1"}, n.Clock.Now())
		return len(due)
	}
	c.Assert(announced(), qt.Equals, 0)
	n.recordOpenJobs(testFront("third:1"), "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute, Cell: "z/2.0"}}, false)
	c.Assert(announced(), qt.Equals, 1)
	n.recordOpenJobs(testFront("third:1"), "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute, Cell: "z/2.0"}}, false)
	c.Assert(announced(), qt.Equals, 0, qt.Commentf("once, as the other owner may be unable to return it"))
}

// A front whose job is returned because it is open twice gets the other front's outcome, or goes on
// with the job if the other one doesn't hold it open any more.
func TestAFrontJoinsTheOtherOneOfAJobThatIsOpenTwice(t *testing.T) {
	scenarios := []struct {
		testName string
		hasEnded bool // at the other front, and runs may go on for the settle time
	}{
		{testName: "open"},
		{testName: "given up", hasEnded: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			low, high, cellOwner := peerNode(t, "low", "z", 1), peerNode(t, "high", "z", 2), peerNode(t, "owner", "z", 3)
			linkAll(t, low, high, cellOwner)
			if low.settings.PeerAddress > high.settings.PeerAddress {
				low, high = high, low
			}
			o := makeOwner(cellOwner, "z/2.1")
			now := cellOwner.Clock.Now()
			o.mu.Lock()
			o.state.SetExecutors([]catalog.Executor{{ID: "i-1", Service: "s", Domain: "z", Address: "127.0.0.1:1", Capacity: job.Resources{CPU: 1000}}}, now)
			o.state.HoldAnswered("i-1", cell.HoldResponse{Clock: time.Second}, now, now)
			o.state.TakeActions() // the calls that result; this node has no executors
			o.mu.Unlock()
			eventually(c, func() bool { // by the owner's heartbeats
				high.mu.Lock()
				defer high.mu.Unlock()
				claim, known := high.claims.Owner(o.cell)
				return known && claim.Load.Ready
			})
			answer := submitLater(context.Background(), high)
			eventually(c, func() bool { return o.has(joinID) })
			high.announceOpenJobs(high.Clock.Now()) // as an unconfirmed job doesn't go on after the settle time
			first := openUnannounced(low)
			if s.hasEnded {
				low.front.end(first, mayHaveRun)
			}
			cellOwner.recordOpenJobs(low.asFront(), "owner:1", []openjobs.Announcement{{ID: joinID, Remaining: time.Minute, Cell: "z/2.0"}}, false)
			c.Assert(o.has(joinID), qt.IsFalse)
			if s.hasEnded {
				eventually(c, func() bool { return o.has(joinID) })
				c.Assert(answer, qt.HasLen, 0)
				return
			}
			eventually(c, func() bool { return waiters(low, first) == 2 })
			low.front.end(first, completed)
			c.Assert((<-answer).Kind, qt.Equals, completed.Kind)
		})
	}
}
