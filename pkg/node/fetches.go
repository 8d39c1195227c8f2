package node

import "sync"

// maxFetches is the number of concurrent fetches of the same kind: more than one because a
// peer may be unresponsive, and few because a list of executors is large.
const maxFetches = 2

// fetches counts the running fetches by kind of snapshot.
type fetches struct {
	mu      sync.Mutex
	running map[uint32]int
}

func newFetches() *fetches { return &fetches{running: map[uint32]int{}} }

// begin reports whether one more fetch may start, and if so counts it.
func (f *fetches) begin(kind uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[kind] >= maxFetches {
		return false
	}
	f.running[kind]++
	return true
}

func (f *fetches) end(kind uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[kind]--
}
