package openjobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestConfirmationsTellWhichJobsToGiveUp(t *testing.T) {
	c := qt.New(t)
	confirmations := NewConfirmations()
	c.Assert(confirmations.Missing("y", 5*time.Second), qt.Equals, 5*time.Second)
	c.Assert(confirmations.Missing("y", 7*time.Second), qt.Equals, 5*time.Second, qt.Commentf("cut off since the first one"))
	c.Assert(confirmations.Missing("z", 7*time.Second), qt.Equals, 7*time.Second)
	confirmations.Confirmed("y")
	c.Assert(confirmations.Missing("y", 9*time.Second), qt.Equals, 9*time.Second, qt.Commentf("reachable in between"))
}

// An announcement is sent early enough to be confirmed before the job has to be given up.
func TestAnnouncementsAreSentBeforeTheyHaveToBeConfirmed(t *testing.T) {
	c := qt.New(t)
	latest := AnnounceAfter(resubmitAfter) + ScanInterval + minBatchInterval
	c.Assert(ConfirmBy(0, resubmitAfter, stopTime)-returnTime-latest >= 2*transitTime+confirmTime, qt.IsTrue)
	c.Assert(ConfirmBy(0, resubmitAfter, stopTime)+stopTime <= resubmitAfter-maxReceiptDelay, qt.IsTrue)
}

func TestDomainsThatDoNotConfirmAreAskedAgain(t *testing.T) {
	c := qt.New(t)
	confirmations := NewConfirmations()
	c.Assert(confirmations.DueAgain(5*time.Second), qt.HasLen, 0)
	confirmations.Missing("y", 5*time.Second)
	confirmations.Missing("x", 5*time.Second)
	c.Assert(confirmations.DueAgain(6*time.Second), qt.DeepEquals, []string{"x", "y"})
	c.Assert(confirmations.DueAgain(6*time.Second+missingRetryInterval-1), qt.HasLen, 0)
	confirmations.Confirmed("x")
	c.Assert(confirmations.DueAgain(6*time.Second+missingRetryInterval), qt.DeepEquals, []string{"y"})
}

func TestWhenJobsHaveToBeConfirmed(t *testing.T) {
	c := qt.New(t)
	limit := ConfirmBy(time.Second, resubmitAfter, stopTime)
	c.Assert(limit, qt.Equals, 2150*ms)
	c.Assert(CanBeConfirmed(time.Second, resubmitAfter, stopTime, limit-confirmTime), qt.IsTrue)
	c.Assert(CanBeConfirmed(time.Second, resubmitAfter, stopTime, limit-confirmTime+ms), qt.IsFalse)
	c.Assert(IsAnnounced(time.Second, time.Second+resubmitAfter, resubmitAfter), qt.IsFalse)
	c.Assert(IsAnnounced(time.Second, time.Second+resubmitAfter+ms, resubmitAfter), qt.IsTrue)
}

// A process that stood still may have missed the confirmation: the jobs that come next have to be
// confirmed too.
func TestADomainDoesNotCountAsCutOffAfterAStall(t *testing.T) {
	c := qt.New(t)
	confirmations := NewConfirmations()
	c.Assert(confirmations.MissingSince("z", time.Second), qt.Equals, time.Second)
	c.Assert(confirmations.Missing("z", 2*time.Second), qt.Equals, 2*time.Second)
	c.Assert(confirmations.MissingSince("z", 3*time.Second), qt.Equals, 2*time.Second)
	confirmations.Confirmed("z")
	c.Assert(confirmations.MissingSince("z", 4*time.Second), qt.Equals, 4*time.Second)
}
