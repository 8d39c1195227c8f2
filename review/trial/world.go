//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/pkg/standin/relayd"
	"github.com/foxcroft/foxcroft/platform/standin"
)

// Figures of the deployment, those of the page of the first deployments where it has them.
const (
	service      = "desk"
	host         = "desk.example"
	prefix       = "/desk/"
	rowBytes     = 65536
	txBytes      = 1 << 20 // at most, of keys and values; a narrower reading of "1 MB" would refuse more
	graceS       = 6
	retransmitMS = 1300
	ackTime      = 4 * time.Second
	cancelTime   = 3 * time.Second
	contactTime  = 3 * time.Second
	leadTime     = 10 * time.Second
	executorCPU  = 16000
	maxAttempts  = 2
	bodyBytes    = 262144
	beatInterval = 1500 * time.Millisecond
	silentBeats  = 3 // then the store removes the row

	frontPort, controlPort, readyPort, peerPort = 8161, 8166, 8167, 7720
	executorPort, storePort                     = 8170, 8169
)

// machine is one machine of the system.
type machine struct {
	name, zone, ip, settings string
	store                    *relayd.Relay // in front of the store, for this machine
	peers                    *relayd.Relay // in front of its peer address
	log                      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	gone    atomic.Bool
}

type executor struct {
	*standin.Executor
	zone  string
	relay *relayd.Relay

	mu     sync.Mutex
	state  string
	listed string // id under which it has written its row last
	missed int    // beats
}

type world struct {
	dir       string
	record    *os.File
	began     time.Time
	store     *standin.Store
	ledger    *standin.Ledger
	machines  []*machine
	executors []*executor
	stop      chan struct{}

	storeAddress string
	machinesMu   sync.Mutex // guards changes of machines
	network      int
	version      int

	lapsed    atomic.Bool // executors write no rows
	calmMu    sync.Mutex
	inForce   int       // disruptions
	calmSince time.Time // when the last one ended

	noteMu    sync.Mutex
	closeOnce sync.Once
	closed    atomic.Bool    // no process is started any more
	refused   map[string]int // transactions that were over a limit of the store, by reason
}

// unguarded has executors start whatever they are told, and the configuration say so.
var unguarded = os.Getenv("UNGUARDED") != ""

// newWorld prepares a world; start runs it.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat("target/foxcroft"); err != nil {
		return nil, fmt.Errorf("build the program first: %w", err)
	}
	dir, err := os.MkdirTemp("", "foxcroft-review-")
	if err != nil {
		return nil, err
	}
	return &world{
		dir: dir, record: file, began: time.Now(), store: standin.NewStore(), ledger: standin.NewLedger(),
		stop: make(chan struct{}), refused: map[string]int{},
	}, nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.noteMu.Lock()
	defer w.noteMu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the platform's stand-ins and the machines, zone by zone, and waits until all are ready.
