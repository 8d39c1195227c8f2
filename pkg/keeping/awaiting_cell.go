package keeping

import "time"

// loggedCellWait is how long a job waits to leave its cell before that is logged and counted. A cell
// that is replaced has successors, all of whose executors obey their owners, within this time.
const loggedCellWait = time.Second

// Reasons why a job can't leave a cell without a reachable owner yet.
const (
	waitsForSuccessor = "cell_not_replaced" // another host may serve it, or a successor has no owner
	waitsForRelease   = "may_run_in_cell"   // it is not proven that nothing of the job can start there
)

// noteWait records that the job waits since a time to leave a cell, and logs why, again whenever another obstacle
// keeps the cell from being vacant.
func (f *follower) noteWait(since, now time.Duration, cell, reason, obstacle string) {
	if now < since+loggedCellWait || f.awaitsCell.Swap(true) && f.obstacle == obstacle {
		return
	}
	f.obstacle = obstacle
	f.service().Log.Warn("kept_awaits_cell", "job", f.record.ID, "cell", cell, "to", f.record.Cell, "reason", reason,
		"since_ms", (now - since).Milliseconds(), "obstacle", obstacle)
}

// AwaitingCell returns the number of jobs followed here that have waited for long to leave their
// cells.
func (s *Service) AwaitingCell() int {
	count := 0
	for _, p := range s.partitions {
		count += p.awaitingCell()
	}
	return count
}

func (p *partition) awaitingCell() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, f := range p.followers {
		if f.awaitsCell.Load() {
			count++
		}
	}
	return count
}
