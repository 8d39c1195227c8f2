package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/jobapi"
	"github.com/foxcroft/foxcroft/pkg/metrics"
	"github.com/foxcroft/foxcroft/pkg/once"
	"github.com/pkg/errors"
	"github.com/urfave/negroni/v3"
)

const maxLabelBytes = 128 // of service, team and class

// newFront makes the HTTP handler of the callers' API.
func (h *Host) newFront() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+jobapi.PathJobs, h.handleSubmit)
	mux.HandleFunc("GET "+jobapi.PathJobs+"/{id}", h.handleID(h.fetch))
	mux.HandleFunc("DELETE "+jobapi.PathJobs+"/{id}", h.handleID(h.cancelAt))
	mux.HandleFunc("GET "+jobapi.PathHome, h.handleHome)
	mux.HandleFunc("GET "+jobapi.PathStatus, h.handleStatus)
	mux.HandleFunc("GET "+jobapi.PathHealth, h.handleHealth)
	mux.HandleFunc("GET "+jobapi.PathReady, h.handleReady)
	mux.Handle("GET "+jobapi.PathMetrics, h.metrics.Handler())
	recovery := negroni.NewRecovery()
	recovery.PrintStack = false
	recovery.Logger = stdlog.New(panicLog{h}, "", 0)
	front := negroni.New(recovery)
	front.UseHandler(mux)
	return front
}

// panicLog logs a handler's panic as an event.
type panicLog struct{ h *Host }

func (p panicLog) Write(text []byte) (int, error) {
	p.h.Log.Error("handler_panicked", "panic", string(text))
	return len(text), nil
}

// quietLog drops net/http's messages about broken connections.
func quietLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

func (h *Host) handleSubmit(w http.ResponseWriter, r *http.Request) {
	job, refusal := h.readJob(w, r)
	if refusal != nil {
		h.writeAnswer(w, "", once.NewAnswer(once.Refused, refusal))
		return
	}
	tasks := make([][]byte, len(job.Tasks))
	for i, task := range job.Tasks {
		tasks[i] = task
	}
	labels := metrics.Labels{Service: job.Service, Team: job.Team, Class: job.Class}
	submission := newRequest(labels, time.Duration(job.DeadlineMS)*time.Millisecond, h.Clock.Now(), tasks)
	id, answer := h.submit(r.Context(), job.ID, submission)
	h.writeAnswer(w, id, answer)
}

// readJob reads a submission's body. A body that it refuses is invalid at every host,
// so the refusal is final.
func (h *Host) readJob(w http.ResponseWriter, r *http.Request) (*jobapi.Job, *errkind.Error) {
	body := http.MaxBytesReader(w, r.Body, int64(h.settings.MaxBodyBytes))
	raw := bytes.Buffer{}
	if r.ContentLength > 0 {
		raw.Grow(int(min(r.ContentLength, int64(h.settings.MaxBodyBytes))) + bytes.MinRead)
	}
	if _, err := raw.ReadFrom(body); err != nil {
		return nil, bodyError(err, h.settings.MaxBodyBytes)
	}
	decoder := json.NewDecoder(&raw)
	decoder.DisallowUnknownFields()
	var job jobapi.Job
	if err := decoder.Decode(&job); err != nil {
		return nil, errkind.Wrap(err, errkind.BadRequest, "send a JSON object as docs/API.md shows", "the body is not a job")
	}
	if err := checkLabels(&job); err != nil {
		return nil, err
	}
	return &job, nil
}

func bodyError(err error, limit int) *errkind.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "split the job, or raise max_body_bytes in [limits]", "the body exceeds %d bytes", limit)
	}
	return errkind.Wrap(err, errkind.BadRequest, "send the whole body", "the body cannot be read")
}

func checkLabels(job *jobapi.Job) *errkind.Error {
	for name, value := range map[string]string{"service": job.Service, "team": job.Team} {
		if value == "" {
			return errkind.New(errkind.BadRequest, "add it", "the job lacks the field %s", name)
		}
	}
	if max(len(job.Service), len(job.Team), len(job.Class)) > maxLabelBytes {
		return errkind.New(errkind.BadRequest, "shorten it", "service, team or class exceeds %d bytes", maxLabelBytes)
	}
	if job.DeadlineMS < 0 || job.DeadlineMS > longestDeadline.Milliseconds() {
		return errkind.New(errkind.BadRequest, "set deadline_ms between 1 and "+strconv.FormatInt(longestDeadline.Milliseconds(), 10), "deadline_ms = %d is out of range", job.DeadlineMS)
	}
	return nil
}

// handleID makes a handler that serves the id in the path.
func (h *Host) handleID(serve serveFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := once.ParseID(r.PathValue("id"))
		if err != nil {
			h.writeAnswer(w, r.PathValue("id"), outcomeOfError(err))
			return
		}
		h.writeAnswer(w, id.String(), serve(r.Context(), id))
	}
}

// fetch waits for the answer of a job and returns it.
func (h *Host) fetch(ctx context.Context, id once.ID) *once.Answer { return h.resolve(ctx, id, nil, 0) }

func (h *Host) handleHome(w http.ResponseWriter, _ *http.Request) {
	home, err := h.home()
	if err != nil {
		h.writeAnswer(w, "", outcomeOfError(err))
		return
	}
	writeJSON(w, http.StatusOK, jobapi.Home{Home: home.String(), HomeAddress: h.settings.CallerAddress})
}

func (h *Host) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Host) handleReady(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if h.conf.get() == nil {
		http.Error(w, "no configuration from the platform or a peer yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// writeAnswer sends an answer with a home for the next submissions. A nil answer means
// that the caller disconnected or its wait timed out.
func (h *Host) writeAnswer(w http.ResponseWriter, id string, answer *once.Answer) {
	answer = orUnreachable(answer)
	reply := jobapi.NewAnswer(id, answer)
	if home, err := h.home(); err == nil {
		reply.Home = home.String()
		reply.HomeAddress = h.settings.CallerAddress
	}
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(answer.RetryAfter.Seconds()))))
	}
	writeJSON(w, jobapi.Status(answer), reply)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
