package node

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Calls that wait for executors must not delay others.
func TestWorkersHandleAllItemsConcurrently(t *testing.T) {
	c := qt.New(t)
	const count = 2 * maxIdleWorkers
	var started, ended sync.WaitGroup
	release := make(chan struct{})
	w := newWorkers(func(int) {
		started.Done()
		<-release
		ended.Done()
	})
	for range 2 { // the second time on idle goroutines
		started.Add(count)
		ended.Add(count)
		for i := range count {
			w.run(i)
		}
		started.Wait()
		close(release)
		ended.Wait()
		release = make(chan struct{})
	}
	c.Assert(w.idle.Load() <= maxIdleWorkers, qt.IsTrue)
}
