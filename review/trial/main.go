//go:build review

// Command trial plays the cases of the third review: it starts the built program as the deploy
// file does, beside stand-ins of the store and the executors, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limitOfCase ends a case that takes too long.
const limitOfCase = 115 * time.Second

var cases = map[string]func(w *world, trouble bool) bool{
	"big-row":          bigRow,
	"cancel-elsewhere": cancelElsewhere,
	"majority-lost":    majority,
	"replaced":         replaced,
	"mix":              mix,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) (code int) {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		return failed
	}
	defer w.close()
	defer func() {
		if problem := recover(); problem != nil {
			w.note("the case couldn't run: %v", problem)
			code = failed
		}
	}()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
		select {
		case <-signals:
		case <-time.After(limitOfCase):
		}
		w.note("the case took too long or was ended")
		w.close()
		os.Exit(failed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v, logs in %s", name, trouble, filepath.Base(w.dir))
	if cases[name](w, trouble) {
		w.note("RESULT: the rule is broken")
		return broken
	}
	w.note("RESULT: the rule held")
	return held
}
