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

// Called returns the executors of the services that are named. One of another service
// that was called before is withheld, as its runs are to be held to their ends; the
// others are no executors of this system, and are returned apart. A configuration that
// names no service at all tells nothing of them.
func (c *Configuration) Called(executors *Executors, before func(*Executor) bool) (*Executors, []Unreadable) {
	named := c.services()
	if len(named) == 0 {
		return executors, nil
	}
	// Nearly all lists name known services only. Of 3,500 executors a copy takes 0.9 ms and
	// 1.2 MB, at each change of the list, a look alone 0.07 ms.
	called := executors
	var others []Unreadable
	for id, executor := range executors.ByID {
		if named[executor.Service] {
			continue
		}
		if called == executors {
			called = &Executors{Revision: executors.Revision, ByID: maps.Clone(executors.ByID)}
		}
		other := executor // only what is asked about goes to the heap
		if before(&other) {
			called.ByID[id] = other.Withheld()
			continue
		}
		delete(called.ByID, id)
		others = append(others, Unreadable{Key: id, Reason: UnknownService, Content: xxhash.Sum64String(other.Service)})
	}
	return called, others
}
