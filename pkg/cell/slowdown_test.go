package cell

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The expected run time has to follow executors that are permanently slower or faster than
// others.
func TestSlowdownOfAnExecutor(t *testing.T) {
	type scenario struct {
		testName string
		took     []time.Duration // for an expected 100 ms
		want     time.Duration
	}
	repeated := func(took time.Duration, times int) []time.Duration {
		var all []time.Duration
		for range times {
			all = append(all, took)
		}
		return all
	}
	scenarios := []scenario{
		{testName: "nothing is known", want: 100 * ms},
		{testName: "too few runs", took: repeated(167*ms, minSlowdownRuns-1), want: 100 * ms},
		{testName: "a slow executor", took: repeated(167*ms, minSlowdownRuns), want: 167 * ms},
		{testName: "a fast executor", took: repeated(63*ms, 50), want: 63 * ms},
		{testName: "one task that hung", took: append(repeated(100*ms, 19), time.Minute), want: 108 * ms},
		{testName: "a fast executor that has become slow", took: append(repeated(63*ms, 50), repeated(167*ms, 3*slowdownWindow)...), want: 159 * ms},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var p slowdown
			for _, took := range s.took {
				p.observe(100*ms, took)
			}
			got := p.scale(100 * ms)
			qt.Assert(t, math.Abs(float64(got-s.want)) < float64(3*ms), qt.IsTrue, qt.Commentf("got %s", got))
		})
	}
}

func TestAFastExecutorIsPreferred(t *testing.T) {
	c := qt.New(t)
	d := newAdoptedDriver(c, 3)
	for range minSlowdownRuns {
		d.cell.executors[testIncarnation(0)].slowdown.observe(100*ms, 167*ms)
		d.cell.executors[testIncarnation(1)].slowdown.observe(100*ms, 100*ms)
		d.cell.executors[testIncarnation(2)].slowdown.observe(100*ms, 63*ms)
	}
	d.submit(testJob("a", 1, d.now), 1)
	start := d.takeCommands(Start)
	c.Assert(start, qt.HasLen, 1)
	c.Assert(start[0].Executor.ID, qt.Equals, executorID(2))
	near(c, d.cell.executors[testIncarnation(2)].runs[start[0].Task].estimate, 126*ms)
}
