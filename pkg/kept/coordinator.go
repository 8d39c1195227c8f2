package kept

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
)

const (
	// retryDelay is the retry advice to callers whose jobs cannot be kept now.
	retryDelay = time.Second
	// endedRetention is how long the end of a job is answered from memory. It exceeds the
	// time within which callers repeat a call after a lost answer.
	endedRetention = 30 * time.Second
)

// Reasons of refusals and of answers with the verdict Unknown.
const (
	ReasonStoreDown         = "store_down"     // this coordinator has not stored the job: the store failed, or the calls expired before a write
	ReasonStoreUnresponsive = "store_silent"   // the outcome was not known at the call's deadline
	ReasonRowUnreadable     = "row_unreadable" // the row of an open job cannot be decoded
	ReasonEndUnknown        = "end_unknown"    // the job has ended, but no readable row shows how
)

// call is a caller that waits for an answer.
type call struct {
	number   uint64
	deadline time.Duration
}

// entry is an open job.
type entry struct {
	record       Record
	version      uint64        // of its row; 0 before the row is known to be stored
	knownSince   time.Duration // when this coordinator first had the job
	unresolved   bool          // its insert is not confirmed, but its row may be stored and other coordinators may have read it
	failedWrites int           // writes of its rows that were certainly not applied, never reset; limits the attempts to insert a new job
	queued       bool          // it is in the queue or in the group in flight
	endState     State         // the final state to write; 0 while the job is open
	pendingMove  *Record       // the record to replace the row's; nil for none
	acceptCalls  []call
	cancelCalls  []call
}

// isStored reports whether the job's row is known to be stored.
func (e *entry) isStored() bool { return e.version > 0 }

// Coordinator manages the jobs of one partition: it decides what is written to their rows,
// tracks their states and says which jobs to follow. Several coordinators of a partition
// may run at the same time, because each change is conditional on row versions and only
// the owner of a cell starts tasks. It is not safe for concurrent use.
type Coordinator struct {
	part     string
	codec    Codec
	entries  map[string]*entry
	ended    map[string]endedEntry
	endedIDs []string      // ids of ended, oldest first
	queue    []string      // ids of entries with a change to write, oldest first
	inFlight []change      // the group that is being written
	sentAt   time.Duration // when the last group was sent
	pacer    pacer
	clock    storeClock
	effects  Effects
}

// NewCoordinator returns a coordinator without jobs for a part of the tables. All
// coordinators of a host are given the same health, which counts the failed transactions
// of the host.
func NewCoordinator(part string, codec Codec, health *Health) *Coordinator {
	return &Coordinator{part: part, codec: codec, entries: map[string]*entry{}, ended: map[string]endedEntry{}, pacer: newPacer(health)}
}

// storeClock estimates the store's clock from its last response.
type storeClock struct {
	known  bool
	offset time.Duration // of the store's clock to this process's clock
}

// observe records the store's clock at a time of this process's clock.
func (s *storeClock) observe(store, now time.Duration) { s.known, s.offset = true, store-now }

// at returns the store's clock at a time of this process's clock.
func (s *storeClock) at(now time.Duration) time.Duration { return now + s.offset }

// ObserveClock records the store's clock from a response. Nothing is written before the
// first call, because the ages of jobs are computed by the store's clock.
func (co *Coordinator) ObserveClock(store, now time.Duration) { co.clock.observe(store, now) }

// Age returns the age of a job by the store's clock.
func (co *Coordinator) Age(record *Record, now time.Duration) time.Duration {
	return co.clock.at(now) - record.AcceptedAt
}

// TakeEffects returns and clears the pending effects.
func (co *Coordinator) TakeEffects() Effects {
	effects := co.effects
	co.effects = Effects{}
	return effects
}

// Open returns the number of jobs that are not known to have ended. It includes jobs that
// are not stored yet and jobs whose end is not stored yet.
func (co *Coordinator) Open() int { return len(co.entries) }

