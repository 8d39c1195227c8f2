// Package target carries task attempts to targets over HTTP. It reports how
// far an attempt got, which decides whether the task may be tried again.
package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/retry"
	"github.com/pkg/errors"
)

// Headers between an entry host and a target; see docs/API.md.
const (
	HeaderTask       = "Foxcroft-Task"        // the submission's id, a slash and the task's index
	HeaderAttempt    = "Foxcroft-Attempt"     // echoed by the target
	HeaderNotStarted = "Foxcroft-Not-Started" // "true": the task did not start
	HeaderLeaving    = "Foxcroft-Leaving"     // "true": the target takes no more work
	RunPath          = "/run"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second // shorter than targets keep idle connections
	maxResultBytes = 16 << 20
	socketBuffer   = 4 << 10
)

// ErrWithdrawn is returned by the last check before a task is written, when
// the job has ended or its deadline has passed.
var ErrWithdrawn = errors.New("the task was withdrawn before it was written")

// Attempt is one attempt to run a task.
type Attempt struct {
	Address  string // of the target, IP:port
	Task     string // the submission's id, a slash and the task's index
	Payload  []byte // not empty
	MayWrite func() bool
}

// Result is how an attempt ended. Err is nil for a task that ran well.
type Result struct {
	Output   []byte
	Progress retry.Progress // how far a failed attempt got
	Leaving  bool           // the target says that it is leaving
	Err      *errkind.Error
}

// Client runs attempts. It is safe for concurrent use.
type Client struct {
	prefix   string
	attempts atomic.Uint64
	http     *http.Transport
}

// NewClient makes a client that keeps up to connections to each target.
// prefix makes its attempts unique among all processes.
func NewClient(prefix string, connections int) *Client {
	return &Client{
		prefix: prefix + "-",
		http: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			ReadBufferSize:      socketBuffer,
			WriteBufferSize:     socketBuffer,
		},
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run does one attempt. When ctx ends, the connection is closed and never
// used again, so a late answer reaches nobody.
func (c *Client) Run(ctx context.Context, a Attempt) Result {
	attempt := c.prefix + strconv.FormatUint(c.attempts.Add(1), 36)
	body := &trackedBody{reader: bytes.NewReader(a.Payload), mayWrite: a.MayWrite}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+RunPath, body)
	if err != nil {
		return failed(retry.NotDialled, errkind.Wrap(err, errkind.Internal, "check the executor's address", "no request can be made"))
	}
	request.ContentLength = int64(len(a.Payload))
	request.Header[HeaderTask] = []string{a.Task}
	request.Header[HeaderAttempt] = []string{attempt}
	response, err := c.http.RoundTrip(request)
	if err != nil {
		return failed(body.progress(), lost(err, a.Address))
	}
	defer response.Body.Close()
	return c.readResponse(response, attempt, a.Address)
}

func (c *Client) readResponse(response *http.Response, attempt, address string) Result {
	if response.Header.Get(HeaderAttempt) != attempt {
		// The answer belongs to another attempt; nothing more on this
		// connection can be trusted.
		_ = response.Body.Close()
		c.http.CloseIdleConnections()
		return failed(retry.MayStarted, errkind.New(errkind.TargetLost, "look at the target's log", "target %s answered another attempt", address))
	}
	output, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes))
	if err != nil {
		return failed(retry.MayStarted, lost(err, address))
	}
	if response.Header.Get(HeaderNotStarted) == "true" {
		result := failed(retry.RefusedIdle, errkind.New(errkind.NoTarget, "submit again later", "target %s did not start the task", address))
		result.Leaving = response.Header.Get(HeaderLeaving) == "true"
		return result
	}
	if response.StatusCode != http.StatusOK {
		return failed(retry.MayStarted, errkind.New(errkind.TaskFailed, "look at the target's log", "the task failed at target %s with status %d: %.200s", address, response.StatusCode, output))
	}
	return Result{Output: output}
}

func failed(progress retry.Progress, err *errkind.Error) Result {
	return Result{Progress: progress, Err: err}
}

func lost(err error, address string) *errkind.Error {
	return errkind.Wrap(err, errkind.TargetLost, "check at the service whether the job ran before you submit it under a new id", "the attempt at target %s broke off", address)
}

// States of a trackedBody.
const (
	bodyUntouched int32 = iota
	bodyRead            // some of it may be on the connection
	bodySealed          // nothing of it ever will be
)

// trackedBody tells whether any byte of a task was handed to the connection,
// and makes the last check right before. A target starts a task only once it
// has the whole body, so an attempt whose body was never read did not start.
type trackedBody struct {
	reader   *bytes.Reader
	mayWrite func() bool
	state    atomic.Int32
}

func (b *trackedBody) Read(p []byte) (int, error) {
	if b.state.Load() == bodyUntouched {
		if b.mayWrite != nil && !b.mayWrite() {
			return 0, ErrWithdrawn
		}
		b.state.CompareAndSwap(bodyUntouched, bodyRead)
	}
	if b.state.Load() == bodySealed {
		return 0, ErrWithdrawn
	}
	return b.reader.Read(p)
}

func (b *trackedBody) Close() error { return nil }

// progress seals an untouched body, so that what it reports stays true.
func (b *trackedBody) progress() retry.Progress {
	if b.state.CompareAndSwap(bodyUntouched, bodySealed) {
		return retry.NotWritten
	}
	return retry.MayStarted
}
