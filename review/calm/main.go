//go:build review

// Command calm plays kept jobs in a small deployment, and judges the rule LOST: in calm, an
// accepted job whose turn has come must not stand still beside free capacity.
//
//	calm CASE RECORD
//
// It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 nothing is disrupted.
package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	// asked is of how many jobs that stood still the state is asked.
	asked = 5
	// standStill and calmBefore are the figures of the rule.
	standStill = 3 * time.Second
	calmBefore = 4 * time.Second
)

// scenario plays one case and returns the jobs, the begin of the calm, and its end.
type scenario func(w *world, trouble bool) (played, error)

type played struct {
	jobs     []*keptJob
	calmFrom time.Time
	calmTo   time.Time
}

var scenarios = map[string]scenario{"crash": crashOnce, "drain": drainOnce, "leave": leaveSilently, "series": crashInSeries, "added": addExecutors, "burst": burstOfJobs, "grey": greyExecutor, "gpu": burstBesideGPU}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: calm crash|drain|leave|series|added|burst|grey|gpu RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record := log.New(file, "", log.Ltime|log.Lmicroseconds)
	os.Exit(play(scenarios[os.Args[1]], record))
}

func play(s scenario, record *log.Logger) int {
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("trouble: %t", trouble)
	size := small
	if os.Args[1] == "crash" {
		size = likeSite
	}
	w, err := newWorld(record, size)
	if err != nil {
		return notRun(record, err)
	}
	defer w.close()
	record.Printf("all %d hosts are ready", len(w.hosts))
	p, err := s(w, trouble)
	if err != nil {
		return notRun(record, err)
	}
	return judge(w, p)
}

func notRun(record *log.Logger, err error) int {
	record.Printf("result: not run: %v", err)
	fmt.Println("not run:", err)
	return 2
}

// handIn hands jobs in until so many are accepted.
func handIn(w *world, count int, work time.Duration, cpu int64) ([]*keptJob, error) {
	var accepted []*keptJob
	for range 3 * count {
		if len(accepted) == count {
			return accepted, nil
		}
		j := newJob(work, cpu, 1)
		if w.submit(j); !j.accepted.IsZero() {
			accepted = append(accepted, j)
		}
	}
	return nil, fmt.Errorf("%w: only %d of %d jobs were accepted", errNotRun, len(accepted), count)
}

// awaitRunning waits until each job has a run.
func awaitRunning(w *world, jobs []*keptJob, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		running := 0
		for _, runs := range w.active(jobs) {
			running += len(runs)
		}
		if running == len(jobs) {
			return nil
		}
	}
	return fmt.Errorf("%w: not all jobs run after %s", errNotRun, limit)
}

// busiest returns the executor that runs most, the first of several.
func busiest(w *world, jobs []*keptJob) *executor {
	active := w.active(jobs)
	return slices.MaxFunc(w.executors, func(a, b *executor) int { return len(active[a.ID()]) - len(active[b.ID()]) })
}

// busiestOf is busiest among the executors of a zone.
func busiestOf(w *world, zone string, jobs []*keptJob) *executor {
	active := w.active(jobs)
	of := slices.DeleteFunc(slices.Clone(w.executors), func(e *executor) bool { return e.zone != zone })
	return slices.MaxFunc(of, func(a, b *executor) int { return len(active[a.ID()]) - len(active[b.ID()]) })
}

// crashOnce has one executor of each zone crash, once and at the same time.
func crashOnce(w *world, trouble bool) (played, error) {
	jobs, err := handInAtOnce(w, 120, 60*time.Second, 500)
	if err != nil {
		return played{}, err
	}
	if err := awaitRunning(w, jobs, 8*time.Second); err != nil {
		return played{}, err
	}
	time.Sleep(time.Second)
	for zone := range w.shape.hosts {
		e := busiestOf(w, zoneName(zone+1), jobs)
		w.record.Printf("executor %s of %s runs %d tasks", e.ID(), e.zone, len(w.active(jobs)[e.ID()]))
		if trouble {
			w.crash(e, 3*time.Second)
		}
	}
	time.Sleep(rowLife + heartbeat/2) // the rows of the former lives have gone, too
	calm := time.Now()
	w.record.Printf("calm from now on; some new jobs are handed in")
	later, err := handIn(w, 12, 5*time.Second, 500)
	if err != nil {
		return played{}, err
	}
	time.Sleep(14 * time.Second)
	return played{jobs: append(jobs, later...), calmFrom: calm, calmTo: time.Now()}, nil
}

