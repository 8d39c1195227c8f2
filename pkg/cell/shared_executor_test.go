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
