//go:build review2

// Command world-2 plays the cases of the second review: a small deployment of the project's
// own program as separate processes on loopback addresses, beside the project's stand-ins of
// the store and of executors.
package main

import (
	"bytes"
	"cmp"
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
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

// The deployment, as the site andina-mezcla: 9 machines and 48 workers in 3 zones.
const (
	serviceName   = "formula-desk"
	hostName      = "desk.example"
	prefix        = "/jobs/"
	frontPort     = 18161
	readyPort     = 18167
	controlPort   = 18166
	peerPort      = 17720
	metricsPort   = 9464
	workerPort    = 18171
	storePort     = 18169
	workersAZone  = 16
	workerCPU     = 16000
	workerMemMB   = 32768
	maxHold       = time.Second
	heartbeat     = 1500 * time.Millisecond
	rowBytes      = 65536
	txBytes       = 1 << 20
	txEntries     = 100
	writesPerS    = 800
	readsPerS     = 2000
	partWritesPS  = 150
	storeAnswer   = 4 * time.Millisecond
	maxAttempts   = 3
	program       = "target/foxcroft"
	settingsForm  = "deploy/node.ini.tmpl"
	clockSlowness = 0.02
)

var machinesOf = []int{4, 3, 2} // by zone

type machine struct {
	name, zone, ip string
	settings       string
	log            *os.File
	mu             sync.Mutex
	command        *exec.Cmd
	exited         chan struct{}
	down           bool
}

func (m *machine) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *machine) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

type worker struct {
	*standin.Executor
	zone   string
	labels []string
	gpus   int

	stateMu       sync.Mutex
	crashed, dark bool

	state  string // in its row; empty for ready
	silent bool   // it writes no row any more
	row    string
	wrote  time.Time
}

type world struct {
	network  int
	dir      string
	record   *os.File
	recordMu sync.Mutex
	begin    time.Time
	store    *standin.Store
	limits   *limitedStore
	ledger   *standin.Ledger
	machines []*machine
	workersM sync.Mutex
	workers  []*worker
	stop     chan struct{}
	randomMu sync.Mutex
	random   *rand.Rand
}

// fail ends the run as one that couldn't be carried out.
func (w *world) fail(format string, args ...any) {
	w.note("can't run: "+format, args...)
	w.close()
	os.Exit(2)
}

func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts the store and the workers.
func newWorld(recordPath string) *world {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{record: record, begin: time.Now(), store: standin.NewStore(), ledger: standin.NewLedger(), stop: make(chan struct{})}
	w.random = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2))
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		w.fail("%v", err)
	}
	w.limits = &limitedStore{world: w, inner: w.store}
	w.store.SetFault(standin.StoreServes, storeAnswer)
	w.store.SetBudget(writesPerS, readsPerS, partWritesPS)
	w.findNetwork()
	for zone := 1; zone <= len(machinesOf); zone++ {
		for i := 1; i <= workersAZone; i++ {
			w.addWorker(zone, i)
		}
	}
	w.configure()
	go w.beat()
	return w
}

