//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

// A small deployment on loopback addresses: the project's program as separate processes, the
// project's stand-ins of the store and the executors, and an operator.

// shape is the size of a deployment.
type shape struct {
	hosts     []int // of each zone
	executors int   // a zone
}

var (
	small    = shape{hosts: []int{2, 2, 2}, executors: 4}
	likeSite = shape{hosts: []int{4, 3, 2}, executors: 16} // as andina-mezcla
)

const (
	service  = "formula-desk"
	hostName = "orders.example"
	prefix   = "/orders/"
	kind     = "color-match" // name of the route

	executorCPU = 16000 // thousandths of a core, as on the site
	executorMB  = 32768
	executorGPU = 4
	heartbeat   = 1500 * time.Millisecond
	// rowLife is how long a row stays after the last heartbeat: three of them.
	rowLife = 3 * heartbeat

	maxHold     = time.Second
	maxAttempts = 3

	frontPort    = 8161
	readyPort    = 8167
	peerPort     = 7720
	storePort    = 8169
	executorPort = 8170
	metricsPort  = 9464

	readyLimit = 20 * time.Second
)

// template is the settings file of a host: deploy/node.ini.tmpl with the site's figures.
const template = `[node]
name = %[1]s
domain = %[2]s
adapter = users-platform

[listen]
front = %[3]s:8161
ready = %[3]s:8167
peers = %[3]s:7720
metrics = %[3]s:9464

[peers]
port = 7720
seeds =

[store]
address = %[4]s

[lease]
longest_hold = 1000ms
stop_time = 50ms
resubmit_after = 1300ms

[stop]
grace = 6s

[limits]
memory_mb = 284
cpu_share = 0.4
link_mbps = 1000
`

// errNotRun says that a case could not be played; it says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// executor is a stand-in executor and the row that it keeps in the store.
type executor struct {
	*standin.Executor
	zone string
	rack string

	mu     sync.Mutex
	silent bool   // it is down, and writes nothing
	state  string // that it writes
}

// host is one process of the system.
type host struct {
	name, zone, ip string
	settings       string
	command        *exec.Cmd
	exited         chan struct{}
}

type world struct {
	shape     shape
	dir       string
	network   int
	store     *standin.Store
	ledger    *standin.Ledger
	executors []*executor
	hosts     []*host
	record    *log.Logger
	client    *http.Client
	from      string // zone whose hosts callers reach; empty: all
	stop      chan struct{}

	mu   sync.Mutex
	rows map[string]time.Time // rows of executors by id: when they were written last
}

func newWorld(record *log.Logger, size shape) (*world, error) {
	dir, err := os.MkdirTemp("", "foxcroft-review-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	w := &world{
		shape: size, dir: dir, store: standin.NewStore(), ledger: standin.NewLedger(), record: record, stop: make(chan struct{}),
		rows:   map[string]time.Time{},
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := w.begin(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) begin() error {
	storeAddress, err := w.chooseNetwork()
	if err != nil {
		return err
	}
	for zone := 1; zone <= len(w.shape.hosts); zone++ {
		for i := 1; i <= w.shape.executors; i++ {
			if err := w.addExecutor(zone, i); err != nil {
				return err
			}
		}
	}
	w.configure()
	go w.beat()
	for zone, hosts := range w.shape.hosts {
		for i := 1; i <= hosts; i++ {
			if err := w.startHost(zone+1, i, storeAddress); err != nil {
				return err
			}
		}
	}
	return w.awaitReady()
}

// chooseNetwork looks for a loopback network whose ports are free, and serves the store there.
func (w *world) chooseNetwork() (string, error) {
	for range 20 {
		w.network = 130 + rand.IntN(100)
		address := fmt.Sprintf("127.%d.0.1:%d", w.network, storePort)
		if w.serve(address, w.store) == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("%w: no free loopback network", errNotRun)
}

func (w *world) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func rackOf(zone int) string { return "r" + strconv.Itoa(zone) }

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

func (w *world) addExecutor(zone, index int) error {
	address := fmt.Sprintf("127.%d.%d.%d:%d", w.network, 100+zone, index, executorPort)
	e := &executor{state: "ready", zone: zoneName(zone), rack: rackOf(zone)}
	e.Executor = standin.NewExecutor(standin.ExecutorOptions{
		Service: service, Address: address, Zone: e.zone, CPU: executorCPU, MemMB: executorMB, GPU: executorGPU, Labels: []string{"a", e.rack},
		MaxHold: maxHold, ClockAdd: time.Duration(len(w.executors)+1) * time.Hour,
	}, w.ledger)
	if err := w.serve(address, e.Executor); err != nil {
		return err
	}
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	w.publish(e)
	return nil
}

// publish writes the row of an executor, unless it is down.
func (w *world) publish(e *executor) {
	e.mu.Lock()
	silent, state := e.silent, e.state
	e.mu.Unlock()
	if silent {
		return
	}
	id, document := e.ID(), e.Document(state)
	document["version"], document["slots"], document["cold_left_ms"] = "1.0", 8, 0
	document["machine"] = "m-" + e.Address()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows[id] = time.Now()
	document["seq_no"] = time.Now().UnixMilli()
	w.store.Put("servers", id, document)
}

// beat has executors write their rows, and removes rows after three heartbeats of silence.
func (w *world) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	check := time.NewTicker(100 * time.Millisecond)
	defer check.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			executors := slices.Clone(w.executors)
			w.mu.Unlock()
			for _, e := range executors {
				w.publish(e)
			}
		case now := <-check.C:
			w.removeOldRows(now)
		}
	}
}

