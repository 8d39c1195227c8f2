package node

import "sync/atomic"

// maxIdleWorkers is how many idle goroutines are kept for reuse. A reused goroutine has
// already grown its stack to the size that a call needs.
const maxIdleWorkers = 256

// workers handles items concurrently, each on its own goroutine and without queueing, and
// reuses idle goroutines.
type workers[T any] struct {
	handle  func(T)
	handoff chan T
	idle    atomic.Int64
}

func newWorkers[T any](handle func(T)) *workers[T] {
	return &workers[T]{handle: handle, handoff: make(chan T)}
}

// run handles todo on an idle goroutine or a new one. It does not block.
func (w *workers[T]) run(todo T) {
	select {
	case w.handoff <- todo:
	default:
		go w.work(todo)
	}
}

// work handles items until enough other goroutines are idle.
func (w *workers[T]) work(todo T) {
	for {
		w.handle(todo)
		if !w.becomeIdle() {
			return
		}
		todo = <-w.handoff
		w.idle.Add(-1)
	}
}

// becomeIdle counts the goroutine as idle. It reports false when enough others are idle.
func (w *workers[T]) becomeIdle() bool {
	for {
		idle := w.idle.Load()
		if idle >= maxIdleWorkers {
			return false
		}
		if w.idle.CompareAndSwap(idle, idle+1) {
			return true
		}
	}
}
