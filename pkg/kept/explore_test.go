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

// The explorer plays keepers against a model of the store that loses answers, does
// what it was asked seconds later or is down, and of owners of two cells; both keepers
// and owners are replaced at any step, and two keepers may work at a time. Its callers
// send again what gets no answer, cancel, and ask for states.

const (
	faultsTime  = 12 * time.Second // of a play, with faults
	exploreTime = 45 * time.Second // of a play in all
	answerTime  = 1200 * ms        // that a caller waits
	leaseTime   = time.Second      // that runs go on without an owner
	unaskedTime = 8 * time.Second  // after which an owner drops a job that no keeper asks for
	startsAsked = 2 * time.Second  // after which it starts nothing of one
	outcomeTime = 5 * time.Second  // that an owner tells an outcome after it was noted
	cancelTime  = 3 * time.Second  // after which nothing may start of a cancelled job
)

var exploreRuns = flag.Int("kept.plays", 400, "plays of the explorer of kept jobs")
var exploreSeed = flag.Uint64("kept.seed", 1, "seed of the first play")

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

// world is one play.
type world struct {
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	order   int
	store   *modelStore
	down    time.Duration // the store turns calls away until then
	keepers []*modelKeeper
	cells   map[string]*modelCell
	jobs    []*modelJob
	byID    map[string]*modelJob
	broken  []string // what must not happen
	calls   uint64
	asked   map[uint64]string // the job of each call
}

func (w *world) faulty() bool { return w.now < faultsTime }

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, do: do})
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", w.now)+fmt.Sprintf(format, args...))
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), store: newModelStore(), cells: map[string]*modelCell{}, byID: map[string]*modelJob{}, asked: map[uint64]string{}}
	for _, name := range []string{"x", "y"} {
		w.cells[name] = &modelCell{name: name, running: map[string]*modelRun{}, ended: map[string]State{}}
		w.newOwner(w.cells[name])
	}
	w.newKeeper()
	for i := range 12 {
		j := &modelJob{id: fmt.Sprintf("job%02d", i)}
		w.jobs = append(w.jobs, j)
		w.byID[j.id] = j
		w.after(w.between(0, 8*time.Second), func() { w.send(j) })
	}
	for range w.random.IntN(12) {
		w.after(w.between(0, faultsTime), w.fault)
	}
	return w
}

func (w *world) play() {
	for len(w.events) > 0 && w.now < exploreTime {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// fault has something go wrong.
func (w *world) fault() {
	switch w.random.IntN(5) {
	case 0:
		w.down = w.now + w.between(50*ms, 2500*ms)
	case 1: // a keeper dies, and another one has taken over, or does so later
		w.keepers[w.random.IntN(len(w.keepers))].alive = false
		w.after(w.between(0, time.Second), w.newKeeper)
		w.reread()
	case 2: // two keepers at a time
		w.newKeeper()
	case 3:
		for _, name := range []string{"x", "y"} {
			if w.chance(0.5) {
				w.killOwner(w.cells[name])
			}
		}
		w.reread()
	case 4:
		cell := w.cells[[]string{"x", "y"}[w.random.IntN(2)]]
		cell.closed = true
		cell.giveBack()
		w.after(w.between(100*ms, 2*time.Second), func() { cell.closed = false })
	}
}

// liveKeeper returns a keeper to ask, or nil.
func (w *world) liveKeeper() *modelKeeper {
	var alive []*modelKeeper
	for _, k := range w.keepers {
		if k.alive {
			alive = append(alive, k)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[w.random.IntN(len(alive))]
}

// reread has the keepers look at the rows a moment after hosts have come or gone.
func (w *world) reread() {
	for _, d := range []time.Duration{500 * ms, 2 * time.Second} {
		w.after(d, func() {
			for _, k := range w.keepers {
				k.load()
			}
		})
	}
}

// check compares what callers were told with what has run.
func (w *world) check() []string {
	for _, j := range w.jobs {
		ended := w.store.row(TableEnded, j.id)
		switch {
		case j.accepted && ended == nil:
			w.breaks("%s was accepted and hasn't ended", j.id)
		case j.allRefused() && j.starts > 0:
			w.breaks("%s was refused and ran", j.id)
		}
		if j.done > 1 {
			w.breaks("%s was done %d times", j.id, j.done)
		}
		if ended == nil {
			continue
		}
		end, _ := jsonCodec{}.DecodeEnd(ended.Value)
		if end.State == Completed && j.done == 0 || end.State == Failed && j.failed == 0 || end.State == Cancelled && !j.cancelSent {
			w.breaks("%s is %s without cause", j.id, end.State)
		}
	}
	return w.broken
}

func TestExploreKeepers(t *testing.T) {
	failed := 0
	accepted, ended := 0, 0
	for i := range *exploreRuns {
		seed := *exploreSeed + uint64(i)
		w := newWorld(seed)
		w.play()
		if broken := w.check(); len(broken) > 0 {
			t.Errorf("seed %d: %q", seed, broken[:min(len(broken), 4)])
			if failed++; failed > 5 {
				t.Fatal("too many")
			}
		}
		for _, j := range w.jobs {
			if j.accepted {
				accepted++
			}
			if w.store.row(TableEnded, j.id) != nil {
				ended++
			}
		}
	}
	if accepted < *exploreRuns || ended < *exploreRuns {
		t.Errorf("only %d jobs were accepted and %d ended in %d plays", accepted, ended, *exploreRuns)
	}
	t.Logf("%d plays, %d jobs accepted, %d ended", *exploreRuns, accepted, ended)
}

// TestPlaysThatShowedFaults plays those again in which a hole was found.
func TestPlaysThatShowedFaults(t *testing.T) {
	seeds := []uint64{8, 229, 272, 1766, 1013293, 1016018, 1049567, 1050576, 1056606, 1058618, 1064150}
	for _, seed := range seeds {
		w := newWorld(seed)
		w.play()
		if broken := w.check(); len(broken) > 0 {
			t.Errorf("seed %d: %q", seed, broken)
		}
	}
}

func TestTheExplorerSeesFaults(t *testing.T) {
	seen := map[Verdict]int{}
	for seed := range uint64(60) {
		w := newWorld(seed)
		w.play()
		for _, j := range w.jobs {
			for _, verdict := range j.answers {
				seen[verdict]++
			}
		}
	}
	for _, verdict := range []Verdict{Accepted, Refused, Unknown} {
		if seen[verdict] == 0 {
			t.Errorf("no caller was ever told %d", verdict)
		}
	}
}

// without returns the followers of a job but one.
func without(askers []*follower, gone *follower) []*follower {
	return slices.DeleteFunc(askers, func(f *follower) bool { return f == gone })
}
