//go:build review3

package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

const (
	darkFor = 9500 * time.Millisecond // herd_kill power, for_s = 9.5
	cutFor  = 5500 * time.Millisecond // bridge_cut, for_s = 5.5
)

// formerInZone3 reports whether on a network, for three partitions of kept jobs at least, a node of zone
// 1 decides, and one of zone 3 while zone 1 is away.
func formerInZone3(network int) bool {
	suitable := 0
	for partition := range kept.Partitions {
		if pickedZone(network, partition, 1) == 1 && pickedZone(network, partition, 2) == 3 {
			suitable++
		}
	}
	return suitable >= 3
}

// pickedZone returns the zone of the node that decides for a partition, of the zones from one on.
func pickedZone(network, partition, from int) int {
	zones := map[string]int{}
	var hosts []ownership.Host
	for zone := from; zone <= zoneCount; zone++ {
		for i := 1; i <= nodesPerZone; i++ {
			address := fmt.Sprintf("127.%d.%d.%d:%d", network, zone, i, peerPort)
			zones[address] = zone
			hosts = append(hosts, ownership.Host{Address: address, Weight: 400})
		}
	}
	host, _ := ownership.PickByHash(kept.PartOf(partition), hosts)
	return zones[host.Address]
}

// setBridgeCut cuts the zones 1 and 2 from each other, or mends that. The executors of zone 2 then
// answer no host but the present owner of their cell, as hosts of zone 1 don't reach them.
func (w *world) setBridgeCut(cut bool) (mend func()) {
	for _, a := range w.inZone(1) {
		for _, b := range w.inZone(2) {
			w.cut(a, b, cut)
		}
	}
	if !cut {
		return nil
	}
	var mends []func()
	tokens := map[string]int64{}
	for _, claim := range w.ledger.Claims() {
		tokens[claim.Executor] = max(tokens[claim.Executor], claim.Token)
	}
	for _, zone := range []int{1, 2} {
		for _, e := range w.executors[(zone-1)*w.options.executors : zone*w.options.executors] {
			owner := tokens[e.ID()]
			mends = append(mends, e.CutOff(func(token int64) bool { return token != owner }))
		}
	}
	return func() {
		w.setBridgeCut(false)
		for _, m := range mends {
			m()
		}
	}
}

// playBridge has clients of zone 1 hand jobs in while their zone is without power, and cancel them
// after its return, while zones 1 and 2 can't reach each other.
func playBridge(w *world, trouble string) (broken bool) {
	for _, n := range w.inZone(1) {
		n.signal(syscall.SIGKILL)
	}
	w.record.note("zone 1 loses power")
	dark := time.Now()
	time.Sleep(3 * time.Second)
	var jobs []*smallJob
	for i := range 60 {
		n := w.nodes[nodesPerZone+i%nodesPerZone] // of zone 2, the nearest
		j := &smallJob{id: newID()}
		if a := w.call(n, http.MethodPost, j.id, chain(80, taskMS, 200), patience); a.status != http.StatusOK {
			w.record.note("job %s handed in at %s: %d", j.id, n.name, a.status)
			continue
		}
		j.accepted = time.Now()
		jobs = append(jobs, j)
	}
	w.record.note("%d jobs are accepted in zone 2", len(jobs))
	time.Sleep(time.Until(dark.Add(darkFor)))
	for _, n := range w.inZone(1) {
		if err := w.startNode(n); err != nil {
			panic(fmt.Errorf("%w: %w", errCannotRun, err))
		}
	}
	if !w.awaitReady(w.nodes, 20*time.Second) {
		panic(fmt.Errorf("%w: zone 1 doesn't come back", errCannotRun))
	}
	time.Sleep(8 * time.Second) // the longest contact_ms is 4 s on this site
	mend := func() {}
	if trouble != "0" {
		mend = w.setBridgeCut(true)
		w.record.note("zones 1 and 2 are cut from each other")
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	done := make(chan bool)
	for i, j := range jobs {
		go func() {
			defer func() { done <- true }()
			n := w.inZone(1)[i%nodesPerZone]
			j.cancelSent = time.Now()
			for time.Since(j.cancelSent) < ackBound {
				a := w.call(n, http.MethodDelete, j.id, nil, patience)
				w.record.note("cancel of %s at %s: %d after %d ms", j.id, n.name, a.status, a.took.Milliseconds())
				if a.status/100 == 2 {
					j.cancelled = time.Now()
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	for range jobs {
		<-done
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	mend()
	w.record.note("the cut is over")
	end := time.Now()
	time.Sleep(3 * time.Second)
	late, acked := 0, 0
	for _, j := range jobs {
		if j.cancelled.IsZero() {
			continue
		}
		acked++
		begun := 0
		var last string
		for _, run := range w.ledger.RunsOf(j.id) {
			if run.Began.After(j.cancelled.Add(cancelBound)) && run.Began.Before(end) {
				begun++
				last = run.Task + ": " + run.String()
			}
		}
		if begun > 0 {
			late++
			w.record.note("UNASKED: job %s, cancel acknowledged at %.3f, %d tasks started over %s later, such as %s", j.id, j.cancelled.Sub(w.record.began).Seconds(), begun, cancelBound, last)
		}
	}
	w.record.note("%d cancels were acknowledged; tasks of %d of these jobs started over %s later, before the cut was over", acked, late, cancelBound)
	fmt.Fprintf(os.Stderr, "%d acknowledged cancels, %d jobs with starts after %s\n", acked, late, cancelBound)
	if acked == 0 {
		panic(fmt.Errorf("%w: no cancel was acknowledged", errCannotRun))
	}
	return late > 0
}
