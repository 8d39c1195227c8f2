package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
)

const (
	callTimeout   = 2 * time.Second
	maxReplyBytes = 64 << 20
	remedyRetry   = "try again when the platform's service answers"

	remedyReadBack = "read back whether the write took effect"
)

func init() {
	Clients.Register("http", func(address string) Platform { return NewHTTPClient(address) })
}

// HTTPClient is the Platform over HTTP and JSON.
type HTTPClient struct {
	base string
	http *http.Client
}

// NewHTTPClient makes a client of the service at an address (IP:port).
func NewHTTPClient(address string) *HTTPClient {
	return &HTTPClient{base: "http://" + address, http: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}, CheckRedirect: refuseRedirect,
	}}
}

// refuseRedirect keeps the client from following redirects: the answer of another
// server does not tell what happened at this one.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Table.
func (c *HTTPClient) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	if err := c.read(ctx, "/v1/table/row?key="+url.QueryEscape(key), &row); err != nil {
		return Row{}, err
	}
	if row.Key != key || row.Version == 0 {
		return Row{}, errkind.New(errkind.PlatformDown, remedyRetry, "the platform's reply isn't row %q", key)
	}
	return row, nil
}

// Scan implements Table.
func (c *HTTPClient) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.read(ctx, "/v1/table/rows?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit implements Table.
func (c *HTTPClient) Commit(ctx context.Context, writes []Write) error {
	body, err := json.Marshal(writes)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "report it", "the writes cannot be encoded")
	}
	_, err = c.do(ctx, http.MethodPost, "/v1/table/commit", body)
	return err
}

// PutObject implements Objects.
func (c *HTTPClient) PutObject(ctx context.Context, digest string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/v1/objects/"+digest, body)
	return err
}

// GetObject implements Objects.
func (c *HTTPClient) GetObject(ctx context.Context, digest string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/objects/"+digest, nil)
}

// Hosts implements HostList.
func (c *HTTPClient) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.read(ctx, "/v1/hosts", &hosts)
	return hosts, err
}

func (c *HTTPClient) read(ctx context.Context, path string, into any) error {
	reply, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(reply, into); err != nil {
		return errkind.Wrap(err, errkind.PlatformDown, remedyRetry, "the platform's reply cannot be read")
	}
	return nil
}

func (c *HTTPClient) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report it", "the request cannot be made")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, noAnswerError(err, method, connected)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, noAnswerError(err, method, connected)
	}
	if method == http.MethodGet {
		return reply, readError(response.StatusCode, reply)
	}
	return reply, writeError(response.StatusCode, reply)
}

// noAnswerError returns the error of a call without an answer: PlatformDown when it had no
// effect, PlatformMaybe when it may have had one.
func noAnswerError(err error, method string, connected bool) error {
	if method == http.MethodGet || !connected {
		return errkind.Wrap(err, errkind.PlatformDown, remedyRetry, "the platform's service does not answer")
	}
	return errkind.Wrap(err, errkind.PlatformMaybe, remedyReadBack, "the platform's answer was lost")
}

// readError returns the error for the status of a read.
func readError(status int, reply []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return errkind.New(errkind.NotFound, "check the name", "the platform has no such row or object")
	}
	return errkind.New(errkind.PlatformDown, remedyRetry, "the platform's service answers with status %d: %.200s", status, reply)
}

// writeError returns the error for the status of a write. Only 409 and 503 confirm that
// the write had no effect. With any other error status it may have taken effect, and an
// operator must not be told that a version isn't in force when it is.
func writeError(status int, reply []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errkind.New(errkind.Conflict, "read the row again and decide anew", "a row has another version than expected")
	case http.StatusServiceUnavailable:
		return errkind.New(errkind.PlatformDown, remedyRetry, "the platform's service answers with status %d: %.200s", status, reply)
	}
	return errkind.New(errkind.PlatformMaybe, remedyReadBack, "the platform's service answers a write with status %d, which doesn't say whether it took effect: %.200s", status, reply)
}
