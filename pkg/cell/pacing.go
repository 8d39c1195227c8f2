package cell

import "time"

// Starts carry the specs of jobs, which can saturate a slow link. Starts in the link's queue
// can no longer be reordered, and delay holds and all other traffic. The bytes of the starts
// in flight are therefore limited to what the link carries in maxSendAhead; the other starts
// wait in the scheduling order of the jobs.
const (
	maxSendAhead = 40 * time.Millisecond
	// startOverhead is what a start takes in bytes beside the spec of its job: 140 of HTTP
	// headers, 110 of fields and 80 of packet headers.
	startOverhead = 330
)

// pacer limits the bytes of starts in flight.
type pacer struct {
	rate     float64 // bandwidth of the link in bytes per second; 0 for no limit
	inFlight int64
	starts   map[startKey]int64 // bytes of each start in flight
}

type startKey struct {
	task string
	run  int64
}

func newPacer(rate float64) *pacer {
	return &pacer{rate: rate, starts: map[startKey]int64{}}
}

// full reports whether no start may be sent now. One may always be in flight.
func (p *pacer) full() bool {
	return p.rate > 0 && p.inFlight > 0 && float64(p.inFlight) >= p.rate*maxSendAhead.Seconds()
}

func (p *pacer) sent(task string, run, bytes int64) {
	if p.rate <= 0 {
		return
	}
	p.starts[startKey{task, run}] += bytes
	p.inFlight += bytes
}

// answered records the first answer to a start. All copies that were sent before it have passed
// the link too.
func (p *pacer) answered(task string, run int64) {
	key := startKey{task, run}
	p.inFlight -= p.starts[key]
	delete(p.starts, key)
}

// transferTime returns how long the link takes to carry a number of bytes.
func (p *pacer) transferTime(bytes int64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

// waitingBytes returns the bytes of the job's starts that have not been sent. It builds no list
// of tasks, as it is called for every job whenever the cell's load is read.
func (w *jobState) waitingBytes() int64 {
	var waiting int64
	for step, tasks := range w.steps {
		if !w.stepReady(step) {
			continue
		}
		for _, t := range tasks {
			if t.isWaiting() {
				waiting++
			}
		}
	}
	return waiting * w.startBytes()
}

// startBytes returns what a start of one of the job's tasks takes on the link.
func (w *jobState) startBytes() int64 { return int64(len(w.job.Spec)) + startOverhead }
