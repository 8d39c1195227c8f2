//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/platform/standin"
)

const (
	mixCase   = 24 * time.Second // of traffic
	mixAt     = 6 * time.Second
	finishS   = 14 * time.Second
	visibleMS = 3 * time.Second
)

// mix plays jobs that are to be kept beside the disruptions that EVENTS names, at a time drawn by SEED.
func mix(w *world, trouble bool) bool {
	return playMix(w, trouble, strings.Split(os.Getenv("EVENTS"), ","))
}

// majority plays them beside the loss of four of seven machines for good.
func majority(w *world, trouble bool) bool { return playMix(w, trouble, []string{"most4"}) }

func newRandom() *rand.Rand {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	return rand.New(rand.NewPCG(seed, 9))
}

// replaced plays them beside two machines that are replaced, one after the other, and the loss of a zone's machines
// some seconds later.
func replaced(w *world, trouble bool) bool { return playMix(w, trouble, []string{"replaced"}) }

func playMix(w *world, trouble bool, names []string) bool {
	executors := []int{4, 4, 4}
	if unguarded {
		executors = []int{2, 2, 2} // so that they are full
	}
	w.start([]int{3, 2, 2}, executors)
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := newRandom()
	onCut = func(method, url string, after time.Duration, err error) {
		if after > 200*time.Millisecond {
			w.note("cut: %s %s after %.3f s: %v", method, url, after.Seconds(), err)
		}
	}
	t := &traffic{w: w}
	m := &mixture{traffic: t, random: rand.New(rand.NewPCG(seed, 10))}
	stop := make(chan struct{})
	watched := make(chan bool)
	go func() { watched <- t.watchStandstill(stop) }()
	var group sync.WaitGroup
	group.Go(m.run)
	if os.Getenv("WIDE") != "" {
		group.Go(m.runBestEffort)
	}
	time.Sleep(mixAt)
	if trouble {
		for _, name := range names {
			event := events[name]
			if event == nil {
				panic("no event " + name)
			}
			group.Go(func() { event(w, random) })
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
	}
	group.Wait()
	broken := m.finish()
	close(stop)
	return <-watched || broken
}

// disrupt notes a disruption, which is in force until the function that it returns is called.
func (w *world) disrupt(format string, args ...any) func() {
	w.note("disruption: "+format, args...)
	w.calmMu.Lock()
	w.inForce++
	w.calmMu.Unlock()
	return func() {
		w.calmMu.Lock()
		w.inForce--
		w.calmSince = time.Now()
		w.calmMu.Unlock()
		w.note("ends: "+format, args...)
	}
}

// isCalm reports whether no disruption has been in force since a time.
func (w *world) isCalm(since time.Time) bool {
	w.calmMu.Lock()
	defer w.calmMu.Unlock()
	return w.inForce == 0 && w.calmSince.Before(since)
}

var events = map[string]func(w *world, random *rand.Rand){
	"kill":    func(w *world, random *rand.Rand) { w.kill(random, 1) },
	"kill2":   func(w *world, random *rand.Rand) { w.kill(random, 2) },
	"killall": func(w *world, random *rand.Rand) { w.kill(random, 7) },
	"zonekill": func(w *world, random *rand.Rand) {
		zone := 1 + random.IntN(2)
		done := w.disrupt("the machines of zone %d lose power for 5 s", zone)
		var group sync.WaitGroup
		for _, m := range w.machines[2*zone+1 : 2*zone+3] {
			m.signal(w, syscall.SIGKILL)
			group.Go(func() { <-m.exited; time.Sleep(5 * time.Second); m.start(w) })
		}
		group.Wait()
		done()
	},
	"zonegone": func(w *world, random *rand.Rand) {
		zone := 1 + random.IntN(2)
		done := w.disrupt("the machines of zone %d are lost for good", zone)
		for _, m := range w.machines[2*zone+1 : 2*zone+3] {
			m.signal(w, syscall.SIGKILL)
			m.gone.Store(true)
		}
		done()
	},
	"zonelost": func(w *world, random *rand.Rand) {
		zone := 1 + random.IntN(2)
		done := w.disrupt("zone %d is lost for good, machines and executors", zone)
		for _, e := range w.executors[4*zone : 4*zone+4] {
			e.DownWith(standin.ExecutorMute)
		}
		for _, m := range w.machines[2*zone+1 : 2*zone+3] {
			m.signal(w, syscall.SIGKILL)
			m.gone.Store(true)
		}
		done()
	},
	"zonetasks": func(w *world, random *rand.Rand) {
		zone := 1 + random.IntN(2)
		done := w.disrupt("the executors of zone %d are lost for good", zone)
		for _, e := range w.executors[4*zone : 4*zone+4] {
			e.DownWith(standin.ExecutorMute)
		}
		done()
	},
	"remove": func(w *world, random *rand.Rand) {
		done := w.disrupt("six of seven machines are stopped for good in turn")
		var group sync.WaitGroup
		for _, m := range w.machines[:6] {
			m.gone.Store(true)
			m.signal(w, syscall.SIGTERM)
			group.Go(func() {
				select {
				case <-m.exited:
				case <-time.After(graceS * time.Second):
					m.signal(w, syscall.SIGKILL)
					<-m.exited
				}
			})
			time.Sleep(1300 * time.Millisecond)
		}
		group.Wait()
		done()
	},
	"spread4": func(w *world, random *rand.Rand) {
		done := w.disrupt("four machines are lost for good, one is left in each zone")
		for _, i := range []int{0, 1, 3, 5} {
			w.machines[i].signal(w, syscall.SIGKILL)
			w.machines[i].gone.Store(true)
		}
		done()
	},
	"ownerlost": func(w *world, random *rand.Rand) {
		done := w.disrupt("two of the three machines of zone 0 are lost for good, and one of its executors")
		w.executors[random.IntN(4)].DownWith(standin.ExecutorMute)
		for _, i := range random.Perm(3)[:2] {
			w.machines[i].signal(w, syscall.SIGKILL)
			w.machines[i].gone.Store(true)
		}
		done()
	},
	"zone0gone": func(w *world, random *rand.Rand) {
		done := w.disrupt("the three machines of zone 0 are lost for good")
		for _, m := range w.machines[:3] {
			m.signal(w, syscall.SIGKILL)
			m.gone.Store(true)
		}
		done()
	},
	"zonepair": func(w *world, random *rand.Rand) {
		zone := 1 + random.IntN(2)
		done := w.disrupt("the machines of zone %d are lost for good, and one of its executors", zone)
		w.executors[4*zone+random.IntN(4)].DownWith(standin.ExecutorMute)
		for _, m := range w.machines[2*zone+1 : 2*zone+3] {
			m.signal(w, syscall.SIGKILL)
			m.gone.Store(true)
		}
		done()
	},
	"ownerpair": func(w *world, random *rand.Rand) {
		zone := 1 + random.IntN(2)
		done := w.disrupt("the machines of zone %d are killed and start again, and one of its executors is lost for good", zone)
		w.executors[4*zone+random.IntN(4)].DownWith(standin.ExecutorMute)
		var group sync.WaitGroup
		for _, m := range w.machines[2*zone+1 : 2*zone+3] {
			m.signal(w, syscall.SIGKILL)
			group.Go(func() { <-m.exited; time.Sleep(500 * time.Millisecond); m.start(w) })
		}
		group.Wait()
		done()
	},
	"loseearly": func(w *world, random *rand.Rand) {
		zone := 1 + random.IntN(2)
		done := w.disrupt("an executor of zone %d is lost for good; 3.5 s later its machines are killed", zone)
		w.executors[4*zone+random.IntN(4)].DownWith(standin.ExecutorMute)
		time.Sleep(3500 * time.Millisecond)
		var group sync.WaitGroup
		for _, m := range w.machines[2*zone+1 : 2*zone+3] {
			m.signal(w, syscall.SIGKILL)
			group.Go(func() { <-m.exited; time.Sleep(500 * time.Millisecond); m.start(w) })
		}
		group.Wait()
		done()
	},
	"replaced": func(w *world, random *rand.Rand) {
		for zone := 1; zone <= 2; zone++ {
			m := w.machines[2*zone+1]
			done := w.disrupt("%s is lost for good, and an empty one comes at another address", m.name)
			m.signal(w, syscall.SIGKILL)
			m.gone.Store(true)
			time.Sleep(time.Second)
			fresh := w.makeMachine(zone, 5)
			fresh.start(w)
			w.addToMachines(fresh)
			for !fresh.ready() {
				time.Sleep(50 * time.Millisecond)
			}
			done()
			time.Sleep(2 * time.Second)
		}
		time.Sleep(4 * time.Second)
		done := w.disrupt("the three machines of zone 0 are lost for good")
		for _, m := range w.machines[:3] {
			m.signal(w, syscall.SIGKILL)
			m.gone.Store(true)
		}
		done()
	},
	"most4": func(w *world, random *rand.Rand) { w.loseMachines(4) },
	"most5": func(w *world, random *rand.Rand) { w.loseMachines(5) },
	"most6": func(w *world, random *rand.Rand) { w.loseMachines(6) },
	"freeze": func(w *world, random *rand.Rand) {
		m := w.machines[random.IntN(len(w.machines))]
		done := w.disrupt("%s stands still for 3.5 s", m.name)
		m.signal(w, syscall.SIGSTOP)
		time.Sleep(3500 * time.Millisecond)
		m.signal(w, syscall.SIGCONT)
		done()
	},
	"crash": func(w *world, random *rand.Rand) {
		e := w.executors[random.IntN(len(w.executors))]
		done := w.disrupt("executor %s crashes for 4.5 s", e.Address())
		e.DownWith(standin.ExecutorMute)
		time.Sleep(4500 * time.Millisecond)
		e.Up()
		done()
	},
	"lose": func(w *world, random *rand.Rand) {
		e := w.executors[random.IntN(len(w.executors))]
		done := w.disrupt("executor %s is lost for good, silently", e.Address())
		e.DownWith(standin.ExecutorMute)
		done()
	},
	"loserefused": func(w *world, random *rand.Rand) {
		e := w.executors[random.IntN(len(w.executors))]
		done := w.disrupt("executor %s is lost for good, its address resets", e.Address())
		e.Down()
		done()
	},
	"late": func(w *world, random *rand.Rand) {
		var late []*executor
		for range 2 {
			late = append(late, w.executors[random.IntN(len(w.executors))])
		}
		done := w.disrupt("orders to %s and %s are carried out late for 5.5 s", late[0].Address(), late[1].Address())
		for _, e := range late {
			e.SetFault(standin.ExecutorLate)
		}
		time.Sleep(5500 * time.Millisecond)
		for _, e := range late {
			e.SetFault(standin.ExecutorServes)
		}
		time.Sleep(3 * time.Second) // until the last late one is done
		done()
	},
	"roll": func(w *world, random *rand.Rand) {
		done := w.disrupt("half of the machines are stopped and started in turn")
		var group sync.WaitGroup
		for i, m := range w.machines {
			if i%2 == 0 {
				continue
			}
			m.signal(w, syscall.SIGTERM)
			group.Go(func() {
				select {
				case <-m.exited:
				case <-time.After(graceS * time.Second):
					m.signal(w, syscall.SIGKILL)
					<-m.exited
				}
				m.start(w)
			})
			time.Sleep(1300 * time.Millisecond)
		}
		group.Wait()
		done()
	},
	"storedown": func(w *world, random *rand.Rand) {
		w.storeFault("down: 503", standin.StoreBusy, 4500*time.Millisecond)
	},
	"storesilent": func(w *world, random *rand.Rand) {
		w.storeFault("silent", standin.StoreSilent, 4500*time.Millisecond)
	},
	"storelate": func(w *world, random *rand.Rand) {
		done := w.disrupt("a third of the store's writes are done late and not answered for 4.5 s")
		w.store.SetLate(4 * time.Second)
		w.store.SetChance(standin.StoreLate, 0.35)
		time.Sleep(4500 * time.Millisecond)
		w.store.SetFault(standin.StoreServes, 0)
		time.Sleep(4 * time.Second)
		done()
	},
	"storelost": func(w *world, random *rand.Rand) {
		done := w.disrupt("answers of a third of the store's writes are lost for 4.5 s")
		w.store.SetChance(standin.StoreLosesAnswer, 0.35)
		time.Sleep(4500 * time.Millisecond)
		w.store.SetFault(standin.StoreServes, 0)
		done()
	},
	"lapse": func(w *world, random *rand.Rand) {
		done := w.disrupt("the store resets all calls for 4.5 s, and the rows of executors lapse")
		w.lapsed.Store(true)
		w.store.SetFault(standin.StoreResets, 0)
		time.Sleep(2500 * time.Millisecond)
		for _, e := range w.executors {
			e.mu.Lock()
			w.store.Remove("servers", e.listed)
			e.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
		w.store.SetFault(standin.StoreServes, 0)
		done()
		for _, e := range w.executors {
			go func() {
				time.Sleep(time.Duration(rand.IntN(1800)) * time.Millisecond)
				e.beat(w)
			}()
		}
		time.Sleep(2 * time.Second)
		w.lapsed.Store(false)
	},
	"storenodes": func(w *world, random *rand.Rand) {
		first := random.IntN(len(w.machines))
		a, b := w.machines[first], w.machines[(first+1)%len(w.machines)]
		done := w.disrupt("the store is silent to %s and %s for 9 s", a.name, b.name)
		a.store.SetCut(true)
		b.store.SetCut(true)
		time.Sleep(9 * time.Second)
		a.store.SetCut(false)
		b.store.SetCut(false)
		done()
	},
	"fails":  func(w *world, random *rand.Rand) { w.executorFault(random, "fail all tasks", standin.ExecutorFails) },
	"hangs":  func(w *world, random *rand.Rand) { w.executorFault(random, "hang", standin.ExecutorHangs) },
	"mute":   func(w *world, random *rand.Rand) { w.executorFault(random, "are mute", standin.ExecutorMute) },
	"unwell": func(w *world, random *rand.Rand) { w.executorFault(random, "answer 503", standin.ExecutorUnwell) },
	"busy":   func(w *world, random *rand.Rand) { w.executorFault(random, "answer 429", standin.ExecutorBusy) },
	"resetsafter": func(w *world, random *rand.Rand) {
		w.executorFault(random, "reset after half of the orders", standin.ExecutorResetsAfter)
	},
	"losesstarts": func(w *world, random *rand.Rand) {
		w.executorFault(random, "lose the answers to starts", standin.ExecutorLosesStarts)
	},
	"slow": func(w *world, random *rand.Rand) { w.executorFault(random, "answer slowly", standin.ExecutorSlow) },
	"slownode": func(w *world, random *rand.Rand) {
		m := w.machines[random.IntN(len(w.machines))]
		done := w.disrupt("%s is 5.5 times slower for 5.5 s", m.name)
		for end := time.Now().Add(5500 * time.Millisecond); time.Now().Before(end); {
			_ = m.command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(82 * time.Millisecond)
			_ = m.command.Process.Signal(syscall.SIGCONT)
			time.Sleep(18 * time.Millisecond)
		}
		done()
	},
	"cut":          func(w *world, random *rand.Rand) { w.cut(random, 1, false, false) },
	"cutstore":     func(w *world, random *rand.Rand) { w.cut(random, 1, true, false) },
	"zonecut":      func(w *world, random *rand.Rand) { w.cut(random, 0, false, false) },
	"zonecutstore": func(w *world, random *rand.Rand) { w.cut(random, 0, true, false) },
	"cutoneway":    func(w *world, random *rand.Rand) { w.cut(random, 1, false, true) },
	"silence": func(w *world, random *rand.Rand) {
		done := w.disrupt("all open connections to the store and to executors go silent")
		for _, m := range w.machines {
			m.store.Silence()
		}
		for _, e := range w.executors {
			e.relay.Silence()
		}
		done()
	},
	"compact": func(w *world, random *rand.Rand) {
		done := w.disrupt("the store forgets its history")
		w.store.Compact()
		done()
	},
	"drain": func(w *world, random *rand.Rand) {
		e := w.executors[random.IntN(len(w.executors))]
		done := w.disrupt("executor %s drains and leaves", e.Address())
		e.mu.Lock()
		e.state = "draining"
		e.mu.Unlock()
		e.Publish(w.store, "draining")
		time.Sleep(3500 * time.Millisecond)
		e.DownWith(standin.ExecutorMute)
		done()
	},
}

// executorFault has two executors misbehave for 5.5 s.
func (w *world) executorFault(random *rand.Rand, what string, fault standin.ExecutorFault) {
	done := w.disrupt("two executors %s for 5.5 s", what)
	chosen := random.Perm(len(w.executors))[:2]
	for _, i := range chosen {
		w.executors[i].SetFault(fault)
	}
	time.Sleep(5500 * time.Millisecond)
	for _, i := range chosen {
		w.executors[i].SetFault(standin.ExecutorServes)
	}
	done()
}

// cut cuts one machine, or those of a zone, off from the others for 5.5 s, and from the store if it says so.
func (w *world) cut(random *rand.Rand, count int, store, oneWay bool) {
	inside := map[*machine]bool{w.machines[random.IntN(len(w.machines))]: true}
	if count == 0 {
		zone := 1 + random.IntN(2)
		inside = map[*machine]bool{w.machines[2*zone+1]: true, w.machines[2*zone+2]: true}
	}
	var names []string
	for m := range inside {
		names = append(names, m.name)
	}
	done := w.disrupt("%v are cut off from the other machines for 5.5 s; from the store too: %v; one way: %v", names, store, oneWay)
	set := func(cut bool) {
		for a := range inside {
			for _, b := range w.machines {
				if inside[b] {
					continue
				}
				a.peers.SetCutWaysOf(b.name, cut, cut && !oneWay)
				b.peers.SetCutWaysOf(a.name, cut && !oneWay, cut)
			}
			if store {
				a.store.SetCut(cut)
			}
		}
	}
	set(true)
	time.Sleep(5500 * time.Millisecond)
	set(false)
	done()
}

// loseMachines has the first machines be lost for good, a whole zone first.
func (w *world) loseMachines(count int) {
	done := w.disrupt("%d of %d machines are lost for good", count, len(w.machines))
	for _, m := range w.machines[:count] {
		m.signal(w, syscall.SIGKILL)
		m.gone.Store(true)
	}
	done()
}

func (w *world) storeFault(what string, fault standin.StoreFault, length time.Duration) {
	done := w.disrupt("the store is %s", what)
	w.store.SetFault(fault, 0)
	time.Sleep(length)
	w.store.SetFault(standin.StoreServes, 0)
	done()
}

// kill kills machines, which the platform starts again 0.5 s later.
func (w *world) kill(random *rand.Rand, count int) {
	done := w.disrupt("%d processes are killed", count)
	var group sync.WaitGroup
	for _, i := range random.Perm(len(w.machines))[:count] {
		m := w.machines[i]
		m.signal(w, syscall.SIGKILL)
		group.Go(func() { <-m.exited; time.Sleep(500 * time.Millisecond); m.start(w) })
	}
	group.Wait()
	done()
}

// mixture is the traffic of mix.
type mixture struct {
	*traffic
	random           *rand.Rand
	served, unserved int
}

func chain(steps, count, cpu, workMS int) []step {
	var all []step
	for i := range steps {
		s := step{Count: count, CPU: cpu, MemMB: 64, EstimateMS: workMS}
		if i > 0 {
			s.After = []int{i - 1}
		}
		all = append(all, s)
	}
	return all
}

// run hands in jobs of some kinds, asks for them and cancels some.
func (m *mixture) run() {
	var group sync.WaitGroup
	for end := time.Now().Add(mixCase); time.Now().Before(end); time.Sleep(90 * time.Millisecond) {
		steps, count, work := 1, 2, 200
		switch m.random.IntN(6) {
		case 0:
			steps, count, work = 2, 4, 60
		case 1:
			steps, count, work = 4, 1, 900
		case 2:
			steps, count, work = 16, 1, 300
		case 3:
			steps, count, work = 3, 2, 500
		}
		times := 6
		if m.random.IntN(2) == 0 {
			times = 1 + m.random.IntN(2)
		}
		cancel, again := m.random.IntN(12) == 0, m.random.IntN(8) == 0
		all := chain(steps, count, 1000, work)
		spread := m.random.IntN(3) == 0 && count > 1
		if spread {
			for i := range all {
				all[i].AntiAffinity = 1
			}
		}
		body := jobBody(work, 1000, "", false, all)
		group.Go(func() {
			j := m.sendTimes(times, newID(), steps*count, body)
			if j == nil {
				return
			}
			j.spread, j.width = spread, count
			if again {
				time.Sleep(700 * time.Millisecond)
				m.w.ask(m.w.anyMachine(), http.MethodPost, j.id, body, 1500*time.Millisecond)
			}
			if cancel {
				m.cancel(j)
			}
			m.follow(j)
		})
	}
	group.Wait()
}

// runBestEffort hands in jobs that need not be kept, some of them wide, and sends them again as clients do.
func (m *mixture) runBestEffort() {
	random := rand.New(rand.NewPCG(m.random.Uint64(), 3))
	var group sync.WaitGroup
	for end := time.Now().Add(mixCase); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		count, work, cpu, deadline := 8, 60, 1000, 1500*time.Millisecond
		switch random.IntN(6) {
		case 0:
			count, work, deadline = 120, 100, 5*time.Second
		case 1:
			count, work, deadline = 60, 400, 6*time.Second
		case 2:
			count, work = 4, 400
		}
		steps := chain(1, count, cpu, work)
		if random.IntN(3) == 0 && deadline > 2*time.Second {
			steps = chain(3, count/3, cpu, work)
		}
		body := jobBody(work, cpu, "", true, steps)
		leaves := random.IntN(4) == 0
		group.Go(func() { m.sendBestEffort(body, deadline, leaves) })
	}
	group.Wait()
}

// sendBestEffort sends a job until it is answered or refused, at most until its deadline. A client that leaves breaks
// its connection off once, and sends the job again.
func (m *mixture) sendBestEffort(body []byte, deadline time.Duration, leaves bool) {
	id, end, rejected, sendings := newID(), time.Now().Add(deadline), 0, 0
	m.mu.Lock()
	if m.loose == nil {
		m.loose = map[string]time.Time{}
	}
	m.loose[id] = time.Now()
	m.mu.Unlock()
	for time.Until(end) > 100*time.Millisecond && sendings < 4 {
		wait := time.Until(end)
		if leaves && sendings == 0 {
			wait = time.Duration(100+rand.IntN(600)) * time.Millisecond
		}
		sendings++
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		header := http.Header{"Deadline-Remaining": {strconv.FormatInt(time.Until(end).Milliseconds(), 10)}}
		status, _ := call(ctx, http.MethodPost, "http://"+m.w.anyMachine().front()+prefix+id, body, header)
		cancel()
		if status == http.StatusOK {
			m.mu.Lock()
			m.served++
			m.mu.Unlock()
			return
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			rejected++
			break
		}
		time.Sleep(retransmitMS * time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unserved++
	if rejected == sendings {
		m.refused = append(m.refused, id)
	}
}

// follow asks for a job for some seconds.
func (m *mixture) follow(j *keptJob) {
	for range 6 {
		time.Sleep(time.Duration(500+rand.IntN(1000)) * time.Millisecond)
		if m.askState(j) {
			return
		}
	}
}

// askState asks for the state of a job and reports whether it has ended.
func (m *mixture) askState(j *keptJob) bool {
	at := m.w.anyMachine()
	asked := time.Now()
	status, state := m.w.ask(at, http.MethodGet, j.id, nil, 1500*time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case status == http.StatusGone && j.cancelSent.IsZero() && asked.After(j.accepted.Add(visibleMS)):
		m.wrong("LOST: %s answers 410 for job %s", at.name, j.id)
	case status == http.StatusOK:
		if (state == "failed" && !m.hasFailed(j) || state == "cancelled" && j.cancelSent.IsZero()) && j.told != state {
			m.wrong("LOST: job %s is shown as %q", j.id, state)
		}
		if state == "completed" && j.told != state {
			done := 0
			for _, run := range m.w.ledger.RunsOf(j.id) {
				if run.How == "done" {
					done++
				}
			}
			if done < j.tasks {
				m.wrong("MIXED: job %s is shown as completed, %d of %d tasks are done", j.id, done, j.tasks)
			}
		}
		if (j.told == "completed" || j.told == "cancelled") && state != j.told {
			m.w.note("job %s was %q and is %q", j.id, j.told, state)
		}
		j.told = state
	}
	return j.told == "completed" || j.told == "cancelled" || j.told == "failed"
}

// checkSpread checks that no two tasks of a step have run at once at one executor.
func (m *mixture) checkSpread(j *keptJob) {
	runs := m.w.ledger.RunsOf(j.id)
	stepOf := func(task string) string { return task[:strings.LastIndex(task, ".")] }
	for i, a := range runs {
		for _, b := range runs[:i] {
			if a.Executor != b.Executor || a.Task == b.Task || stepOf(a.Task) != stepOf(b.Task) {
				continue
			}
			first, second := a, b
			if second.Began.Before(first.Began) {
				first, second = second, first
			}
			if first.Ended.IsZero() || first.Ended.After(second.Began) {
				m.wrong("ROUTE: anti_affinity 1: %s %s and %s %s", first.Task, first.String(), second.Task, second.String())
			}
		}
	}
}

// checkOrder checks that no task of a chain has begun before all tasks of the step before it had ended well.
func (m *mixture) checkOrder(j *keptJob) {
	runs := m.w.ledger.RunsOf(j.id)
	stepOf := func(task string) int {
		step, _ := strconv.Atoi(strings.Split(task, ".")[2])
		return step
	}
	doneAt := map[string]time.Time{}
	for _, run := range runs {
		if at, known := doneAt[run.Task]; run.How == "done" && (!known || run.Ended.Before(at)) {
			doneAt[run.Task] = run.Ended
		}
	}
	for _, run := range runs {
		before := 0
		for task, at := range doneAt {
			if stepOf(task) == stepOf(run.Task)-1 && at.Before(run.Began) {
				before++
			}
		}
		if stepOf(run.Task) > 0 && before < j.width {
			m.wrong("ORDER: %s begins after %d of %d tasks of the step before", run.Task, before, j.width)
		}
	}
}

// hasFailed reports whether a task of a job has used up its attempts.
func (m *mixture) hasFailed(j *keptJob) bool {
	for _, run := range m.w.ledger.RunsOf(j.id) {
		if m.w.ledger.Failures(run.Task) >= maxAttempts {
			return true
		}
	}
	return false
}

func (m *mixture) wrong(format string, args ...any) {
	m.wrongs++
	if m.wrongs <= 12 {
		m.w.note(format, args...)
	}
}

// finish asks for all jobs until the time for that is over, and checks what has run.
func (m *mixture) finish() bool {
	end := time.Now().Add(finishS)
	open := append([]*keptJob(nil), m.jobs...)
	for len(open) > 0 && time.Now().Before(end) {
		var left []*keptJob
		for _, j := range open {
			if !m.askState(j) {
				left = append(left, j)
			}
		}
		open = left
		time.Sleep(200 * time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range open {
		m.wrong("not ended in time: job %s of %d tasks is %q", j.id, j.tasks, j.told)
	}
	for _, e := range m.w.executors {
		if over := e.OverRoom(); over > 0 {
			m.wrong("LIMIT: %d starts over the room of %s", over, e.Address())
		}
	}
	for _, problem := range m.w.ledger.Problems() {
		m.wrong("TWICE: %s", strings.ReplaceAll(problem, "\n", "; "))
	}
	for _, j := range m.jobs {
		for _, again := range m.w.ledger.StartedAgain(j.id, maxAttempts) {
			m.wrong("TWICE or BUDGET: %s", again)
		}
		if j.spread {
			m.checkSpread(j)
		}
		m.checkOrder(j)
		if j.cancelSent.IsZero() {
			continue
		}
		from := j.cancelSent.Add(ackTime)
		if !j.cancelled.IsZero() && j.cancelled.Before(from) {
			from = j.cancelled.Add(cancelTime)
		} else {
			m.w.note("cancel of %s: answered %v", j.id, !j.cancelled.IsZero())
		}
		for _, run := range m.w.ledger.RunsOf(j.id) {
			if run.Began.After(from.Add(noteSlack)) {
				m.wrong("UNASKED: a task of job %s starts %.1f s after its cancel", j.id, run.Began.Sub(j.cancelSent).Seconds())
			}
		}
	}
	for _, id := range m.refused {
		if m.w.ledger.Started(id) {
			m.wrong("REFUSED: job %s has started, and all its sendings were rejected", id)
		}
	}
	m.w.note("jobs that need not be kept: served %d, not %d", m.served, m.unserved)
	m.w.note("jobs of which all sendings were rejected: %d", len(m.refused))
	var waits []float64
	for _, j := range m.jobs {
		waits = append(waits, j.idleMax.Seconds())
	}
	sort.Float64s(waits)
	worst := fmt.Sprint(waits[max(0, len(waits)-5):])
	m.w.note("%d jobs accepted, %d sendings not; problems %d; longest standstills %s s", len(m.jobs), m.none, m.wrongs, worst)
	return m.wrongs > 0
}
