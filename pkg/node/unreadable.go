package node

import (
	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
)

// The tables whose rows may be unreadable, in logs and metrics.
const (
	tableOfExecutors = "executors"
	tableOfMembers   = "members"
	tableOfOperator  = "operator"
	tableOfAnswers   = "answers" // of executors, which are no table of the store
)

// noteUnreadable counts and logs rows that count as if they weren't there.
func (n *Node) noteUnreadable(table string, rows []catalog.Unreadable) {
	news := n.rowLog.Take(table, rows, n.Clock.Now())
	for _, row := range news.Counted {
		n.metrics.RowsUnreadable(table, string(row.Reason), 1)
	}
	for _, row := range news.Logged {
		n.Log.Warn("row_unreadable", "table", table, "key", row.Key, "reason", row.Reason)
	}
	if news.Left > 0 {
		n.Log.Warn("rows_unreadable_left_out", "table", table, "rows", news.Left)
	}
}

// called returns the executors to call among those that are listed: those of services
// that the configuration names. One whose service it doesn't name any more is
// withheld, since runs may go on there. Before there is a configuration they can't be
// checked, and all are called.
func (n *Node) called(listed *catalog.Executors) (called *catalog.Executors, checked bool) {
	configuration := n.Configuration()
	if configuration == nil {
		return listed, false
	}
	called, others := configuration.Called(listed, n.wasCalled)
	n.noteUnreadable(tableOfExecutors, others)
	return called, true
}

// wasCalled reports whether an executor was called until now. One that was listed
// before a configuration told of the services doesn't count.
func (n *Node) wasCalled(executor *catalog.Executor) bool {
	current := n.executors.Load()
	return current != nil && current.checked && current.lists(executor)
}

// servicesChanged has the list of executors looked through anew.
func (n *Node) servicesChanged() {
	n.listing.Lock()
	defer n.listing.Unlock()
	if current := n.executors.Load(); current != nil {
		n.publish(true, current.askedAt)
	}
}

// noteAnswer counts the entries of an executor's answer that can't be read. The cell
// logs when an executor begins to hide runs.
func (n *Node) noteAnswer(answer cell.HoldResponse) {
	if answer.UnreadableRuns > 0 {
		n.metrics.RowsUnreadable(tableOfAnswers, string(catalog.HiddenRun), answer.UnreadableRuns)
	}
	if answer.UnreadableEnds > 0 {
		n.metrics.RowsUnreadable(tableOfAnswers, string(catalog.HiddenEnd), answer.UnreadableEnds)
	}
}
