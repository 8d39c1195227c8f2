package node

import "github.com/foxcroft/foxcroft/pkg/metrics"

// gauges returns the current values of the node's gauges for a scrape of the metrics.
func (n *Node) gauges() metrics.NodeGauges {
	now := n.Clock.Now()
	g := metrics.NodeGauges{OpenJobs: int64(n.openJobs()), KeptOpen: int64(n.keeping.Open()), KeptAwaitingCell: int64(n.keeping.AwaitingCell())}
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
	if n.countDroppedLines != nil {
		g.LogDropped = int64(n.countDroppedLines())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	g.Peers = int64(len(n.members.View(n.inc).Peers))
	return g
}

// CountDroppedLines sets the function that counts the log lines dropped, for the metrics.
func (n *Node) CountDroppedLines(dropped func() uint64) { n.countDroppedLines = dropped }
