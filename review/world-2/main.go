//go:build review2

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exits of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// limit ends a case that takes too long, with all that it has started.
const limit = 112 * time.Second

// cases play a case and report whether the rule held. trouble is false for a play without the
// disruption.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	name := flag.String("case", "", "the name of the case")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(*record)
	w.note("case %s, trouble %t", *name, trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(limit):
		}
		w.fail("the play was broken off")
	}()
	w.startMachines()
	held := play(w, trouble)
	w.note("the rule held: %t", held)
	w.close()
	fmt.Printf("%s: the rule held: %t\n", *name, held)
	if !held {
		os.Exit(ruleBroken)
	}
}
