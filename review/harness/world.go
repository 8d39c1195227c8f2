//go:build review

// Command harness plays the cases of the review: it starts the node program as separate processes on
// loopback addresses, beside the project's stand-ins of the platform's store and executors.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	service     = "desk"
	host        = "desk.example"
	prefix      = "/jobs/"
	maxAttempts = 2
	executorCPU = 64000
	heartbeat   = 1500 * time.Millisecond // of executors, as heartbeat_ms of the pages
	beats       = 3                       // of silence, after which a row goes
	finishTime  = 14 * time.Second        // finish_s
)

// exit codes
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// errCannotRun is panicked with when the case cannot be played.
type errCannotRun struct{ text string }

func fail(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *record) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.begin).Seconds())
}

type node struct {
	name, zone, ip, settings string
	mu                       sync.Mutex
	command                  *exec.Cmd
	exited                   chan struct{}
	log                      *os.File
	peers                    *proxy // in front of its peer address
}

type executor struct {
	*standin.Executor
	zone, address string
}

// world is a small deployment: three zones, seven nodes.
type world struct {
	*record
	binary    string
	dir       string
	net       int // second byte of all loopback addresses
	ports     ports
	store     *standin.Store
	ledger    *standin.Ledger
	nodes     []*node
	executors []*executor
	stop      chan struct{}
	listeners []net.Listener
	tokensMu  sync.Mutex
	tokens    map[int64]string // zones of the nodes that have them
}

type ports struct{ front, ready, peers, metrics, executor, store, peersListen int }

// freePorts finds a network of loopback addresses and ports that nobody uses.
func freePorts() (int, ports) {
	for range 50 {
		network := 20 + rand.IntN(200)
		base := 20000 + rand.IntN(10000)
		p := ports{front: base, ready: base + 1, peers: base + 2, metrics: base + 3, executor: base + 4, store: base + 5, peersListen: base + 6}
		free := true
		for i := range 7 {
			for _, ip := range []string{fmt.Sprintf("127.%d.0.1", network), fmt.Sprintf("127.%d.1.1", network)} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, p
		}
	}
	fail("no free ports")
	return 0, ports{}
}

// newWorld returns a deployment that has not started.
func newWorld(r *record, binary, dir string) *world {
	network, free := freePorts()
	w := &world{
		record: r, binary: binary, dir: dir, net: network, ports: free, store: standin.NewStore(),
		ledger: standin.NewLedger(), stop: make(chan struct{}), tokens: map[int64]string{},
	}
	w.store.SetBudget(600, 2000, 150) // as braendeovn's store
	return w
}

// populate starts the store, so many executors a zone, and the nodes.
func (w *world) populate(zones []int, executorsPerZone int) {
	storeAddress := fmt.Sprintf("127.%d.0.1:%d", w.net, w.ports.store)
	w.serve(storeAddress, w.store)
	for zone := range zones {
		for i := range executorsPerZone {
			w.addExecutor(zone+1, i+1)
		}
	}
	w.store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "desk-route", "host": host, "path_prefix": prefix, "service": service, "timeout_ms": 1500,
			"target_latency_ms": 60, "max_attempts": maxAttempts, "priority": 1, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 64, "admission_check": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	var seeds, names []string
	for zone := range zones {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.1:%d", w.net, zone+1, w.ports.peers))
		for i := range zones[zone] {
			names = append(names, nodeName(zone+1, i+1))
		}
	}
	for zone, count := range zones {
		for i := range count {
			w.addNode(zone+1, i+1, storeAddress, seeds, names)
		}
	}
	go w.beat()
	for _, n := range w.nodes {
		w.start(n)
	}
}

func nodeName(zone, index int) string { return fmt.Sprintf("edge-%s-%d", zoneName(zone), index) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%c", 'a'+zone-1) }

func (w *world) serve(address string, handler http.Handler) {
	listener := w.listen(address)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
}

func (w *world) listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("%v", err)
	}
	w.listeners = append(w.listeners, listener)
	return listener
}

