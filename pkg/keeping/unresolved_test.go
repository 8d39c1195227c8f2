package keeping

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
	qt "github.com/frankban/quicktest"
)

// The retention starts anew with each unclear answer, because the row of the last
// submission may be written as late as that of the first.
func TestUnresolvedRetention(t *testing.T) {
	const (
		unclear  = kept.Unknown
		resolved = kept.Accepted
	)
	type event struct {
		at      time.Duration
		verdict kept.Verdict
	}
	scenarios := []struct {
		testName   string
		events     []event
		at         time.Duration
		unresolved bool
	}{
		{"never", nil, 0, false},
		{"unclear just now", []event{{0, unclear}}, 0, true},
		{"just before the retention ends", []event{{0, unclear}}, unresolvedRetention - 1, true},
		{"after the retention", []event{{0, unclear}}, unresolvedRetention, false},
		{"renewed", []event{{0, unclear}, {20 * time.Second, unclear}}, unresolvedRetention + time.Second, true},
		{"after the retention of the renewal", []event{{0, unclear}, {20 * time.Second, unclear}}, 20*time.Second + unresolvedRetention, false},
		{"accepted afterwards", []event{{0, unclear}, {time.Second, resolved}}, 2 * time.Second, false},
		{"accepted, and unclear again", []event{{0, unclear}, {time.Second, resolved}, {2 * time.Second, unclear}}, unresolvedRetention + time.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			u := newUnresolvedJobs()
			for _, e := range s.events {
				u.reconcile("a", kept.Answer{Verdict: e.verdict}, e.at)
			}
			qt.Assert(t, u.contains("a", s.at), qt.Equals, s.unresolved)
			refused := u.reconcile("a", kept.Answer{Verdict: kept.Refused}, s.at)
			qt.Assert(t, refused.Verdict == kept.Unknown, qt.Equals, s.unresolved)
		})
	}
}

// Memory is bounded by the number of unclear answers within unresolvedRetention, also if
// an entry that is renewed again and again precedes the others.
func TestUnresolvedJobsAreBounded(t *testing.T) {
	const (
		gap     = time.Millisecond // between two jobs, at the highest load of a host
		answers = int(3 * unresolvedRetention / gap)
	)
	u := newUnresolvedJobs()
	for i := range answers {
		now := time.Duration(i) * gap
		u.reconcile(fmt.Sprint(i), kept.Answer{Verdict: kept.Unknown}, now)
		if i%1000 == 0 {
			u.reconcile("again", kept.Answer{Verdict: kept.Accepted}, now)
			u.reconcile("again", kept.Answer{Verdict: kept.Unknown}, now)
		}
	}
	// All jobs and all renewals of "again" within the retention, and one more.
	most := int(unresolvedRetention/gap) + int(unresolvedRetention/time.Second) + 1
	qt.Assert(t, len(u.until) <= most, qt.IsTrue, qt.Commentf("%d of %d at most", len(u.until), most))
	u.contains("", 4*unresolvedRetention) // each call removes the expired entries
	qt.Assert(t, u.until, qt.HasLen, 0)
}
