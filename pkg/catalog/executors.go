package catalog

import "maps"

// Executors is one reading of the executors that there are.
type Executors struct {
	Revision   uint64 // of the store when it was read
	ByID       map[string]Executor
	Unreadable []Unreadable // rows that name no executor to use
}

// ExecutorChanges is what has changed in the list of executors.
type ExecutorChanges struct {
	Revision   uint64       // of the store up to which this tells all changes
	Listed     []Executor   // new or changed
	Removed    []string     // ids of those that are no longer listed
	Unreadable []Unreadable // new or changed rows that name no executor to use
	More       bool         // the store has more changes to tell, from Revision on
}

// Empty reports whether nothing has changed that names an executor.
func (c *ExecutorChanges) Empty() bool { return len(c.Listed) == 0 && len(c.Removed) == 0 }

// With returns the reading after some changes. The reading itself stays as it is.
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