func (w *world) start(machines, executors []int) {
	storeAddress := w.listenAnywhere()
	w.store.SetBudget(800, 2000, 150)
	for zone, count := range executors {
		for i := range count {
			w.addExecutor(zone, i)
		}
	}
	w.configure(nil)
	for zone, count := range machines {
		for i := range count {
			w.addMachine(zone, i, storeAddress)
		}
	}
	go w.beat()
	for _, m := range w.machines {
		m.start(w)
	}
	end := time.Now().Add(15 * time.Second)
	for _, m := range w.machines {
		for !m.ready() || m.hasEnded() {
			if time.Now().After(end) || m.hasEnded() {
				panic(m.name + " isn't ready, or its addresses are in use")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("%d machines are ready, %d executors are listed", len(w.machines), len(w.executors))
	time.Sleep(4 * time.Second) // the traffic starts later than the machines
}

// listenAnywhere serves the store on a loopback network that nobody uses.
func (w *world) listenAnywhere() string {
	for range 20 {
		w.network = 20 + rand.IntN(200)
		address := fmt.Sprintf("127.%d.200.1:%d", w.network, storePort)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			go func() { _ = http.Serve(listener, http.HandlerFunc(w.serveStore)) }()
			return address
		}
	}
	panic("no free loopback network")
}

// serveStore is the store with the limits that the pages set for a transaction.
func (w *world) serveStore(answer http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/rows-tx" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if problem := overLimit(body); problem != "" {
			w.noteMu.Lock()
			w.refused[problem]++
			first := w.refused[problem] == 1
			w.noteMu.Unlock()
			if first {
				w.note("the store answers 400, first time: %s", problem)
			}
			answer.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	w.store.ServeHTTP(answer, r)
}

// largestRow is the largest value that was to be written.
var largestRow atomic.Int64

// overLimit says which limit a transaction exceeds, if any.
func overLimit(body []byte) string {
	var transaction struct {
		Expected []json.RawMessage `json:"expected_rev"`
		Put      []standin.Row     `json:"put"`
		Remove   []standin.Row     `json:"remove"`
	}
	if json.Unmarshal(body, &transaction) != nil {
		return ""
	}
	if len(transaction.Expected)+len(transaction.Put)+len(transaction.Remove) > 100 {
		return "more than 100 entries"
	}
	total := 0
	for _, row := range transaction.Put {
		largestRow.Store(max(largestRow.Load(), int64(len(row.Value))))
		if len(row.Value) > rowBytes {
			return "a value of over row_bytes = 65536 bytes"
		}
		total += len(row.Value) + len(row.Key)
	}
	if total > txBytes {
		return "over 1 MB"
	}
	return ""
}

func (w *world) listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	return listener
}

func (w *world) relay(address, to string) *relayd.Relay {
	relay := relayd.NewRelay(to, 0)
	go relay.Serve(w.listen(address))
	return relay
}

func (w *world) addExecutor(zone, index int) {
	ip := fmt.Sprintf("127.%d.%d.%d", w.network, 101+zone, 1+index)
	address, behind := fmt.Sprintf("%s:%d", ip, executorPort), fmt.Sprintf("%s:%d", ip, executorPort+1)
	e := &executor{zone: zoneName(zone), state: "ready", Executor: standin.NewExecutor(standin.ExecutorOptions{
		Service: service, Address: address, Zone: zoneName(zone), CPU: executorCPU, MemMB: 32768,
		Labels: []string{"a", fmt.Sprintf("r%d-%d", zone+1, index/8)}, MaxHold: time.Second, Unguarded: unguarded, LateBy: 3 * time.Second,
		ClockAdd: time.Duration(len(w.executors)) * time.Hour,
	}, w.ledger)}
	listener := w.listen(behind)
	go func() { _ = http.Serve(listener, e.Executor) }()
	e.relay = w.relay(address, behind)
	w.executors = append(w.executors, e)
	e.Publish(w.store, e.state)
}

// beat has the executors write their rows.
func (w *world) beat() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(beatInterval):
		}
		if w.lapsed.Load() {
			continue
		}
		for _, e := range w.executors {
			e.beat(w)
		}
	}
}

// beat writes the row of an executor, or has the store remove it after three heartbeats of silence.
func (e *executor) beat(w *world) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.IsDown() {
		e.missed = 0
		e.Publish(w.store, e.state)
		e.listed = e.ID()
		return
	}
	if e.missed++; e.missed == silentBeats {
		w.store.Remove("servers", e.listed)
	}
}

// configure writes the next version of the configuration, with further routes.
func (w *world) configure(more []string) {
	w.version += 3
	routes := []map[string]any{route("desk", prefix)}
	for _, name := range more {
		routes = append(routes, route(name, "/"+name+"/"))
	}
	w.store.Put("op", "config", map[string]any{
		"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": service, "max_conns": 64, "admission_check": !unguarded}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes},
	})
}

func route(name, path string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": path, "service": service, "timeout_ms": 1500,
		"target_latency_ms": 60, "max_attempts": maxAttempts, "stretch": 1.6,
	}
}

func zoneName(zone int) string { return "zone-" + string(rune('a'+zone)) }

func (w *world) addMachine(zone, index int, storeAddress string) {
	w.storeAddress = storeAddress
	w.addToMachines(w.makeMachine(zone, index))
}

// addToMachines adds a machine to those that the balancer chooses from.
func (w *world) addToMachines(m *machine) {
	w.machinesMu.Lock()
	defer w.machinesMu.Unlock()
	w.machines = append(w.machines[:len(w.machines):len(w.machines)], m)
}

// allMachines returns the machines that there are now.
func (w *world) allMachines() []*machine {
	w.machinesMu.Lock()
	defer w.machinesMu.Unlock()
	return w.machines
}

