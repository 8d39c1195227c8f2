package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A domain that was cut off serves by itself. What was seen of it at a cut says
// nothing at the next.
func TestLooksAtADomainBeginAnewAtTheNextCut(t *testing.T) {
	c := qt.New(t)
	f := newForeignDomains()
	now := time.Minute
	claim, look := f.due("far", now)
	c.Assert(claim, qt.IsFalse)
	c.Assert(look, qt.IsTrue)
	f.looked("far", true, now)
	f.keepOnly([]string{"far"})
	claim, _ = f.due("far", now+reachableLimit)
	c.Assert(claim, qt.IsTrue, qt.Commentf("reachable for long enough"))

	f.keepOnly(nil) // the domain has an owner of its own again
	claim, look = f.due("far", now+time.Minute)
	c.Assert(claim, qt.IsFalse)
	c.Assert(look, qt.IsTrue)
}
