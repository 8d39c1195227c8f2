package kept

import (
	"slices"
	"time"

	"github.com/foxcroft/foxcroft/pkg/tables"
)

const (
	// comeBack is the advice to callers whose jobs can't be kept now.
	comeBack = time.Second
	// rememberEnded is how long a keeper tells the end of a job without a look at
	// its row: longer than callers ask again after an answer that was lost.
	rememberEnded = 30 * time.Second
)

// Reasons of refusals and of answers that leave the fate of a job open.
const (
	ReasonStoreDown = "store_down"
	ReasonUnknown   = "store_silent"
	ReasonUnread    = "row_unreadable"
)

// call is a caller that waits for an answer.
type call struct {
	number uint64
	until  time.Duration
}

// entry is an open job at its keeper.
type entry struct {
	record  Record
	version uint64        // of its row; 0 before it is known to last
	since   time.Duration // when this keeper came to know it
	unsure  bool          // an attempt to write its row got no answer, and may be done yet
	tries   int           // to write its row
	queued  bool          // it stands in the queue, or is in the group under way
	ending  State         // that its row is to be written with; 0 while it goes on
	move    *Record       // that its row is to be replaced by; nil for none
	accepts []call
	cancels []call
}

// lasts reports whether the job is known to be kept.
func (e *entry) lasts() bool { return e.version > 0 }

// Coordinator keeps the jobs of one partition: it writes their rows, knows their state,
// and says which are to be followed. Several keepers of a partition at a time do no
// harm, as each change is conditional on the rows and the owner of a cell alone lets
// tasks run. It isn't safe for concurrent use.
type Coordinator struct {
	part     string
	codec    Codec
	entries  map[string]*entry
	ended    map[string]endedEntry
	endedIDs []string      // of ended, the oldest first
	queue    []string      // ids of entries with a change to write, the oldest first
	underWay []change      // the group that is being written
	sentAt   time.Duration // when the last group went out
	pace     pace
	clock    storeClock
	effects  Effects
}

// NewCoordinator makes the keeper of a part that knows of no jobs yet. The keepers of a host
// share what they know of the store.
func NewCoordinator(part string, codec Codec, health *Health) *Coordinator {
	return &Coordinator{part: part, codec: codec, entries: map[string]*entry{}, ended: map[string]endedEntry{}, pace: newPace(health)}
}

// storeClock tells the store's clock from the last of its answers.
type storeClock struct {
	known bool
	ahead time.Duration // of ours
}

func (s *storeClock) heard(store, now time.Duration) { s.known, s.ahead = true, store-now }

func (s *storeClock) at(now time.Duration) time.Duration { return now + s.ahead }

// ObserveClock takes the store's clock from an answer. Nothing is written before: the
// ages of jobs are told by it.
func (k *Coordinator) ObserveClock(store, now time.Duration) { k.clock.heard(store, now) }

// Age returns how old a job is.
func (k *Coordinator) Age(record *Record, now time.Duration) time.Duration {
	return k.clock.at(now) - record.AcceptedAt
}

// TakeEffects returns what has come up since the last call.
func (k *Coordinator) TakeEffects() Effects {
	effects := k.effects
	k.effects = Effects{}
	return effects
}

// Open returns the number of jobs that haven't ended.
func (k *Coordinator) Open() int { return len(k.entries) }

// Accept takes a job that a caller wants kept, and answers the call once its fate is
// known, or at until.
func (k *Coordinator) Accept(number uint64, record Record, until, now time.Duration) {
	id := record.ID
	if known, ok := k.ended[id]; ok {
		k.answerEnded(call{number: number}, known)
		return
	}
	e := k.entries[id]
	if e == nil {
		if k.pace.health.IsDown() && !k.probes(now) {
			k.answer(number, refusal(ReasonStoreDown))
			return
		}
		record.Epoch = 0
		e = &entry{record: record, since: now}
		k.entries[id] = e
	}
	if e.lasts() {
		k.answer(number, Answer{Verdict: Accepted, State: Queued})
		return
	}
	e.accepts = append(e.accepts, call{number: number, until: until})
	k.enqueue(id, e)
}

