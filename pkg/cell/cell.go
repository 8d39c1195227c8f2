// Package cell decides what the owner of a cell does: which executor runs each
// task of the jobs that were handed to it and when, how long leases last, what
// an unanswered order means, and when a job has ended. A cell is a group of
// executors that have one owner at a time.
//
// The package does no I/O. Events come in through the methods of Cell, with
// the time; what is to be done comes out of TakeActions. A Cell isn't safe for
// concurrent use.
package cell

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// Params are the times that leases and holds follow, and the policies.
type Params struct {
	Lease        time.Duration // how far ahead a hold sets the end of all leases
	StartLease   time.Duration // how far ahead a start sets it at most
	HoldWait     time.Duration // how long a hold may wait for an end
	LongestLease time.Duration // the longest lease that any owner can have given
	LeaseCap     time.Duration // the longest lease that executors grant, whatever an order asks for
	JobLease     time.Duration // how long runs may go on after the last renewal of their job
	OrphanGrace  time.Duration // how long runs of no known job are kept after a takeover
	StopTime     time.Duration // what a stop may take at an executor
	LinkRate     float64       // bytes a second that the host's link carries; 0 when not known
	Order        func() Order  // makes the order of jobs
}

// leaseTenths is how much of the longest hold a lease takes. A job whose last renewal
// is older than its lease less that at an executor waits for the next one: 0.48 s with
// 7 tenths, 0.38 s with 8, where fronts that beat slowly renew after up to 0.4 s. In
// worth the two don't differ (+0.001 +- 0.002 on two deployments, 3 seeds).
const leaseTenths = 7

// DefaultParams returns the times for a longest hold and a lease of jobs. The
// lease at executors ends well within both, and a hold returns well before a lease
// ends. The policies are the default ones.
func DefaultParams(longestHold, jobLease, stopTime time.Duration) Params {
	return Params{
		Lease:        longestHold * leaseTenths / 10,
		StartLease:   longestHold / 2,
		HoldWait:     longestHold / 4,
		LongestLease: longestHold,
		LeaseCap:     longestHold,
		JobLease:     jobLease,
		OrphanGrace:  longestHold * 4 / 10,
		StopTime:     stopTime,
		Order:        newValueOrder,
	}
}

// CommandKind tells commands apart.
type CommandKind uint8

// The commands to executors.
const (
	Start CommandKind = iota
	Stop
	Hold
)

// Command is a call to an executor that the cell asks for.
type Command struct {
	Kind     CommandKind
	Executor catalog.Executor
	Token    int64
	Task     string        // of a start or stop
	Run      int64         // of a start or stop
	Spec     string        // of a start
	Deadline time.Duration // on the executor's clock; 0 for a hold that renews nothing
	LastSeen int64         // of a hold: the newest end that needs no repeating
	Wait     time.Duration // of a hold
	Job      string        // id of the job, for logs
	Reason   string        // of a stop, for logs
}

// Finished is a job that has ended here.
type Finished struct {
	ID      string
	Outcome job.Outcome
}

// Notice is a change in what the cell believes, for the log.
type Notice struct {
	Event    string
	Executor string
	Job      string
	Task     string
	Detail   string
	Age      time.Duration // of the input that decided it
}

// Cell is the owner's side of a group of executors.
type Cell struct {
	params        Params
	token         int64
	claimedAt     time.Duration
	executors     map[catalog.Incarnation]*executor
	sorted        []*executor // by id and life
	order         Order
	times         *taskTimes
	pacer         *pacer
	jobs          map[string]*jobState         // by job id
	byParent      map[string][]*jobState       // by the id of the whole job, for parts
	unmatchedDone map[string]bool              // tasks listed as done that no job has claimed yet
	histories     map[string]jobHistory        // of kept jobs, by id: what executors list of tasks and may not forget
	unpersisted   map[string][]*unpersistedEnd // of kept jobs, by id: the ends that executors may not forget
	usableAt      map[string]time.Duration     // by service: an executor of it could get work then
	lastEventAt   time.Duration                // the newest time that an event came with
	commands      []Command
	finished      []Finished
	notices       []Notice
	fenced        bool
	listComplete  bool          // the executors listed are all that the former owner can have known
	pausedUntil   time.Duration // no starts before
	closed        bool          // operators want no new work here
	lossyUntil    time.Duration // calls have gone unanswered a moment before
	placedAt      time.Duration // the last time that the queue was gone through
	dirty         bool          // room or work has changed since the last placement
}

// New makes a cell that was claimed at now with a token above all that the
// claimer has seen.
func New(params Params, token int64, now time.Duration) *Cell {
	return &Cell{
		params:        params,
		token:         token,
		claimedAt:     now,
		executors:     map[catalog.Incarnation]*executor{},
		order:         params.Order(),
		times:         newTaskTimes(),
		pacer:         newPacer(params.LinkRate),
		jobs:          map[string]*jobState{},
		byParent:      map[string][]*jobState{},
		unmatchedDone: map[string]bool{},
		histories:     map[string]jobHistory{},
		unpersisted:   map[string][]*unpersistedEnd{},
		usableAt:      map[string]time.Duration{},
	}
}

