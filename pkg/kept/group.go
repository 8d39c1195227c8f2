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
func (k *Coordinator) Next(now time.Duration) (tables.Transaction, bool) {
	if len(k.inFlight) > 0 || now < k.pacer.next || !k.clock.known {
		return tables.Transaction{}, false
	}
	t := tables.Transaction{Part: k.part}
	taken := 0
	for _, id := range k.queue {
		c, ok := k.changeOf(id)
		if ok && t.Entries()+c.entries() > tables.MostEntries {
			break
		}
		taken++
		if !ok {
			k.entries[id].queued = false
			continue
		}
		if c.kind == accept && !k.entries[id].unresolved {
			c.record.AcceptedAt = k.clock.at(now)
			k.entries[id].record = c.record
		}
		c.addTo(&t, k.codec, k.clock.at(now))
		k.inFlight = append(k.inFlight, c)
	}
	k.queue = slices.Delete(k.queue, 0, taken)
	if len(k.inFlight) == 0 {
		return tables.Transaction{}, false
	}
	k.pacer.recordStart(now)
	k.sentAt = now
	return t, true
}

// NextWriteAt returns when Next may return a transaction, or false if there is nothing to
// write or a transaction is in flight.
func (k *Coordinator) NextWriteAt() (time.Duration, bool) {
	return k.pacer.next, len(k.queue) > 0 && len(k.inFlight) == 0 && k.clock.known
}

// changeOf returns the pending change of an entry.
func (k *Coordinator) changeOf(id string) (change, bool) {
	e := k.entries[id]
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

func (k *Coordinator) isInFlight(id string) bool {
	return slices.ContainsFunc(k.inFlight, func(c change) bool { return c.id == id })
}

// Committed handles the result of a transaction.
func (k *Coordinator) Committed(result tables.Result, err error, now time.Duration) {
	group := k.inFlight
	k.inFlight = nil
	for _, c := range group {
		if e := k.entries[c.id]; e != nil {
			e.queued = false
		}
	}
	switch {
	case err == nil:
		k.pacer.recordSuccess()
		k.clock.observe(result.Now, now)
		for _, c := range group {
			k.applyChange(c, result.Version, now)
		}
	case errkind.Of(err) == errkind.Conflict:
		k.pacer.recordSuccess()
		k.resolveConflicts(group, result.Conflicts, now)
	case errkind.Of(err) == errkind.PlatformDown:
		k.pacer.recordFailure(now)
		k.retryUnapplied(group)
	default:
		k.pacer.recordFailure(now)
		k.retryUnresolved(group)
	}
}

// applyChange handles a committed change.
func (k *Coordinator) applyChange(c change, version uint64, now time.Duration) {
	e := k.entries[c.id]
	if e == nil {
		return // its ended row has been read meanwhile
	}
	switch c.kind {
	case accept:
		e.version = version
		k.completeAccept(c.id, e, now)
	case end:
		k.recordEnd(c.id, c.state, c.cell, now)
	case move:
		e.version, e.record, e.pendingMove = version, c.record, nil
		k.requestFollow(e, e.record.EpochAt(k.Age(&e.record, now)), k.sentAt)
		k.requeueIfPending(c.id, e)
	}
}

// completeAccept handles the committed row of an completeAccept job and requests to follow the
// job. The first epoch is used only if no other coordinator can have read the row before.
func (k *Coordinator) completeAccept(id string, e *entry, now time.Duration) {
	for _, c := range e.acceptCalls {
		k.answer(c.number, Answer{Verdict: Accepted, State: Queued})
	}
	e.acceptCalls = nil
	epoch := firstEpoch
	if e.unresolved {
		epoch = e.record.EpochAt(k.Age(&e.record, now))
	}
	e.unresolved = false
	if e.endState == 0 { // a job cancelled before it was stored is not dispatched
		k.requestFollow(e, epoch, k.sentAt)
	}
	k.requeueIfPending(id, e)
}

// requeueIfPending queues an entry again if it has another change to write.
func (k *Coordinator) requeueIfPending(id string, e *entry) {
	if _, ok := k.changeOf(id); ok {
		k.enqueue(id, e)
	}
}

// resolveConflicts resolves the changes that conflict with the rows and queues the others
// again.
func (k *Coordinator) resolveConflicts(group []change, rows []tables.Row, now time.Duration) {
	refused := 0
	for _, c := range group {
		e := k.entries[c.id]
		if e == nil {
			refused++
			continue
		}
		if !c.conflictsWith(rows) {
			k.requeueIfPending(c.id, e)
			continue
		}
		refused++
		k.resolveFromRows(c, e, rows, now)
	}
	if refused == 0 { // the result does not name the conflicting rows, so read them
		k.pacer.recordFailure(now)
		for _, c := range group {
			k.effects.ReadRows = append(k.effects.ReadRows, c.id)
		}
	}
}

// resolveFromRows resolves a conflicting change of a job from the job's rows.
func (k *Coordinator) resolveFromRows(c change, e *entry, rows []tables.Row, now time.Duration) {
	if row, ok := findRow(rows, TableEnded, c.id); ok {
		k.applyEndedRow(c.id, row, now)
		return
	}
	row, ok := findRow(rows, TableOpen, c.id)
	switch {
	case !ok && c.kind == end:
		k.recordEnd(c.id, c.state, c.cell, now) // both rows are removed: it ended long ago
	case !ok:
		k.recordEnd(c.id, Cancelled, e.record.Cell, now)
	default:
		k.adoptOpenRow(c, e, row, now)
	}
}

// adoptOpenRow continues from the stored row of an open job that was accepted before, by
// this coordinator or another, or that was moved.
func (k *Coordinator) adoptOpenRow(c change, e *entry, row tables.Row, now time.Duration) {
	record, err := k.codec.DecodeRecord(c.id, row.Value)
	if err != nil {
		k.reportProblem("kept_row_unreadable", c.id, err)
		k.abandonUnreadable(c.id, e)
		return
	}
	e.record, e.version, e.pendingMove = record, row.Version, nil
	if c.kind == accept {
		e.unresolved = true // other coordinators may have read the row
		k.completeAccept(c.id, e, now)
		return
	}
	k.requestFollow(e, record.EpochAt(k.Age(&e.record, now)), k.sentAt)
	k.requeueIfPending(c.id, e)
}

// abandonUnreadable drops a job whose row cannot be decoded.
func (k *Coordinator) abandonUnreadable(id string, e *entry) {
	for _, c := range slices.Concat(e.acceptCalls, e.cancelCalls) {
		k.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonRowUnreadable, RetryAfter: retryDelay})
	}
	k.removeOpen(id)
}

// retryUnapplied queues a group again of which nothing was applied. It refuses new jobs
// after maxAttempts.
func (k *Coordinator) retryUnapplied(group []change) {
	for _, c := range group {
		e := k.entries[c.id]
		if e == nil {
			continue
		}
		e.failedWrites++
		if c.kind == accept && !e.unresolved && e.failedWrites >= maxAttempts {
			k.refuse(c.id, e)
			continue
		}
		k.enqueue(c.id, e)
	}
}

// retryUnresolved queues a group again that may have been applied or may still be.
func (k *Coordinator) retryUnresolved(group []change) {
	for _, c := range group {
		e := k.entries[c.id]
		if e == nil {
			continue
		}
		e.unresolved = e.unresolved || c.kind == accept
		k.enqueue(c.id, e)
	}
}
