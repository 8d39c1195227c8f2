package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// After a restart of everything each of a hundred peers tells of the same list.
func TestFewPeersAreAskedForTheSameNews(t *testing.T) {
	c := qt.New(t)
	f := newFetches()
	asked := 0
	for range 100 {
		if f.begin(newsExecutors) {
			asked++
		}
	}
	c.Assert(asked, qt.Equals, fetchesAtOnce)
	c.Assert(f.begin(newsConfiguration), qt.IsTrue, qt.Commentf("other news are asked for beside"))
	f.end(newsExecutors)
	c.Assert(f.begin(newsExecutors), qt.IsTrue, qt.Commentf("the next once one has answered"))
}