// probes reports whether a job may try a store that seems down.
func (k *Coordinator) probes(now time.Duration) bool {
	return len(k.queue) == 0 && len(k.underWay) == 0 && now >= k.pace.next
}

// Cancel ends a job for good, and answers the call once that lasts. It reports false
// for a job that isn't known here, whose rows may tell of it.
func (k *Coordinator) Cancel(number uint64, id string, until, _ time.Duration) bool {
	if known, ok := k.ended[id]; ok {
		k.answerEnded(call{number: number}, known)
		return true
	}
	e := k.entries[id]
	if e == nil {
		return false
	}
	e.cancels = append(e.cancels, call{number: number, until: until})
	if e.ending == 0 {
		e.ending = Cancelled
	}
	k.enqueue(id, e)
	return true
}

// State returns the state of a job, or false when it isn't known here. Another keeper
// may have ended one that is open here: where the store can be read, its row tells.
func (k *Coordinator) State(id string) (State, bool) {
	if known, ok := k.ended[id]; ok {
		return known.state, true
	}
	if e := k.entries[id]; e != nil && e.lasts() {
		return Queued, true
	}
	return 0, false
}

// Finish takes the end of a job at the owner of its cell.
func (k *Coordinator) Finish(id string, state State) {
	e := k.entries[id]
	if e == nil || e.ending != 0 {
		return
	}
	e.ending = state
	e.move = nil
	k.enqueue(id, e)
}

// Move gives a job to another cell, or writes what is known of it at the cell that it
// has. It is followed there once its row tells so.
func (k *Coordinator) Move(record Record) {
	e := k.entries[record.ID]
	if e == nil || e.ending != 0 || !e.lasts() {
		return
	}
	record.AcceptedAt, record.From = e.record.AcceptedAt, e.record.Cell
	if record.Cell == e.record.Cell {
		record.From = "" // it has been handed over there
	}
	e.move = &record
	k.enqueue(record.ID, e)
}

// ApplyOpenRows takes the open jobs of the partition, all of them, as a reading that began
// at began tells them. Those that aren't known are followed from now on.
func (k *Coordinator) ApplyOpenRows(rows []tables.Row, began, now time.Duration) {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Key] = true
		k.learnOpen(row, began, now)
	}
	for id, e := range k.entries {
		if !listed[id] && e.lasts() && e.since < began && !e.queued {
			k.effects.ReadRows = append(k.effects.ReadRows, id)
		}
	}
	slices.Sort(k.effects.ReadRows)
}

// ApplyRows takes the rows of a job as a reading that began at began tells them, the open
// one first; nil for one that is absent.
func (k *Coordinator) ApplyRows(id string, open, ended *tables.Row, began, now time.Duration) {
	if ended != nil {
		k.learnEnded(id, *ended, now)
		return
	}
	if open != nil {
		k.learnOpen(*open, began, now)
	}
}

// IsCurrent reports whether what is known of an open job is what its row tells. A
// change that is under way hides what another keeper has written meanwhile.
func (k *Coordinator) IsCurrent(id string, row *tables.Row) bool {
	e := k.entries[id]
	return e != nil && row != nil && e.version == row.Version
}

// learnOpen takes the row of an open job. One that this keeper has under way is
// newer than any reading.
func (k *Coordinator) learnOpen(row tables.Row, began, now time.Duration) {
	e := k.entries[row.Key]
	if _, over := k.ended[row.Key]; over || e != nil && (e.queued || row.Version <= e.version) {
		return
	}
	record, err := k.codec.DecodeRecord(row.Key, row.Value)
	if err != nil {
		k.problem("kept_row_unreadable", row.Key, err)
		return
	}
	if e == nil {
		e = &entry{since: now}
		k.entries[row.Key] = e
	}
	e.record, e.version = record, row.Version
	k.follow(e, record.EpochAt(k.Age(&record, now)), began)
}

