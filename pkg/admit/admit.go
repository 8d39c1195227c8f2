package admit

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// minRetryAfter is the shortest RetryAfter of a refusal.
const minRetryAfter = 50 * time.Millisecond

// Load is the input of an admission decision.
type Load struct {
	Waiting     int           // queued tasks of all teams
	TeamWaiting int           // queued tasks of the job's team
	Capacity    int           // slots that can be used
	Weight      int           // of the job's team
	WeightSum   int           // of all teams with queued or running tasks
	Quota       int           // slots that the job's team may hold at once; 0 for no limit
	MeanTask    time.Duration // mean duration of recent tasks; 0 before the first
	MaxQueue    int           // queued tasks allowed per team
}

// Decide returns nil if a job with the given number of tasks is admitted, and
// the refusal otherwise. left is the time until its deadline. unit, a random
// number in [0, 1), spreads the RetryAfter of refusals.
func Decide(load Load, tasks int, left time.Duration, unit float64) *errkind.Error {
	if load.Capacity <= 0 {
		return refuse(errkind.NoTarget, time.Second, unit, "the pool has no usable target")
	}
	if load.TeamWaiting > 0 && load.TeamWaiting+tasks > load.MaxQueue {
		drain := load.drainTime(load.TeamWaiting + tasks - load.MaxQueue)
		return refuse(errkind.Overloaded, drain, unit, "the team has %d tasks waiting, and %d more exceed max_queue = %d", load.TeamWaiting, tasks, load.MaxQueue)
	}
	if left <= 0 {
		return refuse(errkind.DeadlineTooShort, 0, unit, "the deadline has passed")
	}
	expected := load.ExpectedDuration(tasks)
	if expected > left {
		return refuse(errkind.Overloaded, expected-left, unit, "the job would take about %s and its deadline is in %s", expected.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

// ExpectedDuration estimates how long a job with the given number of tasks
// would take if it were admitted now, including its time in the queue.
func (l Load) ExpectedDuration(tasks int) time.Duration {
	if l.MeanTask == 0 {
		return 0 // no task has ended yet
	}
	return min(l.drainTime(l.Waiting+tasks), l.teamDrainTime(l.TeamWaiting+tasks)) + l.MeanTask
}

// drainTime estimates how long the pool takes to start n queued tasks.
func (l Load) drainTime(n int) time.Duration {
	return time.Duration(float64(l.MeanTask) * float64(n-1) / float64(max(1, l.Capacity)))
}

// teamDrainTime estimates how long the team takes to start n queued tasks with
// no more than its fair share of the slots.
func (l Load) teamDrainTime(n int) time.Duration {
	share := float64(l.Capacity) * float64(l.Weight) / float64(max(1, l.WeightSum))
	if l.Quota > 0 {
		share = min(share, float64(l.Quota))
	}
	return time.Duration(float64(l.MeanTask) * float64(n-1) / max(1, share))
}

// refuse returns a refusal whose RetryAfter lies between wait and twice wait,
// so that callers refused together do not retry together.
func refuse(kind errkind.Kind, wait time.Duration, unit float64, format string, args ...any) *errkind.Error {
	wait = max(minRetryAfter, wait)
	err := errkind.New(kind, "submit a new id when the time to come back has passed, or allow a longer deadline", format, args...)
	err.RetryAfter = wait + time.Duration(unit*float64(wait))
	return err
}
