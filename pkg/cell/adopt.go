package cell

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// IsTakeoverComplete reports whether no run of a former owner can be alive that this owner does
// not know: every executor has answered, or its leases have expired.
func (c *Cell) IsTakeoverComplete(now time.Duration) bool {
	return c.allAdopted() || c.allFormerLeasesOver(now)
}

// KnowsKeptRuns reports whether no run of a kept job can be alive that this owner does not know.
func (c *Cell) KnowsKeptRuns(now time.Duration) bool {
	if c.ownerMayLive {
		return c.allAdopted() && !c.lacksAnswers()
	}
	return c.allAdopted() || now > c.ownerBoundedAt+keptRunsEndWithin && c.allFormerLeasesOver(now)
}

// CountAdopted returns how many of the known executors have answered this owner, and how many have
// not.
func (c *Cell) CountAdopted() (adopted, unanswered int) {
	for _, e := range c.sorted {
		if e.adopted {
			adopted++
		} else {
			unanswered++
		}
	}
	return adopted, unanswered
}

// HasRunsOf reports whether executors list runs of a job, whether or not the job is here: a former
// owner may have started them.
func (c *Cell) HasRunsOf(id string) bool {
	for _, e := range c.sorted {
		for name := range e.runs {
			if parent, _, ok := parseTaskName(name); ok && parent == id {
				return true
			}
		}
	}
	return false
}

// longestLease is how long, on our clock, a lease can last that was granted just now.
func (c *Cell) longestLease() time.Duration {
	return withDrift(c.params.LongestLease)
}

// formerLeasesOver reports whether all leases have expired that a former owner can have granted
// to an executor that is not adopted. If its responses had unreadable entries, the former owner
// may have granted leases until the first of them.
func (c *Cell) formerLeasesOver(e *executor, now time.Duration) bool {
	if e.grantedUntil > 0 && e.clock.lowerBound(now) <= e.grantedUntil+c.params.StopTime {
		return false
	}
	return now > c.claimedAt+c.longestLease()
}

// allFormerLeasesOver reports whether all leases of former owners have expired at executors that
// are not adopted, including incarnations that are not listed yet.
func (c *Cell) allFormerLeasesOver(now time.Duration) bool {
	if now <= c.claimedAt+c.longestLease() || now < c.unlistedIncarnationsLeaseEnd() {
		return false
	}
	for _, e := range c.sorted {
		if !e.adopted && !e.ended && !c.formerLeasesOver(e, now) {
			return false
		}
	}
	return true
}

// allAdopted reports whether every executor that the former owner can have known has answered
// this one.
func (c *Cell) allAdopted() bool {
	return c.listComplete && !slices.ContainsFunc(c.sorted, c.mayHideFormerRuns)
}

// adoptedFor reports whether every executor has answered this owner at which a job may have runs
// that are not known here. Executors that are leaving may never answer. A job whose former owners
// have named its runs waits for those of them that are named only.
func (c *Cell) adoptedFor(w *jobState) bool {
	if !w.runsNamed {
		return c.allAdopted()
	}
	return c.listComplete && !slices.ContainsFunc(c.sorted, func(e *executor) bool { return c.mayHideFormerRuns(e) && !e.isLeaving() })
}

// mayHideFormerRuns reports whether an executor may have runs of a former owner that it has not
// listed to this one. After an ended incarnation that is still listed another one may follow, which
// is not listed yet, unless the executor at its address has answered: then that one has listed all
// that runs there. A second id at an address may be another writer's, and stand for good.
func (c *Cell) mayHideFormerRuns(e *executor) bool {
	return !e.adopted && (!e.ended || e.listed && !c.isAnsweredAt(e.info.Address))
}

// isAnsweredAt reports whether an executor at an address has answered this owner.
func (c *Cell) isAnsweredAt(address string) bool {
	return slices.ContainsFunc(c.sorted, func(e *executor) bool { return e.adopted && !e.ended && e.info.Address == address })
}

// isLeaving reports whether the executor has left the list or gets no new work.
func (e *executor) isLeaving() bool { return !e.listed || !e.info.TakesWork() }

// awaitUnknownRuns sets until when a job that another owner had waits for runs at executors that
// have not answered this owner, or that may have been forgotten. How long the former have been
// unreachable does not matter, as the former owner may have reached them.
func (c *Cell) awaitUnknownRuns(w *jobState, h Handover, now time.Duration) {
	until := max(now+max(c.longestLease(), c.params.JobLease), c.unlistedIncarnationsLeaseEnd())
	if !h.NamesRuns && c.mayHaveRunsAtVanished(w) {
		w.notBefore = max(w.notBefore, until)
	}
	if c.adoptedFor(w) && !c.lacksAnswers() {
		return
	}
	w.unadoptedUntil = until
	if w.job.Kept && !h.NamesRuns {
		w.lostOwnerUntil = now + keptRunsEndWithin
	}
}

// listDelay is how much later than this owner's list the list of a former owner may have withheld
// a vanished executor for good.
const listDelay = time.Second

// mayHaveRunsAtVanished reports whether a lost owner may have started tasks of a job at executors
// that had left the list so long before this owner's claim that its list lacks them, or that were
// forgotten here since. The latter have never obeyed this owner, so the lost one may have renewed
// their leases until its end.
func (c *Cell) mayHaveRunsAtVanished(w *jobState) bool {
	return w.job.Received < c.claimedAt-(c.params.ListRetention-listDelay) || c.forgotAt > 0 && w.job.Received < c.forgotAt
}

