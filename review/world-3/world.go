//go:build review3

// Command world-3 plays the scripts of the third review: it starts foxcroft's nodes as the deploy
// file does, beside stand-ins of the users' platform on loopback addresses, and judges what
// clients, executors and the store have seen.
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
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/pkg/standin/relayd"
	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	frontPort  = 8161
	readyPort  = 8167
	peerPort   = 7720
	listenPort = 7721 // of nodes whose peers come by a relay
	execPort   = 8170
	storePort  = 8169

	zoneCount    = 3
	nodesPerZone = 3

	service     = "formula-desk"
	host        = "desk.example"
	prefix      = "/jobs/"
	maxAttempts = 3

	executorCPU = 16000
	executorMem = 32000
	beat        = 1500 * time.Millisecond // heartbeat_ms
	grace       = 6 * time.Second         // grace_s
)

var zoneNames = [zoneCount + 1]string{"", "bogota-norte", "medellin-sur", "cali-centro"}

// errCannotRun marks a case that could not be set up; the script exits with 2.
var errCannotRun = errors.New("the case could not run")

// node is one foxcroft process.
type node struct {
	name     string
	zone     int
	ip       string
	settings string
	log      *os.File
	relay    *relayd.Relay // in front of its peer address; nil without relays

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }
func (n *node) peer() string  { return fmt.Sprintf("%s:%d", n.ip, peerPort) }

// options are the size of a world.
type options struct {
	executors int  // a zone
	relays    bool // nodes reach each other by relays, which can be cut
	storeMS   int  // the time of an answer of the store
	// suits tells whether a loopback network is one to play on; nil: each is. By the addresses of the
	// nodes, the project draws which of them decides for which kept jobs.
	suits func(network int) bool
}

// world is a small deployment.
type world struct {
	options
	dir       string
	network   int
	root      string // of the repository
	store     *limitedStore
	ledger    *standin.Ledger
	executors []*standin.Executor
	nodes     []*node
	stop      chan struct{}
	record    *record
	client    *http.Client
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func newWorld(folder string, o options) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "world-3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		options: o, dir: dir, root: root, ledger: standin.NewLedger(), stop: make(chan struct{}),
		record: &record{file: file, began: time.Now()},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
	w.store = newLimitedStore(standin.NewStore(), w.record)
	w.store.inner.SetFault(standin.StoreServes, time.Duration(o.storeMS)*time.Millisecond)
	if err := w.chooseNetwork(); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return w, w.start()
}

// chooseNetwork finds a loopback network whose ports are free.
func (w *world) chooseNetwork() error {
	for range 2000 {
		w.network = 10 + rand.IntN(200)
		if w.suits != nil && !w.suits(w.network) {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", w.network, storePort))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, w.store) }()
		return nil
	}
	return errors.New("no free loopback network")
}

func (w *world) start() error {
	for zone := 1; zone <= zoneCount; zone++ {
		for i := 1; i <= w.options.executors; i++ {
			if err := w.addExecutor(zone, i); err != nil {
				return fmt.Errorf("%w: %w", errCannotRun, err)
			}
		}
	}
	w.configure(1)
	go w.publish()
	for zone := 1; zone <= zoneCount; zone++ {
		for i := 1; i <= nodesPerZone; i++ {
			if err := w.addNode(zone, i); err != nil {
				return fmt.Errorf("%w: %w", errCannotRun, err)
			}
		}
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if !w.awaitReady(w.nodes, 20*time.Second) {
		return fmt.Errorf("%w: not all nodes are ready", errCannotRun)
	}
	time.Sleep(4 * time.Second) // as traffic starts some seconds after the machines
	w.record.note("the world is up: %d nodes, %d executors, network 127.%d", len(w.nodes), len(w.executors), w.network)
	return nil
}

func (w *world) addExecutor(zone, index int) error {
	address := fmt.Sprintf("127.%d.%d.%d:%d", w.network, 100+zone, index, execPort)
	number := len(w.executors)
	e := standin.NewExecutor(standin.ExecutorOptions{
		Service: service, Address: address, Zone: zoneNames[zone], CPU: executorCPU, MemMB: executorMem,
		Labels: []string{executorKind, rackOf(zone)}, MaxHold: time.Second, ClockAdd: time.Duration(number) * time.Hour,
	}, w.ledger)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, e) }()
	w.executors = append(w.executors, e)
	e.Publish(w.store.inner, "ready")
	return nil
}

