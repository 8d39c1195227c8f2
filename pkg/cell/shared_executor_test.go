package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// When a front dies together with the owner, runs of other fronts on the same executors must
// outlast the grace period of its orphans.
func TestRunsBesideThoseOfADeadFrontOutlastATakeover(t *testing.T) {
	for phase := range 10 {
		c := qt.New(t)
		model := newChain()
		model.advance(50 * ms)
		model.neighbour = model.submitLong("beside")
		orphaned := model.submitLong("left")
		model.advance(300*ms + time.Duration(phase)*25*ms)
		orphaned.frontCrashed = true
		model.takeOver(takeover{after: 250 * ms})
		model.advance(1500 * ms)
		c.Assert(model.executors[0].runs["beside.0.0.0"].number, qt.Equals, int64(1), qt.Commentf("phase %d: the run has lapsed", phase))
	}
}

// All jobs of a former owner are returned at about the same time, possibly later than
// sharedOrphanGrace after the adoption. The first one must not have the runs of the others
// stopped.
func TestJobsReturnedTogetherKeepTheirRuns(t *testing.T) {
	for _, late := range []time.Duration{50 * ms, 150 * ms, 250 * ms} {
		c := qt.New(t)
		d := newDriver(c, testExecutor(0))
		runs := []RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 80}, {Task: "b.0.0.0", Run: 1, Percent: 80}}
		d.answerHolds(runs...)
		for until := d.now + late; d.now < until; {
			d.tick(25 * ms)
			d.answerHolds(runs...)
		}
		c.Assert(d.takeCommands(Stop), qt.HasLen, 0)
		d.submit(testJob("a", 1, d.now), 2)
		d.now += ms
		d.submit(testJob("b", 1, d.now), 2)
		stops := d.takeCommands(Stop)
		if len(stops) > 0 {
			t.Errorf("the jobs are returned %s after the adoption, 1 ms apart: %s is stopped at 80%%", late, stops[0].Task)
		}
	}
}