// Accept stores a job, and answers the call once the outcome is known, or at the deadline.
// A job that is stored or has ended already is answered at once. A new job is refused at
// once while the store is down, unless it is used to probe the store.
func (co *Coordinator) Accept(number uint64, record Record, deadline, now time.Duration) {
	id := record.ID
	if known, ok := co.ended[id]; ok {
		co.answerEnded(call{number: number}, known)
		return
	}
	e := co.entries[id]
	if e == nil {
		if co.pacer.health.IsDown() && !co.mayProbe(now) {
			co.answer(number, refusal(ReasonStoreDown))
			return
		}
		record.Epoch = 0 // a new job has not been dispatched yet
		e = &entry{record: record, knownSince: now}
		co.entries[id] = e
	}
	if e.isStored() {
		co.answer(number, Answer{Verdict: Accepted, State: Queued})
		return
	}
	e.acceptCalls = append(e.acceptCalls, call{number: number, deadline: deadline})
	co.enqueue(id, e)
}

// mayProbe reports whether the write of a new job may be used to test a store that seems
// down: no other write is pending and the pacer allows one now.
func (co *Coordinator) mayProbe(now time.Duration) bool {
	return len(co.queue) == 0 && len(co.inFlight) == 0 && now >= co.pacer.next
}

// Cancel cancels a job unless it ends otherwise before, and answers the call once the
// stored end is known, or at the deadline. The answer is Accepted also if an earlier end,
// such as Completed, takes precedence; its State tells which. Cancel returns false for an
// unknown job, whose rows must be read first.
func (co *Coordinator) Cancel(number uint64, id string, deadline, _ time.Duration) bool {
	if known, ok := co.ended[id]; ok {
		co.answerEnded(call{number: number}, known)
		return true
	}
	e := co.entries[id]
	if e == nil {
		return false
	}
	e.cancelCalls = append(e.cancelCalls, call{number: number, deadline: deadline})
	if e.endState == 0 {
		e.endState = Cancelled
	}
	co.enqueue(id, e)
	return true
}

// IsUndetermined reports whether a job has ended, but it is not known here how.
func (co *Coordinator) IsUndetermined(id string) bool {
	known, ok := co.ended[id]
	return ok && known.state == Undetermined
}

// State returns the state of a job, or false if it is unknown or undetermined here. Another
// coordinator may have ended a job that is still open here, so callers read the job's row if
// the store can be read.
func (co *Coordinator) State(id string) (State, bool) {
	if known, ok := co.ended[id]; ok {
		return known.state, known.state != Undetermined
	}
	if e := co.entries[id]; e != nil && e.isStored() {
		return Queued, true
	}
	return 0, false
}

// Finish records the end of a job that the owner of its cell reported, and queues it for
// writing. It is ignored if the job is unknown or another end is already to be written.
func (co *Coordinator) Finish(id string, state State) {
	e := co.entries[id]
	if e == nil || e.endState != 0 {
		return
	}
	e.endState = state
	e.pendingMove = nil
	co.enqueue(id, e)
}

// Move assigns a job to another cell, or saves its progress if the cell is unchanged. The
// job is followed by the new record once that is stored. Jobs that are unknown, not stored
// yet or about to end are not moved.
func (co *Coordinator) Move(record Record) {
	e := co.entries[record.ID]
	if e == nil || e.endState != 0 || !e.isStored() {
		return
	}
	record.AcceptedAt, record.From = e.record.AcceptedAt, e.record.Cell
	if record.Cell == e.record.Cell {
		record.From = "" // its current cell runs it already
	}
	e.pendingMove = &record
	co.enqueue(record.ID, e)
}

// ApplyOpenRows applies a complete reading of the partition's open jobs that began at
// began. Jobs that were unknown are followed from now on. Stored jobs that the reading
// lacks may have ended, so their own rows are read next.
func (co *Coordinator) ApplyOpenRows(rows []tables.Row, began, now time.Duration) {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Key] = true
		co.applyOpenRow(row, began, now)
	}
	for id, e := range co.entries {
		if !listed[id] && e.isStored() && e.knownSince < began && !e.queued {
			co.effects.ReadRows = append(co.effects.ReadRows, id)
		}
	}
	slices.Sort(co.effects.ReadRows)
}

