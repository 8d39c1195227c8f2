package explain

import "strings"

// keptCause names what became of a job that was to be kept.
func keptCause(events []Event) string {
	if end, ok := last(events, "kept_ended"); ok {
		return "it is kept as " + end.Outcome + owners(events)
	}
	if _, ok := last(events, "kept_followed"); ok {
		return "it is kept and hasn't ended as far as these logs tell" + owners(events)
	}
	answer, _ := last(events, "kept_answered")
	switch answer.Verdict {
	case "refused":
		return "it was not kept and never runs: " + answer.Reason
	case "unknown":
		return "its caller was told that its fate is open: " + answer.Reason + "; its keeper's log is not here, or it was sent again"
	case "gone":
		return "there is no such job"
	}
	return "it is kept; the log of its keeper is not here"
}

// owners names the cells whose owners had the job, in the order in which it came back
// from them.
func owners(events []Event) string {
	var parts []string
	for _, event := range events {
		if event.Message == "kept_came_back" {
			parts = append(parts, event.Cell+" ("+strings.TrimSpace(event.Outcome+" "+event.Reason)+")")
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "; it came back from " + strings.Join(parts, ", ")
}

// last returns the last event of a kind.
func last(events []Event, message string) (Event, bool) {
	for i := len(events) - 1; i >= 0; i-- {
		if events[i].Message == message {
			return events[i], true
		}
	}
	return Event{}, false
}
