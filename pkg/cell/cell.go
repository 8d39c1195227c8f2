// Package cell implements the decisions of a cell's owner: which executor runs each
// task and when, how long leases last, what an unanswered command means, and when a
// job has ended. A cell is a shard of a domain's executors with one owner at a time.
//
// The owner drives executors with three calls: start, stop and hold. A hold is the
// long-poll call that renews an executor's leases and lists its runs. An executor ends
// its runs by itself when its lease expires.
//
// The package does no I/O. Events are passed to the methods of Cell with the current
// time; TakeActions returns the resulting commands. A Cell is not safe for concurrent
// use.
package cell

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// Params are the durations of leases and holds, and the scheduling policy.
type Params struct {
	Lease         time.Duration // lease that a hold grants
	StartLease    time.Duration // longest lease that a start grants
	HoldWait      time.Duration // longest time that a hold request waits for a run to end
	LongestLease  time.Duration // longest lease that any owner can have granted
	LeaseCap      time.Duration // longest lease that executors grant, whatever a command asks for
	JobLease      time.Duration // how long runs may continue after the last renewal of their job
	OrphanGrace   time.Duration // how long runs of unknown jobs are kept after a takeover
	StopTime      time.Duration // longest time that a stop takes at an executor
	ListRetention time.Duration // how long executors that vanish stay on the list after they have been withheld for good
	LinkRate      float64       // bandwidth of the host's link in bytes per second; 0 when unknown
	Order         func() Order  // creates the scheduling order of the cell's jobs
}

// leaseTenths is the lease of a hold, in tenths of the longest lease. A job cannot start tasks at
// an executor whose leases outlast its own, so a shorter lease allows starts longer after a job's
// last renewal: by default up to 0.48 s after it, and with 8 tenths up to 0.38 s, while slow fronts
// renew after up to 0.4 s.
const leaseTenths = 7

// defaultListRetention is the default of ListRetention.
const defaultListRetention = 3 * time.Second

// DefaultParams returns the parameters for a longest lease and a job lease. The lease of a
// hold ends well before both, and a hold returns well before the lease that it renews ends.
func DefaultParams(longestLease, jobLease, stopTime time.Duration) Params {
	return Params{
		Lease:         longestLease * leaseTenths / 10,
		StartLease:    longestLease / 2,
		HoldWait:      longestLease / 4,
		LongestLease:  longestLease,
		LeaseCap:      longestLease,
		JobLease:      jobLease,
		OrphanGrace:   longestLease * 4 / 10,
		StopTime:      stopTime,
		ListRetention: defaultListRetention,
		Order:         newValueOrder,
	}
}

// CommandKind is the kind of a call to an executor.
type CommandKind uint8

const (
	Start CommandKind = iota
	Stop
	Hold
)

// Command is a call that the owner has to make to an executor.
type Command struct {
	Kind     CommandKind
	Executor catalog.Executor
	Token    int64
	Task     string        // of a start or stop
	Run      int64         // of a start or stop
	Spec     string        // of a start
	Deadline time.Duration // end of the lease on the executor's clock; 0 for a hold that renews nothing
	AckedEnd int64         // of a hold: number of the newest end that the executor may forget
	Wait     time.Duration // of a hold: longest time that it waits for an end
	Job      string        // job id, for logs
	Reason   string        // of a stop, for logs
}

// Finished is a job that has ended at this owner.
type Finished struct {
	ID      string
	Outcome job.Outcome
}

// Notice is an event for the log.
type Notice struct {
	Event    string
	Executor string
	Job      string
	Task     string
	Detail   string
	Run      int64         // number of the run; 0 when the event has none, or Detail tells it
	Age      time.Duration // time since the event's cause
	Other    *RunAt        // another run of the task; nil when the event has none
}

