package cell

import (
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
)

// runState is the state of a run as the owner knows it.
type runState uint8

const (
	starting runState = iota // a start is in flight
	unknown                  // the outcome of the start is unresolved: the run may be running, or may start later
	running
	stopping // a stop was requested
)

// run is one start of a task on an executor. It occupies capacity until its end is listed,
// its start is refused, or its lease has certainly expired.
type run struct {
	executor        *executor
	name            string // task name at the executor
	number          int64
	job             *jobState // nil when no known job waits for the run
	task            *task     // nil when job is nil
	needs           job.Resources
	state           runState
	confirmed       bool          // this incarnation of the executor has listed the run
	stopPending     bool          // a stop waits for the answer to the start
	stopUnconfirmed bool          // the last stop may not have been carried out
	stopSentAt      time.Duration // when the last stop was sent, on our clock
	stopAcceptedAt  time.Duration // when the executor's next incarnation accepted the stop, on our clock; 0 before
	lease           time.Duration // lease of the start
	deadline        time.Duration // end of the start's lease, on the executor's clock
	firstSentAt     time.Duration // when the start was first sent, on our clock; 0 for a former owner's run
	copies          startCopies
	startResolvedAt time.Duration // when the start was resolved or a hold first listed the run, on our clock
	leaseEnd        time.Duration // of a run that no job waits for any more: the end of its job's lease, on our clock; 0 when unknown
	attachedAt      time.Duration // when a former owner's run was attached to a kept job, on our clock
	percent         int
	progressedAt    time.Duration // when its progress last changed, on our clock
	longReported    bool          // its task was logged as long
	estimate        time.Duration
	suspect         bool     // executors were lost while they ran its task
	left            *lostRun // it went on when its best-effort job left; nil if it has a job
}

// jobID returns the id of the job that waits for the run, or "".
func (r *run) jobID() string {
	if r.job == nil {
		return ""
	}
	return r.job.job.ID
}

// executor is the owner's state of one incarnation of an executor.
type executor struct {
	info             catalog.Executor
	incarnation      catalog.Incarnation
	listed           bool
	clock            remoteClock
	adopted          bool // it has answered a hold with our token
	adoptedAt        time.Duration
	firstAttachAt    time.Duration // when a run here was first attached to a job; 0 before
	ended            bool          // this incarnation is over
	endedAt          time.Duration // when the end was found, on our clock
	unresponsive     bool          // the last hold got no answer, or the last few failed
	mayHideRuns      bool          // the last hold response had unreadable entries
	unresolved       bool          // the outcome of a command is unknown, and no answer has come since
	holdInFlight     bool
	unansweredHoldAt time.Duration     // when the first of the holds was sent that have been overdue since the last answered one; 0 when there is none
	answeredAt       time.Duration     // when it last answered a hold with a list
	listRequestedAt  time.Duration     // when the newest hold that this incarnation has answered with a list was sent, on our clock
	listNeededAt     time.Duration     // a list is needed for a hold sent then or later; 0 when none is
	listClock        time.Duration     // executor's clock in the newest list of runs that was applied
	nextHoldAt       time.Duration     // no hold before
	polledAt         time.Duration     // when the last hold that renews nothing was sent
	fullUntil        time.Duration     // it has refused a start, and would refuse others until then
	leasesLimited    bool              // a job's lease keeps those here far below a full lease
	missedHolds      int               // consecutive holds that failed or were overdue
	grantSentAt      time.Duration     // when the last command that grants a lease was sent, on our clock
	grantedUntil     time.Duration     // latest end of a lease that a command of ours granted, on its clock
	acknowledgedEnd  int64             // up to which the last hold lets it forget ends
	lastEndNumber    int64             // number of the newest end that was applied
	unpersisted      []*unpersistedEnd // ends that it has to retain, oldest first
	nextListAt       time.Duration     // no hold before while it retains ends, as it would return at once
	runs             map[string]*run
	keptRuns         int           // number of runs of kept jobs
	lostRuns         []lostRun     // runs that were given up since it became unresponsive: it may have crashed while they ran
	loss             *executorLoss // since it became unresponsive or ended; nil before
	suspectRuns      int           // number of runs whose tasks are suspect
	mayHaveOrphans   bool          // false only when no run is an orphan
	used             job.Resources
	health           health
	slowdown         slowdown
}

func newExecutor(info catalog.Executor) *executor {
	return &executor{info: info, incarnation: info.Incarnation(), listed: true, runs: map[string]*run{}}
}

func (e *executor) free() job.Resources { return e.info.Capacity.Sub(e.used) }

// usable reports whether the executor may get work.
func (e *executor) usable(now time.Duration) bool {
	return e.listed && e.adopted && !e.ended && e.isStateKnown() && !e.info.Draining && e.info.TakesWork() && !e.hasOrphans() && e.health.allows(now)
}

// isStateKnown reports whether the executor's last answers show what it runs.
func (e *executor) isStateKnown() bool { return !e.unresponsive && !e.unresolved && !e.mayHideRuns }

