package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// This explorer simulates two domains with a cell each. Hosts are fronts and may own
// the cell of their domain. They crash, also in chains, and freeze, also repeatedly.
// Callers whose connection closed resubmit their jobs, and any front may hand them to
// either cell. The timeouts are those of pkg/node.
const (
	clusterStep     = ms
	clusterTime     = 12 * time.Second
	clusterArrivals = 8 * time.Second // no new jobs later
	domainHosts     = 3
	domainExecutors = 4
	hostRestart     = 600 * ms
)

// cluster is the state of one simulation.
type cluster struct {
	transport
	domains []*domain
	hosts   []*host // crashed ones included
	jobs    map[string]*call
	count   clusterCount
	faults  faults
	tracing bool
	trace   []traceLine
}

// clusterCount counts what happened in a simulation.
type clusterCount struct {
	ended       int // jobs that were completed
	resubmitted int
	takeovers   int
	withheld    int // rows that were withheld for a while
	vanished    int // rows that left the store for a while
	suspected   int // jobs that weren't renewed in time or whose front an owner found unresponsive

	refusalPeriods int // times that an executor refused all commands for a while
	crashes        int // of executors
	cut            int // takeovers by an owner that didn't reach one of its executors
	unclearPeriods int // times that an executor gave unclear answers for a while
	unseen         int // connections that closed unnoticed
	confirmed      int // submissions whose lease limits were lifted
}

// domain is a cell, and the hosts that may own it.
type domain struct {
	name           string
	listed         []catalog.Executor
	vanished       map[int]bool // by index in listed: the row has left the store
	dropped        map[int]bool // by index in listed: hosts no longer have it on their lists
	owners         []*owner     // the newest comes last
	announced      *owner       // whom fronts know as the owner; nil for none
	pendingCrashes int          // how many of the next owners crash soon after their claims
}

func (d *domain) newest() *owner { return d.owners[len(d.owners)-1] }

// traceLine is an event of a job, or of hosts if it has no job.
type traceLine struct {
	at   time.Duration
	job  string
	text string
}

// record adds an event to the trace.
func (w *cluster) record(job, format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, traceLine{at: w.now, job: job, text: fmt.Sprintf(format, args...)})
	}
}

// traceOf returns the events of a job, and those of hosts from one second before its
// first one.
func (w *cluster) traceOf(job string) string {
	first := slices.IndexFunc(w.trace, func(line traceLine) bool { return line.job == job })
	from := w.trace[first].at - time.Second
	var lines strings.Builder
	for _, line := range w.trace {
		if line.job == job || line.job == "" && line.at >= from {
			fmt.Fprintf(&lines, "%10s  %s\n", line.at, line.text)
		}
	}
	return lines.String()
}

func newCluster(seed uint64, f faults) *cluster {
	w := &cluster{jobs: map[string]*call{}, faults: f}
	w.calm = !f.commands
	w.rates = f.rates
	w.random = rand.New(rand.NewPCG(seed, 2))
	w.lasts = w.drawRun
	for i := range 2 {
		d := &domain{name: fmt.Sprintf("z%d", i+1), vanished: map[int]bool{}, dropped: map[int]bool{}}
		w.domains = append(w.domains, d)
		for j := range domainExecutors {
			number := i*domainExecutors + j
			e := newModelExecutor(number, 1-maxClockDrift*w.random.Float64())
			if f.executorCrashes {
				e.startedAt = 1
			}
			w.executors = append(w.executors, e)
			d.listed = append(d.listed, e.info(number))
		}
		for range domainHosts {
			w.addHost(d)
		}
		w.claim(d, nil)
	}
	return w
}

// run runs the simulation to its end, or until a task runs twice at once.
func (w *cluster) run() {
	for w.now < clusterTime && len(w.doubles) == 0 {
		w.now += clusterStep
		w.fire()
		w.sendHeartbeats()
		if w.now%exploreStep != 0 {
			continue
		}
		if w.now < clusterArrivals && w.oneIn(24) {
			w.newCall()
		}
		w.injectFault()
		w.tick()
	}
}

// tick advances the clock of the owners that are awake.
func (w *cluster) tick() {
	for _, d := range w.domains {
		for _, o := range d.owners {
			if o.host.awake() {
				o.handle(func() { o.cell.Tick(w.now) })
			}
		}
	}
}

// drawRun draws the duration and the end of a run.
func (w *cluster) drawRun(task string) (time.Duration, EndKind) {
	id, _, _ := strings.Cut(task, ".")
	estimate := w.jobs[id].estimate
	w.record(id, "%s starts", task)
	kind := EndDone
	if w.oneIn(12) {
		kind = EndFailed
	}
	return w.between(estimate/6, 2*estimate), kind
}