// ApplyRows applies the rows of one job as read by a reading that began at began; nil for
// an absent row. If both are absent, the job stays as it is: its row may not be stored
// yet. If its rows have been removed, the conflict of its next change shows that.
func (co *Coordinator) ApplyRows(id string, open, ended *tables.Row, began, now time.Duration) {
	if ended != nil {
		co.applyEndedRow(id, *ended, now)
		return
	}
	if open != nil {
		co.applyOpenRow(*open, began, now)
	}
}

// IsCurrent reports whether the known version of an open job is that of its row. It is
// false while a queued change keeps newer rows from being applied.
func (co *Coordinator) IsCurrent(id string, row *tables.Row) bool {
	e := co.entries[id]
	return e != nil && row != nil && e.version == row.Version
}

// applyOpenRow applies the row of an open job and requests to follow the job. Rows that
// are not newer than the known version are ignored. A change that is queued or in flight
// takes precedence over any reading.
func (co *Coordinator) applyOpenRow(row tables.Row, began, now time.Duration) {
	e := co.entries[row.Key]
	if known, over := co.ended[row.Key]; over {
		co.renewUndetermined(row.Key, known, now)
		return
	}
	if e != nil && (e.queued || row.Version <= e.version) {
		return
	}
	record, err := co.codec.DecodeRecord(row.Key, row.Value)
	if err != nil {
		co.reportUnreadable(row, err)
		return
	}
	if e == nil {
		e = &entry{knownSince: now}
		co.entries[row.Key] = e
	}
	e.record, e.version = record, row.Version
	co.requestFollow(e, record.EpochAt(co.Age(&record, now)), began)
}

// applyEndedRow applies the row of an ended job. If it cannot be decoded, the end of the
// job is undetermined.
func (co *Coordinator) applyEndedRow(id string, row tables.Row, now time.Duration) {
	end, err := co.codec.DecodeEnd(row.Value)
	if err != nil {
		co.reportUnreadable(row, err)
		end = End{}
	}
	co.recordEnd(id, end.State, end.Cell, now)
}

// Expire answers the calls whose deadlines have passed and forgets the ends that are older
// than endedRetention. A job that no attempt here can have stored is refused and dropped
// once none of its accept calls waits any more.
func (co *Coordinator) Expire(now time.Duration) {
	for id, e := range co.entries {
		if co.cannotBeStored(id, e) && !slices.ContainsFunc(e.acceptCalls, func(c call) bool { return now < c.deadline }) {
			co.refuse(id, e)
			continue
		}
		e.acceptCalls = co.expireCalls(e.acceptCalls, now)
		e.cancelCalls = co.expireCalls(e.cancelCalls, now)
	}
	co.removeOldEnds(now)
}

// removeOldEnds forgets the ends that are older than endedRetention.
func (co *Coordinator) removeOldEnds(now time.Duration) {
	old := 0
	for _, id := range co.endedIDs {
		if now <= co.ended[id].at+endedRetention {
			break
		}
		delete(co.ended, id)
		old++
	}
	co.endedIDs = slices.Delete(co.endedIDs, 0, old)
}

// cannotBeStored reports whether no attempt to insert the job's row can have succeeded or
// can still succeed.
func (co *Coordinator) cannotBeStored(id string, e *entry) bool {
	return !e.isStored() && !e.unresolved && !co.isInFlight(id)
}

// expireCalls answers the calls whose deadlines have passed with Unknown and returns the
// others.
func (co *Coordinator) expireCalls(calls []call, now time.Duration) []call {
	return slices.DeleteFunc(calls, func(c call) bool {
		over := now >= c.deadline
		if over {
			co.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonStoreUnresponsive, RetryAfter: retryDelay})
		}
		return over
	})
}

