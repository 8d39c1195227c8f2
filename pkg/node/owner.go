package node

import (
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/ownership"
	"github.com/foxcroft/foxcroft/pkg/peerpb"
)

const (
	// keepOutcomes is how long an owner answers for a job that has ended, for
	// a front that lost the answer.
	keepOutcomes = 5 * time.Second
	// longestGap between two looks at a cell after which this process must
	// have stood still.
	longestGap = 400 * time.Millisecond
	// afterGap is how long a cell then starts nothing, so that what others
	// have concluded from the silence can be heard.
	afterGap = 300 * time.Millisecond
)

// reply hands the outcome of a job to one that waits for it.
type reply func(job.Outcome)

// waiter is a front that waits for a job.
type waiter struct {
	front      string        // address of its node for peers
	connection *peerpb.Hello // the connection on which the job came; nil for this host's own
	reply      reply
}

// ended is the outcome of a job, remembered for a while.
type ended struct {
	outcome job.Outcome
	until   time.Duration
}

// owner runs a cell: it feeds events into the decisions and carries out what
// they ask for.
type owner struct {
	node      *Node
	cell      string
	token     int64
	claimedAt time.Duration
	former    string // address of the owner before, which is told once its executors are fenced; empty when none

	mu      sync.Mutex
	state   *cell.Cell
	waiters map[string][]waiter // by job id
	ended   map[string]ended
	kept    keptHere
	lastRun time.Duration
	settled bool // the executors obey this owner alone
	over    bool
}

func newOwner(n *Node, cellName string, token int64, now time.Duration) *owner {
	return &owner{
		node:      n,
		cell:      cellName,
		token:     token,
		claimedAt: now,
		state:     cell.New(n.cellParams(), token, now),
		waiters:   map[string][]waiter{},
		ended:     map[string]ended{},
		kept:      newKeptHere(),
		lastRun:   now,
	}
}

// do feeds one event into the cell and carries out what comes of it.
func (o *owner) do(event func(state *cell.Cell, now time.Duration)) {
	o.mu.Lock()
	now := o.node.Clock.Now()
	o.noticeGap(now)
	event(o.state, now)
	commands, finished, notices := o.state.TakeActions()
	replies := o.settle(finished, now)
	fenced := o.state.Fenced() && !o.over
	o.over = o.over || fenced
	o.mu.Unlock()
	for _, notice := range notices {
		o.log(notice)
	}
	for _, command := range commands {
		o.node.front.calls.run(o, command)
	}
	for _, answer := range replies {
		answer()
	}
	if fenced {
		o.node.onFenced(o)
	}
}

// noticeGap pauses the cell when this process has stood still.
func (o *owner) noticeGap(now time.Duration) {
	gap := now - o.lastRun
	o.lastRun = now
	if gap > longestGap {
		o.node.Log.Warn("owner_stood_still", "cell", o.cell, "gap_ms", gap.Milliseconds())
		o.state.Pause(now + afterGap)
	}
}

// settle matches ended jobs with those that wait for them.
func (o *owner) settle(finished []cell.Finished, now time.Duration) []func() {
	var replies []func()
	for _, f := range finished {
		for _, w := range o.waiters[f.ID] {
			replies = append(replies, func() { w.reply(f.Outcome) })
		}
		delete(o.waiters, f.ID)
		if f.Outcome.Kind != job.Moved && f.Outcome.Kind != job.Refused { // these may come again
			o.ended[f.ID] = ended{outcome: f.Outcome, until: now + o.kept.remembers(f.ID)}
		}
		o.kept.drop(f.ID)
	}
	return replies
}

// submit takes a job from a front.
func (o *owner) submit(handover cell.Handover, w waiter) {
	id := handover.Job.ID
	o.mu.Lock()
	if o.over {
		o.mu.Unlock()
		w.reply(job.Outcome{Kind: job.Moved, Reason: reasonNotOwner})
		return
	}
	if known, ok := o.ended[id]; ok {
		o.mu.Unlock()
		w.reply(known.outcome)
		return
	}
	if o.kept.isCancelled(id, o.node.Clock.Now()) {
		o.mu.Unlock()
		w.reply(cancelledHere)
		return
	}
	if handover.Job.Kept {
		o.kept.add(id)
	}
	o.waiters[id] = append(o.waiters[id], w)
	o.mu.Unlock()
	o.do(func(state *cell.Cell, now time.Duration) {
		state.Submit(handover, now)
	})
}

// renew extends the leases of the jobs that came on a connection. What a front
// had under way on an earlier one has failed there: it has handed the job in
// again, or its withdrawal may have been lost.
func (o *owner) renew(connection *peerpb.Hello, at time.Duration) {
	o.do(func(state *cell.Cell, now time.Duration) {
		state.Renew(o.renewedBy(connection), at, now)
	})
}

