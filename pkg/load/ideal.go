package load

import (
	"container/heap"
	"sort"
	"time"
)

// IdealOrder is the order in which the clairvoyant queue serves jobs.
type IdealOrder uint8

// The orders of the clairvoyant queue.
const (
	FewestFirst IdealOrder = iota // the job with the fewest tasks left
	FIFO                          // in order of arrival
)

// Ideal returns the response time of each job if one clairvoyant queue fed
// all slots and no message took any time. Inside a job the longest task goes
// first. latency is added both ways.
func Ideal(arrivals []Arrival, slots int, latency time.Duration, order IdealOrder) []time.Duration {
	q := idealQueue{arrivals: arrivals, order: order, responses: make([]time.Duration, len(arrivals)), free: make(timeHeap, slots)}
	for q.next < len(arrivals) || len(q.waiting) > 0 {
		q.step()
	}
	for i := range q.responses {
		q.responses[i] += 2 * latency
	}
	return q.responses
}

// idealQueue is the state of the one queue.
type idealQueue struct {
	order     IdealOrder
	arrivals  []Arrival
	now       time.Duration
	next      int // the next job to arrive
	waiting   jobHeap
	free      timeHeap // when each slot is free again
	responses []time.Duration
}

// step takes in the jobs that have arrived when the first slot is free, and
// starts one task.
func (q *idealQueue) step() {
	at := max(q.now, q.free[0])
	if len(q.waiting) == 0 {
		at = max(at, q.arrivals[q.next].At)
	}
	q.now = at
	for q.next < len(q.arrivals) && q.arrivals[q.next].At <= at {
		tasks := append([]time.Duration(nil), q.arrivals[q.next].Tasks...)
		sort.Slice(tasks, func(i, j int) bool { return tasks[i] > tasks[j] })
		heap.Push(&q.waiting, idealJob{index: q.next, tasks: tasks, order: q.order})
		q.next++
	}
	job := &q.waiting[0]
	end := at + job.tasks[0]
	job.tasks = job.tasks[1:]
	q.free[0] = end
	heap.Fix(&q.free, 0)
	response := end - q.arrivals[job.index].At
	q.responses[job.index] = max(q.responses[job.index], response)
	if len(job.tasks) == 0 {
		heap.Pop(&q.waiting)
		return
	}
	heap.Fix(&q.waiting, 0)
}

// idealJob is a job with the tasks that have not started, longest first.
type idealJob struct {
	index int
	tasks []time.Duration
	order IdealOrder
}

// jobHeap implements heap.Interface by the jobs' order, then by arrival.
type jobHeap []idealJob

func (h jobHeap) Len() int      { return len(h) }
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)   { *h = append(*h, x.(idealJob)) }

func (h jobHeap) Less(i, j int) bool {
	if h[i].order == FewestFirst && len(h[i].tasks) != len(h[j].tasks) {
		return len(h[i].tasks) < len(h[j].tasks)
	}
	return h[i].index < h[j].index
}

func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
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
