package platformd

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/foxcroft/foxcroft/pkg/platform"
)

// effect is what a fault does to one call.
type effect uint8

const (
	serve       effect = iota
	dropBefore         // no effect and no answer
	failBefore         // no effect and an error
	dropAnswer         // the effect without the answer
	failAnswer         // the effect, and an error in place of the answer
	maxBodySize = 64 << 20
)

// NewHandler serves the store over HTTP: the paths that platform.HTTPClient
// calls, and under /control the switches.
func NewHandler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/row", s.withFaults(false, s.handleRow))
	mux.HandleFunc("GET /v1/table/rows", s.withFaults(false, s.handleRows))
	mux.HandleFunc("POST /v1/table/commit", s.withFaults(true, s.handleCommit))
	mux.HandleFunc("PUT /v1/objects/{digest}", s.withFaults(true, s.handlePut))
	mux.HandleFunc("GET /v1/objects/{digest}", s.withFaults(false, s.handleGet))
	mux.HandleFunc("GET /v1/hosts", s.withFaults(false, s.handleHosts))
	mux.HandleFunc("POST /control/faults", s.handleFaults)
	mux.HandleFunc("POST /control/hosts", s.handleSetHost)
	mux.HandleFunc("DELETE /control/hosts/{name}", s.handleRemoveHost)
	mux.HandleFunc("GET /control/counters", s.handleCounters)
	return mux
}

func (s *Store) withFaults(write bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		what, slow := s.nextEffect(write)
		time.Sleep(slow)
		switch what {
		case dropBefore:
			panic(http.ErrAbortHandler)
		case failBefore:
			http.Error(w, "fault", http.StatusServiceUnavailable)
		case dropAnswer:
			next(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case failAnswer:
			next(discardWriter{header: http.Header{}}, r)
			http.Error(w, "fault", http.StatusInternalServerError)
		default:
			next(w, r)
		}
	}
}

func (s *Store) nextEffect(write bool) (effect, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slow := time.Duration(s.faults.SlowMS) * time.Millisecond
	if s.faults.Down {
		return dropBefore, slow
	}
	s.count(write)
	if s.faults.FailCalls > 0 {
		s.faults.FailCalls--
		return failBefore, slow
	}
	if write && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return dropAnswer, slow
	}
	if write && s.faults.FailAnswers > 0 {
		s.faults.FailAnswers--
		return failAnswer, slow
	}
	return serve, slow
}

func (s *Store) count(write bool) {
	if write {
		s.counters.Writes++
		return
	}
	s.counters.Reads++
}

func (s *Store) handleRow(w http.ResponseWriter, r *http.Request) {
	row, ok := s.get(r.URL.Query().Get("key"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, row)
}

func (s *Store) handleRows(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.scan(r.URL.Query().Get("prefix")))
}

func (s *Store) handleCommit(w http.ResponseWriter, r *http.Request) {
	var writes []platform.Write
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodySize)).Decode(&writes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.commit(writes) {
		http.Error(w, "conflict", http.StatusConflict)
	}
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.putObject(r.PathValue("digest"), body)
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	body, ok := s.getObject(r.PathValue("digest"))
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (s *Store) handleHosts(w http.ResponseWriter, _ *http.Request) {
	hosts, ok := s.hostList()
	if !ok {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, hosts)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Store) handleSetHost(w http.ResponseWriter, r *http.Request) {
	var host platform.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHost(host)
}

func (s *Store) handleRemoveHost(_ http.ResponseWriter, r *http.Request) {
	s.RemoveHost(r.PathValue("name"))
}

func (s *Store) handleCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Counters())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// discardWriter takes the answer of a call whose answer is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
