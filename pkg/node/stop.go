package node

import (
	"context"
	"sync"
	"time"
)

const (
	// balancerDelay is how long the load balancer may take to notice that a node
	// leaves: two readiness checks one second apart, and a margin.
	balancerDelay = 2200 * time.Millisecond
	// jobsGraceShare is the fraction of the grace period after which a planned stop no
	// longer waits for open jobs, and answersGraceShare the fraction after
	// which it no longer waits for their answers to be written.
	jobsGraceShare    = 0.93
	answersGraceShare = 0.97
)

// Stop is a planned stop: the node accepts no new connections, has other nodes take over
// its cells, answers the callers of open jobs, and shuts down.
func (n *Node) Stop() {
	n.Log.Info("stopping", "grace", n.settings.Grace.String())
	begin := n.Clock.Now()
	jobsLimit := begin + time.Duration(jobsGraceShare*float64(n.settings.Grace))
	limit := begin + time.Duration(answersGraceShare*float64(n.settings.Grace))
	n.front.stopsAt.Store(int64(jobsLimit))
	n.leaving.Store(true)
	n.viewVersion.Add(1)
	n.heartbeats.invalidate()
	n.links.Nudge()
	n.awaitDrained(min(begin+balancerDelay, jobsLimit), jobsLimit)
	n.front.abandonOpenJobs()
	n.closeServers(limit - n.Clock.Now())
	n.withdrawRow()
	for _, o := range n.allOwners() {
		n.release(o, "stopped")
	}
	n.stop()
	n.links.Close()
	n.peers.Close()
	n.Log.Info("stopped")
}

// awaitDrained waits until earliest has passed, other nodes own the cells and no job is
// open, but not longer than limit.
func (n *Node) awaitDrained(earliest, limit time.Duration) {
	for n.Clock.Now() < limit {
		if n.Clock.Now() >= earliest && n.openJobs() == 0 && len(n.allOwners()) == 0 {
			return
		}
		time.Sleep(tickInterval)
	}
}

func (n *Node) openJobs() int {
	n.front.mu.Lock()
	defer n.front.mu.Unlock()
	return len(n.front.open)
}

// closeServers closes the listeners and waits for requests in progress.
func (n *Node) closeServers(left time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), max(left, tickInterval))
	defer cancel()
	var group sync.WaitGroup
	for _, server := range n.servers {
		group.Add(1)
		go func() {
			defer group.Done()
			_ = server.Shutdown(ctx)
		}()
	}
	group.Wait()
}

func (n *Node) withdrawRow() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := n.store.Withdraw(ctx, n.settings.Name); err != nil {
		n.Log.Warn("row_not_removed", "error", err.Error())
	}
}