// Cell is the owner's state of a cell.
type Cell struct {
	params           Params
	token            int64
	claimedAt        time.Duration
	executors        map[catalog.Incarnation]*executor
	sorted           []*executor     // by id and incarnation
	executorLosses   []*executorLoss // recent ones, by the time at which they were noticed
	crashedRuns      []crashedRun    // whose crashes are not assessed yet
	formerSuspects   formerSuspects
	crashedLate      []lostRun // whose jobs had left before their executors were known to have crashed
	order            Order
	times            *taskTimes
	pacer            *pacer
	jobs             map[string]*jobState                  // by job id
	byParent         map[string][]*jobState                // by the id of the parent job, for the parts of split jobs
	unmatchedDone    map[string]bool                       // names of tasks listed as done whose jobs are not here yet
	storeUnreachable bool                                  // from this host
	limitsRetaining  bool                                  // kept tasks get half of the executors only, as of the last placement
	keptJobs         int                                   // number of kept jobs in jobs
	bestEffortUntil  time.Duration                         // until when best-effort jobs are expected, after the last one
	histories        map[string]jobHistory                 // of kept jobs, by id: the ends of tasks that executors retain
	unpersisted      map[string][]*unpersistedEnd          // of kept jobs, by id: the ends that executors have to retain
	unlistedEnds     []*unpersistedEnd                     // those of jobs that are not here, at executors that are forgotten
	usableAt         map[catalog.Requirement]time.Duration // when an executor was last usable for such tasks of kept jobs
	lastEventAt      time.Duration                         // time of the newest event
	commands         []Command
	finished         []Finished
	notices          []Notice
	fenced           bool
	forgotAt         time.Duration // when an executor was last forgotten that had never answered; 0 for none
	ownerMayLive     bool          // see ExpectLivingOwner
	ownerBoundedAt   time.Duration // since when the former owner ends its kept runs within keptRunsEndWithin: the claim, or BoundFormerOwner
	listComplete     bool          // the listed executors are all that the former owner can have known
	pausedUntil      time.Duration // no starts before
	closed           bool          // operators have closed the cell to new work
	keptLeaseLimit   time.Duration // when the lease of all kept jobs ends, see SetKeptLeaseEnd; 0 for no limit
	lossyUntil       time.Duration // a call went unanswered recently
	placedAt         time.Duration // time of the last placement
	dirty            bool          // capacity or jobs have changed since the last placement
}

// New returns the state of a cell that was claimed at now. token has to be higher than all
// tokens that the claimer has seen.
func New(params Params, token int64, now time.Duration) *Cell {
	return &Cell{
		params:         params,
		token:          token,
		claimedAt:      now,
		ownerBoundedAt: now,
		executors:      map[catalog.Incarnation]*executor{},
		order:          params.Order(),
		times:          newTaskTimes(),
		pacer:          newPacer(params.LinkRate),
		jobs:           map[string]*jobState{},
		byParent:       map[string][]*jobState{},

		formerSuspects: formerSuspects{},
		unmatchedDone:  map[string]bool{},
		histories:      map[string]jobHistory{},
		unpersisted:    map[string][]*unpersistedEnd{},
		usableAt:       map[catalog.Requirement]time.Duration{},
	}
}

// Fenced reports whether the ownership is over: it was released, or an executor has refused
// the token because another host owns the cell.
func (c *Cell) Fenced() bool { return c.fenced }

// TakeActions returns the commands, finished jobs and notices since the last call.
func (c *Cell) TakeActions() ([]Command, []Finished, []Notice) {
	commands, finished, notices := c.commands, c.finished, c.notices
	c.commands, c.finished, c.notices = nil, nil, nil
	return commands, finished, notices
}

// MarkListComplete records that the next list of executors, and each one after it, is newer
// than all that the former owner acted on.
func (c *Cell) MarkListComplete() { c.listComplete = true }

// Handover is a job that a front hands over to the owner of a cell.
type Handover struct {
	Job       *job.Job
	Epoch     int            // increases with each handover of the job
	Progress  []job.Progress // known progress of its tasks
	NotBefore time.Duration  // earliest time for a start, or 0
	RenewedAt time.Duration  // last renewal of the job, as in Renew
	// LeaseLimit is when the job's lease ends at the latest, on the owner's clock, whatever is renewed;
	// 0 when there is no limit. A further handover replaces the limit, as SetLeaseLimits does.
	LeaseLimit time.Duration
	// NamesRuns reports that Progress names all runs that former owners may have left. It is not
	// set if the last one was lost.
	NamesRuns bool
}

