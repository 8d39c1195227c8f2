package catalog

import (
	"maps"
	"slices"
	"time"
)

// Roster tracks the list of executors. The full list is read once, and after that its
// changes, which hosts relay to each other. Roster records the revision at which each
// executor changed, so that a host that has missed changes is sent only these.
type Roster struct {
	executors  *Executors    // nil before the first reading
	position   uint64        // in the store's history; all changes up to it are known
	incomplete bool          // the store no longer has the changes after position
	fullReadAt time.Duration // when the full list was last read

	changedAt map[string]uint64 // revision of the last change of each listed executor, by id
	removedAt map[string]uint64 // revision at which each removed executor went, by id
	floor     uint64            // changes up to this revision aren't recorded
}

// NewRoster returns a roster without a list.
func NewRoster() *Roster {
	return &Roster{changedAt: map[string]uint64{}, removedAt: map[string]uint64{}}
}

// maxRemoved bounds how many removed executors are recorded.
const maxRemoved = 1024

// Executors returns the newest list, or nil. Its revision is that of the last
// change other than of clocks.
func (r *Roster) Executors() *Executors { return r.executors }

// Revision returns the revision of the list, or 0.
func (r *Roster) Revision() uint64 {
	if r.executors == nil {
		return 0
	}
	return r.executors.Revision
}

// Position returns the revision of the store from which to read changes.
func (r *Roster) Position() uint64 { return r.position }

// NeedsFull reports whether the full list has to be read because its changes are
// not available.
func (r *Roster) NeedsFull() bool { return r.executors == nil || r.incomplete }

// MayReadFull reports whether at least pause has passed since the last reading of
// the full list.
func (r *Roster) MayReadFull(now, pause time.Duration) bool {
	return r.executors == nil || now >= r.fullReadAt+pause
}

// MarkIncomplete records that the store no longer has the changes after Position.
func (r *Roster) MarkIncomplete() { r.incomplete = true }

