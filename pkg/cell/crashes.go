package cell

import (
	"slices"
	"strconv"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// A task may crash each executor that starts it, and all that runs beside it dies with the
// executor. When an executor is lost, nothing tells which of its runs was to blame, or
// whether any was. So all of their tasks are suspects: each runs alone next, where an
// executor without runs can be had, and nothing is started beside it. An innocent one ends
// well there. A task under which a second executor crashes is given up, and its job fails.
//
// An executor that has fallen silent may have crashed, or may be cut off; only its next
// life, or its next answer, tells. A task under which two executors were lost that way waits
// for the word, or it would take out one after the other until the first one is back.

const (
	// maxCrashes is under how many executors that crashed a task is given up. Its runs
	// are known to have begun there.
	maxCrashes = 2
	// maxLikelyCrashes is the same where starts without an answer count too: the executor
	// may have been gone before them. The users allow a task that crashes its executors
	// five starts.
	maxLikelyCrashes = 5
	// firstLossPause is how long a task waits for word of executors that were lost under it,
	// and doubles with each. Executors that crash are back, and listed, within some seconds.
	firstLossPause = 3 * time.Second
	// maxLossDoublings bounds that to 48 s.
	maxLossDoublings = 4
	// restartCheckTime is how long an executor that isn't listed any more is asked whether
	// another life has begun at its address.
	restartCheckTime = 5 * time.Second
)

// losses are the executors that were lost under a task.
type losses struct {
	crashes       int           // those that have crashed under runs that had begun
	likelyCrashes int           // those that have crashed while a start of it had no answer
	unresolved    int           // those of which it isn't known yet
	lastAt        time.Duration // the newest one was lost, on our clock
}

// lostRun is a run that was given up because its executor fell silent.
type lostRun struct {
	job        *jobState
	task       *task
	hadStarted bool // the run is known to have begun there
	at         time.Duration
}

func newLostRun(r *run, now time.Duration) lostRun {
	return lostRun{job: r.job, task: r.task, hadStarted: r.confirmed || r.state == running, at: now}
}

// isSuspect reports whether an executor was lost under the task.
func (t *task) isSuspect() bool { return t.losses.total() > 0 }

func (l *losses) total() int { return l.crashes + l.likelyCrashes + l.unresolved }

// isPausedByLosses reports whether a task waits for word of the executors that were lost under it.
func (t *task) isPausedByLosses(now time.Duration) bool {
	if t.losses.unresolved == 0 || t.losses.total() < maxCrashes {
		return false
	}
	doublings := min(t.losses.total()-maxCrashes, maxLossDoublings)
	return now < t.losses.lastAt+firstLossPause<<doublings
}

// hasCrashedTooOften reports whether as many executors have crashed under the task as it may take.
func (t *task) hasCrashedTooOften() bool {
	return !t.done && (t.losses.crashes >= maxCrashes || t.losses.crashes+t.losses.likelyCrashes >= maxLikelyCrashes)
}

// recordLostRun notes that a run is given up because its executor has fallen silent.
func (c *Cell) recordLostRun(e *executor, r *run, now time.Duration) {
	if r.task == nil || r.state == stopping {
		return
	}
	e.lostRuns = append(e.lostRuns, newLostRun(r, now))
	r.task.losses.unresolved++
	r.task.losses.lastAt = now
}

// clearLostRuns takes that a silent executor lives on: it didn't crash under what was given up.
func (c *Cell) clearLostRuns(e *executor) {
	for _, lost := range e.lostRuns {
		lost.task.losses.unresolved--
	}
	c.dirty = c.dirty || len(e.lostRuns) > 0
	e.lostRuns = nil
}

// awaitsRestartCheck reports whether it isn't known yet if the executor has crashed under runs
// that were given up a short time ago.
func (e *executor) awaitsRestartCheck(now time.Duration) bool {
	return len(e.lostRuns) > 0 && !e.ended && now < e.lostRuns[len(e.lostRuns)-1].at+restartCheckTime
}

// recordCrash takes that an executor's life has ended, under what it ran and what was given
// up since it fell silent. Starts that are under way have found it gone, as their answers
// will tell. One that was to leave has ended as planned.
func (c *Cell) recordCrash(e *executor, now time.Duration) {
	lost := e.lostRuns
	c.clearLostRuns(e)
	if e.info.Draining {
		return
	}
	for _, r := range e.sortedRuns() {
		if r.task != nil && r.state != stopping && r.state != starting {
			lost = append(lost, newLostRun(r, now))
		}
	}
	for _, l := range lost {
		c.countCrash(e, l)
	}
}

func (c *Cell) countCrash(e *executor, lost lostRun) {
	t, w := lost.task, lost.job
	if lost.hadStarted {
		t.losses.crashes++
	} else {
		t.losses.likelyCrashes++
	}
	t.losses.lastAt = max(t.losses.lastAt, lost.at)
	c.addNotice(Notice{Event: "executor_crashed_under", Executor: string(e.incarnation), Job: w.job.ID, Task: w.job.TaskName(t.key), Detail: strconv.Itoa(t.losses.crashes)})
	if c.jobs[w.job.ID] == w && t.hasCrashedTooOften() {
		c.finish(w, job.Outcome{Kind: job.Failed, Reason: ReasonCrashes, Started: true})
	}
}

// ReasonCrashes marks a job that failed because executors have crashed under one of its
// tasks.
const ReasonCrashes = "executors_crashed_under_task"

// idleExecutors returns the executors that run nothing.
func idleExecutors(executors []*executor) []*executor {
	return slices.DeleteFunc(slices.Clone(executors), func(e *executor) bool { return len(e.runs) > 0 })
}
