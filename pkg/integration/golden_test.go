package integration

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/once"
	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files anew")

// session records requests and replies as text, without the parts that differ between
// runs.
type session struct {
	d    *driver
	text strings.Builder
}

var (
	homePattern    = regexp.MustCompile(`d1\.[0-9a-f]{32}\.[0-9a-f]{1,32}\.[0-9]+`)
	addressPattern = regexp.MustCompile(`127\.[0-9.]+:[0-9]+`)
	partPattern    = regexp.MustCompile(`HOME~[0-9a-f]{24}"`)
	retryPattern   = regexp.MustCompile(`"retry_after_ms":[0-9]+`)
)

const maxShown = 1000 // bytes of a request

func (s *session) call(title, method, path, body string) {
	status, reply := s.d.call("d1-1", method, path, body)
	if len(body) > maxShown {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	entry := fmt.Sprintf("# %s\n%s %s\n%s\n%d %s\n\n", title, method, path, body, status, reply)
	entry = homePattern.ReplaceAllString(entry, "HOME")
	entry = addressPattern.ReplaceAllString(entry, "ADDRESS")
	entry = partPattern.ReplaceAllString(entry, `HOME~DRAWN"`)
	s.text.WriteString(retryPattern.ReplaceAllString(entry, `"retry_after_ms":N`))
}

func (s *session) compare(t *testing.T, path string) {
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(s.text.String()), 0o644), qt.IsNil)
	}
	golden, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.text.String(), qt.Equals, string(golden))
}

// TestGoldenSession compares the answers and errors of a caller's session to a file.
func TestGoldenSession(t *testing.T) {
	d := newDriver(t, 2).start().apply("max_tasks = 3\nmax_deadline = 20s")
	s := &session{d: d}
	id := once.ID{Home: d.home("d1-1"), Part: "can-1"}.String()
	job := func(id, rest string) string {
		return fmt.Sprintf(`{"id":"%s","service":"desk","team":"a",%s}`, id, rest)
	}
	const tasks = `"tasks":[{"echo":"ochre"},{"echo":"umber"}]`
	submit := func(title, body string) { s.call(title, http.MethodPost, jobapi.PathJobs, body) }
	s.call("a home", http.MethodGet, jobapi.PathHome, "")
	submit("a job", job(id, tasks))
	submit("the same again", job(id, tasks))
	s.call("its answer", http.MethodGet, jobapi.PathJobs+"/"+id, "")
	s.call("too late to cancel", http.MethodDelete, jobapi.PathJobs+"/"+id, "")
	submit("the id with another body", job(id, `"tasks":[{"echo":"sienna"}]`))
	submit("without an id", `{"service":"desk","team":"a","tasks":[{"echo":"ochre"}]}`)
	submit("a plain key", job("key-1", tasks))
	submit("a failing task", `{"service":"desk","team":"a","tasks":[{"fail":true}]}`)
	submit("bad JSON", `{"service":`)
	submit("an unknown field", `{"srevice":"desk"}`)
	submit("no team", `{"service":"desk","tasks":[1]}`)
	submit("an unknown service", `{"service":"dusk","team":"a","tasks":[1]}`)
	submit("an unknown team", `{"service":"desk","team":"z","tasks":[1]}`)
	submit("no tasks", `{"service":"desk","team":"a","tasks":[]}`)
	submit("too many tasks", `{"service":"desk","team":"a","tasks":[1,2,3,4]}`)
	submit("a deadline out of range", `{"service":"desk","team":"a","deadline_ms":21000,"tasks":[1]}`)
	submit("a bad id", job("x~y", tasks))
	submit("too large a body", `{"service":"`+strings.Repeat("x", 1<<16)+`"}`)
	s.call("an unknown job", http.MethodGet, jobapi.PathJobs+"/"+id+"-2", "")
	s.call("health", http.MethodGet, jobapi.PathHealth, "")
	s.call("readiness", http.MethodGet, jobapi.PathReady, "")
	s.compare(t, "testdata/session.golden")
}