// refuse drops a job for which this coordinator cannot have written a row. Its cancel
// calls get Unknown, because another coordinator may have accepted the job before.
func (co *Coordinator) refuse(id string, e *entry) {
	for _, c := range e.acceptCalls {
		co.answer(c.number, refusal(ReasonStoreDown))
	}
	for _, c := range e.cancelCalls {
		co.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonStoreDown, RetryAfter: retryDelay})
	}
	co.removeOpen(id)
}

// refusal returns the answer to a call whose job is not kept.
func refusal(reason string) Answer {
	return Answer{Verdict: Refused, Reason: reason, RetryAfter: retryDelay}
}

// removeOpen removes a job from the open ones and from the queue.
func (co *Coordinator) removeOpen(id string) {
	delete(co.entries, id)
	co.queue = slices.DeleteFunc(co.queue, func(queued string) bool { return queued == id })
}

// renewUndetermined remembers an undetermined end for longer while the job has an open row
// as well: the job would be followed again once its end was forgotten.
func (co *Coordinator) renewUndetermined(id string, known endedEntry, now time.Duration) {
	if known.state != Undetermined {
		return
	}
	known.at = now
	co.ended[id] = known
	co.endedIDs = append(slices.DeleteFunc(co.endedIDs, func(other string) bool { return other == id }), id)
}

// recordEnd remembers the end of a job, also of one that is not open here. It answers the
// calls about an open job and requests to stop following it. An end that is already
// remembered keeps its time, and also its state unless that was undetermined.
func (co *Coordinator) recordEnd(id string, state State, cell string, now time.Duration) {
	e := co.entries[id]
	known, again := co.ended[id]
	if !again {
		known = endedEntry{state: state, cell: cell, at: now}
		co.ended[id] = known
		co.endedIDs = append(co.endedIDs, id)
	} else if known.state == Undetermined {
		known.state, known.cell = state, cell
		co.ended[id] = known
	}
	if e == nil {
		return
	}
	for _, c := range slices.Concat(e.acceptCalls, e.cancelCalls) {
		co.answerEnded(c, known)
	}
	co.removeOpen(id)
	if cell == "" {
		cell = e.record.Cell // the ended row does not say it
	}
	co.effects.Ended = append(co.effects.Ended, EndedJob{ID: id, Cell: cell, State: state})
}

// answerEnded answers a call about an ended job. Only a cancelled job may still run in its
// cell, so only then the answer names the cell, whose owner is notified before a cancel is
// answered. An undetermined end confirms neither that the job was accepted nor that it was
// cancelled.
func (co *Coordinator) answerEnded(c call, known endedEntry) {
	if known.state == Undetermined {
		co.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonEndUnknown, RetryAfter: retryDelay})
		return
	}
	answer := CallAnswer{Call: c.number, Answer: Answer{Verdict: Accepted, State: known.state}}
	if known.state == Cancelled {
		answer.Cell = known.cell
	}
	co.effects.Answers = append(co.effects.Answers, answer)
}

// enqueue queues an entry for the next group. An entry that is queued or in flight is not
// queued again; Committed queues it again if it still has a change.
func (co *Coordinator) enqueue(id string, e *entry) {
	if e.queued {
		return
	}
	e.queued = true
	co.queue = append(co.queue, id)
}

// requestFollow requests to follow a job from the given epoch on; asOf is when its row was
// last confirmed.
func (co *Coordinator) requestFollow(e *entry, epoch int, asOf time.Duration) {
	co.effects.Follow = append(co.effects.Follow, FollowRequest{Record: e.record, Epoch: epoch, AsOf: asOf})
}

// answer answers a call about a job that has not ended.
func (co *Coordinator) answer(number uint64, answer Answer) {
	co.effects.Answers = append(co.effects.Answers, CallAnswer{Call: number, Answer: answer})
}

func (co *Coordinator) reportUnreadable(row tables.Row, err error) {
	co.effects.Problems = append(co.effects.Problems, Problem{Row: row, Error: err.Error()})
}
