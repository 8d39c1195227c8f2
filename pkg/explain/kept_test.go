package explain

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCausesOfKeptJobs(t *testing.T) {
	answered := Event{Message: "kept_answered", Verdict: "accepted"}
	followed := Event{Message: "kept_followed", Cell: "x"}
	scenarios := []struct {
		testName string
		events   []Event
		cause    string
	}{
		{"done", []Event{answered, followed, {Message: "kept_came_back", Cell: "x", Outcome: "completed"}, {Message: "kept_ended", Outcome: "completed"}},
			"it is kept as completed; it came back from x (completed)"},
		{"under way", []Event{answered, followed, {Message: "kept_came_back", Cell: "x", Outcome: "lost", Reason: "down"}},
			"it is kept and hasn't ended as far as these logs tell; it came back from x (lost down)"},
		{"refused", []Event{{Message: "kept_answered", Verdict: "refused", Reason: "store_down"}}, "it was not kept and never runs: store_down"},
		{"open", []Event{{Message: "kept_answered", Verdict: "unknown", Reason: "store_silent"}},
			"its caller was told that its fate is open: store_silent; its keeper's log is not here, or it was sent again"},
		{"unknown job", []Event{{Message: "kept_answered", Verdict: "gone"}}, "there is no such job"},
		{"logs are missing", []Event{answered}, "it is kept; the log of its keeper is not here"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			qt.New(t).Assert(Tell(s.events).Cause, qt.Equals, s.cause)
		})
	}
}