// cutZone partitions a zone from the others: its nodes from the other nodes, whose connections are reset
// and refused, and the executors of either side from the nodes of the other one, silently. Clients and the
// store reach all nodes. It returns how to heal it.
func (w *world) cutZone(zone string) (heal func()) {
	set := func(cut bool) {
		for _, a := range w.nodes {
			for _, b := range w.nodes {
				if a.zone == zone && b.zone != zone {
					a.peers.setCut(b.name, cut)
					b.peers.setCut(a.name, cut)
				}
			}
		}
	}
	set(true)
	var mends []func()
	for _, e := range w.executors {
		mends = append(mends, e.CutOff(func(token int64) bool {
			if token == 0 { // only nodes of other zones ask executors without a token
				return true
			}
			return (w.zoneOf(token) == zone) != (e.zone == zone)
		}))
	}
	return func() {
		set(false)
		for _, mend := range mends {
			mend()
		}
	}
}

// zoneOf returns the zone of the node that gives orders with a token, as the node's log tells.
func (w *world) zoneOf(token int64) string {
	w.tokensMu.Lock()
	defer w.tokensMu.Unlock()
	if zone, known := w.tokens[token]; known {
		return zone
	}
	text := fmt.Sprintf("\"token\":%d,", token)
	for _, n := range w.nodes {
		log, _ := os.ReadFile(n.log.Name())
		for _, line := range strings.Split(string(log), "\n") {
			if strings.Contains(line, "cell_claimed") && strings.Contains(line, text) {
				w.tokens[token] = n.zone
				return n.zone
			}
		}
	}
	return ""
}

func (w *world) addExecutor(zone, index int) {
	address := fmt.Sprintf("127.%d.%d.%d:%d", w.net, 100+zone, index, w.ports.executor)
	e := &executor{zone: zoneName(zone), address: address, Executor: standin.NewExecutor(standin.ExecutorOptions{
		Service: service, Address: address, Zone: zoneName(zone), CPU: executorCPU, MemMB: 32768,
		MaxHold: time.Second, ClockAdd: time.Duration(zone*10+index) * time.Minute,
	}, w.ledger)}
	w.serve(address, e.Executor)
	w.executors = append(w.executors, e)
	e.Publish(w.store, "ready")
}

// beat has the executors write their rows, as they do themselves. The row of one that is silent goes
// after three heartbeats.
func (w *world) beat() {
	silent := map[*executor]int{}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		for _, e := range w.executors {
			if e.IsDown() {
				if silent[e]++; silent[e] == beats {
					w.store.Remove("servers", e.ID())
				}
				continue
			}
			silent[e] = 0
			e.Publish(w.store, "ready")
		}
	}
}

// addNode writes a node's settings as deploy/node.ini.tmpl gives them, with the figures of braendeovn's machines.
func (w *world) addNode(zone, index int, storeAddress string, seeds, names []string) {
	n := &node{name: nodeName(zone, index), zone: zoneName(zone), ip: fmt.Sprintf("127.%d.%d.%d", w.net, zone, index)}
	n.settings = filepath.Join(w.dir, n.name+".ini")
	text := fmt.Sprintf(`[node]
name = %s
domain = %s
adapter = users-platform
[listen]
front = %s:%d
ready = %s:%d
peers = %s:%d
peers_listen = %s:%d
metrics = %s:%d
[peers]
port = %d
seeds = %s
[store]
address = %s
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
`, n.name, n.zone, n.ip, w.ports.front, n.ip, w.ports.ready, n.ip, w.ports.peers, n.ip, w.ports.peersListen, n.ip, w.ports.metrics, w.ports.peers, strings.Join(seeds, ","), storeAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	log, err := os.Create(filepath.Join(w.dir, n.name+".log"))
	if err != nil {
		fail("%v", err)
	}
	n.log = log
	n.peers = newProxy(fmt.Sprintf("%s:%d", n.ip, w.ports.peersListen), names)
	go n.peers.serve(w.listen(fmt.Sprintf("%s:%d", n.ip, w.ports.peers)))
	w.nodes = append(w.nodes, n)
}

func (w *world) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	command := exec.Command(w.binary, "node")
	command.Env = append(os.Environ(), "FOXCROFT_NODE_FILE="+n.settings)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		fail("%s does not start: %v", n.name, err)
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	w.note("process %s starts", n.name)
}

// kill ends a node's process by SIGKILL.
func (w *world) kill(n *node) {
	n.mu.Lock()
	command, exited := n.command, n.exited
	n.mu.Unlock()
	_ = command.Process.Kill()
	<-exited
	w.note("process %s killed", n.name)
}

func (w *world) close() {
	close(w.stop)
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.command != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
		n.mu.Unlock()
		_ = n.log.Close()
	}
	for _, listener := range w.listeners {
		_ = listener.Close()
	}
}

