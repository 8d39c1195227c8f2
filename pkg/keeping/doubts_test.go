package keeping

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
	qt "github.com/frankban/quicktest"
)

// Callers send a job again after each answer that leaves it open: how long the job is
// doubted counts from the last such answer.
func TestADoubtLastsFromTheLastAnswerThatLeftItOpen(t *testing.T) {
	c := qt.New(t)
	d := newDoubts()
	d.judge("a", kept.Answer{Verdict: kept.Unknown}, 0)
	d.judge("b", kept.Answer{Verdict: kept.Unknown}, time.Second)
	again := doubtLife - time.Second
	d.judge("a", kept.Answer{Verdict: kept.Unknown}, again)
	later := doubtLife + 2*time.Second
	c.Assert(d.judge("a", kept.Answer{Verdict: kept.Refused}, later).Verdict, qt.Equals, kept.Unknown)
	c.Assert(d.has("b", later), qt.IsFalse, qt.Commentf("its doubt is over"))
	c.Assert(d.has("a", again+doubtLife), qt.IsFalse)
	c.Assert(d.ids, qt.HasLen, 0)
}