// Fenced reports whether an executor has refused the token: somebody else owns
// the cell.
func (c *Cell) Fenced() bool { return c.fenced }

// TakeActions returns what has come up since the last call.
func (c *Cell) TakeActions() ([]Command, []Finished, []Notice) {
	commands, finished, notices := c.commands, c.finished, c.notices
	c.commands, c.finished, c.notices = nil, nil, nil
	return commands, finished, notices
}

// MarkListComplete takes the word that the next reading of the executors, and those
// after it, are newer than all that the former owner acted on.
func (c *Cell) MarkListComplete() { c.listComplete = true }

// Handover is a job that a front hands to the owner of a cell.
type Handover struct {
	Job       *job.Job
	Epoch     int            // rises each time that the job is handed over
	Progress  []job.Progress // what is known of its tasks
	SettleAt  time.Duration  // the earliest time for a start, or 0
	RenewedAt time.Duration  // its caller still waited then, as in Renew
}

// Submit takes a job. It reports false when the job is here already, which it
// then joins.
func (c *Cell) Submit(h Handover, now time.Duration) bool {
	c.lastEventAt = now
	j := h.Job
	if known := c.jobs[j.ID]; known != nil {
		known.epoch = max(known.epoch, h.Epoch)
		known.renewedAt = max(known.renewedAt, h.RenewedAt)
		return false
	}
	if j.Part.First == 0 { // the parts of a job are one job
		c.order.Observe(j)
	}
	w := newJobState(h, c.times, now)
	if unseen := c.unknownRunsUntil(now); h.Epoch > 1 && unseen > h.SettleAt {
		w.notBefore, w.untilAdopted = unseen, h.SettleAt == 0
	}
	w.applyProgress(h.Progress)
	c.supersede(w)
	c.jobs[j.ID] = w
	c.byParent[j.WholeID()] = append(c.byParent[j.WholeID()], w)
	c.adoptRuns(w, now)
	c.dirty = true
	c.applyHistories(w)
	c.finishIfDone(w)
	c.advance(now)
	return true
}

// Progress returns what the next owner of a job should know.
func (c *Cell) Progress(id string) []job.Progress {
	if w := c.jobs[id]; w != nil {
		return w.progress()
	}
	return nil
}

// Withdraw drops a job whose caller no longer waits, or that was cancelled, and stops
// its runs.
func (c *Cell) Withdraw(id string, reason string, now time.Duration) bool {
	w := c.jobs[id]
	if w == nil {
		return false
	}
	c.lastEventAt = now
	c.removeJob(w, reason)
	c.releaseEndsOfJob(id)
	c.advance(now)
	return true
}

// Release ends the ownership: every job goes back with what is known of its
// tasks, and nothing is started or stopped any more.
func (c *Cell) Release(reason string) {
	c.fenced = true
	for _, w := range c.sortedJobs() {
		c.finish(w, w.returnedOutcome(reason))
	}
	c.commands = nil
}

// Tick lets time pass: leases end, jobs reach their deadlines.
func (c *Cell) Tick(now time.Duration) {
	if c.fenced {
		return
	}
	c.lastEventAt = now
	c.dirty = true
	c.expireJobs(now)
	c.returnUnrenewed(now)
	c.refuseUnmeetable(now)
	c.recordUsable(now)
	c.returnWithoutExecutor(now)
	c.advance(now)
}

// Pause starts nothing until then. A process that stood still pauses its cells
// until it has learnt what the others have concluded from its silence.
func (c *Cell) Pause(until time.Duration) {
	c.pausedUntil = until
}

// Busy reports whether time matters to the cell.
func (c *Cell) Busy() bool {
	if len(c.jobs) > 0 {
		return true
	}
	for _, e := range c.sorted {
		if len(e.runs) > 0 || !e.adopted {
			return true
		}
	}
	return false
}

// advance brings everything up to now.
func (c *Cell) advance(now time.Duration) {
	c.lastEventAt = now
	if c.fenced {
		return
	}
	for _, e := range c.sorted {
		c.expireLeases(e, now)
		c.resolveEndedIncarnation(e, now)
		c.stopOrphans(e, now)
	}
	c.forgetExecutors(now)
	c.returnWhenClosed(now)
	c.placeTasks(now)
	for _, e := range c.sorted {
		c.sendHold(e, now)
	}
}

func (c *Cell) addNotice(n Notice) { c.notices = append(c.notices, n) }

func (c *Cell) sortedJobs() []*jobState {
	works := make([]*jobState, 0, len(c.jobs))
	for _, w := range c.jobs {
		works = append(works, w)
	}
	sortByID(works)
	return works
}
