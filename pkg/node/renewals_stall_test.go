package node

import (
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/peerpb"
	qt "github.com/frankban/quicktest"
)

// A process on a busy machine wakes for a moment, reads what owners have sent, and
// stands still again before it reads that its callers' connections have ended.
func TestAHostThatStandsStillAgainVouchesForNothingNew(t *testing.T) {
	c := qt.New(t)
	r := newRenewals()
	now := time.Second
	r.look(now)
	before := now
	now += time.Second // it stood still, and its callers left
	r.told("owner", &peerpb.Moment{AtUs: now.Microseconds() - 1})
	r.look(now)
	now += 300 * time.Millisecond // and stood still again at once
	c.Assert(r.look(now), qt.HasLen, 0, qt.Commentf("it has not run for renewInterval since it read the moment"))
	c.Assert(r.sureHere() <= before, qt.IsTrue, qt.Commentf("own cells: %s", r.sureHere()))
}
