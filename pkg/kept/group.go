package kept

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// Changes are written in groups. Each group is one transaction, and at most one is in
// flight per partition. A change with an unknown outcome is written again; its conditions
// then show whether it was applied. Conflicting changes are resolved by the rows that the
// store returns, and the other changes of their group are written again without them.

// Next returns the transaction to write now, if any. Its result must be passed to
// Committed.
func (co *Coordinator) Next(now time.Duration) (tables.Transaction, bool) {
	if len(co.inFlight) > 0 || now < co.pacer.next || !co.clock.known {
		return tables.Transaction{}, false
	}
	t := tables.Transaction{Part: co.part}
	taken := 0
	for _, id := range co.queue {
		c, ok := co.changeOf(id)
		if ok && t.Entries()+c.entries() > tables.MostEntries {
			break
		}
		taken++
		if !ok {
			co.entries[id].queued = false
			continue
		}
		// The age of a job counts from the write of its row. An insert that
		// is repeated after an unknown outcome keeps the time, so that each attempt stores
		// the same row.
		if c.kind == accept && !co.entries[id].unresolved {
			c.record.AcceptedAt = co.clock.at(now)
			co.entries[id].record = c.record
		}
		c.addTo(&t, co.codec, co.clock.at(now))
		co.inFlight = append(co.inFlight, c)
	}
	co.queue = slices.Delete(co.queue, 0, taken)
	if len(co.inFlight) == 0 {
		return tables.Transaction{}, false
	}
	co.pacer.recordStart(now)
	co.sentAt = now
	return t, true
}

// NextWriteAt returns when Next may return a transaction, or false if there is nothing to
// write or a transaction is in flight.
func (co *Coordinator) NextWriteAt() (time.Duration, bool) {
	return co.pacer.next, len(co.queue) > 0 && len(co.inFlight) == 0 && co.clock.known
}

// changeOf returns the change to write next for an entry, or false if there is none. The
// insert of its row precedes its end, and the end precedes a move.
func (co *Coordinator) changeOf(id string) (change, bool) {
	e := co.entries[id]
	c := change{id: id, version: e.version}
	switch {
	case !e.isStored():
		c.kind, c.record = accept, e.record
	case e.endState != 0:
		c.kind, c.state, c.cell = end, e.endState, e.record.Cell
	case e.pendingMove != nil:
		c.kind, c.record = move, *e.pendingMove
	default:
		return change{}, false
	}
	return c, true
}

// isInFlight reports whether the group in flight contains a change of the job.
func (co *Coordinator) isInFlight(id string) bool {
	return slices.ContainsFunc(co.inFlight, func(c change) bool { return c.id == id })
}

// Committed handles the result of the transaction in flight. An error of kind PlatformDown
// means that nothing was applied. After other errors, except for a conflict, the group may
// have been applied or may still be.
func (co *Coordinator) Committed(result tables.Result, err error, now time.Duration) {
	group := co.inFlight
	co.inFlight = nil
	for _, c := range group {
		if e := co.entries[c.id]; e != nil {
			e.queued = false
		}
	}
	switch {
	case err == nil:
		co.pacer.recordSuccess()
		co.clock.observe(result.Now, now)
		for _, c := range group {
			co.applyChange(c, result.Version, now)
		}
	case errkind.Of(err) == errkind.Conflict:
		co.pacer.recordSuccess()
		co.resolveConflicts(group, result.Conflicts, now)
	case errkind.Of(err) == errkind.PlatformDown:
		co.pacer.recordFailure(now)
		co.retryUnapplied(group)
	default:
		co.pacer.recordFailure(now)
		co.retryUnresolved(group)
	}
}

// applyChange handles a committed change.
func (co *Coordinator) applyChange(c change, version uint64, now time.Duration) {
	e := co.entries[c.id]
	if e == nil {
		return // its ended row has been read meanwhile
	}
	switch c.kind {
	case accept:
		e.version = version
		co.completeAccept(c.id, e, now)
	case end:
		co.recordEnd(c.id, c.state, c.cell, now)
	case move:
		e.version, e.record, e.pendingMove = version, c.record, nil
		co.requestFollow(e, e.record.EpochAt(co.Age(&e.record, now)), co.sentAt)
		co.requeueIfPending(c.id, e)
	}
}

