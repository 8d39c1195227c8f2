//go:build review3

package main

import (
	"errors"
	"fmt"
	"os"
)

const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// scenario is a play of a script.
type scenario struct {
	options options
	play    func(w *world, trouble string) (broken bool)
}

var scenarios = map[string]scenario{
	"bigrow": {options{executors: 3, storeMS: 4}, playBigRow},
	"bridge": {options{executors: 3, storeMS: 4, relays: true, suits: formerInZone3}, playBridge},
}

func main() { os.Exit(run()) }

// run plays the scenario of the first argument with the record in the folder of the second one.
func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: world-3 SCENARIO FOLDER")
		return couldNotRun
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such scenario")
		return couldNotRun
	}
	trouble := os.Getenv("TROUBLE")
	w, err := newWorld(os.Args[2], s.options)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	isBroken := false
	err = func() (err error) {
		defer func() {
			if r := recover(); r != nil {
				err, _ = r.(error)
				if !errors.Is(err, errCannotRun) {
					panic(r)
				}
			}
		}()
		isBroken = s.play(w, trouble)
		return nil
	}()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		w.record.note("%v", err)
		return couldNotRun
	case isBroken:
		w.record.note("the rule was broken")
		return broken
	}
	w.record.note("the rule held")
	return held
}
