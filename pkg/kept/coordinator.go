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
	ReasonStoreDown         = "store_down"
	ReasonStoreUnresponsive = "store_silent"
	ReasonRowUnreadable     = "row_unreadable"
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
	unresolved   bool          // an attempt to insert its row got no answer and may still be applied
	failedWrites int           // failed attempts to write its rows
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

// NewCoordinator returns a coordinator without jobs for a part of the tables. The
// coordinators of a host share health.
func NewCoordinator(part string, codec Codec, health *Health) *Coordinator {
	return &Coordinator{part: part, codec: codec, entries: map[string]*entry{}, ended: map[string]endedEntry{}, pacer: newPacer(health)}
}

// storeClock estimates the store's clock from its last response.
type storeClock struct {
	known  bool
	offset time.Duration // of the store's clock to this process's clock
}

func (s *storeClock) observe(store, now time.Duration) { s.known, s.offset = true, store-now }

func (s *storeClock) at(now time.Duration) time.Duration { return now + s.offset }

// ObserveClock records the store's clock from a response. Nothing is written before the
// first call, because the ages of jobs are computed by the store's clock.
func (co *Coordinator) ObserveClock(store, now time.Duration) { co.clock.observe(store, now) }

// Age returns the age of a job by the store's clock.
func (k *Coordinator) Age(record *Record, now time.Duration) time.Duration {
	return k.clock.at(now) - record.AcceptedAt
}

// TakeEffects returns and clears the pending effects.
func (k *Coordinator) TakeEffects() Effects {
	effects := k.effects
	k.effects = Effects{}
	return effects
}

// Open returns the number of open jobs.
func (k *Coordinator) Open() int { return len(k.entries) }

// Accept stores a job, and answers the call once the outcome is known, or at the deadline.
func (k *Coordinator) Accept(number uint64, record Record, deadline, now time.Duration) {
	id := record.ID
	if known, ok := k.ended[id]; ok {
		k.answerEnded(call{number: number}, known)
		return
	}
	e := k.entries[id]
	if e == nil {
		if k.pacer.health.IsDown() && !k.mayProbe(now) {
			k.answer(number, refusal(ReasonStoreDown))
			return
		}
		record.Epoch = 0
		e = &entry{record: record, knownSince: now}
		k.entries[id] = e
	}
	if e.isStored() {
		k.answer(number, Answer{Verdict: Accepted, State: Queued})
		return
	}
	e.acceptCalls = append(e.acceptCalls, call{number: number, deadline: deadline})
	k.enqueue(id, e)
}

// mayProbe reports whether a new job may be used to test a store that seems down.
func (k *Coordinator) mayProbe(now time.Duration) bool {
	return len(k.queue) == 0 && len(k.inFlight) == 0 && now >= k.pacer.next
}

// Cancel ends a job for good, and answers the call once that is stored. It returns false
// for an unknown job, whose rows must be read first.
func (k *Coordinator) Cancel(number uint64, id string, deadline, _ time.Duration) bool {
	if known, ok := k.ended[id]; ok {
		k.answerEnded(call{number: number}, known)
		return true
	}
	e := k.entries[id]
	if e == nil {
		return false
	}
	e.cancelCalls = append(e.cancelCalls, call{number: number, deadline: deadline})
	if e.endState == 0 {
		e.endState = Cancelled
	}
	k.enqueue(id, e)
	return true
}

// State returns the state of a job, or false if it is unknown here. Another coordinator
// may have ended a job that is still open here, so callers read the job's row if the store
// can be read.
func (k *Coordinator) State(id string) (State, bool) {
	if known, ok := k.ended[id]; ok {
		return known.state, true
	}
	if e := k.entries[id]; e != nil && e.isStored() {
		return Queued, true
	}
	return 0, false
}

// Finish records the end of a job that the owner of its cell reported.
func (k *Coordinator) Finish(id string, state State) {
	e := k.entries[id]
	if e == nil || e.endState != 0 {
		return
	}
	e.endState = state
	e.pendingMove = nil
	k.enqueue(id, e)
}

// Move assigns a job to another cell, or saves its progress if the cell is unchanged. The
// job is followed by the new record once that is stored.
func (k *Coordinator) Move(record Record) {
	e := k.entries[record.ID]
	if e == nil || e.endState != 0 || !e.isStored() {
		return
	}
	record.AcceptedAt, record.From = e.record.AcceptedAt, e.record.Cell
	if record.Cell == e.record.Cell {
		record.From = "" // its current cell runs it already
	}
	e.pendingMove = &record
	k.enqueue(record.ID, e)
}

// ApplyOpenRows applies a complete reading of the partition's open jobs that began at
// began. Jobs that were unknown are followed from now on.
func (k *Coordinator) ApplyOpenRows(rows []tables.Row, began, now time.Duration) {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Key] = true
		k.applyOpenRow(row, began, now)
	}
	for id, e := range k.entries {
		if !listed[id] && e.isStored() && e.knownSince < began && !e.queued {
			k.effects.ReadRows = append(k.effects.ReadRows, id)
		}
	}
	slices.Sort(k.effects.ReadRows)
}

// ApplyRows applies the rows of one job as read by a reading that began at began; nil for
// an absent row.
func (k *Coordinator) ApplyRows(id string, open, ended *tables.Row, began, now time.Duration) {
	if ended != nil {
		k.applyEndedRow(id, *ended, now)
		return
	}
	if open != nil {
		k.applyOpenRow(*open, began, now)
	}
}