// learnEnded takes the row of an ended job.
func (k *Coordinator) learnEnded(id string, row tables.Row, now time.Duration) {
	end, err := k.codec.DecodeEnd(row.Value)
	if err != nil {
		k.problem("kept_row_unreadable", id, err)
		end.State = Failed // it has ended, by a row that can't tell how
	}
	k.settleEnd(id, end.State, end.Cell, now)
}

// Expire answers callers that have waited for long enough, and forgets old ends.
func (k *Coordinator) Expire(now time.Duration) {
	for id, e := range k.entries {
		if k.isUnwritten(id, e) && !slices.ContainsFunc(e.accepts, func(c call) bool { return now < c.until }) {
			k.refuse(id, e)
			continue
		}
		e.accepts = k.expireCalls(e.accepts, now)
		e.cancels = k.expireCalls(e.cancels, now)
	}
	k.forgetEnded(now)
}

// forgetEnded forgets ends that are old.
func (k *Coordinator) forgetEnded(now time.Duration) {
	old := 0
	for _, id := range k.endedIDs {
		if now <= k.ended[id].at+rememberEnded {
			break
		}
		delete(k.ended, id)
		old++
	}
	k.endedIDs = slices.Delete(k.endedIDs, 0, old)
}

// isUnwritten reports whether nothing of a job can have been written, nor can be yet.
func (k *Coordinator) isUnwritten(id string, e *entry) bool {
	return !e.lasts() && !e.unsure && !k.isUnderWay(id)
}

// expireCalls answers those that are over, and returns the others.
func (k *Coordinator) expireCalls(calls []call, now time.Duration) []call {
	return slices.DeleteFunc(calls, func(c call) bool {
		over := now >= c.until
		if over {
			k.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonUnknown, RetryAfter: comeBack})
		}
		return over
	})
}

// refuse forgets a job of which this keeper can't have written anything. Whether
// there is one to cancel is open: another keeper may have accepted it before.
func (k *Coordinator) refuse(id string, e *entry) {
	for _, c := range e.accepts {
		k.answer(c.number, refusal(ReasonStoreDown))
	}
	for _, c := range e.cancels {
		k.answer(c.number, Answer{Verdict: Unknown, Reason: ReasonStoreDown, RetryAfter: comeBack})
	}
	k.forget(id)
}

func refusal(reason string) Answer {
	return Answer{Verdict: Refused, Reason: reason, RetryAfter: comeBack}
}

// forget takes a job off the open ones.
func (k *Coordinator) forget(id string) {
	delete(k.entries, id)
	k.queue = slices.DeleteFunc(k.queue, func(queued string) bool { return queued == id })
}

// settleEnd takes that the end of a job lasts.
func (k *Coordinator) settleEnd(id string, state State, cell string, now time.Duration) {
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
	for _, c := range slices.Concat(e.accepts, e.cancels) {
		k.answerEnded(c, known)
	}
	k.forget(id)
	k.effects.Ended = append(k.effects.Ended, EndedJob{ID: id, Cell: cell, State: state})
}

// answerEnded answers a call about a job that has ended.
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

func (k *Coordinator) follow(e *entry, epoch int, asOf time.Duration) {
	k.effects.Follow = append(k.effects.Follow, FollowRequest{Record: e.record, Epoch: epoch, AsOf: asOf})
}

func (k *Coordinator) answer(number uint64, answer Answer) {
	k.effects.Answers = append(k.effects.Answers, CallAnswer{Call: number, Answer: answer})
}

func (k *Coordinator) problem(event, id string, err error) {
	k.effects.Problems = append(k.effects.Problems, Problem{Event: event, ID: id, Error: err.Error()})
}