// publish writes the executors' rows as they do themselves.
func (w *world) publish() {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		for _, e := range w.executors {
			e.Publish(w.store.inner, "ready")
		}
	}
}

func (w *world) configure(version int) {
	w.store.inner.Put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "desk", "host": host, "path_prefix": prefix, "service": service, "timeout_ms": 1500,
			"target_latency_ms": 60, "max_attempts": maxAttempts, "stretch": 1.6, "priority": 1,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 64, "admission_check": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
}

// addNode writes the settings of a node: the template of the deploy file, filled in.
func (w *world) addNode(zone, index int) error {
	n := &node{name: fmt.Sprintf("edge-%s-%d", zoneNames[zone], index), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", w.network, zone, index)}
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", "node.ini.tmpl"))
	if err != nil {
		return err
	}
	var seeds []string
	for z := 1; z <= zoneCount; z++ {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.1:%d", w.network, z, peerPort))
	}
	values := map[string]string{
		"node_name": n.name, "zone": zoneNames[zone], "listen.front": n.front(), "listen.ready": fmt.Sprintf("%s:%d", n.ip, readyPort),
		"ip": n.ip, "internal_ports.0": fmt.Sprint(peerPort), "seeds": strings.Join(seeds, ","),
		"platform.address": fmt.Sprintf("127.%d.0.1:%d", w.network, storePort), "bounds.max_hold_ms": "1000", "bounds.stop_timeout_ms": "50",
		"bounds.retransmit_ms": "1300", "bounds.grace_s": "6", "limits.memory_mb": "284", "limits.cpu_share": "0.4", "limits.link_mbps": "1000.0",
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return errors.New("the template has a gap that this world doesn't fill")
	}
	if w.relays {
		listen := fmt.Sprintf("%s:%d", n.ip, listenPort)
		text = strings.Replace(text, "[listen]\n", "[listen]\npeers_listen = "+listen+"\n", 1)
		listener, err := net.Listen("tcp", n.peer())
		if err != nil {
			return err
		}
		n.relay = relayd.NewRelay(listen, 0)
		go n.relay.Serve(listener)
	}
	n.settings = filepath.Join(w.dir, n.name+".ini")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	n.log, err = os.Create(filepath.Join(w.dir, n.name+".log"))
	w.nodes = append(w.nodes, n)
	return err
}

// startNode runs the program of the deploy file.
func (w *world) startNode(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	command := exec.Command(filepath.Join(w.root, "target", "foxcroft"), "node")
	command.Dir = w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "FOXCROFT_NODE_FILE=" + n.settings, "GOMAXPROCS=2"}
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// isUp reports whether the process runs.
func (n *node) isUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// stopAsPlanned sends SIGTERM, and SIGKILL after the grace, and returns once the process has ended.
func (n *node) stopAsPlanned() {
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(grace):
		n.signal(syscall.SIGKILL)
		<-exited
	}
}

func (w *world) awaitReady(nodes []*node, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		ready := 0
		for _, n := range nodes {
			if w.isReady(n) {
				ready++
			}
		}
		if ready == len(nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (w *world) isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", n.ip, readyPort), nil)
	response, err := w.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// inZone returns the nodes of a zone.
func (w *world) inZone(zone int) []*node {
	var nodes []*node
	for _, n := range w.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// cut cuts two nodes from each other, silently, or mends that.
func (w *world) cut(a, b *node, cut bool) {
	a.relay.SetCutOf(b.peer(), cut)
	b.relay.SetCutOf(a.peer(), cut)
}

// answer is what a client gets; status 0 is none.
type answer struct {
	status int
	state  string
	took   time.Duration
}

// call sends a client's request to a node.
func (w *world) call(n *node, method, id string, body any, patience time.Duration) answer {
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		payload = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front()+prefix+id, payload)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Remaining", fmt.Sprint(patience.Milliseconds()))
	sent := time.Now()
	response, err := w.client.Do(request)
	if err != nil {
		return answer{took: time.Since(sent)}
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	var read struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &read)
	return answer{status: response.StatusCode, state: read.State, took: time.Since(sent)}
}

// close ends all processes.
func (w *world) close() {
	close(w.stop)
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		n.mu.Lock()
		exited := n.exited
		n.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// rackOf names the rack of a zone's executors.
func rackOf(zone int) string { return "rack-" + zoneNames[zone] }

const executorKind = "kind-standard"

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