// leavesAfter is how long an executor that leaves serves on: drain_ms, and a little longer.
const leavesAfter = 2300 * time.Millisecond

// drainOnce has one executor be emptied and taken away, and come again.
func drainOnce(w *world, trouble bool) (played, error) { return leaveOnce(w, trouble, true) }

// leaveSilently is drainOnce without the word of it: the executor's row goes.
func leaveSilently(w *world, trouble bool) (played, error) { return leaveOnce(w, trouble, false) }

func leaveOnce(w *world, trouble, says bool) (played, error) {
	jobs, err := handIn(w, 60, 50*time.Second, 500)
	if err != nil {
		return played{}, err
	}
	if err := awaitRunning(w, jobs, 5*time.Second); err != nil {
		return played{}, err
	}
	time.Sleep(time.Second)
	if e := busiest(w, jobs); trouble {
		w.record.Printf("executor %s runs %d tasks", e.ID(), len(w.active(jobs)[e.ID()]))
		w.drain(e, says, leavesAfter)
	}
	time.Sleep(leavesAfter + time.Second + heartbeat)
	calm := time.Now()
	w.record.Printf("calm from now on")
	time.Sleep(16 * time.Second)
	return played{jobs: jobs, calmFrom: calm, calmTo: time.Now()}, nil
}

// addExecutors has a full service, in which some jobs wait, get empty executors in one zone.
func addExecutors(w *world, trouble bool) (played, error) {
	full := len(w.executors) * executorCPU / 1000
	jobs, err := handInAtOnce(w, full, 70*time.Second, 1000)
	if err != nil {
		return played{}, err
	}
	if err := awaitRunning(w, jobs, 5*time.Second); err != nil {
		return played{}, err
	}
	waiting, err := handIn(w, 9, 10*time.Second, 1000)
	if err != nil {
		return played{}, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for i := 1; i <= len(w.executors)/12*3; i++ { // a quarter: 3 beside 12
			if err := w.addExecutor(2, w.shape.executors+i); err != nil {
				return played{}, err
			}
			w.record.Printf("trouble: an empty executor is added in zone 2")
			time.Sleep(700 * time.Millisecond)
		}
	}
	calm := time.Now()
	w.record.Printf("calm from now on")
	time.Sleep(16 * time.Second)
	return played{jobs: append(jobs, waiting...), calmFrom: calm, calmTo: time.Now()}, nil
}

// greyExecutor has one executor of a zone that is otherwise full fail all that it starts for a while.
func greyExecutor(w *world, trouble bool) (played, error) {
	forZone := func(work time.Duration) func() *keptJob {
		return func() *keptJob {
			j := newJob(work, 1000, 1)
			j.steps[0].Label = rackOf(1)
			return j
		}
	}
	jobs := traffic(w, 24, 2*time.Second, forZone(75*time.Second)) // three of the four executors are full
	if err := awaitRunning(w, jobs, 5*time.Second); err != nil {
		return played{}, err
	}
	active := w.active(jobs)
	grey := slices.IndexFunc(w.executors, func(e *executor) bool { return len(active[e.ID()]) == 0 })
	e := w.executors[grey]
	w.record.Printf("executor %s of %s runs nothing", e.ID(), e.zone)
	if trouble {
		w.record.Printf("trouble: executor %s fails all that it starts for %s", e.ID(), greyLasts)
		e.SetFault(standin.ExecutorFails)
	}
	traffic(w, 2, time.Second, forZone(500*time.Millisecond))
	time.Sleep(greyLasts - time.Second)
	e.SetFault(standin.ExecutorServes)
	w.record.Printf("executor %s is sound", e.ID())
	time.Sleep(calmBefore)
	calm := time.Now()
	w.record.Printf("calm; more jobs are handed in")
	jobs = append(jobs, traffic(w, 6, time.Second, forZone(60*time.Second))...)
	time.Sleep(16 * time.Second)
	return played{jobs: jobs, calmFrom: calm, calmTo: time.Now()}, nil
}

