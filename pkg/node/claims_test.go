package node

import (
	"sync"
	"testing"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
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

// Guards against takeovers that wait for executors which the list should not hold any more. Nodes
// that own no cell publish their list rarely.
func TestAClaimDropsExecutorsMissingForLong(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, &fakeStore{})
	stays, gone := listedExecutor("i-1", "10.0.0.1:80"), listedExecutor("i-2", "10.0.0.2:80")
	list := &catalog.Executors{Revision: 1, ByID: map[string]catalog.Executor{"i-1": stays}}
	n.front.calls = newCalls(&answeringExecutors{}, n.Clock.Now, 0)
	now := n.Clock.Now()
	n.history.Join(&catalog.Executors{ByID: map[string]catalog.Executor{"i-1": stays, "i-2": gone}}, now-time.Hour, true)
	joined := n.history.Join(list, now-time.Hour, true)
	n.roster.ApplyFull(list, now)
	n.executors.Store(newListing(now, joined, sizesOf(joined), map[string]int{"z": 1}))
	n.claim("z", now)
	o := n.owner("z")
	o.mu.Lock()
	defer o.mu.Unlock()
	adopted, unanswered := o.state.CountAdopted()
	c.Assert(adopted+unanswered, qt.Equals, 1)
}

func listedExecutor(id, address string) catalog.Executor {
	return catalog.Executor{ID: id, Address: address, Domain: "z", Service: "s", Capacity: job.Resources{CPU: 1000}}
}
