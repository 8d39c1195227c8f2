package keeping

import (
	"context"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/kept"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// partition is one partition of kept jobs at this host, whether or not it is its
// keeper: a host may be asked to keep a job all the same.
type partition struct {
	service *Service
	number  int
	part    string

	mu        sync.Mutex // guards what follows; held while the keeper decides
	keeper    *kept.Coordinator
	calls     map[uint64]chan kept.CallAnswer
	lastCall  uint64 // its number
	followers map[string]*follower
	timer     *time.Timer // of the next group
	isKeeper  bool
	version   uint64 // of the view at the last look
	readings  int    // since the keepers may have changed
	nextRead  time.Duration
	lastRead  time.Duration // when the last reading ended
	reading   bool
	clockRead bool // the store's clock has been heard
}

func newPartition(s *Service, number int) *partition {
	p := &partition{
		service: s, number: number, part: kept.PartOf(number),
		keeper:    kept.NewCoordinator(kept.PartOf(number), codec{}, &s.health),
		calls:     map[uint64]chan kept.CallAnswer{},
		followers: map[string]*follower{},
	}
	p.timer = time.AfterFunc(time.Hour, func() { p.do(func(*kept.Coordinator, time.Duration) {}) })
	return p
}

// do feeds an event into the keeper and carries out what comes of it. It doesn't block.
func (p *partition) do(event func(k *kept.Coordinator, now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.service.Clock.Now()
	event(p.keeper, now)
	effects := p.keeper.TakeEffects()
	for _, a := range effects.Answers {
		p.deliver(a)
	}
	for _, problem := range effects.Problems {
		p.service.Log.Error(problem.Event, "job", problem.ID, "part", p.part, "error", problem.Error)
	}
	for _, ending := range effects.Ended {
		p.ended(ending, now)
	}
	for _, f := range effects.Follow {
		p.follow(f, now)
	}
	for _, id := range effects.ReadRows {
		go p.lookAt(id)
	}
	p.pump(now)
}

// deliver hands an answer to its call. p.mu is held.
func (p *partition) deliver(a kept.CallAnswer) {
	if answer := p.calls[a.Call]; answer != nil {
		delete(p.calls, a.Call)
		answer <- a
	}
}

// call makes a call of the keeper and waits for its answer. The event reports false
// when the keeper doesn't know the job.
func (p *partition) call(ctx context.Context, event func(k *kept.Coordinator, number uint64, until, now time.Duration) bool) (kept.CallAnswer, bool) {
	answer := make(chan kept.CallAnswer, 1)
	known := true
	var number uint64
	p.do(func(k *kept.Coordinator, now time.Duration) {
		p.lastCall++
		number = p.lastCall
		p.calls[number] = answer
		if known = event(k, number, now+timeFor(ctx), now); !known {
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
		// An answer may have come at the same time.
		select {
		case a := <-answer:
			return a, true
		default:
		}
		return kept.CallAnswer{Answer: kept.Answer{Verdict: kept.Unknown, Reason: "caller_left", RetryAfter: comeBack}}, true
	}
}

// timeFor returns how long a caller waits.
func timeFor(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return keepTime
	}
	return min(keepTime, time.Until(deadline))
}

// pump has the next group written once it is due. p.mu is held.
func (p *partition) pump(now time.Duration) {
	if t, ok := p.keeper.Next(now); ok {
		go p.write(t, now)
		return
	}
	if due, wants := p.keeper.NextWriteAt(); wants {
		p.timer.Reset(max(due-now, time.Millisecond))
	}
}

// write has the store carry a group out.
func (p *partition) write(t tables.Transaction, sentAt time.Duration) {
	ctx, cancel := context.WithTimeout(p.service.ctx, callTime)
	defer cancel()
	result, err := p.service.store.Commit(ctx, t)
	took := p.service.Clock.Now() - sentAt
	outcome := outcomeOf(err)
	p.service.meter.KeptWritten(outcome, len(t.Put), took)
	p.service.Log.Info("kept_group_written", "part", p.part, "changes", len(t.Put), "outcome", outcome, "took_ms", took.Milliseconds())
	p.do(func(k *kept.Coordinator, now time.Duration) { k.Committed(result, err, now) })
}

// outcomeOf names the end of a transaction for logs and metrics.
func outcomeOf(err error) string {
	if err == nil {
		return "written"
	}
	return string(errkind.Of(err))
}

// setKeeper takes whether this host is the keeper. Its own start and any change of
// the hosts in sight have it read the rows, at once and again some time later.
func (p *partition) setKeeper(is bool, version uint64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if is != p.isKeeper {
		p.service.Log.Info("kept_partition", "part", p.part, "keeper", is, "open", p.keeper.Open())
	}
	if is && (!p.isKeeper || version != p.version) {
		p.readings, p.nextRead = 0, max(now, p.lastRead+readingPause)
	}
	p.isKeeper, p.version = is, version
}

// tick lets time pass.
func (p *partition) tick(now time.Duration) {
	p.do(func(k *kept.Coordinator, now time.Duration) { k.Expire(now) })
	p.mu.Lock()
	_, wants := p.keeper.NextWriteAt()
	due := p.isKeeper && now >= p.nextRead || !p.clockRead && (wants || p.keeper.Open() > 0)
	begins := due && !p.reading
	p.reading = p.reading || begins
	p.mu.Unlock()
	if begins {
		go p.read()
	}
}

// read reads the open jobs.
func (p *partition) read() {
	open, err := p.service.readOpen(p.service.ctx, p.part)
	if err != nil {
		p.service.Log.Warn("kept_rows_not_read", "part", p.part, "error", err.Error())
	} else {
		p.service.Log.Info("kept_rows_read", "part", p.part, "open", len(open.rows), "took_ms", (p.service.Clock.Now() - open.began).Milliseconds())
	}
	p.do(func(k *kept.Coordinator, now time.Duration) {
		p.reading = false
		p.lastRead = now
		p.scheduleReading(err == nil, now)
		if err == nil {
			p.clockRead = true
			k.ObserveClock(open.now, now)
			k.ApplyOpenRows(open.rows, open.began, now)
		}
	})
}

// scheduleReading says when the rows are read next. p.mu is held.
func (p *partition) scheduleReading(read bool, now time.Duration) {
	if !read {
		p.nextRead = now + secondReading
		return
	}
	p.readings++
	switch p.readings {
	case 1:
		p.nextRead = now + secondReading
	case 2:
		p.nextRead = now + thirdReading
	default:
		p.nextRead = now + regularReading
	}
}

// lookAt reads the rows of one job and takes them.
func (p *partition) lookAt(id string) {
	rows, err := p.service.readRows(p.service.ctx, id)
	if err != nil {
		p.service.Log.Warn("kept_rows_not_read", "part", p.part, "job", id, "error", err.Error())
		return
	}
	p.learn(id, rows)
}

func (p *partition) learn(id string, rows rowsOf) {
	p.do(func(k *kept.Coordinator, now time.Duration) { k.ApplyRows(id, rows.open, rows.ended, rows.began, now) })
}

// awaitEnd waits a while for the end of a job that is followed here.
func (p *partition) awaitEnd(ctx context.Context, id string) {
	p.mu.Lock()
	f := p.followers[id]
	p.mu.Unlock()
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(stateWait, timeFor(ctx)/2))
	defer cancel()
	select {
	case <-f.over:
	case <-ctx.Done():
	}
}

// sureReadings is how many readings a keeper has behind it, without a change of the
// hosts in sight, when no other one can have changed its jobs unseen.
const sureReadings = 3

// isSure reports whether this host is the only keeper of the partition as far as it
// can tell.
func (p *partition) isSure() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isKeeper && p.readings >= sureReadings
}

// isCurrent reports whether what is known of an open job is what its row tells.
func (p *partition) isCurrent(id string, rows rowsOf) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.IsCurrent(id, rows.open)
}

// state returns what this host knows of a job's state.
func (p *partition) state(id string) (kept.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.keeper.State(id)
	if f := p.followers[id]; f != nil && state == kept.Queued && f.handed.Load() {
		state = kept.Running
	}
	return state, known
}

func (p *partition) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Open()
}

func (p *partition) countWaiting(counts map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.followers {
		if !f.handed.Load() {
			counts[f.job.Route]++
		}
	}
}
