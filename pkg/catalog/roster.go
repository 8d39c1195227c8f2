package catalog

import (
	"maps"
	"slices"
	"time"
)

// Roster follows the list of executors: it is read whole once, and by its
// changes from then on, which hosts pass on to each other. It remembers when
// each executor changed, so that a host that has missed changes gets just these.
type Roster struct {
	executors *Executors    // nil before the first reading
	position  uint64        // of the store's history up to which all changes are known
	lost      bool          // the history after position is gone
	wholeAt   time.Duration // when the list was last read whole

	changedAt map[string]uint64 // revision of the last change of each that is listed, by id
	goneAt    map[string]uint64 // of those that went, by id
	floor     uint64            // changes up to this revision aren't remembered
}

// NewRoster makes a roster that knows no list.
func NewRoster() *Roster {
	return &Roster{changedAt: map[string]uint64{}, goneAt: map[string]uint64{}}
}

// mostGone bounds how many executors that went are remembered.
const mostGone = 1024

// Executors returns the newest list, or nil. Its revision is that of the last
// change of more than a clock.
func (r *Roster) Executors() *Executors { return r.executors }

// Revision returns the revision of the list, or 0.
func (r *Roster) Revision() uint64 {
	if r.executors == nil {
		return 0
	}
	return r.executors.Revision
}

// Position returns the revision of the store to ask for changes from.
func (r *Roster) Position() uint64 { return r.position }

// NeedsFull reports whether the list has to be read whole, as its changes
// can't be had.
func (r *Roster) NeedsFull() bool { return r.executors == nil || r.lost }

// MayReadFull reports whether the last such reading is so long ago.
func (r *Roster) MayReadFull(now, pause time.Duration) bool {
	return r.executors == nil || now >= r.wholeAt+pause
}

// MarkIncomplete takes the word of the store that it can't tell the changes.
func (r *Roster) MarkIncomplete() { r.lost = true }

// ApplyFull takes a whole list and reports whether it is accepted, and whether
// it brings news. A store that lags behind may return one that is older than
// what is known.
func (r *Roster) ApplyFull(list *Executors, now time.Duration) (accepted, news bool) {
	r.wholeAt = now
	if r.executors != nil && list.Revision < r.position {
		return false, false
	}
	r.lost = false
	if r.executors == nil {
		r.begin(list)
		return true, true
	}
	return true, r.ApplyChanges(r.differences(list))
}

func (r *Roster) begin(list *Executors) {
	r.executors = &Executors{Revision: list.Revision, ByID: list.ByID}
	r.position, r.floor = list.Revision, list.Revision
	for id := range list.ByID {
		r.changedAt[id] = list.Revision
	}
}

