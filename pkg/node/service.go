package node

import (
	"context"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/job"
	"github.com/foxcroft/foxcroft/pkg/openjobs"
)

// configurationPollInterval is how often a request that waits for a configuration checks for it.
const configurationPollInterval = 10 * time.Millisecond

// AwaitConfiguration implements Service.
func (n *Node) AwaitConfiguration(ctx context.Context) *catalog.Configuration {
	for {
		changed, left := n.changed.wait(), startupGrace-n.Clock.Now()
		if current := n.Configuration(); current != nil || left <= 0 || ctx.Err() != nil {
			return current
		}
		n.front.awaitChange(ctx, changed, min(left, configurationPollInterval))
	}
}

// Configuration returns the configuration in effect, or nil before one is loaded.
func (n *Node) Configuration() *catalog.Configuration {
	if current := n.configuration.Load(); current != nil {
		return current.parsed
	}
	return nil
}

// Now implements Service.
func (n *Node) Now() time.Duration { return n.Clock.Now() }

// Ready implements Service: a node is ready while it has a configuration, is not
// stopping, has the announcements of the other hosts, and reaches an owner that can run jobs.
func (n *Node) Ready() bool {
	if n.leaving.Load() || n.Configuration() == nil {
		return false
	}
	if c := n.contact(); c.isolated || n.Clock.Now() < c.syncedAt {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, claim := range n.openClaims() {
		if claim.Load.Ready {
			return true
		}
	}
	return false
}

// Submit implements Service.
func (n *Node) Submit(ctx context.Context, j *job.Job) job.Outcome {
	a := n.arrivalOf(ctx)
	sentAfter, isDelayed := openjobs.SentBeforeDelay(j.Received, a.openBefore, n.settings.ResubmitAfter)
	j.SentAfter, j.IsDelayed = min(sentAfter, n.renewals.earliestSending(j.Received, a.at)), isDelayed
	return n.front.submit(ctx, j)
}

// Waiting implements Service.
func (n *Node) Waiting(route string) int {
	count := n.ownWaiting()[route]
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, counts := range n.peerCounts {
		count += counts[route]
	}
	return count
}

// ownWaiting counts, by route, the jobs in this node's cells of which no task has
// started, and the kept jobs that this node coordinates and that wait for an owner.
func (n *Node) ownWaiting() map[string]int {
	counts := map[string]int{}
	for _, o := range n.allOwners() {
		o.mu.Lock()
		for route, count := range o.state.Waiting() {
			counts[route] += count
		}
		o.mu.Unlock()
	}
	for route, count := range n.keeping.Waiting() {
		counts[route] += count
	}
	return counts
}

// State implements Service.
func (n *Node) State(id string) (started, known bool) {
	n.front.mu.Lock()
	defer n.front.mu.Unlock()
	open := n.front.open[id]
	if open == nil {
		return false, false
	}
	return open.started, true
}

// Cancel implements Service.
func (n *Node) Cancel(id string) bool {
	n.front.mu.Lock()
	open := n.front.open[id]
	n.front.mu.Unlock()
	if open == nil {
		return false
	}
	open.cancel(errCancelled)
	return true
}
