package job

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A job with one of these would take all memory, or end the process.
func TestCheckFindsJobsThatCanNotBeCarriedOut(t *testing.T) {
	type scenario struct {
		testName string
		change   func(j *Job)
		valid    bool
	}
	scenarios := []scenario{
		{testName: "a job", change: func(*Job) {}, valid: true},
		{testName: "no id", change: func(j *Job) { j.ID = "" }},
		{testName: "no steps", change: func(j *Job) { j.Steps = nil }},
		{testName: "a step without tasks", change: func(j *Job) { j.Steps[1].Count = 0 }},
		{testName: "a negative count", change: func(j *Job) { j.Steps[1].Count = -1 }},
		{testName: "too many tasks", change: func(j *Job) { j.Steps[1].Count = math.MaxUint32 }},
		{testName: "too many tasks together", change: func(j *Job) { j.Steps[0].Count, j.Steps[1].Count = MaxTasks, 1 }},
		{testName: "a step after itself", change: func(j *Job) { j.Steps[1].After = []int{1} }},
		{testName: "a step after one that isn't there", change: func(j *Job) { j.Steps[1].After = []int{math.MaxUint32} }},
		{testName: "a negative need", change: func(j *Job) { j.Steps[0].Needs.CPU = -1 }},
		{testName: "a need that is too large", change: func(j *Job) { j.Steps[0].Needs.MemoryMB = math.MaxInt64 }},
		{testName: "a negative estimate", change: func(j *Job) { j.Steps[0].Estimate = -time.Second }},
		{testName: "an estimate that is too large", change: func(j *Job) { j.Steps[0].Estimate = 1000 * 24 * time.Hour }},
		{testName: "a negative stretch", change: func(j *Job) { j.Stretch = -1 }},
		{testName: "a stretch that is no number", change: func(j *Job) { j.Stretch = math.NaN() }},
		{testName: "a stretch that is too large", change: func(j *Job) { j.Stretch = 1e300 }},
		{testName: "a part", valid: true, change: func(j *Job) { j.Steps = j.Steps[:1]; j.Part = Part{Whole: "w", First: 3, Of: 5} }},
		{testName: "a part beyond its job", change: func(j *Job) { j.Steps = j.Steps[:1]; j.Part = Part{Whole: "w", First: 4, Of: 5} }},
		{testName: "a part of a job that is too large", change: func(j *Job) {
			j.Steps = j.Steps[:1]
			j.Part = Part{Whole: "w", First: math.MaxUint32 - 2, Of: math.MaxUint32}
		}},
		{testName: "a part of two steps", change: func(j *Job) { j.Part = Part{Whole: "w", Of: 5} }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			j := &Job{ID: "a", Stretch: 2, Steps: []Step{{Count: 2, Needs: Resources{CPU: 500}, Estimate: time.Second}, {Count: 1, After: []int{0}}}}
			s.change(j)
			qt.Assert(t, j.Check() == nil, qt.Equals, s.valid)
		})
	}
}

// The objective of a job must not overflow, or the job would count as late from the start.
func TestObjectivesOutOfRangeAreClamped(t *testing.T) {
	c := qt.New(t)
	j := &Job{Kept: true, Stretch: 1e9, Target: 100 * 365 * 24 * time.Hour}
	for i := range 1000 {
		j.Steps = append(j.Steps, Step{Count: 1, Estimate: MaxFigure * time.Millisecond})
		if i > 0 {
			j.Steps[i].After = []int{i - 1}
		}
	}
	c.Assert(j.LongestChain() > 0, qt.IsTrue)
	c.Assert(j.Objective(j.LongestChain()) > 0, qt.IsTrue)
	c.Assert(j.UsefulUntil(j.LongestChain()) > 0, qt.IsTrue)
}

// The work of a job must not overflow, or the cell that has it would seem to be idle.
func TestWorkOutOfRangeIsClamped(t *testing.T) {
	huge := Step{Count: 1000, Needs: Resources{CPU: MaxFigure}, Estimate: MaxFigure * time.Millisecond}
	qt.Check(t, (&Job{Steps: []Step{huge, huge}}).Work(), qt.Equals, int64(MaxWork))
	qt.Check(t, (&Job{Steps: []Step{huge}, Part: Part{Whole: "w", Of: 1000}}).Work(), qt.Equals, int64(MaxWork))
	small := Step{Count: 3, Needs: Resources{CPU: 500}, Estimate: time.Second}
	qt.Check(t, (&Job{Steps: []Step{small, small}}).Work(), qt.Equals, int64(3_000_000))
}