// IsCurrent reports whether the known version of an open job is that of its row. It is
// false while a queued change keeps newer rows from being applied.
func (k *Coordinator) IsCurrent(id string, row *tables.Row) bool {
	e := k.entries[id]
	return e != nil && row != nil && e.version == row.Version
}

// applyOpenRow applies the row of an open job. A change that is queued or in flight takes
// precedence over any reading.
func (k *Coordinator) applyOpenRow(row tables.Row, began, now time.Duration) {
	e := k.entries[row.Key]
	if _, over := k.ended[row.Key]; over || e != nil && (e.queued || row.Version <= e.version) {
		return
	}
	record, err := k.codec.DecodeRecord(row.Key, row.Value)
	if err != nil {
		k.reportProblem("kept_row_unreadable", row.Key, err)
		return
	}
	if e == nil {
		e = &entry{knownSince: now}
		k.entries[row.Key] = e
	}
	e.record, e.version = record, row.Version
	k.requestFollow(e, record.EpochAt(k.Age(&record, now)), began)
}

// applyEndedRow applies the row of an ended job.
func (k *Coordinator) applyEndedRow(id string, row tables.Row, now time.Duration) {
	end, err := k.codec.DecodeEnd(row.Value)
	if err != nil {
		k.reportProblem("kept_row_unreadable", id, err)
		end.State = Failed // the job has ended, but its row cannot be decoded
	}
	k.recordEnd(id, end.State, end.Cell, now)
}

// Expire answers the calls whose deadlines have passed and removes old ends.
func (k *Coordinator) Expire(now time.Duration) {
	for id, e := range k.entries {
		if k.cannotBeStored(id, e) && !slices.ContainsFunc(e.acceptCalls, func(c call) bool { return now < c.deadline }) {
			k.refuse(id, e)
			continue
		}
		e.acceptCalls = k.expireCalls(e.acceptCalls, now)
		e.cancelCalls = k.expireCalls(e.cancelCalls, now)
	}
	k.removeOldEnds(now)
}

func (k *Coordinator) removeOldEnds(now time.Duration) {
	old := 0
	for _, id := range k.endedIDs {
		if now <= k.ended[id].at+endedRetention {
			break
		}
		delete(k.ended, id)
		old++
	}
	k.endedIDs = slices.Delete(k.endedIDs, 0, old)
}

// cannotBeStored reports whether no row of the job can have been written, nor still be.
func (k *Coordinator) cannotBeStored(id string, e *entry) bool {
	return !e.isStored() && !e.unresolved && !k.isInFlight(id)
}

// expireCalls answers the calls whose deadlines have passed and returns the others.
func (k *Coordinator) expireCalls(calls []call, now time.Duration) []call {
	return slices.DeleteFunc(calls, func(c call) bool {
		over := now >= c.deadline
		if over {
			k.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonStoreUnresponsive, RetryAfter: retryDelay})
		}
		return over
	})
}

// refuse drops a job for which this coordinator cannot have written a row. Its cancel
// calls get Unknown, because another coordinator may have accepted the job before.
func (k *Coordinator) refuse(id string, e *entry) {
	for _, c := range e.acceptCalls {
		k.answer(c.number, refusal(ReasonStoreDown))
	}
	for _, c := range e.cancelCalls {
		k.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonStoreDown, RetryAfter: retryDelay})
	}
	k.removeOpen(id)
}

func refusal(reason string) Answer {
	return Answer{Verdict: Refused, Reason: reason, RetryAfter: retryDelay}
}

// removeOpen removes a job from the open ones.
func (k *Coordinator) removeOpen(id string) {
	delete(k.entries, id)
	k.queue = slices.DeleteFunc(k.queue, func(queued string) bool { return queued == id })
}

// recordEnd records the stored end of a job and answers its calls.
func (k *Coordinator) recordEnd(id string, state State, cell string, now time.Duration) {
	e := k.entries[id]
	known, again := k.ended[id]
	if !again {
		known = endedEntry{state: state, cell: cell, at: now}
		k.ended[id] = known
		k.endedIDs = append(k.endedIDs, id)
	}
	if e == nil {
		return
	}
	for _, c := range slices.Concat(e.acceptCalls, e.cancelCalls) {
		k.answerEnded(c, known)
	}
	k.removeOpen(id)
	k.effects.Ended = append(k.effects.Ended, EndedJob{ID: id, Cell: cell, State: state})
}

func (k *Coordinator) answerEnded(c call, known endedEntry) {
	answer := CallAnswer{Call: c.number, Answer: Answer{Verdict: Accepted, State: known.state}}
	if known.state == Cancelled {
		answer.Cell = known.cell
	}
	k.effects.Answers = append(k.effects.Answers, answer)
}

func (k *Coordinator) enqueue(id string, e *entry) {
	if e.queued {
		return
	}
	e.queued = true
	k.queue = append(k.queue, id)
}

func (k *Coordinator) requestFollow(e *entry, epoch int, asOf time.Duration) {
	k.effects.Follow = append(k.effects.Follow, FollowRequest{Record: e.record, Epoch: epoch, AsOf: asOf})
}

func (k *Coordinator) answer(number uint64, answer Answer) {
	k.effects.Answers = append(k.effects.Answers, CallAnswer{Call: number, Answer: answer})
}

func (k *Coordinator) reportProblem(event, id string, err error) {
	k.effects.Problems = append(k.effects.Problems, Problem{Event: event, ID: id, Error: err.Error()})
}
