//go:build review2

package main

import "time"

// finishTime is finish_s: so long after the end of the traffic the jobs are asked for.
const finishTime = 14 * time.Second

// judgeAtEnd is called at the end of the traffic. It waits for finish_s and the 3 s of the rule LOST,
// and reports whether no job had nothing running in these 3 s while tasks of it weren't done. The plays
// keep the workers under half in use, with room for each job twice over.
func (w *world) judgeAtEnd(jobs []*keptJob) bool {
	w.note("the traffic ends")
	time.Sleep(finishTime + idleBound)
	now := time.Now()
	from, idleJobs := now.Add(-idleBound), 0
	type seen struct {
		done      int
		idleSince time.Time
	}
	all := map[string]seen{}
	for _, j := range jobs {
		all[j.id] = seen{done: w.doneTasks(j), idleSince: w.idleSince(j)}
	}
	inUse := w.mostInUse(jobs, from)
	for _, j := range jobs {
		a := w.ask(j, w.alive())
		done, idleSince := all[j.id].done, all[j.id].idleSince
		isIdle := done < j.tasks() && !idleSince.IsZero() && !idleSince.After(from)
		if isIdle || a.status != 200 {
			idleJobs++
			w.note("job %s: %d of %d tasks done, state %q; nothing of it has run since %.3f", j.id, done, j.tasks(), j.state, idleSince.Sub(w.begin).Seconds())
		} else {
			w.note("job %s: %d of %d tasks done, state %q", j.id, done, j.tasks(), j.state)
		}
		w.noteRuns(j)
	}
	w.note("%d jobs accepted; %d of them have had nothing running for over %s, or aren't known; at most %.3f of the workers' processors were in use in this time",
		len(jobs), idleJobs, idleBound, inUse)
	return idleJobs == 0 && len(jobs) > 0
}