// greyLasts is how long an executor fails what it starts: 6.5 s, as on the site.
const greyLasts = 6500 * time.Millisecond

// Traffic of burstBesideGPU, in jobs a second of one core each. The usual one leaves cores free, and
// 1.8 times as many take all 192.
const (
	usualCores = 30
	burstCores = 54
	coresLast  = 4 * time.Second
)

// burstBesideGPU has a burst take all processors, and jobs come that need a GPU and no processor.
func burstBesideGPU(w *world, trouble bool) (played, error) {
	rate := usualCores
	if trouble {
		rate = burstCores
		w.record.Printf("trouble: %.1f times as many jobs come for %s", float64(burstCores)/usualCores, coresLast)
	}
	jobs := traffic(w, rate, coresLast, func() *keptJob { return newJob(60*time.Second, 1000, 1) })
	calm := time.Now()
	w.record.Printf("calm; jobs that need a GPU only are handed in")
	jobs = append(jobs, traffic(w, 4, time.Second, func() *keptJob {
		j := newJob(5*time.Second, 0, 1)
		j.steps[0].GPU = 1
		return j
	})...)
	time.Sleep(14 * time.Second)
	return played{jobs: jobs, calmFrom: calm, calmTo: time.Now()}, nil
}

// Traffic of burstOfJobs: jobs that need much memory and little of the processor, in zone 1.
const (
	usualRate  = 30 // jobs a second
	burstRate  = 54 // 1.8 times as many
	burstLasts = 500 * time.Millisecond
	burstMB    = 8192 // four of them fit into an executor, 16 into a zone
)

// burstOfJobs has many users of one zone come at once.
func burstOfJobs(w *world, trouble bool) (played, error) {
	w.from = zoneName(1)
	rate := usualRate
	if trouble {
		rate = burstRate
		w.record.Printf("trouble: %.1f times as many jobs come in zone 1 for %s", float64(burstRate)/usualRate, burstLasts)
	}
	jobs := traffic(w, rate, burstLasts, func() *keptJob {
		j := newJob(60*time.Second, 100, 1)
		j.steps[0].MemMB = burstMB
		return j
	})
	calm := time.Now()
	w.record.Printf("calm from now on")
	time.Sleep(16 * time.Second)
	return played{jobs: jobs, calmFrom: calm, calmTo: time.Now()}, nil
}

// traffic hands jobs in at a steady rate, and returns those that were accepted.
func traffic(w *world, rate int, lasts time.Duration, make func() *keptJob) []*keptJob {
	var group sync.WaitGroup
	var mu sync.Mutex
	var accepted []*keptJob
	count := int(lasts.Seconds() * float64(rate))
	for range count {
		j := make()
		group.Go(func() {
			w.submit(j)
			mu.Lock()
			defer mu.Unlock()
			if !j.accepted.IsZero() {
				accepted = append(accepted, j)
			}
		})
		time.Sleep(lasts / time.Duration(count))
	}
	group.Wait()
	w.record.Printf("%d of %d jobs of the traffic are accepted", len(accepted), count)
	return accepted
}