// findNetwork picks a loopback network on which nothing listens, and serves the store there.
func (w *world) findNetwork() {
	for range 40 {
		w.network = 20 + w.random.IntN(200)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.200.1:%d", w.network, storePort))
		if err == nil {
			go func() { _ = http.Serve(listener, w.limits) }()
			return
		}
	}
	w.fail("no free loopback address")
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (w *world) addWorker(zone, index int) { w.addWorkerAt(100+zone, zone, index) }

// addWorkerAt adds a worker of a zone in a part of the network.
func (w *world) addWorkerAt(net3, zone, index int) {
	address := fmt.Sprintf("127.%d.%d.%d:%d", w.network, net3, index, workerPort)
	slow := 0.0
	if index%3 == 0 {
		slow = clockSlowness
	}
	e := &worker{zone: zoneName(zone), labels: []string{kindOf(index), rackOf(zone, index)}, Executor: standin.NewExecutor(standin.ExecutorOptions{
		Service: serviceName, Address: address, Zone: zoneName(zone), CPU: workerCPU, MemMB: workerMemMB,
		Labels: []string{kindOf(index), rackOf(zone, index)}, MaxHold: maxHold, LateBy: 2 * time.Second,
		ClockAdd: time.Duration(zone*100+index) * time.Minute, ClockLoss: slow,
	}, w.ledger)}
	if index <= gpuWorkers {
		e.gpus = gpusEach
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		w.fail("%v", err)
	}
	go func() { _ = http.Serve(listener, e) }()
	w.workersM.Lock()
	defer w.workersM.Unlock()
	w.workers = append(w.workers, e)
}

// The first workers of a zone have GPUs.
const (
	gpuWorkers = 2
	gpusEach   = 4
)

// The workers of a rack are alike: the second rack of each zone has those of kind b.
const workersARack = 8

func rackOf(zone, index int) string { return fmt.Sprintf("r%d-%d", zone, (index-1)/workersARack+1) }

func kindOf(index int) string {
	if index > workersARack {
		return "kind-b"
	}
	return "kind-a"
}

// ServeHTTP implements http.Handler. A worker that has crashed has nothing behind its port, or is
// silent.
func (e *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.stateMu.Lock()
	crashed, dark := e.crashed, e.dark
	e.stateMu.Unlock()
	if crashed && dark {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if crashed {
		panic(http.ErrAbortHandler)
	}
	e.Executor.ServeHTTP(w, r)
}

// crash ends a worker's life: its runs die, and it answers nothing until it is back.
func (w *world) crash(e *worker, dark bool) {
	e.stateMu.Lock()
	e.crashed, e.dark = true, dark
	e.stateMu.Unlock()
	w.setSilent(e, true)
	w.note("worker %s crashes", e.ID())
	e.Crash()
}

// drain has a worker say that it leaves.
func (w *world) drain(e *worker) {
	w.workersM.Lock()
	defer w.workersM.Unlock()
	e.state = "draining"
	w.publish(e)
}

// unlist has a worker's row go, and the worker serve on.
func (w *world) unlist(e *worker) {
	w.workersM.Lock()
	defer w.workersM.Unlock()
	e.silent = true
	w.store.Remove("servers", e.row)
	e.row = ""
}

// beat writes the workers' rows. A row goes after three heartbeats of silence.
func (w *world) beat() {
	for {
		w.workersM.Lock()
		for _, e := range w.workers {
			if !e.silent && !e.IsDown() {
				w.publish(e)
			} else if e.row != "" && time.Since(e.wrote) > 3*heartbeat {
				w.store.Remove("servers", e.row)
				w.note("the row of worker %s lapses", e.row)
				e.row = ""
			}
		}
		w.workersM.Unlock()
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat / 3):
		}
	}
}

// publish writes a worker's row.
func (w *world) publish(e *worker) {
	document, id := e.Document(cmp.Or(e.state, "ready")), e.ID()
	document["capacity"] = map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": e.gpus}
	if e.row != "" && e.row != id {
		w.store.Remove("servers", e.row)
	}
	w.store.Put("servers", id, document)
	e.row, e.wrote = id, time.Now()
}

func (w *world) setSilent(e *worker, silent bool) {
	w.workersM.Lock()
	defer w.workersM.Unlock()
	e.silent = silent
}

func (w *world) configure() {
	w.store.Put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "desk", "host": hostName, "path_prefix": prefix, "service": serviceName, "timeout_ms": 5000,
			"target_latency_ms": 60, "max_attempts": maxAttempts, "stretch": 1.6, "priority": 0,
		}},
		"services": []map[string]any{{"name": serviceName, "max_conns": 64, "admission_check": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
}

// startMachines starts the project's program on all machines and waits until they are ready.
func (w *world) startMachines() {
	form, err := os.ReadFile(settingsForm)
	if err != nil {
		w.fail("%v", err)
	}
	if _, err := os.Stat(program); err != nil {
		w.fail("build the deploy file first: %v", err)
	}
	var seeds []string
	for zone := range machinesOf {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.1:%d", w.network, zone+1, controlPort))
	}
	for zone, count := range machinesOf {
		for i := 1; i <= count; i++ {
			m := &machine{name: fmt.Sprintf("edge-%d-%d", zone+1, i), zone: zoneName(zone + 1), ip: fmt.Sprintf("127.%d.%d.%d", w.network, zone+1, i)}
			m.settings = filepath.Join(w.dir, m.name+".ini")
			text := strings.NewReplacer(
				"{{node_name}}", m.name, "{{zone}}", m.zone, "{{ip}}", m.ip,
				"{{listen.front}}", fmt.Sprintf("%s:%d", m.ip, frontPort), "{{listen.ready}}", fmt.Sprintf("%s:%d", m.ip, readyPort),
				"{{internal_ports.0}}", fmt.Sprint(peerPort), "{{seeds}}", strings.Join(seeds, ","),
				"{{platform.address}}", fmt.Sprintf("127.%d.200.1:%d", w.network, storePort),
				"{{bounds.max_hold_ms}}", "1000", "{{bounds.stop_timeout_ms}}", "50", "{{bounds.retransmit_ms}}", "1300",
				"{{bounds.grace_s}}", "6", "{{limits.memory_mb}}", "284", "{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000",
			).Replace(string(form))
			if strings.Contains(text, "{{") {
				w.fail("the settings' form has a field that is not filled in")
			}
			if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
				w.fail("%v", err)
			}
			if m.log, err = os.Create(filepath.Join(w.dir, m.name+".log")); err != nil {
				w.fail("%v", err)
			}
			w.machines = append(w.machines, m)
			w.startMachine(m)
		}
	}
	for _, m := range w.machines {
		if !w.awaitReady(m, 20*time.Second) {
			w.fail("%s isn't ready: %s", m.name, w.lastLine(m))
		}
	}
	time.Sleep(3 * time.Second) // traffic starts 10 s after the machines
	w.note("all %d machines are ready", len(w.machines))
}

