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
		if f.begin(snapshotExecutors) {
			started++
		}
	}
	c.Assert(started, qt.Equals, maxFetches)
	c.Assert(f.begin(snapshotConfiguration), qt.IsTrue, qt.Commentf("other kinds are counted separately"))
	f.end(snapshotExecutors)
	c.Assert(f.begin(snapshotExecutors), qt.IsTrue, qt.Commentf("a fetch has ended"))
}