// ApplyFull applies a full list. It reports whether the list is accepted and whether
// it changes anything. A list older than Position, as a lagging replica of the store
// may return, is rejected.
func (r *Roster) ApplyFull(list *Executors, now time.Duration) (accepted, changed bool) {
	r.fullReadAt = now
	if r.executors != nil && list.Revision < r.position {
		return false, false
	}
	r.incomplete = false
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

// differences returns the changes from the current list to a full list.
func (r *Roster) differences(list *Executors) *ExecutorChanges {
	changes := &ExecutorChanges{Revision: list.Revision, Listed: slices.Collect(maps.Values(list.ByID)), Unreadable: list.Unreadable}
	unreadable := make(map[string]bool, len(list.Unreadable))
	for _, row := range list.Unreadable {
		unreadable[row.Key] = true
	}
	for id := range r.executors.ByID {
		if _, listed := list.ByID[id]; !listed && !unreadable[id] {
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes
}

// ApplyChanges applies the changes since Position, and reports whether anything but
// clocks has changed.
func (r *Roster) ApplyChanges(changes *ExecutorChanges) bool {
	if changes.Revision < r.position {
		return false // a list relayed by another host is newer
	}
	r.position = changes.Revision
	effective := r.significant(changes)
	if effective.Empty() {
		return false
	}
	r.apply(effective)
	return true
}

// significant returns the changes without those of clocks only. An executor whose row
// becomes unreadable stays listed as withheld. Unreadable rows of unknown executors are
// ignored, so that they take no memory and cause no messages.
func (r *Roster) significant(changes *ExecutorChanges) *ExecutorChanges {
	effective := &ExecutorChanges{Revision: changes.Revision}
	for _, executor := range changes.Listed {
		known, listed := r.executors.ByID[executor.ID]
		if !listed || !known.sameButClock(executor) {
			effective.Listed = append(effective.Listed, executor)
		}
	}
	effective.Listed = append(effective.Listed, r.withheld(changes.Unreadable)...)
	for _, id := range changes.Removed {
		if _, listed := r.executors.ByID[id]; listed {
			effective.Removed = append(effective.Removed, id)
		}
	}
	return effective
}

// withheld returns the listed executors whose rows are unreadable now, as withheld.
func (r *Roster) withheld(rows []Unreadable) []Executor {
	var withheld []Executor
	for _, row := range rows {
		if known, listed := r.executors.ByID[row.Key]; listed && known.TakesWork() {
			withheld = append(withheld, known.Withheld())
		}
	}
	return withheld
}

func (r *Roster) apply(changes *ExecutorChanges) {
	r.executors = r.executors.With(changes)
	for _, executor := range changes.Listed {
		r.changedAt[executor.ID] = changes.Revision
		delete(r.removedAt, executor.ID)
	}
	for _, id := range changes.Removed {
		r.removedAt[id] = changes.Revision
		delete(r.changedAt, id)
	}
	r.trimRemoved()
}

// trimRemoved drops the records of removed executors once they exceed maxRemoved.
// Hosts that have missed one of these removals are sent the full list.
func (r *Roster) trimRemoved() {
	if len(r.removedAt) <= maxRemoved {
		return
	}
	for _, at := range r.removedAt {
		r.floor = max(r.floor, at)
	}
	r.removedAt = map[string]uint64{}
}

// RelayedList is what one host relays to another: the changes since a revision,
// or the full list.
type RelayedList struct {
	Changes  ExecutorChanges
	Since    uint64 // the revision that the changes start from; 0 for the full list
	Position uint64 // in the store's history; the sender knows all changes up to it
}

// Since returns the changes for a host that has the list as of a revision, or the
// full list when the changes since then aren't recorded.
func (r *Roster) Since(revision uint64) *RelayedList {
	if r.executors == nil {
		return nil
	}
	relayed := &RelayedList{Since: revision, Position: r.position, Changes: ExecutorChanges{Revision: r.executors.Revision}}
	if revision < r.floor {
		relayed.Since = 0
		relayed.Changes.Listed = slices.Collect(maps.Values(r.executors.ByID))
		return relayed
	}
	for id, at := range r.changedAt {
		if at > revision {
			relayed.Changes.Listed = append(relayed.Changes.Listed, r.executors.ByID[id])
		}
	}
	for id, at := range r.removedAt {
		if at > revision {
			relayed.Changes.Removed = append(relayed.Changes.Removed, id)
		}
	}
	return relayed
}

// ApplyRelayed applies what another host has relayed. It reports whether that is newer
// than the list here, and whether changes before it are missing here.
func (r *Roster) ApplyRelayed(relayed *RelayedList) (changed, missing bool) {
	if r.Revision() >= relayed.Changes.Revision {
		r.position = max(r.position, relayed.Position)
		return false, false
	}
	if relayed.Since > r.Revision() {
		return false, true
	}
	changes := relayed.Changes.validated()
	if relayed.Since == 0 {
		r.applyRelayedList(changes)
	} else {
		changes.Listed = append(changes.Listed, r.withheld(changes.Unreadable)...)
		r.apply(changes) // advances the revision even when nothing differs here
	}
	r.position = max(r.position, relayed.Position)
	return true, false
}

// validated returns the changes with unusable executors moved to the unreadable rows.
// Hosts of older versions may relay executors without checking them.
func (c *ExecutorChanges) validated() *ExecutorChanges {
	checked := *c
	checked.Listed = nil
	for _, executor := range c.Listed {
		if reason := executor.checkRelayed(); reason != Readable {
			checked.Unreadable = append(checked.Unreadable, Unreadable{Key: executor.ID, Reason: reason})
			continue
		}
		checked.Listed = append(checked.Listed, executor)
	}
	return &checked
}

func (r *Roster) applyRelayedList(changes *ExecutorChanges) {
	list := &Executors{Revision: changes.Revision, ByID: map[string]Executor{}, Unreadable: changes.Unreadable}
	for _, executor := range changes.Listed {
		list.ByID[executor.ID] = executor
	}
	r.incomplete = false
	if r.executors == nil {
		r.begin(list)
		return
	}
	r.apply(r.significant(r.differences(list)))
}
