package catalog

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// services returns the names of the services that a configuration names.
func (c *Configuration) services() map[string]bool {
	names := map[string]bool{}
	if c == nil {
		return names
	}
	for name := range c.Services {
		names[name] = true
	}
	for _, routes := range c.hosts {
		for _, route := range routes {
			names[route.Service] = true
		}
	}
	return names
}

// SameServices reports whether both name the same services. The nil value names none.
func (c *Configuration) SameServices(other *Configuration) bool {
	return maps.Equal(c.services(), other.services())
}

// Called returns the executors of the services that the configuration names. An
// executor of another service is withheld if it was called before, so that the leases
// of its runs are renewed until they end; otherwise it doesn't belong to this system
// and is returned as unreadable. A configuration without services returns all executors.
func (c *Configuration) Called(executors *Executors, calledBefore func(*Executor) bool) (*Executors, []Unreadable) {
	named := c.services()
	if len(named) == 0 {
		return executors, nil
	}
	// The list is copied only when an executor of an unknown service is found, which is rare.
	called := executors
	var others []Unreadable
	for id, executor := range executors.ByID {
		if named[executor.Service] {
			continue
		}
		if called == executors {
			called = &Executors{Revision: executors.Revision, ByID: maps.Clone(executors.ByID)}
		}
		other := executor // a copy, so that the loop variable does not escape to the heap
		if calledBefore(&other) {
			called.ByID[id] = other.Withheld()
			continue
		}
		delete(called.ByID, id)
		others = append(others, Unreadable{Key: id, Reason: UnknownService, Content: xxhash.Sum64String(other.Service)})
	}
	return called, others
}
