package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A front that died with the owner costs the callers of others nothing: their runs
// on the same executors outlast the grace of orphans.
func TestRunsBesideThoseOfADeadFrontOutlastATakeover(t *testing.T) {
	for phase := range 10 {
		c := qt.New(t)
		play := newChain()
		play.passTime(50 * ms)
		play.neighbour = play.submitLong("beside")
		left := play.submitLong("left")
		play.passTime(300*ms + time.Duration(phase)*25*ms)
		left.frontless = true
		play.takeOver(takeover{after: 250 * ms})
		play.passTime(1500 * ms)
		c.Assert(play.executors[0].runs["beside.0.0.0"].number, qt.Equals, int64(1), qt.Commentf("phase %d: it has lapsed", phase))
	}
}

// All jobs of a former owner come back at once, later than sharedGrace after the
// adoption. The first one that comes must not have the runs of the next ones stopped.
func TestJobsThatComeBackTogetherKeepTheirRuns(t *testing.T) {
	for _, late := range []time.Duration{50 * ms, 150 * ms, 250 * ms} {
		c := qt.New(t)
		d := newDriver(c, testExecutor(0))
		left := []RunningTask{{Task: "a.0.0.0", Run: 1, Percent: 80}, {Task: "b.0.0.0", Run: 1, Percent: 80}}
		d.answerHolds(left...)
		for until := d.now + late; d.now < until; {
			d.tick(25 * ms)
			d.answerHolds(left...)
		}
		c.Assert(d.of(Stop), qt.HasLen, 0)
		d.submit(testJob("a", 1, d.now), 2)
		d.now += ms
		d.submit(testJob("b", 1, d.now), 2)
		stops := d.of(Stop)
		if len(stops) > 0 {
			t.Errorf("they come back %s after the adoption, 1 ms apart: %s is stopped at 80%%", late, stops[0].Task)
		}
	}
}
