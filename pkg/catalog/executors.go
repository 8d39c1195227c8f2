package catalog

import "maps"

// Executors is one reading of the list of executors.
type Executors struct {
	Revision   uint64 // of the store when it was read
	ByID       map[string]Executor
	Unreadable []Unreadable // rows that describe no usable executor
}

// ExecutorChanges are changes to the list of executors.
type ExecutorChanges struct {
	Revision   uint64       // of the store; all changes up to it are included
	Listed     []Executor   // new or changed
	Removed    []string     // ids of those that are no longer listed
	Unreadable []Unreadable // new or changed rows that describe no usable executor
	More       bool         // the store has further changes after Revision
}

// Empty reports whether no executor is listed or removed.
func (c *ExecutorChanges) Empty() bool { return len(c.Listed) == 0 && len(c.Removed) == 0 }

// With returns a copy of the reading with changes applied.
func (e *Executors) With(changes *ExecutorChanges) *Executors {
	next := &Executors{Revision: changes.Revision, ByID: maps.Clone(e.ByID)}
	for _, executor := range changes.Listed {
		next.ByID[executor.ID] = executor
	}
	for _, id := range changes.Removed {
		delete(next.ByID, id)
	}
	return next
}