func (w *world) removeOldRows(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, written := range w.rows {
		if now.Sub(written) > rowLife {
			delete(w.rows, id)
			w.store.Remove("servers", id)
			w.record.Printf("store: the row of executor %s is removed after three heartbeats of silence", id)
		}
	}
}

// crash ends the life of an executor: its connections are reset, and what it runs dies. It begins
// a new life under another id some time later.
func (w *world) crash(e *executor, away time.Duration) {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	w.record.Printf("trouble: executor %s (%s) crashes, back in %s under another id", e.ID(), e.Address(), away)
	e.Down()
	time.AfterFunc(away, func() {
		e.mu.Lock()
		e.silent = false
		e.mu.Unlock()
		e.Up()
		w.publish(e)
		w.record.Printf("trouble: the executor at %s is back as %s", e.Address(), e.ID())
	})
}

// drain has an executor say that it drains, serve on for a while, end, and come again. One that
// says nothing has its row go instead.
func (w *world) drain(e *executor, says bool, serves time.Duration) {
	id := e.ID()
	e.mu.Lock()
	e.state, e.silent = "draining", !says
	e.mu.Unlock()
	w.publish(e)
	if says {
		w.record.Printf("trouble: executor %s says draining, and serves on for %s", id, serves)
	} else {
		w.removeRow(id)
		w.record.Printf("trouble: the row of executor %s goes, and it serves on for %s", id, serves)
	}
	time.AfterFunc(serves, func() {
		e.mu.Lock()
		e.silent, e.state = true, "ready"
		e.mu.Unlock()
		e.Down()
		w.removeRow(id)
		w.record.Printf("trouble: executor %s has left", id)
		time.Sleep(time.Second)
		e.mu.Lock()
		e.silent = false
		e.mu.Unlock()
		e.Up()
		w.publish(e)
		w.record.Printf("trouble: the executor at %s is back as %s", e.Address(), e.ID())
	})
}

func (w *world) removeRow(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.rows, id)
	w.store.Remove("servers", id)
}

// configure writes the configuration.
func (w *world) configure() {
	w.store.Put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": kind, "host": hostName, "path_prefix": prefix, "service": service, "timeout_ms": 1500, "priority": 0,
			"target_latency_ms": 60, "max_attempts": maxAttempts, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 64, "admission_check": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
}

func (w *world) startHost(zone, index int, storeAddress string) error {
	h := &host{zone: zoneName(zone), ip: fmt.Sprintf("127.%d.%d.%d", w.network, zone, index)}
	h.name = fmt.Sprintf("edge-%s-%d", h.zone, index)
	h.settings = filepath.Join(w.dir, h.name+".ini")
	text := fmt.Sprintf(template, h.name, h.zone, h.ip, storeAddress)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	w.hosts = append(w.hosts, h)
	return w.run(h)
}