// Submit adds a job. It returns false when the job is here already; it then learns what the
// handover tells.
func (c *Cell) Submit(h Handover, now time.Duration) bool {
	c.lastEventAt = now
	j := h.Job
	if existing := c.jobs[j.ID]; existing != nil {
		c.mergeHandover(existing, h, now)
		return false
	}
	if j.Part.First == 0 { // parts of a split job count once
		c.order.Observe(j)
	}
	w := newJobState(h, c.times, now)
	if h.Epoch > 1 {
		c.awaitUnknownRuns(w, h, now)
	}
	w.applyProgress(h.Progress, now)
	c.resumeSuspects(w)
	c.recordFormerRuns(w, h.Progress, now)
	c.supersede(w)
	c.jobs[j.ID] = w
	if j.Kept {
		c.keptJobs++
	} else {
		c.bestEffortUntil = now + bestEffortPeriod
	}
	c.byParent[j.WholeID()] = append(c.byParent[j.WholeID()], w)
	c.adoptRuns(w, now)
	c.dirty = true
	c.applyHistories(w)
	c.finishIfDone(w)
	c.endIfTasksCrash(w)
	if c.jobs[j.ID] == w && !j.Kept && now >= j.Deadline {
		c.expire(w) // nothing of it is started between now and the next tick
	}
	c.advance(now)
	return true
}

// mergeHandover applies a further handover of a job that is here: by the same front, or by another
// one whose former owners may have left runs elsewhere.
func (c *Cell) mergeHandover(w *jobState, h Handover, now time.Duration) {
	w.epoch = max(w.epoch, h.Epoch)
	w.renewedAt = max(w.renewedAt, h.RenewedAt)
	w.mayHaveStarted = w.mayHaveStarted || h.Epoch > 1
	w.leaseLimit = h.LeaseLimit
	w.notBefore = max(w.notBefore, h.NotBefore)
	w.applyProgress(h.Progress, now)
	c.recordFormerRuns(w, h.Progress, now)
	c.finishIfDone(w)
}

// Progress returns the progress of a job's tasks, for the job's next owner.
func (c *Cell) Progress(id string) []job.Progress {
	if w := c.jobs[id]; w != nil {
		return c.progress(w)
	}
	return nil
}

// PartsOf returns the ids of the jobs here that are a whole job or parts of it.
func (c *Cell) PartsOf(wholeID string) []string {
	var ids []string
	for _, w := range c.byParent[wholeID] {
		ids = append(ids, w.job.ID)
	}
	return ids
}

// MayHaveStarted reports whether a task of a job may have started, here or at a former owner.
func (c *Cell) MayHaveStarted(id string) bool {
	w := c.jobs[id]
	return w != nil && w.mayHaveStarted
}

// Withdraw removes a job whose caller no longer waits, or that was cancelled, and stops its
// runs.
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

// Release ends the ownership: it returns every job to its front with its progress, and drops
// all pending commands.
func (c *Cell) Release(reason string) {
	c.fenced = true
	for _, w := range c.sortedJobs() {
		c.returnJob(w, reason)
	}
	c.commands = nil
}

// Tick handles what depends on time alone: leases end and jobs reach their deadlines.
func (c *Cell) Tick(now time.Duration) {
	if c.fenced {
		return
	}
	c.lastEventAt = now
	c.dirty = true
	c.forgetOldLosses(now)
	c.forgetOldSuspects(now)
	c.assessCrashes(now)
	c.expireJobs(now)
	c.returnUnconfirmed(now)
	c.returnUnrenewed(now)
	c.refuseUnmeetable(now)
	c.recordUsable(now)
	c.returnWithoutExecutor(now)
	c.returnFailedOnAll(now)
	c.advance(now)
}

// PauseStarts suspends starts until a time. A process that was suspended pauses its cells until
// it has learned how the other hosts reacted to its missing heartbeats.
func (c *Cell) PauseStarts(until time.Duration) {
	c.pausedUntil = until
}

// NeedsTicks reports whether the cell needs ticks: it has jobs or runs, or executors that it has
// not adopted.
func (c *Cell) NeedsTicks() bool {
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

// advance applies all decisions that are due by now.
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
	jobs := make([]*jobState, 0, len(c.jobs))
	for _, w := range c.jobs {
		jobs = append(jobs, w)
	}
	sortByID(jobs)
	return jobs
}
