package metrics

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peer"
	qt "github.com/frankban/quicktest"
)

func TestEntryMetricsAreServed(t *testing.T) {
	c := qt.New(t)
	m, err := New(&peer.Counters{}, func() Gauges { return Gauges{Waiting: 3, Version: 7} })
	c.Assert(err, qt.IsNil)
	labels := Labels{Service: "s", Team: "t", Class: "c"}
	m.JobEnded(labels, "complete", 100*time.Millisecond)
	m.AttemptEnded(labels, "served", 20*time.Millisecond)
	assertServed(c, m.Handler(),
		`foxcroft_job_response_seconds_count{class="c",result="complete",service="s",team="t"} 1`,
		`foxcroft_job_response_seconds_bucket{class="c",result="complete",service="s",team="t",le="0.1"} 1`,
		`foxcroft_task_wait_seconds_count{class="c",result="served",service="s",team="t"} 1`,
		`foxcroft_jobs_total{class="c",result="complete",service="s",team="t"} 1`,
		`foxcroft_attempts_total{class="c",result="served",service="s",team="t"} 1`,
		`foxcroft_peer_messages_total{class="record"} 0`, `foxcroft_peer_bytes_total{class="record"} 0`,
		"foxcroft_tasks_waiting 3", "foxcroft_config_version 7",
	)
}

// TestClassesBeyondTheMostCountAsOther: callers choose classes freely, and the
// series stay bounded.
func TestClassesBeyondTheMostCountAsOther(t *testing.T) {
	c := qt.New(t)
	m, err := New(&peer.Counters{}, func() Gauges { return Gauges{} })
	c.Assert(err, qt.IsNil)
	for i := range maxClasses + 2 {
		m.JobEnded(Labels{Service: "s", Team: "t", Class: fmt.Sprint(i)}, "complete", time.Millisecond)
	}
	assertServed(c, m.Handler(),
		`foxcroft_jobs_total{class="63",result="complete",service="s",team="t"} 1`,
		`foxcroft_jobs_total{class="other",result="complete",service="s",team="t"} 2`,
	)
}

// assertServed looks for texts in what a handler of metrics serves.
func assertServed(c *qt.C, handler http.Handler, wanted ...string) {
	c.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range wanted {
		c.Assert(strings.Contains(recorder.Body.String(), want), qt.IsTrue, qt.Commentf("%s in\n%s", want, recorder.Body))
	}
}