func (w *world) startMachine(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	command := exec.Command(program, "node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXCROFT_NODE_FILE=" + m.settings}
	command.Stdout, command.Stderr = m.log, m.log
	if err := command.Start(); err != nil {
		w.fail("%v", err)
	}
	exited := make(chan struct{})
	m.command, m.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

func (w *world) awaitReady(m *machine, limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, readyPort))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (w *world) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill ends a machine's process and waits until it is gone.
func (w *world) kill(m *machine) {
	w.signal(m, syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (w *world) lastLine(m *machine) string {
	data, _ := os.ReadFile(m.log.Name())
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return string(lines[len(lines)-1])
}

func (w *world) close() {
	close(w.stop)
	for _, m := range w.machines {
		w.kill(m)
		_ = m.log.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
}

// answer is what a client got; status 0 for none.
type answer struct {
	status int
	body   string
	took   time.Duration
}

// call makes a call as a client does, on a connection of its own.
func (w *world) call(m *machine, method, id string, body []byte, patience time.Duration) answer {
	request, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", m.ip, frontPort, prefix, id), bytes.NewReader(body))
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Remaining", fmt.Sprint(patience.Milliseconds()))
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return answer{took: time.Since(sent)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{took: time.Since(sent)}
	}
	return answer{status: response.StatusCode, body: strings.TrimSpace(string(text)), took: time.Since(sent)}
}

func (a answer) state() string {
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(a.body), &s)
	return s.State
}

// limitedStore keeps the limits that the pages set for transactions.
type limitedStore struct {
	world   *world
	inner   http.Handler
	mu      sync.Mutex
	refused int
	largest int // bytes of a row
}

// ServeHTTP implements http.Handler.
func (s *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		s.inner.ServeHTTP(w, r)
		return
	}
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var body struct {
		Expected []json.RawMessage `json:"expected_rev"`
		Put      []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"put"`
		Remove []json.RawMessage `json:"remove"`
	}
	if json.Unmarshal(payload, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reason := ""
	if len(body.Expected)+len(body.Put)+len(body.Remove) > txEntries {
		reason = "too many entries"
	}
	if len(payload) > txBytes {
		reason = fmt.Sprintf("a transaction of %d bytes", len(payload))
	}
	for _, row := range body.Put {
		if len(row.Value) > s.largest {
			s.largest = len(row.Value)
		}
		if len(row.Value) > rowBytes {
			reason = fmt.Sprintf("the row %s of %d bytes", row.Key, len(row.Value))
		}
	}
	if reason != "" {
		s.mu.Lock()
		s.refused++
		n := s.refused
		s.mu.Unlock()
		if n <= 20 || n%100 == 0 {
			s.world.note("the store refuses with 400, for the %dth time: %s", n, reason)
		}
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(payload))
	s.inner.ServeHTTP(w, r)
}

func (w *world) draw(n int) int {
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	return w.random.IntN(n)
}

func (w *world) drawID() uint64 {
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	return w.random.Uint64()
}