// completeAccept handles the committed row of an accepted job and requests to follow the
// job. The first epoch is used only if no other coordinator can have read the row before.
func (co *Coordinator) completeAccept(id string, e *entry, now time.Duration) {
	for _, c := range e.acceptCalls {
		co.answer(c.number, Answer{Verdict: Accepted, State: Queued})
	}
	e.acceptCalls = nil
	epoch := firstEpoch
	if e.unresolved {
		epoch = e.record.EpochAt(co.Age(&e.record, now))
	}
	e.unresolved = false
	if e.endState == 0 { // a job cancelled before it was stored is not dispatched
		co.requestFollow(e, epoch, co.sentAt)
	}
	co.requeueIfPending(id, e)
}

// requeueIfPending queues an entry again if it has another change to write.
func (co *Coordinator) requeueIfPending(id string, e *entry) {
	if _, ok := co.changeOf(id); ok {
		co.enqueue(id, e)
	}
}

// resolveConflicts resolves the changes that conflict with the rows and queues the others
// again.
func (co *Coordinator) resolveConflicts(group []change, rows []tables.Row, now time.Duration) {
	refused := 0
	for _, c := range group {
		e := co.entries[c.id]
		if e == nil {
			refused++
			continue
		}
		if !c.conflictsWith(rows) {
			co.requeueIfPending(c.id, e)
			continue
		}
		refused++
		co.resolveFromRows(c, e, rows, now)
	}
	if refused == 0 { // the result does not name the conflicting rows, so read them
		co.pacer.recordFailure(now)
		for _, c := range group {
			co.effects.ReadRows = append(co.effects.ReadRows, c.id)
		}
	}
}

// resolveFromRows resolves a conflicting change of a job from the job's rows.
func (co *Coordinator) resolveFromRows(c change, e *entry, rows []tables.Row, now time.Duration) {
	if row, ok := findRow(rows, TableEnded, c.id); ok {
		co.applyEndedRow(c.id, row, now)
		return
	}
	row, ok := findRow(rows, TableOpen, c.id)
	switch {
	case !ok && c.kind == end:
		co.recordEnd(c.id, c.state, c.cell, now) // both rows are removed: it ended long ago
	case !ok:
		// A move finds both rows removed: the job ended long ago, in an unknown state.
		co.recordEnd(c.id, Undetermined, e.record.Cell, now)
	default:
		co.adoptOpenRow(c, e, row, now)
	}
}

// adoptOpenRow continues from the stored row of an open job that was accepted before, by
// this coordinator or another, or that was moved.
func (co *Coordinator) adoptOpenRow(c change, e *entry, row tables.Row, now time.Duration) {
	record, err := co.codec.DecodeRecord(c.id, row.Value)
	if err != nil {
		co.reportUnreadable(row, err)
		co.resolveUnreadable(c, e, row)
		return
	}
	e.record, e.version, e.pendingMove = record, row.Version, nil
	if c.kind == accept {
		e.unresolved = true // other coordinators may have read the row
		co.completeAccept(c.id, e, now)
		return
	}
	co.requestFollow(e, record.EpochAt(co.Age(&e.record, now)), co.sentAt)
	co.requeueIfPending(c.id, e)
}

// resolveUnreadable resolves a conflict with an open row that cannot be decoded. An end replaces
// the row, as the job is known here. Of other changes it is not known what they would overwrite.
func (co *Coordinator) resolveUnreadable(c change, e *entry, row tables.Row) {
	if c.kind != end {
		co.abandonUnreadable(c.id, e)
		return
	}
	e.version = row.Version
	co.enqueue(c.id, e)
}

// abandonUnreadable drops a job whose row cannot be decoded. Its callers get Unknown.
func (co *Coordinator) abandonUnreadable(id string, e *entry) {
	for _, c := range slices.Concat(e.acceptCalls, e.cancelCalls) {
		co.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonRowUnreadable, RetryAfter: retryDelay})
	}
	co.removeOpen(id)
}

// retryUnapplied queues a group again of which nothing was applied. It refuses new jobs
// after maxAttempts, unless an earlier attempt may have stored them.
func (co *Coordinator) retryUnapplied(group []change) {
	for _, c := range group {
		e := co.entries[c.id]
		if e == nil {
			continue
		}
		e.failedWrites++
		if c.kind == accept && !e.unresolved && e.failedWrites >= maxAttempts {
			co.refuse(c.id, e)
			continue
		}
		co.enqueue(c.id, e)
	}
}

// retryUnresolved queues a group again that may have been applied or may still be. Its new
// jobs can no longer be refused.
func (co *Coordinator) retryUnresolved(group []change) {
	for _, c := range group {
		e := co.entries[c.id]
		if e == nil {
			continue
		}
		e.unresolved = e.unresolved || c.kind == accept
		co.enqueue(c.id, e)
	}
}