func (w *world) makeMachine(zone, index int) *machine {
	m := &machine{zone: zoneName(zone), ip: fmt.Sprintf("127.%d.%d.%d", w.network, 1+zone, 1+index)}
	m.name = fmt.Sprintf("edge-%s-%d", m.zone, index+1)
	m.store = w.relay(fmt.Sprintf("%s:%d", m.ip, storePort), w.storeAddress)
	m.peers = w.relay(m.peer(), fmt.Sprintf("%s:%d", m.ip, peerPort+1))
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		panic(err)
	}
	var seeds []string
	for zone := range 3 {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.1:%d", w.network, 1+zone, controlPort))
	}
	text := strings.NewReplacer(
		"{{node_name}}", m.name, "{{zone}}", m.zone, "{{ip}}", m.ip,
		"{{listen.front}}", fmt.Sprintf("%s:%d", m.ip, frontPort), "{{listen.ready}}", fmt.Sprintf("%s:%d", m.ip, readyPort),
		"{{internal_ports.0}}", strconv.Itoa(peerPort), "{{seeds}}", strings.Join(seeds, ","),
		"{{platform.address}}", fmt.Sprintf("%s:%d", m.ip, storePort),
		"{{bounds.max_hold_ms}}", "1000", "{{bounds.stop_timeout_ms}}", "50", "{{bounds.retransmit_ms}}", strconv.Itoa(retransmitMS),
		"{{bounds.grace_s}}", strconv.Itoa(graceS), "{{limits.memory_mb}}", "284", "{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000.0",
	).Replace(string(template))
	text = strings.Replace(text, "[peers]\n", fmt.Sprintf("peers_listen = %s:%d\n[peers]\n", m.ip, peerPort+1), 1)
	m.settings = filepath.Join(w.dir, m.name+".ini")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	if m.log, err = os.Create(filepath.Join(w.dir, m.name+".log")); err != nil {
		panic(err)
	}
	return m
}

// start runs the program as the deploy file does.
func (m *machine) start(w *world) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.closed.Load() || m.command != nil && !m.hasEnded() {
		return // two disruptions have met the same machine
	}
	command := exec.Command("target/foxcroft", "node")
	command.Env = append(os.Environ(), "FOXCROFT_NODE_FILE="+m.settings)
	command.Stdout, command.Stderr = m.log, m.log
	if err := command.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	m.command, m.exited = command, exited
	w.note("%s starts, process %d", m.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		w.note("the process of %s has ended: %v", m.name, err)
		close(exited)
	}()
}

func (m *machine) signal(w *world, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		w.note("%s is sent: %s", m.name, s)
		_ = m.command.Process.Signal(s)
	}
}

func (m *machine) peer() string { return fmt.Sprintf("%s:%d", m.ip, peerPort) }

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	status, _ := call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", m.ip, readyPort), nil, nil)
	return status == http.StatusOK
}

// close ends all processes and drops the folder.
func (w *world) close() {
	w.closeOnce.Do(func() {
		w.closed.Store(true)
		close(w.stop)
		for _, m := range w.allMachines() {
			m.mu.Lock()
			if m.command != nil {
				_ = m.command.Process.Signal(syscall.SIGCONT)
				_ = m.command.Process.Kill()
				<-m.exited
			}
			m.mu.Unlock()
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.Rename(w.dir, keep)
		}
		_ = os.RemoveAll(w.dir)
		_ = w.record.Close()
	})
}

// onCut is told of connections that end without an answer.
var onCut func(method, url string, after time.Duration, err error)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request; the status is 0 without a whole answer.
func call(ctx context.Context, method, url string, body []byte, header http.Header) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	answer, err := client.Do(request)
	if err != nil {
		if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, syscall.ECONNREFUSED) && onCut != nil {
			onCut(method, url, time.Since(sent), err)
		}
		return 0, nil
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

// ask sends a request of a client to a machine, with the time that it waits for the answer.
func (w *world) ask(m *machine, method, id string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	header := http.Header{"Deadline-Remaining": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	status, data := call(ctx, method, "http://"+m.front()+prefix+id, body, header)
	var told struct {
		State string `json:"state"`
		Error string `json:"error"`
	}
	_ = json.Unmarshal(data, &told)
	return status, told.State + told.Error
}

// anyMachine returns a machine that the balancer may choose.
func (w *world) anyMachine() *machine {
	for {
		all := w.allMachines()
		if m := all[rand.IntN(len(all))]; !m.gone.Load() {
			return m
		}
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a job as a client sends it.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMB      int    `json:"mem_mb"`
	EstimateMS int    `json:"estimate_ms"`
	After      []int  `json:"after_rev,omitempty"`
	Affinity   string `json:"affinity,omitempty"`

	AntiAffinity int `json:"anti_affinity,omitempty"`
}

// jobBody returns the body of a job; the stand-in executors read the time and the processors of a task from its spec.
func jobBody(workMS, cpu int, filler string, bestEffort bool, steps []step) []byte {
	job := map[string]any{"spec": fmt.Sprintf("%d %d done %s", workMS, cpu, filler), "steps": steps}
	if bestEffort {
		job["best_effort"] = true
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	return body
}
