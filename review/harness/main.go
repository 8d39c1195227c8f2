//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// play is a case.
type play struct {
	worlds    int   // so many deployments are played, one after the other, until the rule is broken; 0: one
	zones     []int // nodes of each zone
	executors int   // a zone
	run       func(w *world, trouble bool) (problems []string)
}

var plays = map[string]play{
	"store-outage":  {zones: []int{3, 2, 2}, executors: 2, run: storeOutage},
	"crashes":       {zones: []int{3, 2, 2}, executors: 4, run: crashes},
	"seed-links":    {worlds: 8, zones: []int{5, 2, 2}, executors: 4, run: seedLinks},
	"cancel-in-cut": {zones: []int{3, 2, 2}, executors: 4, run: cancelInCut},
}

func main() {
	if len(os.Args) != 4 || plays[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE PROGRAM FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(runCase(plays[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// runCase plays a case, writes its record into a folder and returns the exit code.
func runCase(p play, binary, folder string, trouble bool) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, begin: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs of the nodes:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	defer func() {
		switch problem := recover().(type) {
		case nil:
		case errCannotRun:
			r.note("cannot run: %s", problem.text)
			fmt.Println("cannot run:", problem.text)
			code = cannotRun
		default:
			panic(problem)
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var problems []string
	begun := time.Now()
	played := 0
	for i := 0; played < max(p.worlds, 1); i++ {
		if i > 0 && time.Since(begun) > lastBegin {
			break
		}
		own := filepath.Join(dir, strconv.Itoa(i+1))
		if err := os.Mkdir(own, 0o700); err != nil {
			fail("%v", err)
		}
		var isServing bool
		if problems, isServing = playWorld(p, r, binary, own, trouble, signals); len(problems) > 0 {
			break
		}
		if isServing {
			played++
		}
	}
	if played == 0 && len(problems) == 0 {
		fail("no deployment served all jobs before the disruption")
	}
	for _, problem := range problems {
		r.note("BROKEN %s", problem)
		fmt.Println("BROKEN", problem)
	}
	if len(problems) > 0 {
		return broken
	}
	r.note("held")
	fmt.Println("held")
	return held
}

// lastBegin is from when on no further deployment is played.
const lastBegin = 80 * time.Second

// playWorld plays one deployment. It reports false for one that doesn't serve before any disruption: what
// comes after that is not judged.
func playWorld(p play, r *record, binary, dir string, trouble bool, signals chan os.Signal) (problems []string, isServing bool) {
	w := newWorld(r, binary, dir)
	var once sync.Once
	end := func() { once.Do(w.close) }
	defer end()
	over := make(chan bool)
	defer close(over)
	go func() {
		select {
		case <-signals:
			end()
			os.Exit(cannotRun)
		case <-over:
		}
	}()
	w.populate(p.zones, p.executors)
	w.awaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	r.note("all nodes are ready; trouble: %v", trouble)
	if left := w.notBegun(); len(left) > 0 {
		r.note("nothing of %d kept jobs begins, before any disruption; this deployment is given up", len(left))
		return nil, false
	}
	return append(p.run(w, trouble), w.panics()...), true
}
