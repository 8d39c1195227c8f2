package keeping

import (
	"context"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// partition holds what this host knows and does about one partition of kept jobs. It
// exists also at hosts that do not coordinate the partition, because any host may be asked
// to keep a job.
type partition struct {
	service *Service
	number  int
	part    string

	mu            sync.Mutex // guards the fields below; held during calls of the coordinator
	coordinator   *kept.Coordinator
	calls         map[uint64]chan kept.CallAnswer
	lastCall      uint64 // number of the last call
	followers     map[string]*follower
	timer         *time.Timer // wakes the next write
	isCoordinator bool
	viewVersion   uint64        // Host.ViewVersion when the coordinators were last computed
	readings      int           // completed since the coordinators may have changed, including one in progress at that time
	nextRead      time.Duration // when the next reading is due
	lastRead      time.Duration // when the last reading ended
	reading       bool          // a reading is in progress
	clockKnown    bool          // the store's clock is known
}

func newPartition(s *Service, number int) *partition {
	p := &partition{
		service: s, number: number, part: kept.PartOf(number),
		coordinator: kept.NewCoordinator(kept.PartOf(number), codec{}, &s.health),
		calls:       map[uint64]chan kept.CallAnswer{},
		followers:   map[string]*follower{},
	}
	// The initial duration is arbitrary: writeNext resets the timer when a group is to be
	// written, and an expiry without one has no effect.
	p.timer = time.AfterFunc(time.Hour, func() { p.do(func(*kept.Coordinator, time.Duration) {}) })
	return p
}

// do passes an event to the coordinator and carries out the resulting effects. It does not
// block.
func (p *partition) do(event func(co *kept.Coordinator, now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.service.Clock.Now()
	event(p.coordinator, now)
	effects := p.coordinator.TakeEffects()
	for _, a := range effects.Answers {
		p.deliver(a)
	}
	for _, problem := range effects.Problems {
		p.service.reportUnreadable(problem.Row, problem.Error)
	}
	for _, ending := range effects.Ended {
		p.handleEnd(ending, now)
	}
	for _, f := range effects.Follow {
		p.follow(f, now)
	}
	for _, id := range effects.ReadRows {
		go p.readJob(id)
	}
	p.writeNext(now)
}

// deliver passes an answer to its call. p.mu is held.
func (p *partition) deliver(a kept.CallAnswer) {
	if answer := p.calls[a.Call]; answer != nil {
		delete(p.calls, a.Call)
		answer <- a
	}
}

// call makes a call of the coordinator and waits for its answer. It returns false when
// event does, which means that the job is unknown.
func (p *partition) call(ctx context.Context, event func(co *kept.Coordinator, number uint64, deadline, now time.Duration) bool) (kept.CallAnswer, bool) {
	answer := make(chan kept.CallAnswer, 1)
	known := true
	var number uint64
	p.do(func(co *kept.Coordinator, now time.Duration) {
		p.lastCall++
		number = p.lastCall
		p.calls[number] = answer
		if known = event(co, number, now+remainingTime(ctx), now); !known {
			delete(p.calls, number)
		}
	})
	if !known {
		return kept.CallAnswer{}, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.calls, number)
		p.mu.Unlock()
		// The answer may have arrived at the same time.
		select {
		case a := <-answer:
			return a, true
		default:
		}
		return kept.CallAnswer{Answer: kept.Answer{Verdict: kept.Unknown, Reason: "caller_left", RetryAfter: retryDelay}}, true
	}
}

// remainingTime returns how long a caller waits, at most keepTimeout.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return keepTimeout
	}
	return min(keepTimeout, time.Until(deadline))
}

// writeNext writes the next group if it is due, and otherwise sets the timer. p.mu is
// held.
func (p *partition) writeNext(now time.Duration) {
	if t, ok := p.coordinator.Next(now); ok {
		go p.write(t, now)
		return
	}
	if due, pending := p.coordinator.NextWriteAt(); pending {
		p.timer.Reset(max(due-now, time.Millisecond))
	}
}

// write commits a group to the store.
func (p *partition) write(t tables.Transaction, sentAt time.Duration) {
	ctx, cancel := context.WithTimeout(p.service.ctx, storeTimeout)
	defer cancel()
	result, err := p.service.store.Commit(ctx, t)
	took := p.service.Clock.Now() - sentAt
	outcome := outcomeOf(err)
	p.service.meter.KeptWritten(outcome, len(t.Put), took)
	p.service.Log.Info("kept_group_written", "part", p.part, "changes", len(t.Put), "outcome", outcome, "took_ms", took.Milliseconds())
	p.do(func(co *kept.Coordinator, now time.Duration) { co.Committed(result, err, now) })
}

// outcomeOf names the outcome of a transaction for logs and metrics.
func outcomeOf(err error) string {
	if err == nil {
		return "written"
	}
	return string(errkind.Of(err))
}