// handInAtOnce hands jobs in, several at a time.
func handInAtOnce(w *world, count int, work time.Duration, cpu int64) ([]*keptJob, error) {
	const atOnce = 8
	var group sync.WaitGroup
	all, errs := make([][]*keptJob, atOnce), make([]error, atOnce)
	for i := range atOnce {
		group.Go(func() { all[i], errs[i] = handIn(w, count/atOnce, work, cpu) })
	}
	group.Wait()
	return slices.Concat(all...), errors.Join(errs...)
}

// crashInSeries has the executor of one task crash, five times in turn.
func crashInSeries(w *world, trouble bool) (played, error) {
	jobs, err := handIn(w, 1, 20*time.Second, 1000)
	if err != nil {
		return played{}, err
	}
	if err := awaitRunning(w, jobs, 5*time.Second); err != nil {
		return played{}, err
	}
	for range 5 {
		time.Sleep(time.Second)
		if err := awaitRunning(w, jobs, 12*time.Second); err != nil {
			return played{}, err
		}
		time.Sleep(500 * time.Millisecond)
		if e := busiest(w, jobs); trouble && e != nil {
			w.crash(e, 1500*time.Millisecond)
		}
	}
	time.Sleep(rowLife + heartbeat/2) // the row of the former life has gone, too
	calm := time.Now()
	w.record.Printf("calm from now on")
	time.Sleep(15 * time.Second)
	return played{jobs: jobs, calmFrom: calm, calmTo: time.Now()}, nil
}

// judge looks for jobs that had nothing running for standStill in the calm, after calmBefore, while
// there was capacity for them twice over.
func judge(w *world, p played) int {
	from := p.calmFrom.Add(calmBefore)
	free := w.free(p.jobs)
	running := w.active(p.jobs)
	var left int64
	for _, e := range w.executors {
		r := free[e.ID()]
		left += r.cpu
		w.record.Printf("executor %s of %s, with labels a and %s, runs %d tasks at the end and has %d thousandths of a core, %d MB and %d GPUs left",
			e.ID(), e.zone, e.rack, len(running[e.ID()]), r.cpu, r.memMB, r.gpu)
	}
	w.record.Printf("%d of %d thousandths of a core are free at the end", left, len(w.executors)*executorCPU)
	broken := 0
	for _, j := range p.jobs {
		runs := w.ledger.RunsOf(j.id)
		if len(runs) == 0 {
			w.record.Printf("run: none of job %s", j.id)
		}
		for _, run := range runs {
			w.record.Printf("run: %s %s", run.Task, &run)
		}
		longest := longestPause(runs, later(from, j.accepted), p.calmTo)
		if longest < standStill || !hasRoomTwice(w, free, j.steps[0]) {
			continue
		}
		if broken++; broken <= asked {
			w.ask(j)
		}
		w.record.Printf("LOST broken: job %s (%s) had nothing running for %s in the calm", j.id, j.state, longest.Round(time.Millisecond))
	}
	w.record.Printf("result: %d of %d accepted jobs stood still for %s or longer", broken, len(p.jobs), standStill)
	fmt.Printf("%d of %d accepted jobs stood still\n", broken, len(p.jobs))
	if broken > 0 {
		return 1
	}
	return 0
}

// hasRoomTwice reports whether an executor that can run a step has room for it twice.
func hasRoomTwice(w *world, free map[string]room, s step) bool {
	return slices.ContainsFunc(w.executors, func(e *executor) bool {
		return (s.Label == "" || s.Label == e.rack) && free[e.ID()].holdsTwice(s)
	})
}

// longestPause returns the longest time without a run of a job's only task between two times. After
// a run has ended as done there is none.
func longestPause(runs []standin.Run, from, to time.Time) time.Duration {
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Began.Compare(b.Began) })
	longest, idleSince := time.Duration(0), from
	for _, run := range runs {
		if began := minTime(run.Began, to); began.After(idleSince) {
			longest = max(longest, began.Sub(idleSince))
		}
		if run.Ended.IsZero() || run.How == "done" {
			return longest
		}
		if run.Ended.After(idleSince) {
			idleSince = run.Ended
		}
	}
	return max(longest, to.Sub(idleSince))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
