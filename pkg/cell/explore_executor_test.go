package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
)

// modelRun is a run on a model executor.
type modelRun struct {
	number int64
	ends   time.Duration // on the simulation's clock
	kind   EndKind
}

// modelExecutor implements the executor's side of the lease protocol.
type modelExecutor struct {
	id           string
	clockRate    float64 // relative to the simulation's clock
	fence        int64
	deadline     time.Duration
	runs         map[string]modelRun
	highest      map[string]int64
	ended        []EndedTask // ends that it hasn't forgotten
	next         int64
	disconnected bool
	cutOffFrom   map[commandSender]bool // owners whose commands and holds don't arrive
	hidesRuns    bool                   // its hold responses report all runs as unreadable
	lapseCount   int                    // how many times all leases expired
	lapsed       bool                   // the leases have expired and none was given since
	onEnd        func(e *modelExecutor, end EndedTask)
	onForget     func(e *modelExecutor, end EndedTask) // called for each end that an owner has seen and that is therefore forgotten

	startedAt    int64         // when its incarnation started, as it publishes it; 0 if it doesn't
	restartedAt  time.Duration // on the simulation's clock
	initialClock time.Duration // clock reading at which the incarnation started
	restarts     int

	refuses        bool // it carries out no command, and says so
	answersUnclear bool // its answers don't say whether it carried out the command
}

func newModelExecutor(i int, rate float64) *modelExecutor {
	return &modelExecutor{id: executorID(i), clockRate: rate, initialClock: time.Hour, runs: map[string]modelRun{}, highest: map[string]int64{}, cutOffFrom: map[commandSender]bool{}}
}

// isReachedBy reports whether commands of an owner arrive.
func (e *modelExecutor) isReachedBy(o commandSender) bool { return !e.disconnected && !e.cutOffFrom[o] }

func (e *modelExecutor) clock(now time.Duration) time.Duration {
	return e.initialClock + time.Duration(float64(now-e.restartedAt)*e.clockRate)
}

// restart ends all runs, drops all state and begins another incarnation under the same
// id, with its clock at initialClock.
func (e *modelExecutor) restart(initialClock, now time.Duration) {
	e.restarts++
	e.startedAt, e.restartedAt = int64(e.restarts+1), now
	e.initialClock = initialClock
	e.fence, e.deadline, e.next = 0, 0, 0
	e.runs, e.highest, e.ended = map[string]modelRun{}, map[string]int64{}, nil
}

// info returns its published row.
func (e *modelExecutor) info(number int) catalog.Executor {
	info := testExecutor(number)
	info.StartedAt = e.startedAt
	return info
}

func (e *modelExecutor) finish(task string, kind EndKind) {
	run := e.runs[task]
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], run.number)
	e.next++
	end := EndedTask{Number: e.next, Task: task, Run: run.number, Kind: kind}
	e.ended = append(e.ended, end)
	if e.onEnd != nil {
		e.onEnd(e, end)
	}
}

// endDueRuns ends the runs that are finished or whose leases have expired by now.
func (e *modelExecutor) endDueRuns(now time.Duration) {
	lapsed := e.clock(now) >= e.deadline
	if lapsed && !e.lapsed {
		e.lapseCount++
	}
	e.lapsed = lapsed
	var over []string
	for task, run := range e.runs {
		if lapsed || now >= run.ends {
			over = append(over, task)
		}
	}
	slices.Sort(over)
	for _, task := range over {
		kind := e.runs[task].kind
		if lapsed {
			kind = EndLapsed
		}
		e.finish(task, kind)
	}
}

func (e *modelExecutor) extend(deadline, now time.Duration) {
	e.deadline = max(e.deadline, min(deadline, e.clock(now)+time.Second))
}

// apply applies a command and returns its verdict. The function lasts draws the
// duration and the end of a run that it starts.
func (e *modelExecutor) apply(command Command, lasts func() (time.Duration, EndKind), now time.Duration) Verdict {
	e.endDueRuns(now)
	if command.Token < e.fence {
		return Fenced
	}
	e.fence = command.Token
	switch command.Kind {
	case Hold:
		e.extend(command.Deadline, now)
		e.forget(command.AckedEnd)
	case Stop:
		if run, ok := e.runs[command.Task]; ok && run.number == command.Run {
			e.finish(command.Task, EndStopped)
		} else {
			e.highest[command.Task] = max(e.highest[command.Task], command.Run)
		}
	case Start:
		return e.begin(command, lasts, now)
	}
	return Accepted
}

func (e *modelExecutor) begin(command Command, lasts func() (time.Duration, EndKind), now time.Duration) Verdict {
	if command.Deadline <= e.clock(now) {
		return Late
	}
	e.extend(command.Deadline, now)
	if run, ok := e.runs[command.Task]; ok && run.number == command.Run {
		return Accepted
	}
	if _, ok := e.runs[command.Task]; ok || command.Run <= e.highest[command.Task] {
		return Outdated
	}
	length, kind := lasts()
	e.runs[command.Task] = modelRun{number: command.Run, ends: now + length, kind: kind}
	return Accepted
}

// forget drops the ends up to lastSeen, which an owner has seen.
func (e *modelExecutor) forget(lastSeen int64) {
	index, _ := slices.BinarySearchFunc(e.ended, lastSeen+1, func(end EndedTask, number int64) int { return cmp.Compare(end.Number, number) })
	if e.onForget != nil {
		for _, end := range e.ended[:index] {
			e.onForget(e, end)
		}
	}
	e.ended = e.ended[index:len(e.ended):len(e.ended)]
}

// ends returns the ends that a hold response lists: at most 500.
func (e *modelExecutor) ends() []EndedTask {
	count := min(len(e.ended), 500)
	return e.ended[:count:count]
}

// running returns the runs that a hold response lists.
func (e *modelExecutor) running() []RunningTask {
	var running []RunningTask
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		running = append(running, RunningTask{Task: task, Run: e.runs[task].number, Percent: 50})
	}
	return running
}
