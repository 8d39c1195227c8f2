// Package targetd is a stand-in for targets: executors with slots, a
// connection limit and task times. It counts the starts of every task by the
// caller's part of the submission's id, so that a double start shows even
// when the caller moved to another home.
package targetd

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxcroft/foxcroft/pkg/client"
	"github.com/foxcroft/foxcroft/pkg/target"
)

const (
	maxPayload  = 16 << 20
	idleTimeout = 2 * time.Minute
)

// Work is a task's payload as this stand-in reads it.
type Work struct {
	Millis float64 `json:"ms"`             // how long the task runs
	Echo   string  `json:"echo,omitempty"` // returned as the result
	Fail   bool    `json:"fail,omitempty"` // end with an error
}

// Faults are the switches of one executor.
type Faults struct {
	Leaving bool    `json:"leaving"` // refuse work and say so
	Refuse  bool    `json:"refuse"`  // refuse work
	Hang    bool    `json:"hang"`    // start work and never answer
	Slow    float64 `json:"slow"`    // multiply task times; 0 means 1
	Cross   bool    `json:"cross"`   // answer with another attempt's number
}

// Counters counts what the executors did.
type Counters struct {
	Requests uint64 `json:"requests"` // task messages received
	Starts   uint64 `json:"starts"`   // tasks started
	Doubles  uint64 `json:"doubles"`  // starts of tasks that had started before
	Refused  uint64 `json:"refused"`  // answered as not started
}

// Ledger counts starts for all executors of a process.
type Ledger struct {
	mu       sync.Mutex
	starts   map[string]uint32 // by part and index
	counters Counters
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{starts: map[string]uint32{}} }

// Counters returns the counts so far.
func (l *Ledger) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// Started returns how often a task started; key is part/index.
func (l *Ledger) Started(key string) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[key]
}

func (l *Ledger) start(task string) {
	key := ledgerKey(task)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Starts++
	if l.starts[key] > 0 {
		l.counters.Doubles++
	}
	l.starts[key]++
}

// ledgerKey leaves the home out of a task's name, and the count of the ids
// that its job had before.
func ledgerKey(task string) string {
	_, partAndIndex, _ := strings.Cut(task, "~")
	part, index, _ := strings.Cut(partAndIndex, "/")
	part, _, _ = strings.Cut(part, client.RenewSeparator)
	return part + "/" + index
}

func (l *Ledger) note(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Requests++
	if refused {
		l.counters.Refused++
	}
}

// Executor is one stand-in executor.
type Executor struct {
	slots   int64
	busy    atomic.Int64
	latency time.Duration // one way, added to each message
	faults  atomic.Pointer[Faults]
	ledger  *Ledger
	server  *http.Server
}

// NewExecutor makes an executor. latency is added one way, in and out.
func NewExecutor(slots int, latency time.Duration, ledger *Ledger) *Executor {
	e := &Executor{slots: int64(slots), latency: latency, ledger: ledger}
	e.faults.Store(&Faults{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.RunPath, e.handleRun)
	e.server = &http.Server{Handler: mux, IdleTimeout: idleTimeout}
	return e
}

// SetFaults sets the switches.
func (e *Executor) SetFaults(f Faults) { e.faults.Store(&f) }

// Serve serves a listener that admits up to connections at once.
func (e *Executor) Serve(listener net.Listener, connections int) error {
	return e.server.Serve(&limitedListener{Listener: listener, limit: int64(connections)})
}

// Close ends the executor at once, with the tasks it runs.
func (e *Executor) Close() { _ = e.server.Close() }

func (e *Executor) handleRun(w http.ResponseWriter, r *http.Request) {
	time.Sleep(e.latency)
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxPayload))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := *e.faults.Load()
	e.echoAttempt(w, r, faults)
	if !e.admit(faults) {
		e.refuse(w, faults)
		return
	}
	defer e.busy.Add(-1)
	e.ledger.note(false)
	e.ledger.start(r.Header.Get(target.HeaderTask))
	e.run(w, r, payload, faults)
}

func (e *Executor) echoAttempt(w http.ResponseWriter, r *http.Request, faults Faults) {
	attempt := r.Header.Get(target.HeaderAttempt)
	if faults.Cross {
		attempt += "-other"
	}
	w.Header().Set(target.HeaderAttempt, attempt)
}

func (e *Executor) admit(faults Faults) bool {
	if faults.Leaving || faults.Refuse {
		return false
	}
	if e.busy.Add(1) > e.slots {
		e.busy.Add(-1)
		return false
	}
	return true
}

func (e *Executor) refuse(w http.ResponseWriter, faults Faults) {
	e.ledger.note(true)
	w.Header().Set(target.HeaderNotStarted, "true")
	if faults.Leaving {
		w.Header().Set(target.HeaderLeaving, "true")
	}
	time.Sleep(e.latency)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Executor) run(w http.ResponseWriter, r *http.Request, payload []byte, faults Faults) {
	var work Work
	if err := json.Unmarshal(payload, &work); err != nil {
		http.Error(w, "the payload is not JSON: "+err.Error(), http.StatusUnprocessableEntity)
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	millis := work.Millis
	if faults.Slow > 0 {
		millis *= faults.Slow
	}
	time.Sleep(time.Duration(millis*float64(time.Millisecond)) + e.latency)
	if work.Fail {
		http.Error(w, "the task was told to fail", http.StatusUnprocessableEntity)
		return
	}
	_, _ = io.WriteString(w, work.Echo)
}

// limitedListener closes connections beyond a limit.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
