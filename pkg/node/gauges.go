package node

import "github.com/foxcroft/foxcroft/pkg/metrics"

// gauges reads what a scrape of the metrics shows.
func (n *Node) gauges() metrics.NodeGauges {
	now := n.Clock.Now()
	g := metrics.NodeGauges{OpenJobs: int64(n.openJobs()), KeptOpen: int64(n.keeping.Open())}
	for _, o := range n.allOwners() {
		load := o.load(now)
		g.Cells++
		g.QueuedWork += load.QueuedWork
		g.FreeCPU += load.FreeCPU
	}
	if configuration := n.Configuration(); configuration != nil {
		g.Version = int64(configuration.Version)
	}
	if n.executors.Load() != nil {
		g.ExecutorsAgeMS = (now - n.listConfirmedAt()).Milliseconds()
	}
	if closures := n.closures.Load(); closures != nil {
		g.ClosedDomains = int64(len(closures.Domains))
	}
	if n.logDropped != nil {
		g.LogDropped = int64(n.logDropped())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	g.Peers = int64(len(n.members.View(n.inc).Peers))
	return g
}

// CountDroppedLines has the metrics show how many lines the log has dropped.
func (n *Node) CountDroppedLines(dropped func() uint64) { n.logDropped = dropped }
