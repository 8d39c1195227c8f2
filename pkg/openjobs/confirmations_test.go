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
