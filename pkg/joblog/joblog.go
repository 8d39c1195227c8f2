// Package joblog reads the lines of hosts' logs that concern jobs.
package joblog

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/pkg/errors"
)

// Event is a log line that concerns a job or a host. Fields that a line doesn't
// have are empty.
type Event struct {
	Time        time.Time `json:"time"`
	Message     string    `json:"msg"`
	Node        string    `json:"node"`
	Domain      string    `json:"domain"`
	Job         string    `json:"job"`
	Route       string    `json:"route"`
	Task        string    `json:"task"`
	Executor    string    `json:"executor"`
	Cell        string    `json:"cell"`
	Owner       string    `json:"owner"`
	Verdict     string    `json:"verdict"`
	Outcome     string    `json:"outcome"`
	Reason      string    `json:"reason"`
	Why         string    `json:"why"`
	Detail      string    `json:"detail"`
	AgeMS       int64     `json:"age_ms"`       // of what decided, at the time of the line
	TookMS      int64     `json:"took_ms"`      // of a job that has ended
	ObjectiveMS int64     `json:"objective_ms"` // of a job that has ended: a good answer takes no longer
	EstimateMS  int64     `json:"estimate_ms"`  // of a job that has ended: its longest chain of work
	Work        int64     `json:"work"`         // of a job that has ended: thousandths of a core x milliseconds
	Tasks       int       `json:"tasks"`        // of a job that has ended
	Started     bool      `json:"started"`
}

// JobID returns the id of the job that the line is about, of the whole job for a
// part, or nothing.
func (e *Event) JobID() string {
	if e.Job != "" {
		return job.WholeIDOf(e.Job)
	}
	id, _, _ := strings.Cut(e.Task, ".")
	return id
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read calls visit with every line of a log that contains text and is JSON.
// What comes before a line's JSON, such as a collector's prefix, is passed over,
// and so are lines without JSON.
func Read(log io.Reader, text string, visit func(Event)) error {
	return Lines(log, text, func(line []byte) {
		var event Event
		if json.Unmarshal(line, &event) == nil {
			visit(event)
		}
	})
}

// Lines is Read with the JSON of each line as it stands there.
func Lines(log io.Reader, text string, visit func(line []byte)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 || !strings.Contains(line, text) {
			continue
		}
		visit([]byte(line[start:]))
	}
	return errors.Wrap(scanner.Err(), "read the log")
}
