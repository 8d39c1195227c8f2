package client_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/client"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	qt "github.com/frankban/quicktest"
)

// entryHost sends the replies in order and repeats the last one.
type entryHost struct {
	mu      sync.Mutex
	replies []string // ID stands for the submission's id; an empty reply is lost
	homes   []string // replies to requests for a home, in order, the last one repeated
	ids     []string // ids of the submissions received
}

func (e *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == jobapi.PathHome {
		_, _ = io.WriteString(w, next(&e.homes))
		return
	}
	var job jobapi.Job
	_ = json.NewDecoder(r.Body).Decode(&job)
	e.ids = append(e.ids, job.ID)
	reply := next(&e.replies)
	if reply == "" {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strings.ReplaceAll(reply, "ID", job.ID))
}

func next(replies *[]string) string {
	reply := (*replies)[0]
	if len(*replies) > 1 {
		*replies = (*replies)[1:]
	}
	return reply
}

// Guards against a new id, or a report that a job did not run, without an answer for
// the job's id that confirms it.
func TestSubmissionAnswers(t *testing.T) {
	const (
		home       = `{"home":"co-1-2-3"}`
		lost       = ""
		complete   = `{"id":"ID","outcome":"complete","results":["ochre"]}`
		refused    = `{"id":"ID","outcome":"refused","kind":"bad_request"}`
		closed     = `{"id":"ID","outcome":"refused","kind":"home_closed"}`
		unreadBody = `{"id":"","outcome":"refused","kind":"bad_request"}`
		leaving    = `{"id":"","outcome":"refused","kind":"leaving"}`
		page       = `<html>bad gateway</html>`
		otherError = `{"error":"upstream timed out"}`
	)
	scenarios := []struct {
		testName   string
		homes      []string
		replies    []string
		complete   bool
		mayHaveRun bool
		ids        int // under which it was submitted
	}{
		{testName: "complete", replies: []string{complete}, complete: true, ids: 1},
		{testName: "refused", replies: []string{refused}, ids: 1},
		{testName: "refused for its home", replies: []string{closed, complete}, complete: true, ids: 2},
		{testName: "lost, then complete", replies: []string{lost, complete}, complete: true, ids: 1},
		{testName: "lost, then refused", replies: []string{lost, refused}, ids: 1},
		{testName: "the body wasn't read", replies: []string{unreadBody}, ids: 1},
		{testName: "lost, then the body wasn't read", replies: []string{lost, unreadBody}, mayHaveRun: true, ids: 1},
		{testName: "lost, then a refusal of no id", replies: []string{lost, leaving}, mayHaveRun: true, ids: 1},
		{testName: "a page, then complete", replies: []string{page, complete}, complete: true, ids: 1},
		{testName: "another error, then complete", replies: []string{otherError, complete}, complete: true, ids: 1},
		{testName: "another error, then the body wasn't read", replies: []string{otherError, unreadBody}, mayHaveRun: true, ids: 1},
		{testName: "no home in the first answer", homes: []string{`{}`, home}, replies: []string{complete}, complete: true, ids: 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			host := &entryHost{replies: s.replies, homes: s.homes}
			if len(host.homes) == 0 {
				host.homes = []string{home}
			}
			server := httptest.NewServer(host)
			defer server.Close()
			foxcroft := client.New(client.Options{Entries: []string{strings.TrimPrefix(server.URL, "http://")}})
			_, err := foxcroft.Submit(context.Background(), client.Job{
				Service: "s", Team: "t", Deadline: 2 * time.Second, Tasks: []json.RawMessage{json.RawMessage(`{}`)},
			})
			qt.Assert(t, err == nil, qt.Equals, s.complete, qt.Commentf("%v", err))
			qt.Assert(t, client.MayHaveRun(err), qt.Equals, s.mayHaveRun, qt.Commentf("%v", err))
			distinct := map[string]bool{}
			for _, id := range host.ids {
				qt.Assert(t, strings.HasPrefix(id, "co-1-2-3~"), qt.IsTrue, qt.Commentf("%s", id))
				distinct[id] = true
			}
			qt.Assert(t, distinct, qt.HasLen, s.ids)
		})
	}
}
