package node

import (
	"sync"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	qt "github.com/frankban/quicktest"
)

// Concurrent claims of a cell must not replace its owner.
func TestConcurrentClaimsMakeOneOwner(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	n.executors.Store(newListing(0, &catalog.Executors{}, nil, nil))
	var group sync.WaitGroup
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			n.claim("z", time.Minute)
		}()
	}
	group.Wait()
	first := n.owner("z")
	n.claim("z", time.Minute)
	c.Assert(n.owner("z"), qt.Equals, first)
}
