// Package explain tells one request's story from the logs of several hosts,
// and names the decision that failed it.
package explain

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/foxcroft/foxcroft/pkg/joblog"
)

// Event is a log line that concerns the request.
type Event = joblog.Event

// Read appends the events of a job in a log.
func Read(events []Event, log io.Reader, id string) ([]Event, error) {
	err := joblog.Read(log, id, func(event Event) {
		if event.JobID() == id {
			events = append(events, event)
		}
	})
	return events, err
}

// Story is what became of a request.
type Story struct {
	Events []Event // by time
	Cause  string  // why it failed, or that it didn't
}

// Tell sorts the events and names the cause.
func Tell(events []Event) Story {
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time.Before(events[j].Time) })
	return Story{Events: events, Cause: cause(events)}
}

// cause names the decision that failed the request.
func cause(events []Event) string {
	if len(events) == 0 {
		return "no line tells of it: it never reached a host whose logs are here, or its lines were dropped"
	}
	if count(events, "kept_answered") > 0 || count(events, "kept_followed") > 0 {
		return keptCause(events)
	}
	end, ended := last(events, "job_ended")
	if !ended {
		return "its front never answered: look for the front's last line, it was killed or cut off"
	}
	switch {
	case end.Outcome == "completed":
		return "it completed"
	case end.Outcome == "failed":
		return "a task failed as often as it may: " + failures(events)
	case end.Reason == "overloaded":
		return "it was refused at once: the work that ranks before it would take longer than its deadline"
	case end.Reason == "deadline_too_short":
		return "it was refused when it could no longer be done in time: it waited for room"
	case end.Reason == "stopping" && end.Outcome == "refused":
		return "its node was stopping and could not have done it in time; nothing of it ran"
	case end.Reason == "stopping":
		return "its node stopped while tasks ran: " + slowest(events)
	case end.Reason == "no_owner":
		return "no owner of executors was in sight of its front"
	case end.Reason == "domain_closed":
		return "operators have closed the domain of its front, and no owner of an open one was in sight"
	case end.Reason == "caller_left" && count(events, "job_handed_on") > 0:
		return "its caller left while it went from owner to owner: " + handOns(events)
	case end.Reason == "caller_left" && count(events, "task_started") == 0:
		return "its caller left before a task of it found room"
	case end.Reason == "caller_left":
		return "its caller left while tasks ran: " + slowest(events)
	}
	return end.Outcome + ": " + end.Reason
}

func count(events []Event, message string) int {
	n := 0
	for _, event := range events {
		if event.Message == message {
			n++
		}
	}
	return n
}

func failures(events []Event) string {
	var parts []string
	for _, event := range events {
		if event.Message == "task_ended" && event.Detail == "failed" {
			parts = append(parts, event.Task+" on "+event.Executor)
		}
	}
	return strings.Join(parts, ", ")
}

func handOns(events []Event) string {
	var parts []string
	for _, event := range events {
		if event.Message == "job_handed_on" {
			parts = append(parts, event.Cell+" ("+event.Why+", "+event.Reason+")")
		}
	}
	return strings.Join(parts, ", ")
}

// slowest names the tasks that had started and not ended.
func slowest(events []Event) string {
	open := map[string]string{}
	for _, event := range events {
		switch event.Message {
		case "task_started":
			open[event.Task] = event.Executor
		case "task_ended", "lease_over", "run_absent":
			delete(open, event.Task)
		}
	}
	var parts []string
	for task, executor := range open {
		parts = append(parts, task+" on "+executor)
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// Write prints a story.
func (s Story) Write(w io.Writer) error {
	for _, event := range s.Events {
		if _, err := fmt.Fprintln(w, line(event)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "cause: "+s.Cause)
	return err
}

// line returns an event as a person reads it.
func line(e Event) string {
	parts := []string{e.Time.Format("15:04:05.000"), e.Node, e.Message}
	fields := []struct{ name, value string }{
		{"task", e.Task}, {"executor", e.Executor}, {"cell", e.Cell}, {"owner", e.Owner}, {"verdict", e.Verdict},
		{"outcome", e.Outcome}, {"why", e.Why}, {"reason", e.Reason}, {"detail", e.Detail},
	}
	for _, field := range fields {
		if field.value != "" {
			parts = append(parts, field.name+"="+field.value)
		}
	}
	if e.AgeMS > 0 {
		parts = append(parts, fmt.Sprintf("age=%dms", e.AgeMS))
	}
	if e.TookMS > 0 {
		parts = append(parts, fmt.Sprintf("took=%dms", e.TookMS))
	}
	return strings.Join(parts, " ")
}
