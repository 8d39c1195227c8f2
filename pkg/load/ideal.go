package load

import (
	"container/heap"
	"sort"
	"time"
)

// Ideal returns the response time of each job if one clairvoyant queue fed
// all slots: first come first served, longest task first inside a job, and no
// message took any time. latency is added both ways.
func Ideal(arrivals []Arrival, slots int, latency time.Duration) []time.Duration {
	free := make(timeHeap, slots) // when each slot is free again
	responses := make([]time.Duration, len(arrivals))
	for i := range arrivals {
		a := &arrivals[i]
		tasks := append([]time.Duration(nil), a.Tasks...)
		sort.Slice(tasks, func(x, y int) bool { return tasks[x] > tasks[y] })
		finished := time.Duration(0)
		for _, task := range tasks {
			end := max(free[0], a.At) + task
			free[0] = end
			heap.Fix(&free, 0)
			finished = max(finished, end)
		}
		responses[i] = finished - a.At + 2*latency
	}
	return responses
}

// timeHeap implements heap.Interface, earliest first.
type timeHeap []time.Duration

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
