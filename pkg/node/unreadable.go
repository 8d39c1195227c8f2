package node

import (
	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
)

// Names, in logs and metrics, of the tables whose rows may be unreadable.
const (
	tableOfExecutors     = "executors"
	tableOfMembers       = "members"
	tableOfOperator      = "operator"
	tableOfHoldResponses = "answers" // hold responses of executors, which are not a table of the store
)

// recordUnreadable counts and logs unreadable rows.
func (n *Node) recordUnreadable(table string, rows []catalog.Unreadable) {
	report := n.rowLog.Take(table, rows, n.Clock.Now())
	for _, row := range report.Counted {
		n.metrics.RowsUnreadable(table, string(row.Reason), 1)
	}
	for _, row := range report.Logged {
		n.Log.Warn("row_unreadable", "table", table, "key", row.Key, "reason", row.Reason)
	}
	if report.Left > 0 {
		n.Log.Warn("rows_unreadable_left_out", "table", table, "rows", report.Left)
	}
}

// callableExecutors returns the listed executors of configured services. An executor whose
// service has been removed from the configuration is withheld, since its runs may
// continue. Without a configuration all executors are returned, and checked is false.
func (n *Node) callableExecutors(listed *catalog.Executors) (callable *catalog.Executors, checked bool) {
	configuration := n.Configuration()
	if configuration == nil {
		return listed, false
	}
	callable, unconfigured := configuration.Called(listed, n.wasCallable)
	n.recordUnreadable(tableOfExecutors, unconfigured)
	return callable, true
}

// wasCallable reports whether an executor is in the current list, provided that the list
// was checked against a configuration.
func (n *Node) wasCallable(executor *catalog.Executor) bool {
	current := n.executors.Load()
	return current != nil && current.servicesChecked && current.contains(executor)
}

// servicesChanged checks the list of executors against the changed configuration.
func (n *Node) servicesChanged() {
	n.listing.Lock()
	defer n.listing.Unlock()
	if current := n.executors.Load(); current != nil {
		n.publish(true, current.askedAt)
	}
}

// countUnreadableEntries counts the unreadable entries of a hold response. The cell logs when an
// executor begins to report unreadable runs.
func (n *Node) countUnreadableEntries(response cell.HoldResponse) {
	if response.UnreadableRuns > 0 {
		n.metrics.RowsUnreadable(tableOfHoldResponses, string(catalog.HiddenRun), response.UnreadableRuns)
	}
	if response.UnreadableEnds > 0 {
		n.metrics.RowsUnreadable(tableOfHoldResponses, string(catalog.HiddenEnd), response.UnreadableEnds)
	}
}