// renewedBy returns the ids of the jobs that a connection renews. o.mu is held.
func (o *owner) renewedBy(connection *peerpb.Hello) []string {
	var ids []string
	for id, waiters := range o.waiters {
		if slices.ContainsFunc(waiters, func(w waiter) bool { return w.connection == connection }) {
			ids = append(ids, id)
		}
	}
	return ids
}

// withdraw takes back the wish of a front. The job ends once nobody waits, unless it is
// kept.
func (o *owner) withdraw(id, front, reason string) {
	taken, last := o.takeWaiters(id, front)
	if len(taken) == 0 {
		o.node.Log.Info("job_not_withdrawn", "job", id, "cell", o.cell, "reason", reason, "front", front)
		return
	}
	o.node.Log.Info("job_withdrawn", "job", id, "cell", o.cell, "reason", reason, "front", front, "last_of_it", last,
		"silent_ms", o.node.arrivals.silence(front, o.node.Clock.Now()).Milliseconds())
	var progress []job.Progress
	if last {
		o.do(func(state *cell.Cell, now time.Duration) {
			progress = state.Progress(id)
			if !o.kept.here[id] {
				state.Withdraw(id, reason, now)
			}
		})
	}
	if reason != reasonFrontSilent {
		return
	}
	// It may be alive after all, and would wait for an answer for nothing.
	for _, w := range taken {
		w.reply(job.Outcome{Kind: job.Moved, Reason: reason, Started: true, Progress: progress})
	}
}

// takeWaiters removes those of a front's that wait for a job, and reports
// whether nobody else does.
func (o *owner) takeWaiters(id, front string) (taken []waiter, last bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := o.waiters[id][:0]
	for _, w := range o.waiters[id] {
		if w.front == front {
			taken = append(taken, w)
			continue
		}
		kept = append(kept, w)
	}
	o.waiters[id] = kept
	if len(kept) == 0 {
		delete(o.waiters, id)
	}
	return taken, len(kept) == 0
}

// fronts returns the addresses of the other nodes that wait for jobs.
func (o *owner) fronts() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{o.node.settings.PeerAddress: true}
	var fronts []string
	for _, waiters := range o.waiters {
		for _, w := range waiters {
			if !seen[w.front] {
				seen[w.front] = true
				fronts = append(fronts, w.front)
			}
		}
	}
	return fronts
}

// frontGone takes back all wishes of a front that is gone or silent: it will
// hand its jobs to an owner again, or its callers will.
func (o *owner) frontGone(front, reason string) {
	o.mu.Lock()
	var ids []string
	for id, waiters := range o.waiters {
		for _, w := range waiters {
			if w.front == front {
				ids = append(ids, id)
				break
			}
		}
	}
	o.mu.Unlock()
	for _, id := range ids {
		o.withdraw(id, front, reason)
	}
}

// tick lets time pass and reports whether it matters.
func (o *owner) tick() bool {
	busy := false
	o.do(func(state *cell.Cell, now time.Duration) {
		state.Tick(now)
		busy = state.Busy()
		for id, e := range o.ended {
			if now > e.until {
				delete(o.ended, id)
			}
		}
		o.kept.expire(now)
	})
	o.tellCheckpoints()
	o.noticeSettled()
	return busy
}

// noticeSettled notes once that the claim has held, and has the former owner
// give its jobs back, as its executors no longer listen to it.
func (o *owner) noticeSettled() {
	o.mu.Lock()
	news := !o.settled && !o.over && o.state.IsTakeoverComplete(o.node.Clock.Now())
	o.settled = o.settled || news
	o.mu.Unlock()
	if !news {
		return
	}
	o.node.claimHeld(o.cell)
	if o.former != "" {
		o.node.sendHandOver(o.former, o.cell, o.token)
	}
}

func (o *owner) setExecutors(listing *listing) {
	if listing == nil {
		return
	}
	listed := listing.cells[o.cell]
	o.do(func(state *cell.Cell, now time.Duration) {
		if listing.completeFor(o.claimedAt) {
			state.MarkListComplete()
		}
		state.SetExecutors(listed, now)
	})
}

// followClosures has the cell start nothing while its domain is closed.
func (o *owner) followClosures() {
	domain := ownership.DomainOf(o.cell)
	o.do(func(state *cell.Cell, now time.Duration) {
		state.SetClosed(o.node.closures.Load().Closed(domain), now)
	})
}

// busy reports whether the cell has work or runs.
func (o *owner) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Busy()
}

func (o *owner) load(now time.Duration) ownership.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Load(now)
}

// release hands all jobs back.
func (o *owner) release(reason string) {
	o.do(func(state *cell.Cell, _ time.Duration) {
		o.over = true
		state.Release(reason)
	})
}

func (o *owner) log(notice cell.Notice) {
	o.node.Log.Info(notice.Event, "cell", o.cell, "executor", notice.Executor, "job", notice.Job, "task", notice.Task,
		"detail", notice.Detail, "age_ms", notice.Age.Milliseconds())
}

// owner returns the owner of a cell, or nil when another node has it.
func (n *Node) owner(cellName string) *owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[cellName]
}
