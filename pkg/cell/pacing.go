package cell

import "time"

// Starts carry the texts of jobs, which fill a thin link. What waits in the
// link's queue can't be put in order any more, and everything else waits behind
// it, holds too. So only as many starts go out at once as the link carries in
// maxSendAhead; the rest waits in the order of the jobs.
const (
	maxSendAhead = 40 * time.Millisecond
	// startOverhead is what a start takes beside the text of its job, in bytes: 140
	// of HTTP, 110 of fields and 80 of packets, by their lengths.
	startOverhead = 330
)

// pacer bounds the bytes of starts that are under way.
type pacer struct {
	rate     float64 // bytes a second of the link; 0 for no bound
	inFlight int64
	starts   map[startKey]int64 // bytes
}

type startKey struct {
	task string
	run  int64
}

func newPacer(rate float64) *pacer {
	return &pacer{rate: rate, starts: map[startKey]int64{}}
}

// full reports whether no start should go out now. One may always be under way.
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

// answered takes the first answer to a start. Copies of it that were sent before
// have passed the link too.
func (p *pacer) answered(task string, run int64) {
	key := startKey{task, run}
	p.inFlight -= p.starts[key]
	delete(p.starts, key)
}

// transferTime returns how long the link takes to carry so many bytes.
func (p *pacer) transferTime(bytes int64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

// waitingBytes returns the bytes of the starts of a job that haven't gone out.
// It makes no list of these tasks: each look at a cell's load asks every job.
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

// startBytes returns what a start of a task of the job takes on the link.
func (w *jobState) startBytes() int64 { return int64(len(w.job.Spec)) + startOverhead }
