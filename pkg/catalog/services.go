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
	called := &Executors{Revision: executors.Revision, ByID: maps.Clone(executors.ByID)}
	var others []Unreadable
	for id, executor := range executors.ByID {
		switch {
		case named[executor.Service]:
			// It is called as it is.
		case before(&executor):
			called.ByID[id] = executor.Withheld()
		default:
			delete(called.ByID, id)
			others = append(others, Unreadable{Key: id, Reason: UnknownService, Content: xxhash.Sum64String(executor.Service)})
		}
	}
	return called, others
}
