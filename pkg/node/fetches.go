package node

import "sync"

// fetchesAtOnce is how many peers are asked for the same news at once: more
// than one, as a peer may have fallen silent, and no more, as a list of
// executors takes hundreds of kilobytes.
const fetchesAtOnce = 2

// fetches counts the peers that are being asked, by kind of news.
type fetches struct {
	mu    sync.Mutex
	count map[uint32]int
}

func newFetches() *fetches { return &fetches{count: map[uint32]int{}} }

// begin reports whether one more peer may be asked, and counts it.
func (f *fetches) begin(kind uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count[kind] >= fetchesAtOnce {
		return false
	}
	f.count[kind]++
	return true
}

func (f *fetches) end(kind uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[kind]--
}