func (w *world) isReady(n *node) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, w.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, n := range w.nodes {
		for !w.isReady(n) {
			if time.Now().After(end) {
				fail("%s isn't ready after %s", n.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// answer is what a client was told; status 0 is no answer.
type answer struct {
	status int
	state  string
	body   string
}

var transport = &http.Transport{MaxIdleConnsPerHost: 64, ResponseHeaderTimeout: 10 * time.Second}

// call makes a client's call to a node.
func (w *world) call(n *node, method, id string, body any, timeout time.Duration) answer {
	var payload []byte
	if body != nil {
		payload, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", n.ip, w.ports.front, prefix, id), bytes.NewReader(payload))
	if err != nil {
		fail("%v", err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Remaining", fmt.Sprint(timeout.Milliseconds()))
	client := &http.Client{Timeout: timeout, Transport: transport}
	response, err := client.Do(request)
	if err != nil {
		return answer{body: "no answer"}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: "broken off"}
	}
	a := answer{status: response.StatusCode, body: strings.TrimSpace(string(text))}
	var told struct{ State string }
	if json.Unmarshal(text, &told) == nil {
		a.state = told.State
	}
	return a
}

func (w *world) anyNode() *node { return w.nodes[rand.IntN(len(w.nodes))] }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job is a job as its client submits it.
func job(bestEffort bool, count int, cpu, workMS int) map[string]any {
	document := map[string]any{
		"spec":  fmt.Sprintf("%d %d", workMS, cpu),
		"steps": []map[string]any{{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": workMS}},
	}
	if bestEffort {
		document["best_effort"] = true
	}
	return document
}

// keep hands a kept job in until it is accepted or refused, and reports whether it is accepted.
func (w *world) keep(id string, document map[string]any) bool {
	for range 6 {
		n := w.anyNode()
		a := w.call(n, http.MethodPost, id, document, 2*time.Second)
		w.note("client: POST %s to %s: %d %s", id, n.name, a.status, a.body)
		switch a.status {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			return false
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}

// keepAtOnce hands in some equal jobs at once and returns the ids of those that are accepted.
func (w *world) keepAtOnce(count int, document map[string]any) []string {
	var ids []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			if id := newID(); w.keep(id, document) {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		})
	}
	group.Wait()
	w.note("%d kept jobs are accepted", len(ids))
	if len(ids) == 0 {
		fail("no kept job is accepted")
	}
	return ids
}

// awaitCompleted asks for jobs until they are shown as completed, and returns those that aren't in time.
func (w *world) awaitCompleted(ids []string) []string {
	end := time.Now().Add(finishTime)
	for {
		var open []string
		for _, id := range ids {
			if w.ask(id).state != "completed" {
				open = append(open, id)
			}
		}
		if ids = open; len(ids) == 0 || time.Now().After(end) {
			return ids
		}
		time.Sleep(500 * time.Millisecond)
	}
}

const (
	smallJobs   = 150 // enough for each partition of jobs and each zone
	smallMS     = 100
	smallCPU    = 2000
	beginWithin = 8 * time.Second
)

// notBegun hands small kept jobs in and returns those of which nothing has begun in time.
func (w *world) notBegun() []string {
	ids := w.keepAtOnce(smallJobs, job(false, 1, smallCPU, smallMS))
	end := time.Now().Add(beginWithin)
	for {
		var left []string
		for _, id := range ids {
			if len(w.ledger.RunsOf(id)) == 0 {
				left = append(left, id)
			}
		}
		if ids = left; len(ids) == 0 || time.Now().After(end) {
			return ids
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ask asks any node for the state of a job.
func (w *world) ask(id string) answer {
	n := w.anyNode()
	a := w.call(n, http.MethodGet, id, nil, time.Second)
	w.note("client: GET %s at %s: %d %s", id, n.name, a.status, a.body)
	return a
}

// noteRuns writes down all runs of a job.
func (w *world) noteRuns(id string) {
	for _, run := range w.ledger.RunsOf(id) {
		w.note("executor: %s run %d on %s from %s to %s %s, end noted %s", run.Task, run.Number, run.Executor, w.at(run.Began), w.at(run.Ended), run.How, w.at(run.Noted))
	}
}

// panics returns the lines of the nodes' logs that tell of a crash.
func (w *world) panics() []string {
	var lines []string
	for _, n := range w.nodes {
		text, _ := os.ReadFile(n.log.Name())
		for _, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				lines = append(lines, n.name+": "+line)
			}
		}
	}
	return lines
}
