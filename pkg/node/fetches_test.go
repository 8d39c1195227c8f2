package node

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against fetching the same list from every peer that announces it.
func TestFetchesOfAKindAreLimited(t *testing.T) {
	c := qt.New(t)
	f := newFetches()
	started := 0
	for range 100 {
		if f.begin(newsExecutors) {
			started++
		}
	}
	c.Assert(started, qt.Equals, maxFetches)
	c.Assert(f.begin(newsConfiguration), qt.IsTrue, qt.Commentf("other kinds are counted separately"))
	f.end(newsExecutors)
	c.Assert(f.begin(newsExecutors), qt.IsTrue, qt.Commentf("a fetch has ended"))
}
