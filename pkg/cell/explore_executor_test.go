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
	ends   time.Duration // on our clock
	kind   EndKind
}

// modelExecutor follows the users' protocol for leases.
type modelExecutor struct {
	id       string
	rate     float64 // of its clock to ours
	fence    int64
	deadline time.Duration
	runs     map[string]modelRun
	highest  map[string]int64
	ended    []EndedTask // those that it hasn't forgotten
	next     int64
	cut      bool
	hides    bool // its answers tell of no run
	lapses   int  // so often all leases have ended
	lapsed   bool // and none was given since
	onEnd    func(e *modelExecutor, end EndedTask)
	onNoted  func(e *modelExecutor, end EndedTask) // an owner has seen it

	born   int64         // when its life began, as it tells it; 0 when it doesn't
	bornAt time.Duration // on our clock
	lives  int

	refuses    bool // it carries nothing out, and says so
	misanswers bool // its answers don't say whether it has carried anything out
}

func newModelExecutor(i int, rate float64) *modelExecutor {
	return &modelExecutor{id: executorID(i), rate: rate, runs: map[string]modelRun{}, highest: map[string]int64{}}
}

func (e *modelExecutor) clock(now time.Duration) time.Duration {
	if e.lives > 0 {
		return time.Duration(float64(now-e.bornAt) * e.rate)
	}
	return time.Hour + time.Duration(float64(now)*e.rate)
}

// bear ends all that it runs and knows: another life begins under its id.
func (e *modelExecutor) bear(now time.Duration) {
	e.lives++
	e.born, e.bornAt = int64(e.lives+1), now
	e.fence, e.deadline, e.next = 0, 0, 0
	e.runs, e.highest, e.ended = map[string]modelRun{}, map[string]int64{}, nil
}

// info returns what it publishes of itself.
func (e *modelExecutor) info(number int) catalog.Executor {
	info := testExecutor(number)
	info.StartedAt = e.born
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

// pass ends what is over by now.
func (e *modelExecutor) pass(now time.Duration) {
	lapsed := e.clock(now) >= e.deadline
	if lapsed && !e.lapsed {
		e.lapses++
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

// obey carries an order out and returns its verdict. A run that it starts goes
// on for as long as lasts says, and ends so.
func (e *modelExecutor) obey(command Command, lasts func() (time.Duration, EndKind), now time.Duration) Verdict {
	e.pass(now)
	if command.Token < e.fence {
		return Fenced
	}
	e.fence = command.Token
	switch command.Kind {
	case Hold:
		e.extend(command.Deadline, now)
		e.forget(command.LastSeen)
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

// forget drops the ends that an owner has seen.
func (e *modelExecutor) forget(lastSeen int64) {
	index, _ := slices.BinarySearchFunc(e.ended, lastSeen+1, func(end EndedTask, number int64) int { return cmp.Compare(end.Number, number) })
	if e.onNoted != nil {
		for _, end := range e.ended[:index] {
			e.onNoted(e, end)
		}
	}
	e.ended = e.ended[index:len(e.ended):len(e.ended)]
}

// ends returns the ends that a hold lists: at most 500 at once.
func (e *modelExecutor) ends() []EndedTask {
	count := min(len(e.ended), 500)
	return e.ended[:count:count]
}

// running returns the runs that a hold lists.
func (e *modelExecutor) running() []RunningTask {
	var running []RunningTask
	for _, task := range slices.Sorted(maps.Keys(e.runs)) {
		running = append(running, RunningTask{Task: task, Run: e.runs[task].number, Percent: 50})
	}
	return running
}