// run starts the program of a host as the deploy file does.
func (w *world) run(h *host) error {
	output, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer output.Close()
	command := exec.Command("target/foxcroft", "node")
	command.Env = append(os.Environ(), "FOXCROFT_NODE_FILE="+h.settings)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (w *world) awaitReady() error {
	end := time.Now().Add(readyLimit)
	for _, h := range w.hosts {
		for !w.isReady(h) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready after %s", errNotRun, h.name, readyLimit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) isReady(h *host) bool {
	response, err := w.client.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that were started.
func (w *world) close() {
	close(w.stop)
	for _, h := range w.hosts {
		if h.command != nil {
			_ = h.command.Process.Kill()
			<-h.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// step is a step of a job, as callers write it.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu,omitempty"`
	MemMB    int64  `json:"mem_mb,omitempty"`
	GPU      int64  `json:"gpu,omitempty"`
	Estimate int64  `json:"estimate_ms"`
	After    []int  `json:"after_rev,omitempty"`
	Label    string `json:"constraints,omitempty"`
}

// keptJob is a job that was handed in.
type keptJob struct {
	id       string
	spec     string
	steps    []step
	accepted time.Time // zero: it was not
	state    string    // the last one that was told
}

func newJob(work time.Duration, cpu int64, count int) *keptJob {
	return &keptJob{
		id:    fmt.Sprintf("%016x", rand.Uint64()),
		spec:  fmt.Sprintf("%d %d", work.Milliseconds(), cpu),
		steps: []step{{Count: count, CPU: cpu, MemMB: 64, Estimate: work.Milliseconds()}},
	}
}

// submit hands a job in at a host, and sends it again to another one while it gets no clear answer.
func (w *world) submit(j *keptJob) {
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps})
	for range 6 {
		h := w.pick()
		status, _ := w.call(h, http.MethodPost, j.id, body)
		switch status {
		case http.StatusOK:
			j.accepted = time.Now()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return
		}
		time.Sleep(1300 * time.Millisecond)
	}
}

// pick returns a host that a caller reaches.
func (w *world) pick() *host {
	for {
		if h := w.hosts[rand.IntN(len(w.hosts))]; w.from == "" || h.zone == w.from {
			return h
		}
	}
}

// ask asks for the state of a job.
func (w *world) ask(j *keptJob) {
	h := w.hosts[rand.IntN(len(w.hosts))]
	if status, state := w.call(h, http.MethodGet, j.id, nil); status == http.StatusOK {
		j.state = state
	}
}

// call makes a call of a caller, and records it and its answer; status 0 for none.
func (w *world) call(h *host, method, id string, body []byte) (status int, state string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", h.ip, frontPort, prefix, id), bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Remaining", "2500")
	response, err := w.client.Do(request)
	if err != nil {
		w.record.Printf("client: %s %s at %s: no answer", method, id, h.name)
		return 0, ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &answer)
	w.record.Printf("client: %s %s at %s: %d %s", method, id, h.name, response.StatusCode, strings.TrimSpace(string(data)))
	return response.StatusCode, answer.State
}

// active returns the runs that go on now, of all jobs that were handed in.
func (w *world) active(jobs []*keptJob) map[string][]standin.Run {
	runs := map[string][]standin.Run{}
	for _, j := range jobs {
		for _, run := range w.ledger.RunsOf(j.id) {
			if run.Ended.IsZero() {
				runs[run.Executor] = append(runs[run.Executor], run)
			}
		}
	}
	return runs
}

// room is what an executor has, or has left.
type room struct{ cpu, memMB, gpu int64 }

var wholeRoom = room{cpu: executorCPU, memMB: executorMB, gpu: executorGPU}

// holdsTwice reports whether the tasks of a step fit twice.
func (r room) holdsTwice(s step) bool {
	return 2*s.CPU <= r.cpu && 2*s.MemMB <= r.memMB && 2*s.GPU <= r.gpu
}

// free returns what each executor that serves has left, by id.
func (w *world) free(jobs []*keptJob) map[string]room {
	free := map[string]room{}
	for _, e := range w.executors {
		if !e.IsDown() {
			free[e.ID()] = wholeRoom
		}
	}
	for _, j := range jobs {
		for _, run := range w.ledger.RunsOf(j.id) {
			if left, up := free[run.Executor]; up && run.Ended.IsZero() {
				s := j.steps[0] // jobs have one step
				free[run.Executor] = room{cpu: left.cpu - s.CPU, memMB: left.memMB - s.MemMB, gpu: left.gpu - s.GPU}
			}
		}
	}
	return free
}

// executorOf returns the executor that has an id now.
func (w *world) executorOf(id string) *executor {
	for _, e := range w.executors {
		if e.ID() == id {
			return e
		}
	}
	return nil
}
