package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/platform"
	qt "github.com/frankban/quicktest"
)

// Only statuses 503 and 409 confirm that a write had no effect. Guards against treating
// any other error, such as a proxy's, as a write that did not take effect.
func TestWriteAnswers(t *testing.T) {
	scenarios := []struct {
		testName string
		status   int
		expected errkind.Kind
	}{
		{"done", http.StatusOK, ""},
		{"a conflict", http.StatusConflict, errkind.Conflict},
		{"no effect", http.StatusServiceUnavailable, errkind.PlatformDown},
		{"not found", http.StatusNotFound, errkind.PlatformMaybe},
		{"another success", http.StatusAccepted, errkind.PlatformMaybe},
		{"moved", http.StatusSeeOther, errkind.PlatformMaybe},
		{"a wrong call", http.StatusBadRequest, errkind.PlatformMaybe},
		{"timeout at the service", http.StatusRequestTimeout, errkind.PlatformMaybe},
		{"an internal error", http.StatusInternalServerError, errkind.PlatformMaybe},
		{"an error of a proxy", http.StatusBadGateway, errkind.PlatformMaybe},
		{"timeout at a proxy", http.StatusGatewayTimeout, errkind.PlatformMaybe},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			p := answering(t, s.status, "")
			qt.Assert(t, kindOf(p.Commit(context.Background(), write("a", "1", 0))), qt.Equals, s.expected)
			qt.Assert(t, kindOf(p.PutObject(context.Background(), "d1", []byte("body"))), qt.Equals, s.expected)
		})
	}
}

// Guards against accepting a reply that is not the requested row, or was never written.
func TestReadAnswers(t *testing.T) {
	scenarios := []struct {
		testName string
		status   int
		body     string
		expected errkind.Kind
	}{
		{"the row", http.StatusOK, `{"key":"a","value":"MQ==","version":1}`, ""},
		{"not found", http.StatusNotFound, "", errkind.NotFound},
		{"an empty object", http.StatusOK, `{}`, errkind.PlatformDown},
		{"another row", http.StatusOK, `{"key":"b","value":"MQ==","version":1}`, errkind.PlatformDown},
		{"unreadable", http.StatusOK, `<html>`, errkind.PlatformDown},
		{"an internal error", http.StatusInternalServerError, "", errkind.PlatformDown},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := answering(t, s.status, s.body).Get(context.Background(), "a")
			qt.Assert(t, kindOf(err), qt.Equals, s.expected)
		})
	}
}

// answering makes a client of a service that sends the same answer to each call. The
// target of its redirects answers 503, as if the call had no effect.
func answering(t *testing.T, status int, body string) platform.Platform {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/elsewhere" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return platform.NewHTTPClient(strings.TrimPrefix(server.URL, "http://"))
}

func kindOf(err error) errkind.Kind {
	if err == nil {
		return ""
	}
	return errkind.Of(err)
}
