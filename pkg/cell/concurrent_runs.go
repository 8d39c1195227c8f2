package cell

import "time"

// EventConcurrentRuns is the event of a Notice about two runs of a task that may go on at once.
const EventConcurrentRuns = "task_runs_twice"

// RunAt identifies a run that a Notice compares with its own.
type RunAt struct {
	Executor string
	Number   int64
	IsOwn    bool          // this owner has ordered it
	SeenAgo  time.Duration // time since the executor last listed its runs
}

// reportConcurrentRuns reports other runs of a listed run's task whose ends are not known.
func (c *Cell) reportConcurrentRuns(r *run, now time.Duration) {
	for _, e := range c.sorted {
		other := e.runs[r.name]
		if other == nil || other == r || e.ended || !other.isKnownToRun() {
			continue
		}
		c.addNotice(Notice{
			Event: EventConcurrentRuns, Executor: r.executor.info.ID, Job: other.jobID(), Task: r.name, Run: r.number,
			Other: &RunAt{Executor: e.info.ID, Number: other.number, IsOwn: other.firstSentAt > 0, SeenAgo: now - e.answeredAt},
		})
	}
}

// isKnownToRun reports whether the executor has listed the run or has accepted its start.
func (r *run) isKnownToRun() bool { return r.confirmed || r.state == running }
