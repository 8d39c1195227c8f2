package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// This explorer plays two domains with a cell each. Hosts are fronts, and owners
// of the cell that they have claimed; they die, also one after the other, and
// stand still, also again and again. Callers whose connection has broken send
// their jobs again, and any front may hand them to either cell. The times are
// those of pkg/node.
const (
	clusterStep     = ms
	clusterTime     = 12 * time.Second
	clusterArrivals = 8 * time.Second // no new jobs later
	domainHosts     = 3
	domainExecutors = 4
	hostRestart     = 600 * ms
)

// cluster is one play.
type cluster struct {
	orders
	domains []*domain
	hosts   []*host // also those that have died
	jobs    map[string]*call
	count   clusterCount
	faults  faults
	tracing bool
	trace   []traceLine
}

// clusterCount is what a play has seen.
type clusterCount struct {
	ended     int // jobs that were completed
	sentAgain int
	takeovers int
	withheld  int // rows that couldn't be read for a while
	suspected int // jobs that an owner gave back as it heard nothing of their fronts

	refusals    int // times that an executor refused everything for a while
	crashes     int // lives of executors that ended
	misanswered int // times that an executor misanswered everything for a while
}

// domain is a cell, and the hosts that may own it.
type domain struct {
	name   string
	listed []catalog.Executor
	owners []*owner // the newest comes last
	known  *owner   // whom fronts know as the owner; nil for none
	dying  int      // so many of the next owners die soon after their claims
}

func (d *domain) newest() *owner { return d.owners[len(d.owners)-1] }

// traceLine is an event of a job, or of hosts when it has no job.
type traceLine struct {
	at   time.Duration
	job  string
	text string
}

// note keeps an event for a trace.
func (w *cluster) note(job, format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, traceLine{at: w.now, job: job, text: fmt.Sprintf(format, args...)})
	}
}

// traceOf returns what concerns a job, and what hosts did from a moment before it
// came.
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
	w.calm = !f.orders
	w.fates = f.fates
	w.random = rand.New(rand.NewPCG(seed, 2))
	w.lasts = w.runLasts
	for i := range 2 {
		d := &domain{name: fmt.Sprintf("z%d", i+1)}
		w.domains = append(w.domains, d)
		for j := range domainExecutors {
			number := i*domainExecutors + j
			e := newModelExecutor(number, 1-maxClockDrift*w.random.Float64())
			if f.lives {
				e.born = 1
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

// play runs to the end, or to the first task that runs twice at once.
func (w *cluster) play() {
	for w.now < clusterTime && len(w.doubles) == 0 {
		w.now += clusterStep
		w.fire()
		w.beat()
		if w.now%exploreStep != 0 {
			continue
		}
		if w.now < clusterArrivals && w.oneIn(24) {
			w.newCall()
		}
		w.trouble()
		w.tick()
	}
}

// tick lets time pass at the owners that are awake.
func (w *cluster) tick() {
	for _, d := range w.domains {
		for _, o := range d.owners {
			if o.host.awake() {
				o.handle(func() { o.cell.Tick(w.now) })
			}
		}
	}
}

// runLasts draws how a run of a task goes.
func (w *cluster) runLasts(task string) (time.Duration, EndKind) {
	id, _, _ := strings.Cut(task, ".")
	estimate := w.jobs[id].estimate
	w.note(id, "%s starts", task)
	kind := EndDone
	if w.oneIn(12) {
		kind = EndFailed
	}
	return w.between(estimate/6, 2*estimate), kind
}
