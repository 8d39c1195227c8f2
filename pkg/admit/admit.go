package admit

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// shortestReturn is the least time that a refused caller is told to wait.
const shortestReturn = 50 * time.Millisecond

// Load is what an admission decision looks at.
type Load struct {
	Waiting     int           // tasks that wait at this host
	TeamWaiting int           // those of the job's team
	Capacity    int           // slots that this host can use
	Weight      int           // of the job's team
	WeightSum   int           // of the teams with work
	Quota       int           // of the job's team; 0 for no limit
	MeanTask    time.Duration // over recent tasks
	MaxQueue    int           // tasks of one team that may wait
}

// Decide returns nil when a job of the given tasks is taken in, or why not.
// left is the time to its deadline; unit, a random number in [0, 1), spreads
// the times to come back.
func Decide(load Load, tasks int, left time.Duration, unit float64) *errkind.Error {
	if load.Capacity <= 0 {
		return refuse(errkind.NoTarget, time.Second, unit, "no target of the pool can be used from here")
	}
	if load.TeamWaiting > 0 && load.TeamWaiting+tasks > load.MaxQueue {
		drain := load.drain(load.TeamWaiting + tasks - load.MaxQueue)
		return refuse(errkind.Overloaded, drain, unit, "the team has %d tasks waiting, and %d more exceed max_queue = %d", load.TeamWaiting, tasks, load.MaxQueue)
	}
	if left <= 0 {
		return refuse(errkind.DeadlineTooShort, 0, unit, "the deadline has passed")
	}
	expected := load.Expect(tasks)
	if expected > left {
		return refuse(errkind.Overloaded, expected-left, unit, "the job would take about %s and its deadline is in %s", expected.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

// Expect returns about how long a job of the given tasks would take now.
func (l Load) Expect(tasks int) time.Duration {
	if l.MeanTask == 0 {
		return 0 // nothing measured yet
	}
	return min(l.drain(l.Waiting+tasks), l.teamDrain(l.TeamWaiting+tasks)) + l.MeanTask
}

// drain returns how long the pool takes to start n waiting tasks.
func (l Load) drain(n int) time.Duration {
	return time.Duration(float64(l.MeanTask) * float64(n-1) / float64(max(1, l.Capacity)))
}

// teamDrain returns how long the team's own share takes to start n tasks.
func (l Load) teamDrain(n int) time.Duration {
	share := float64(l.Capacity) * float64(l.Weight) / float64(max(1, l.WeightSum))
	if l.Quota > 0 {
		share = min(share, float64(l.Quota))
	}
	return time.Duration(float64(l.MeanTask) * float64(n-1) / max(1, share))
}

// refuse makes a refusal with a time to come back, spread over as much again
// so that refused callers do not return together.
func refuse(kind errkind.Kind, wait time.Duration, unit float64, format string, args ...any) *errkind.Error {
	wait = max(shortestReturn, wait)
	err := errkind.New(kind, "submit a new id when the time to come back has passed, or allow a longer deadline", format, args...)
	err.RetryAfter = wait + time.Duration(unit*float64(wait))
	return err
}