// parseTaskName splits the name of a task into its job's id and its key.
func parseTaskName(name string) (string, job.TaskKey, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", job.TaskKey{}, false
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	return parts[0], job.TaskKey{Step: step, Index: index}, stepErr == nil && indexErr == nil
}

// findTask returns the task with the given name at executors, and its job or the part of it that
// is here, or nil.
func (c *Cell) findTask(name string) (*jobState, *task) {
	id, key, ok := parseTaskName(name)
	if !ok {
		return nil, nil
	}
	for _, w := range c.byParent[id] {
		if t := w.task(key); t != nil {
			return w, t
		}
	}
	return nil, nil
}

// adoptRun adds a run that a former owner started, and attaches it to its job if that is here.
func (c *Cell) adoptRun(e *executor, entry RunningTask, now time.Duration) {
	r := &run{executor: e, name: entry.Task, number: entry.Run, state: running, confirmed: true, startResolvedAt: now, percent: entry.Percent}
	e.addRun(r)
	c.reportConcurrentRuns(r, now)
	if w, t := c.findTask(entry.Task); t != nil {
		c.attachRun(w, t, r, now)
	}
	if r.job == nil {
		c.addNotice(Notice{Event: "orphan_found", Executor: e.info.ID, Task: entry.Task, Detail: strconv.FormatInt(entry.Run, 10)})
	}
}

// attachRun attaches a run to its task if the task is waiting. This includes runs that are being
// stopped, as the task cannot start again before their end.
func (c *Cell) attachRun(w *jobState, t *task, r *run, now time.Duration) {
	if t == nil || t.done || t.current != nil {
		return
	}
	step := &w.job.Steps[t.key.Step]
	if r.executor.firstAttachAt == 0 {
		r.executor.firstAttachAt = now
	}
	r.executor.used = r.executor.used.Sub(r.needs).Add(step.Needs)
	r.job, r.task, r.needs = w, t, step.Needs
	r.estimate = r.executor.slowdown.scale(w.estimate(t.key.Step))
	t.current = r
	t.lastRun = max(t.lastRun, r.number)
	if w.job.Kept {
		r.attachedAt = now // no deadline ends a stalled run of a kept job, so its progress is checked
	}
	w.mayHaveStarted, w.knownStarted = true, true
	c.addNotice(Notice{Event: "run_adopted", Executor: r.executor.info.ID, Job: w.job.ID, Task: r.name, Detail: strconv.FormatInt(r.number, 10)})
}

// adoptDoneTask records that a task was completed under a former owner.
func (c *Cell) adoptDoneTask(name string) {
	w, t := c.findTask(name)
	if t == nil {
		c.unmatchedDone[name] = true
		return
	}
	if t.current == nil {
		t.done, w.mayHaveStarted = true, true
		c.finishIfDone(w)
	}
}

// adoptRuns attaches to a job the runs and ends that a former owner left.
func (c *Cell) adoptRuns(w *jobState, now time.Duration) {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			name := w.job.TaskName(t.key)
			if c.unmatchedDone[name] {
				t.done, w.mayHaveStarted = true, true
				delete(c.unmatchedDone, name)
			}
			for _, e := range c.sorted {
				if r := e.runs[name]; r != nil && r.job == nil {
					c.attachRun(w, t, r, now)
				}
			}
		}
	}
}

// Orphans are kept for less time beside runs of known jobs, whose leases cannot be renewed
// meanwhile. The time is shorter than what is left of these leases after a takeover, and
// long enough for the jobs to be handed over. With the default settings, at least 200 ms are
// left if the next owner claims 250 ms after the death of the former one; jobs are handed over
// within some 50 ms of the adoption.
const (
	sharedOrphanGrace = 150 * time.Millisecond // from the adoption
	attachGrace       = 50 * time.Millisecond  // from the first attached run: the other jobs arrive at about the same time
)

// orphanGrace returns how long orphans are kept at an executor after its adoption.
func (c *Cell) orphanGrace(e *executor) time.Duration {
	for _, r := range e.runs {
		if r.job != nil {
			return min(max(sharedOrphanGrace, e.firstAttachAt+attachGrace-e.adoptedAt), c.params.OrphanGrace)
		}
	}
	return c.params.OrphanGrace
}

// stopOrphans stops the runs whose jobs were not handed over in time.
func (c *Cell) stopOrphans(e *executor, now time.Duration) {
	if !e.adopted || !e.hasOrphans() || now < e.adoptedAt+c.orphanGrace(e) {
		return
	}
	for _, r := range e.sortedRuns() {
		if r.isOrphan() {
			c.stopRun(r, "orphan")
		}
	}
}

// supersede ends the jobs here that share tasks with w: the same job, split differently. Its
// caller has resubmitted it through a front that split it in another way, so nobody waits for
// the former parts. Their runs continue for w.
func (c *Cell) supersede(w *jobState) {
	for _, old := range slices.Clone(c.byParent[w.job.WholeID()]) {
		if !old.overlaps(w) {
			continue
		}
		progress := c.progress(old)
		w.applyProgress(progress, c.lastEventAt)
		c.recordFormerRuns(w, progress, c.lastEventAt)
		w.mayHaveStarted = w.mayHaveStarted || old.mayHaveStarted
		for _, r := range old.detachRuns(c.finalLeaseEnd(old)) {
			r.executor.mayHaveOrphans = true
		}
		c.finish(old, job.Outcome{Kind: job.Expired, Reason: "superseded", Started: true})
	}
}

// overlaps reports whether both have a task in common.
func (w *jobState) overlaps(o *jobState) bool {
	for _, tasks := range w.steps {
		for _, t := range tasks {
			if o.task(t.key) != nil {
				return true
			}
		}
	}
	return false
}
