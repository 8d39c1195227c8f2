// Package jobapi holds the JSON types and paths of the caller interface,
// which docs/API.md documents.
package jobapi

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// Paths of the caller interface.
const (
	PathJobs    = "/v1/jobs"
	PathHome    = "/v1/home"
	PathStatus  = "/v1/status"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// Job is a submission.
type Job struct {
	ID         string            `json:"id,omitempty"` // home~part, a plain key, or empty
	Service    string            `json:"service"`
	Team       string            `json:"team"`
	Class      string            `json:"class,omitempty"`
	DeadlineMS int64             `json:"deadline_ms,omitempty"` // counted from the job's receipt
	Tasks      []json.RawMessage `json:"tasks"`
}

// Answer is the reply to a submission.
type Answer struct {
	ID           string       `json:"id"`
	Outcome      string       `json:"outcome"`
	Kind         errkind.Kind `json:"kind,omitempty"`
	Message      string       `json:"message,omitempty"`
	Remedy       string       `json:"remedy,omitempty"`
	NotRun       bool         `json:"not_run"` // true: no task ran, and none will under this id
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	Results      []Result     `json:"results,omitempty"`
	Home         string       `json:"home,omitempty"`         // the replica pair to use for the next submissions
	HomeAddress  string       `json:"home_address,omitempty"` // of the pair's primary, for callers that can reach it
}

// Home is the reply to a request for a home, the replica pair that stores a
// caller's jobs.
type Home struct {
	Home        string `json:"home"`
	HomeAddress string `json:"home_address"`
}

// Result is a task's output: a JSON string, or {"base64": …} for bytes that
// are not UTF-8.
type Result []byte

type binaryResult struct {
	Base64 []byte `json:"base64"`
}

// MarshalJSON implements json.Marshaler.
func (r Result) MarshalJSON() ([]byte, error) {
	if utf8.Valid(r) {
		return json.Marshal(string(r))
	}
	return json.Marshal(binaryResult{Base64: r})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Result) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '{' {
		var binary binaryResult
		err := json.Unmarshal(data, &binary)
		*r = binary.Base64
		return err
	}
	var text string
	err := json.Unmarshal(data, &text)
	*r = Result(text)
	return err
}

// NewAnswer converts an answer to its reply.
func NewAnswer(id string, a *once.Answer) *Answer {
	reply := &Answer{
		ID:           id,
		Outcome:      a.Outcome.String(),
		Kind:         a.Kind,
		Message:      a.Message,
		Remedy:       a.Remedy,
		NotRun:       a.Outcome == once.Refused,
		RetryAfterMS: a.RetryAfter.Milliseconds(),
	}
	if a.Outcome != once.Complete {
		return reply
	}
	reply.Results = make([]Result, len(a.Results))
	for i, result := range a.Results {
		reply.Results[i] = result
	}
	return reply
}

// Answer converts the reply to its answer.
func (a *Answer) Answer() *once.Answer {
	answer := &once.Answer{
		Outcome:    once.ParseOutcome(a.Outcome),
		Kind:       a.Kind,
		Message:    a.Message,
		Remedy:     a.Remedy,
		RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
	}
	for _, result := range a.Results {
		answer.Results = append(answer.Results, result)
	}
	return answer
}

// Status returns the HTTP status of an answer.
func Status(a *once.Answer) int {
	switch a.Kind {
	case errkind.BadRequest:
		return http.StatusBadRequest
	case errkind.TooLarge:
		return http.StatusRequestEntityTooLarge
	case errkind.UnknownService, errkind.UnknownTeam, errkind.UnknownJob:
		return http.StatusNotFound
	case errkind.IDReused:
		return http.StatusConflict
	}
	switch a.Outcome {
	case once.Complete:
		return http.StatusOK
	case once.Failed:
		return http.StatusBadGateway
	case once.Refused:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
