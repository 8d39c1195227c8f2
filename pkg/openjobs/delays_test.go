package openjobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against counting the age of a request from its receipt that was held up on an open connection, and
// against jobs that are given up as their caller had left a connection unused.
func TestSentBeforeDelay(t *testing.T) {
	const resubmitAfter, received = 1300 * time.Millisecond, time.Hour
	type scenario struct {
		testName   string
		openBefore time.Duration
		wantAge    time.Duration // as of the receipt
		isDelayed  bool
	}
	scenarios := []scenario{
		{testName: "a later request", openBefore: 0},
		{testName: "within the delay that is allowed for", openBefore: 100 * time.Millisecond},
		{testName: "later", openBefore: 300 * time.Millisecond, wantAge: 200 * time.Millisecond},
		{testName: "as late as can be announced in time", openBefore: 500 * time.Millisecond, wantAge: 400 * time.Millisecond},
		{testName: "too late for that", openBefore: 900 * time.Millisecond, wantAge: 400 * time.Millisecond, isDelayed: true},
		{testName: "an unused connection", openBefore: 30 * time.Minute, wantAge: 400 * time.Millisecond, isDelayed: true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := qt.New(t)
			sentAfter, isDelayed := SentBeforeDelay(received, s.openBefore, resubmitAfter)
			c.Assert(received-sentAfter, qt.Equals, s.wantAge)
			c.Assert(isDelayed, qt.Equals, s.isDelayed)
		})
	}
}

// Guards against a job that is announced twice, or not at once, when another front turns out to hold it open.
func TestAnnounceNow(t *testing.T) {
	c := qt.New(t)
	const resubmitAfter = 1300 * time.Millisecond
	l := NewLocalJobs(resubmitAfter, time.Second)
	l.Add("other", time.Hour, time.Hour, 2*time.Hour)
	l.Add("job", time.Hour, time.Hour, 2*time.Hour)
	l.AnnounceNow("job")
	l.AnnounceNow("unknown")
	batch := l.NextBatch(time.Hour)
	c.Assert(batch, qt.HasLen, 1)
	c.Assert(batch[0].ID, qt.Equals, "job")
	l.AnnounceNow("job")
	batch = l.NextBatch(time.Hour + resubmitAfter)
	c.Assert(batch, qt.HasLen, 1)
	c.Assert(batch[0].ID, qt.Equals, "other")
	c.Assert(l.Remove("job"), qt.IsTrue)
}