func (e *executor) addRun(r *run) {
	e.runs[r.name] = r
	e.mayHaveOrphans = e.mayHaveOrphans || r.job == nil
	e.used = e.used.Add(r.needs)
	if r.suspect {
		e.suspectRuns++
	}
	if isKeptRun(r.number) {
		e.keptRuns++
	}
}

// hasOrphans reports whether the executor has runs of unknown jobs. Their resource needs are
// unknown, so nothing is started beside them.
func (e *executor) hasOrphans() bool {
	if !e.mayHaveOrphans {
		return false
	}
	for _, r := range e.runs {
		if r.isOrphan() {
			return true
		}
	}
	e.mayHaveOrphans = false
	return false
}

// isOrphan reports whether no known job waits for the run. Only runs that were found at an
// executor become orphans: the runs of a job that ends are stopped at once.
func (r *run) isOrphan() bool { return r.job == nil && r.state != stopping }

// removeRun removes a run from its executor and returns the run's task, which is waiting again
// unless the caller decides otherwise.
func (c *Cell) removeRun(r *run) *task {
	e := r.executor
	if e.runs[r.name] != r {
		return nil
	}
	delete(e.runs, r.name)
	e.used = e.used.Sub(r.needs)
	if r.suspect {
		e.suspectRuns--
	}
	if isKeptRun(r.number) {
		e.keptRuns--
	}
	c.dirty = true
	t := r.task
	if t != nil && t.current == r {
		t.current = nil
	}
	return t
}

// startTask starts a task on an executor.
func (c *Cell) startTask(e *executor, w *jobState, t *task, now time.Duration) {
	step := &w.job.Steps[t.key.Step]
	estimate := e.slowdown.scale(w.estimate(t.key.Step))
	lease := c.startLease(estimate)
	r := &run{
		executor:    e,
		name:        w.job.TaskName(t.key),
		number:      w.nextRunNumber(t),
		job:         w,
		task:        t,
		needs:       step.Needs,
		lease:       lease,
		deadline:    e.clock.estimate(now) + lease,
		firstSentAt: now,
		copies:      startCopies{sent: 1, pending: 1, sentAt: now},
		estimate:    estimate,
		suspect:     t.isSuspect(),
	}
	t.current = r
	w.mayHaveStarted, w.knownStarted = true, true
	e.addRun(r)
	r.deadline = c.limitLease(e, r.deadline, now)
	e.grantedUntil = max(e.grantedUntil, r.deadline)
	e.grantSentAt = now
	c.addNotice(Notice{Event: "task_started", Executor: e.info.ID, Job: w.job.ID, Task: r.name, Detail: strconv.FormatInt(r.number, 10), Age: now - w.job.Received})
	c.sendStart(r)
}

func (c *Cell) sendStart(r *run) {
	w := r.job
	c.pacer.sent(r.name, r.number, w.startBytes())
	c.commands = append(c.commands, Command{
		Kind: Start, Executor: r.executor.info, Token: c.token, Task: r.name, Run: r.number,
		Spec: w.job.Spec, Deadline: r.deadline, Job: w.job.ID,
	})
}

// findRun returns the run of a task with the given number, or nil.
func (e *executor) findRun(name string, number int64) *run {
	if r := e.runs[name]; r != nil && r.number == number {
		return r
	}
	return nil
}

// stopRun stops a run that no job waits for any more. The run occupies capacity until its end
// is listed.
func (c *Cell) stopRun(r *run, reason string) {
	if r.state == stopping {
		return
	}
	r.stopPending = r.state == starting
	r.state = stopping
	if r.executor.ended && !r.mayHaveReachedNextIncarnation() {
		return
	}
	c.addNotice(Notice{Event: "run_stopped", Executor: r.executor.info.ID, Task: r.name, Detail: reason, Run: r.number})
	if !r.stopPending {
		c.sendStop(r, reason)
	}
}

func (c *Cell) sendStop(r *run, reason string) {
	r.stopSentAt = c.lastEventAt
	c.commands = append(c.commands, Command{
		Kind: Stop, Executor: r.executor.info, Token: c.token, Task: r.name, Run: r.number, Reason: reason,
	})
}

// expireLeases gives up the runs of an unresponsive executor once its leases have expired. An
// executor on a busy machine may end runs later than their lease, by up to StopTime.
func (c *Cell) expireLeases(e *executor, now time.Duration) {
	if len(e.runs) == 0 || !e.unresponsive || e.ended {
		return
	}
	if e.clock.lowerBound(now) <= e.grantedUntil+c.params.StopTime {
		return
	}
	for _, r := range e.sortedRuns() {
		if c.nextIncarnationMayRun(r, now) {
			continue
		}
		c.addNotice(Notice{Event: "lease_over", Executor: e.info.ID, Job: r.jobID(), Task: r.name, Age: now - e.clock.readAt})
		c.recordLostRun(e, r, now)
		c.removeRun(r)
	}
}