// differences returns what a whole list changes.
func (r *Roster) differences(list *Executors) *ExecutorChanges {
	changes := &ExecutorChanges{Revision: list.Revision, Listed: slices.Collect(maps.Values(list.ByID)), Unreadable: list.Unreadable}
	there := make(map[string]bool, len(list.Unreadable))
	for _, row := range list.Unreadable {
		there[row.Key] = true
	}
	for id := range r.executors.ByID {
		if _, listed := list.ByID[id]; !listed && !there[id] {
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes
}

// ApplyChanges takes what has changed since Position, and reports whether the
// list differs from before in more than clocks.
func (r *Roster) ApplyChanges(changes *ExecutorChanges) bool {
	if changes.Revision < r.position {
		return false // what another host passed on is newer
	}
	r.position = changes.Revision
	news := r.news(changes)
	if news.Empty() {
		return false
	}
	r.apply(news)
	return true
}

// news returns the changes that are more than clocks. An executor that was read
// before stays, withheld, while its row can't be read; other such rows are no news, so
// that however many of them stand in the table, they take neither room nor messages.
func (r *Roster) news(changes *ExecutorChanges) *ExecutorChanges {
	news := &ExecutorChanges{Revision: changes.Revision}
	for _, executor := range changes.Listed {
		known, listed := r.executors.ByID[executor.ID]
		if !listed || !known.sameButClock(executor) {
			news.Listed = append(news.Listed, executor)
		}
	}
	news.Listed = append(news.Listed, r.withheld(changes.Unreadable)...)
	for _, id := range changes.Removed {
		if _, listed := r.executors.ByID[id]; listed {
			news.Removed = append(news.Removed, id)
		}
	}
	return news
}

// withheld returns the executors that were read before, of rows that can't be read now.
func (r *Roster) withheld(rows []Unreadable) []Executor {
	var withheld []Executor
	for _, row := range rows {
		if known, listed := r.executors.ByID[row.Key]; listed && known.TakesWork() {
			withheld = append(withheld, known.Withheld())
		}
	}
	return withheld
}

func (r *Roster) apply(news *ExecutorChanges) {
	r.executors = r.executors.With(news)
	for _, executor := range news.Listed {
		r.changedAt[executor.ID] = news.Revision
		delete(r.goneAt, executor.ID)
	}
	for _, id := range news.Removed {
		r.goneAt[id] = news.Revision
		delete(r.changedAt, id)
	}
	r.forgetGone()
}

// forgetGone drops what is remembered of executors that went, once it is much.
// Hosts that have missed more get the whole list.
func (r *Roster) forgetGone() {
	if len(r.goneAt) <= mostGone {
		return
	}
	for _, at := range r.goneAt {
		r.floor = max(r.floor, at)
	}
	r.goneAt = map[string]uint64{}
}

// RelayedList is what one host passes on to another: the changes since a revision,
// or the whole list.
type RelayedList struct {
	Changes  ExecutorChanges
	Since    uint64 // the changes follow on this revision; 0 for the whole list
	Position uint64 // of the store's history up to which the sender knows all changes
}

// Since returns what a host lacks that knows the list as of a revision.
func (r *Roster) Since(revision uint64) *RelayedList {
	if r.executors == nil {
		return nil
	}
	passed := &RelayedList{Since: revision, Position: r.position, Changes: ExecutorChanges{Revision: r.executors.Revision}}
	if revision < r.floor {
		passed.Since = 0
		passed.Changes.Listed = slices.Collect(maps.Values(r.executors.ByID))
		return passed
	}
	for id, at := range r.changedAt {
		if at > revision {
			passed.Changes.Listed = append(passed.Changes.Listed, r.executors.ByID[id])
		}
	}
	for id, at := range r.goneAt {
		if at > revision {
			passed.Changes.Removed = append(passed.Changes.Removed, id)
		}
	}
	return passed
}

// ApplyRelayed takes what another host has passed on. It reports whether that
// brings news, and whether changes before it are missing here.
func (r *Roster) ApplyRelayed(passed *RelayedList) (news, missing bool) {
	if r.Revision() >= passed.Changes.Revision {
		r.position = max(r.position, passed.Position)
		return false, false
	}
	if passed.Since > r.Revision() {
		return false, true
	}
	changes := passed.Changes.checked()
	if passed.Since == 0 {
		r.takePassedList(changes)
	} else {
		changes.Listed = append(changes.Listed, r.withheld(changes.Unreadable)...)
		r.apply(changes) // the revision moves on even where nothing differs here
	}
	r.position = max(r.position, passed.Position)
	return true, false
}

// checked returns changes with what can't be used among the unreadable rows. A host
// checks what it reads before it passes it on; one of an older version may not.
func (c *ExecutorChanges) checked() *ExecutorChanges {
	checked := *c
	checked.Listed = nil
	for _, executor := range c.Listed {
		if reason := executor.checkPassed(); reason != Readable {
			checked.Unreadable = append(checked.Unreadable, Unreadable{Key: executor.ID, Reason: reason})
			continue
		}
		checked.Listed = append(checked.Listed, executor)
	}
	return &checked
}

func (r *Roster) takePassedList(changes *ExecutorChanges) {
	list := &Executors{Revision: changes.Revision, ByID: map[string]Executor{}, Unreadable: changes.Unreadable}
	for _, executor := range changes.Listed {
		list.ByID[executor.ID] = executor
	}
	r.lost = false
	if r.executors == nil {
		r.begin(list)
		return
	}
	r.apply(r.news(r.differences(list)))
}