// setCoordinator records whether this host coordinates the partition. When it becomes the
// coordinator, or viewVersion has changed because a host joined, left or begins to leave,
// another host may have written to the partition, so the open rows are read, and read
// again later.
func (p *partition) setCoordinator(is bool, viewVersion uint64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if is != p.isCoordinator {
		p.service.Log.Info("kept_partition", "part", p.part, "keeper", is, "open", p.coordinator.Open())
	}
	if is && (!p.isCoordinator || viewVersion != p.viewVersion) {
		p.readings, p.nextRead = 0, max(now, p.lastRead+minReadPause)
	}
	p.isCoordinator, p.viewVersion = is, viewVersion
}

// tick expires calls and starts a reading of the open rows if one is due. A host that does
// not coordinate the partition reads them only if it has jobs but does not know the
// store's clock, without which nothing is written.
func (p *partition) tick(now time.Duration) {
	p.do(func(co *kept.Coordinator, now time.Duration) { co.Expire(now) })
	p.mu.Lock()
	_, pending := p.coordinator.NextWriteAt()
	due := p.isCoordinator && now >= p.nextRead || !p.clockKnown && (pending || p.coordinator.Open() > 0)
	begins := due && !p.reading
	p.reading = p.reading || begins
	p.mu.Unlock()
	if begins {
		go p.read()
	}
}

// read reads the open rows of the partition, applies them and schedules the next reading.
func (p *partition) read() {
	open, err := p.service.readOpen(p.service.ctx, p.part)
	if err != nil {
		p.service.Log.Warn("kept_rows_not_read", "part", p.part, "error", err.Error())
	} else {
		p.service.Log.Info("kept_rows_read", "part", p.part, "open", len(open.rows), "took_ms", (p.service.Clock.Now() - open.began).Milliseconds())
	}
	p.do(func(co *kept.Coordinator, now time.Duration) {
		p.reading = false
		p.lastRead = now
		p.scheduleReading(err == nil, now)
		if err == nil {
			p.clockKnown = true
			co.ObserveClock(open.now, now)
			co.ApplyOpenRows(open.rows, open.began, now)
		}
	})
}

// scheduleReading sets the time of the next reading after one that succeeded or failed.
// p.mu is held.
func (p *partition) scheduleReading(read bool, now time.Duration) {
	if !read {
		p.nextRead = now + secondReadDelay
		return
	}
	p.readings++
	pause := readInterval
	switch p.readings {
	case 1:
		pause = secondReadDelay
	case 2:
		pause = thirdReadDelay
	}
	if p.coordinator.Open() > 0 && !p.service.host.SeesAll() {
		pause = min(pause, sharedReadInterval)
	}
	p.nextRead = now + pause
}

// readJob reads the rows of one job and applies them.
func (p *partition) readJob(id string) {
	rows, err := p.service.readRows(p.service.ctx, id)
	if err != nil {
		p.service.Log.Warn("kept_rows_not_read", "part", p.part, "job", id, "error", err.Error())
		return
	}
	p.applyRows(id, rows)
}

// applyRows passes the rows of one job to the coordinator and carries out the effects.
func (p *partition) applyRows(id string, rows rowsOf) {
	p.do(func(co *kept.Coordinator, now time.Duration) {
		co.ApplyRows(id, rows.open, rows.ended, rows.began, now)
	})
}

// awaitEnd waits up to endWait for the end of a job that is followed here, before a state
// query is answered. It takes at most half of the caller's time, and leaves the rest for
// reading the job's rows.
func (p *partition) awaitEnd(ctx context.Context, id string) {
	p.mu.Lock()
	f := p.followers[id]
	p.mu.Unlock()
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(endWait, remainingTime(ctx)/2))
	defer cancel()
	select {
	case <-f.ended:
	case <-ctx.Done():
	}
}

// soleReadings is the number of readings, without a change of the view, after which states
// known here are answered without reading the job's rows. They are the one at the change
// and those after secondReadDelay and thirdReadDelay, which find what other hosts wrote
// meanwhile. Further ones are readInterval apart.
const soleReadings = 3

// isSoleCoordinator reports whether, as far as this host can tell, no other host
// coordinates the partition.
func (p *partition) isSoleCoordinator() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCoordinator && p.readings >= soleReadings
}

// isCurrent reports whether the known version of an open job is that of its row. It is
// false if the row is absent, and while a queued change keeps a newer row from being
// applied.
func (p *partition) isCurrent(id string, rows rowsOf) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coordinator.IsCurrent(id, rows.open)
}

// state returns the state of a job as known to this host, or false if it is unknown. A job
// counts as running once it has been dispatched from here.
func (p *partition) state(id string) (kept.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.coordinator.State(id)
	if f := p.followers[id]; f != nil && state == kept.Queued && f.dispatched.Load() {
		state = kept.Running
	}
	return state, known
}

// isUndetermined reports whether a job has ended, but it is not known here how.
func (p *partition) isUndetermined(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coordinator.IsUndetermined(id)
}

// open returns the number of jobs of the partition that this host does not know to have
// ended.
func (p *partition) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coordinator.Open()
}

// countWaiting adds to counts, by route, the followed jobs that no owner has and of which no
// task is known to have begun. Several hosts may follow a job that was dispatched before; only the
// coordinator counts it.
func (p *partition) countWaiting(counts map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.followers {
		if !f.atOwner.Load() && !f.begun.Load() && (p.isCoordinator || !f.dispatched.Load()) {
			counts[f.job.Route]++
		}
	}
}
