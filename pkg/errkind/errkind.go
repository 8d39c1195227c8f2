// Package errkind defines the typed errors that all packages return. An error has
// a kind for programs, and a message with a remedy for people.
package errkind

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies an error. Kinds are part of the caller interface and listed
// in docs/API.md.
type Kind string

// Kinds of request errors: no task ran, and the same request will fail again.
const (
	BadRequest     Kind = "bad_request"
	TooLarge       Kind = "too_large"
	UnknownService Kind = "unknown_service"
	UnknownTeam    Kind = "unknown_team"
	UnknownJob     Kind = "unknown_job"
	IDReused       Kind = "id_reused"
)

// Kinds of refusals: the job did not run and will not run under its id.
const (
	Overloaded       Kind = "overloaded"
	DeadlineTooShort Kind = "deadline_too_short"
	NoTarget         Kind = "no_target"
	HomeClosed       Kind = "home_closed"
	Cancelled        Kind = "cancelled"
	Leaving          Kind = "leaving"
	NotReady         Kind = "not_ready"
)

// Kinds of outcomes in which tasks may have run.
const (
	TaskFailed     Kind = "task_failed"
	TargetLost     Kind = "target_lost"
	DeadlinePassed Kind = "deadline_passed"
	MayHaveRun     Kind = "may_have_run"
	Forgotten      Kind = "forgotten"
)

// Kinds of operators' errors.
const (
	BadSettings   Kind = "bad_settings"
	BadConfig     Kind = "bad_config"
	Conflict      Kind = "conflict"
	NotInForce    Kind = "not_in_force"
	PlatformDown  Kind = "platform_down"
	PlatformMaybe Kind = "platform_maybe"
	NotFound      Kind = "not_found"
	PeerDown      Kind = "peer_down"
	Internal      Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind       Kind
	Message    string        // the fault, in one sentence
	Remedy     string        // what the reader can do about it
	RetryAfter time.Duration // when to retry; 0 means no advice
	Cause      error         // the wrapped error, or nil
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

func (e *Error) Unwrap() error { return e.Cause }

// New returns an error of a kind. The message is formatted from format and args.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of a kind whose message ends with the text of its cause.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	return &Error{Kind: kind, Remedy: remedy, Message: message + ": " + cause.Error(), Cause: errors.WithStack(cause)}
}

// Of returns the kind of err, or Internal when it has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// From returns err as an *Error, and wraps it as Internal when it is of another type.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "report it with the log of this process", "unexpected error")
}
