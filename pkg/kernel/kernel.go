// Package kernel is the registry in which plug-ins register themselves from
// their init functions. The daemons look up the plug-ins that their settings name.
package kernel

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/foxcroft/foxcroft/pkg/errkind"
)

// Registry holds the plug-ins of one area, such as routing policies.
type Registry[T any] struct {
	area    string
	mu      sync.RWMutex
	plugins map[string]T
}

// NewRegistry returns an empty registry for an area.
func NewRegistry[T any](area string) *Registry[T] {
	return &Registry[T]{area: area, plugins: map[string]T{}}
}

// Register adds a plug-in. It panics when the name is already registered, which is a
// programming error.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.plugins[name]; taken {
		panic("kernel: " + r.area + " plug-in " + name + " is registered twice")
	}
	r.plugins[name] = plugin
}

// Get returns the plug-in of a name, or a BadSettings error that lists the
// registered names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	if !ok {
		return plugin, errkind.New(errkind.BadSettings, "use one of "+strings.Join(r.names(), ", "), "%s %q is not known", r.area, name)
	}
	return plugin, nil
}

// Names returns the sorted names of the plug-ins.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	return slices.Sorted(maps.Keys(r.plugins))
}
