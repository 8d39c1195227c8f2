package kept

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/tables"
)

// Changes of jobs go out in groups, each a transaction that is done whole or not at
// all, one at a time. A change whose fate isn't known is written again: its
// conditions tell then whether it was done. Changes that the rows refuse are settled
// by the rows; the others of their group are written again without them.

// Next returns the transaction that is to be written now, if any. Its answer goes to
// Committed.
func (k *Coordinator) Next(now time.Duration) (tables.Transaction, bool) {
	if len(k.underWay) > 0 || now < k.pace.next || !k.clock.known {
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
		if c.kind == accept && !k.entries[id].unsure {
			c.record.AcceptedAt = k.clock.at(now)
			k.entries[id].record = c.record
		}
		c.addTo(&t, k.codec, k.clock.at(now))
		k.underWay = append(k.underWay, c)
	}
	k.queue = slices.Delete(k.queue, 0, taken)
	if len(k.underWay) == 0 {
		return tables.Transaction{}, false
	}
	k.pace.began(now)
	k.sentAt = now
	return t, true
}

// NextWriteAt returns when Next may have a transaction, or false while there is nothing to
// write or one is under way.
func (k *Coordinator) NextWriteAt() (time.Duration, bool) {
	return k.pace.next, len(k.queue) > 0 && len(k.underWay) == 0 && k.clock.known
}

// changeOf returns the change that an entry waits for.
func (k *Coordinator) changeOf(id string) (change, bool) {
	e := k.entries[id]
	c := change{id: id, version: e.version}
	switch {
	case !e.lasts():
		c.kind, c.record = accept, e.record
	case e.ending != 0:
		c.kind, c.state, c.cell = end, e.ending, e.record.Cell
	case e.move != nil:
		c.kind, c.record = move, *e.move
	default:
		return change{}, false
	}
	return c, true
}

func (k *Coordinator) isUnderWay(id string) bool {
	return slices.ContainsFunc(k.underWay, func(c change) bool { return c.id == id })
}

// Committed takes the answer to a transaction.
func (k *Coordinator) Committed(result tables.Result, err error, now time.Duration) {
	group := k.underWay
	k.underWay = nil
	for _, c := range group {
		if e := k.entries[c.id]; e != nil {
			e.queued = false
		}
	}
	switch {
	case err == nil:
		k.pace.succeeded()
		k.clock.heard(result.Now, now)
		for _, c := range group {
			k.done(c, result.Version, now)
		}
	case errkind.Of(err) == errkind.Conflict:
		k.pace.succeeded()
		k.conflicted(group, result.Conflicts, now)
	case errkind.Of(err) == errkind.PlatformDown:
		k.pace.failed(now)
		k.notDone(group)
	default:
		k.pace.failed(now)
		k.unknown(group)
	}
}

// done takes a change that lasts.
func (k *Coordinator) done(c change, version uint64, now time.Duration) {
	e := k.entries[c.id]
	if e == nil {
		return // its end was learnt from its row meanwhile
	}
	switch c.kind {
	case accept:
		e.version = version
		k.accepted(c.id, e, now)
	case end:
		k.settleEnd(c.id, c.state, c.cell, now)
	case move:
		e.version, e.record, e.move = version, c.record, nil
		k.follow(e, e.record.EpochAt(k.Age(&e.record, now)), k.sentAt)
		k.again(c.id, e)
	}
}

// accepted takes that a job is kept, and has it followed. The first epoch is only
// for one whose row can't have been read by another keeper before.
func (k *Coordinator) accepted(id string, e *entry, now time.Duration) {
	for _, c := range e.accepts {
		k.answer(c.number, Answer{Verdict: Accepted, State: Queued})
	}
	e.accepts = nil
	epoch := firstEpoch
	if e.unsure {
		epoch = e.record.EpochAt(k.Age(&e.record, now))
	}
	e.unsure = false
	if e.ending == 0 { // else it was cancelled before it began
		k.follow(e, epoch, k.sentAt)
	}
	k.again(id, e)
}

// again has an entry written again if it waits for another change.
func (k *Coordinator) again(id string, e *entry) {
	if _, ok := k.changeOf(id); ok {
		k.enqueue(id, e)
	}
}

// conflicted settles the changes that the rows refuse and has the others written again.
func (k *Coordinator) conflicted(group []change, rows []tables.Row, now time.Duration) {
	refused := 0
	for _, c := range group {
		e := k.entries[c.id]
		if e == nil {
			refused++
			continue
		}
		if !c.refusedBy(rows) {
			k.again(c.id, e)
			continue
		}
		refused++
		k.settleBy(c, e, rows, now)
	}
	if refused == 0 { // the answer doesn't tell why; the rows may
		k.pace.failed(now)
		for _, c := range group {
			k.effects.ReadRows = append(k.effects.ReadRows, c.id)
		}
	}
}

// settleBy takes what the rows of a job say that refused a change of it.
func (k *Coordinator) settleBy(c change, e *entry, rows []tables.Row, now time.Duration) {
	if row, ok := rowIn(rows, TableEnded, c.id); ok {
		k.learnEnded(c.id, row, now)
		return
	}
	row, ok := rowIn(rows, TableOpen, c.id)
	switch {
	case !ok && c.kind == end:
		k.settleEnd(c.id, c.state, c.cell, now) // its rows are gone: it ended long ago
	case !ok:
		k.settleEnd(c.id, Cancelled, e.record.Cell, now)
	default:
		k.takeRow(c, e, row, now)
	}
}

// takeRow goes on from the row of an open job that isn't as was thought: the job was
// accepted before, by this keeper or another one, or moved.
func (k *Coordinator) takeRow(c change, e *entry, row tables.Row, now time.Duration) {
	record, err := k.codec.DecodeRecord(c.id, row.Value)
	if err != nil {
		k.problem("kept_row_unreadable", c.id, err)
		k.unreadable(c.id, e)
		return
	}
	e.record, e.version, e.move = record, row.Version, nil
	if c.kind == accept {
		e.unsure = true // others know the row
		k.accepted(c.id, e, now)
		return
	}
	k.follow(e, record.EpochAt(k.Age(&e.record, now)), k.sentAt)
	k.again(c.id, e)
}

// unreadable gives a job up whose row nobody can read.
func (k *Coordinator) unreadable(id string, e *entry) {
	for _, c := range slices.Concat(e.accepts, e.cancels) {
		k.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonUnread, RetryAfter: comeBack})
	}
	k.forget(id)
}

// notDone takes that nothing of a group was done. Jobs that can't have been written
// are refused after the second try.
func (k *Coordinator) notDone(group []change) {
	for _, c := range group {
		e := k.entries[c.id]
		if e == nil {
			continue
		}
		e.tries++
		if c.kind == accept && !e.unsure && e.tries >= mostTries {
			k.refuse(c.id, e)
			continue
		}
		k.enqueue(c.id, e)
	}
}

// unknown takes that a group may have been done, or may be done yet.
func (k *Coordinator) unknown(group []change) {
	for _, c := range group {
		e := k.entries[c.id]
		if e == nil {
			continue
		}
		e.unsure = e.unsure || c.kind == accept
		k.enqueue(c.id, e)
	}
}
