package keeping

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
	qt "github.com/frankban/quicktest"
)

// A doubt lasts from the last answer that raised it: the sending of that answer may have
// its row written as late as that of the first.
func TestHowLongAJobIsDoubted(t *testing.T) {
	const (
		unclear = kept.Unknown
		settled = kept.Accepted
	)
	type event struct {
		at      time.Duration
		verdict kept.Verdict
	}
	scenarios := []struct {
		testName string
		events   []event
		at       time.Duration
		doubted  bool
	}{
		{"never", nil, 0, false},
		{"just now", []event{{0, unclear}}, 0, true},
		{"a moment before it is over", []event{{0, unclear}}, doubtLife - 1, true},
		{"long ago", []event{{0, unclear}}, doubtLife, false},
		{"long ago, and again since", []event{{0, unclear}, {20 * time.Second, unclear}}, doubtLife + time.Second, true},
		{"long ago, and again, which is long ago too", []event{{0, unclear}, {20 * time.Second, unclear}}, 20*time.Second + doubtLife, false},
		{"accepted since", []event{{0, unclear}, {time.Second, settled}}, 2 * time.Second, false},
		{"accepted, and doubted again", []event{{0, unclear}, {time.Second, settled}, {2 * time.Second, unclear}}, doubtLife + time.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := newDoubts()
			for _, e := range s.events {
				d.judge("a", kept.Answer{Verdict: e.verdict}, e.at)
			}
			qt.Assert(t, d.has("a", s.at), qt.Equals, s.doubted)
			refused := d.judge("a", kept.Answer{Verdict: kept.Refused}, s.at)
			qt.Assert(t, refused.Verdict == kept.Unknown, qt.Equals, s.doubted)
		})
	}
}

// What is remembered is bounded by the unclear answers of the last doubtLife, also where
// a job that is doubted time and again stands before the others.
func TestDoubtsAreForgotten(t *testing.T) {
	const (
		gap     = time.Millisecond // between two jobs, as many as a host is meant to bear
		answers = int(3 * doubtLife / gap)
	)
	d := newDoubts()
	for i := range answers {
		now := time.Duration(i) * gap
		d.judge(fmt.Sprint(i), kept.Answer{Verdict: kept.Unknown}, now)
		if i%1000 == 0 {
			d.judge("again", kept.Answer{Verdict: kept.Accepted}, now)
			d.judge("again", kept.Answer{Verdict: kept.Unknown}, now)
		}
	}
	most := int(doubtLife/gap) + int(doubtLife/time.Second) + 1
	qt.Assert(t, len(d.until) <= most, qt.IsTrue, qt.Commentf("%d of %d at most", len(d.until), most))
	d.has("", 4*doubtLife)
	qt.Assert(t, d.until, qt.HasLen, 0)
}
