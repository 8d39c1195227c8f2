package node

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
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
		epoch    int
		logged   string
	}{
		{testName: "first submission", epoch: 1},
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
			o.submitFor("second:1", submission(n), s.epoch)
			if s.logged == "" {
				c.Assert(lines.String(), qt.Equals, "")
				return
			}
			c.Assert(lines.String(), qt.Contains, s.logged)
		})
	}
}
