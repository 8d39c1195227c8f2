package kept

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The simulation runs coordinators against models of a faulty store and of the owners of
// two cells. The store loses answers, applies writes seconds late, or is down.
// Coordinators and owners are replaced at any step, and two coordinators may run at the
// same time. Callers repeat calls without an answer, cancel jobs and query states.

const (
	faultsPeriod     = 12 * time.Second // simulated time with faults
	simulationPeriod = 45 * time.Second // simulated time in all
	answerTime       = 1200 * ms        // how long a caller waits
	leaseTime        = time.Second      // how long runs continue without an owner
	unaskedTime      = 8 * time.Second  // after which an owner drops a job that no coordinator asks for
	startsAsked      = 2 * time.Second  // after which an owner starts no task of such a job
	outcomeTime      = 5 * time.Second  // how long an owner keeps an outcome after the notice that it is stored
	cancelTime       = 3 * time.Second  // after which no task of a cancelled job may start
)

var simulationRuns = flag.Int("kept.plays", 400, "number of simulation runs")
var simulationSeed = flag.Uint64("kept.seed", 1, "seed of the first simulation run")

type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is one simulated run.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	events       eventQueue
	order        int
	store        *modelStore
	down         time.Duration // until when the store fails calls
	coordinators []*modelCoordinator
	cells        map[string]*modelCell
	jobs         []*modelJob
	byID         map[string]*modelJob
	violations   []string // invariant violations
	calls        uint64
	asked        map[uint64]string // job id by call
}

func (sim *simulation) faulty() bool { return sim.now < faultsPeriod }

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.random.Int64N(int64(most-least)+1))
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.events, event{at: sim.now + d, order: sim.order, do: do})
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now)+fmt.Sprintf(format, args...))
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), store: newModelStore(), cells: map[string]*modelCell{}, byID: map[string]*modelJob{}, asked: map[uint64]string{}}
	for _, name := range []string{"x", "y"} {
		sim.cells[name] = &modelCell{name: name, running: map[string]*modelRun{}, ended: map[string]State{}}
		sim.newOwner(sim.cells[name])
	}
	sim.newCoordinator()
	for i := range 12 {
		j := &modelJob{id: fmt.Sprintf("job%02d", i)}
		sim.jobs = append(sim.jobs, j)
		sim.byID[j.id] = j
		sim.after(sim.between(0, 8*time.Second), func() { sim.send(j) })
	}
	for range sim.random.IntN(12) {
		sim.after(sim.between(0, faultsPeriod), sim.injectFault)
	}
	return sim
}

func (sim *simulation) run() {
	for len(sim.events) > 0 && sim.now < simulationPeriod {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
}

// injectFault injects a random fault.
func (sim *simulation) injectFault() {
	switch sim.random.IntN(5) {
	case 0:
		sim.down = sim.now + sim.between(50*ms, 2500*ms)
	case 1: // a coordinator fails and is replaced, at once or later
		sim.coordinators[sim.random.IntN(len(sim.coordinators))].alive = false
		sim.after(sim.between(0, time.Second), sim.newCoordinator)
		sim.reread()
	case 2: // two coordinators at the same time
		sim.newCoordinator()
	case 3:
		for _, name := range []string{"x", "y"} {
			if sim.chance(0.5) {
				sim.killOwner(sim.cells[name])
			}
		}
		sim.reread()
	case 4:
		cell := sim.cells[[]string{"x", "y"}[sim.random.IntN(2)]]
		cell.closed = true
		cell.returnJobs()
		sim.after(sim.between(100*ms, 2*time.Second), func() { cell.closed = false })
	}
}

// liveCoordinator returns a random running coordinator, or nil.
func (sim *simulation) liveCoordinator() *modelCoordinator {
	var alive []*modelCoordinator
	for _, co := range sim.coordinators {
		if co.alive {
			alive = append(alive, co)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[sim.random.IntN(len(alive))]
}

// reread schedules readings of the open rows, as after a change of the reachable hosts.
func (sim *simulation) reread() {
	for _, d := range []time.Duration{500 * ms, 2 * time.Second} {
		sim.after(d, func() {
			for _, co := range sim.coordinators {
				co.load()
			}
		})
	}
}

// check compares the callers' answers with what has run, and returns all violations.
func (sim *simulation) check() []string {
	for _, j := range sim.jobs {
		ended := sim.store.row(TableEnded, j.id)
		switch {
		case j.accepted && ended == nil:
			sim.reportViolation("%s was accepted and hasn't ended", j.id)
		case j.allRefused() && j.starts > 0:
			sim.reportViolation("%s was refused and ran", j.id)
		}
		if j.done > 1 {
			sim.reportViolation("%s completed %d times", j.id, j.done)
		}
		if ended == nil {
			continue
		}
		end, _ := jsonCodec{}.DecodeEnd(ended.Value)
		if end.State == Completed && j.done == 0 || end.State == Failed && j.failed == 0 || end.State == Cancelled && !j.cancelSent {
			sim.reportViolation("%s is %s without cause", j.id, end.State)
		}
	}
	return sim.violations
}

func TestSimulation(t *testing.T) {
	failed := 0
	accepted, ended := 0, 0
	for i := range *simulationRuns {
		seed := *simulationSeed + uint64(i)
		sim := newSimulation(seed)
		sim.run()
		if violations := sim.check(); len(violations) > 0 {
			t.Errorf("seed %d: %q", seed, violations[:min(len(violations), 4)])
			if failed++; failed > 5 {
				t.Fatal("too many failed runs")
			}
		}
		for _, j := range sim.jobs {
			if j.accepted {
				accepted++
			}
			if sim.store.row(TableEnded, j.id) != nil {
				ended++
			}
		}
	}
	if accepted < *simulationRuns || ended < *simulationRuns {
		t.Errorf("only %d jobs were accepted and %d ended in %d runs", accepted, ended, *simulationRuns)
	}
	t.Logf("%d runs, %d jobs accepted, %d ended", *simulationRuns, accepted, ended)
}

// TestSimulationRegressionSeeds repeats the seeds that have exposed faults.
func TestSimulationRegressionSeeds(t *testing.T) {
	seeds := []uint64{8, 229, 272, 1766, 1013293, 1016018, 1049567, 1050576, 1056606, 1058618, 1064150}
	for _, seed := range seeds {
		sim := newSimulation(seed)
		sim.run()
		if violations := sim.check(); len(violations) > 0 {
			t.Errorf("seed %d: %q", seed, violations)
		}
	}
}

func TestSimulationCoversAllVerdicts(t *testing.T) {
	seen := map[Verdict]int{}
	for seed := range uint64(60) {
		sim := newSimulation(seed)
		sim.run()
		for _, j := range sim.jobs {
			for _, verdict := range j.answers {
				seen[verdict]++
			}
		}
	}
	for _, verdict := range []Verdict{Accepted, Refused, Unknown} {
		if seen[verdict] == 0 {
			t.Errorf("no caller ever got verdict %d", verdict)
		}
	}
}

// without returns the followers except one.
func without(askers []*follower, removed *follower) []*follower {
	return slices.DeleteFunc(askers, func(f *follower) bool { return f == removed })
}
