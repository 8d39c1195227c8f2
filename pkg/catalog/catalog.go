// Package catalog holds what operators and executors publish: routes,
// services, limits, and the executors that there are. Values are snapshots and
// are never changed once made.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// Route is a queue of jobs.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     string
	Priority    int
	MaxAttempts int
	Timeout     time.Duration
	Stretch     float64       // of a job's longest chain of work, in its objective
	Target      time.Duration // added to the objective
	Advised     bool          // its tasks run only where a service of the platform advises
}

// Service is a pool of executors.
type Service struct {
	Name           string
	Guarded        bool // its executors refuse what does not fit
	MaxConnections int  // to an executor, over all hosts
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators set.
type Configuration struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]Route // by host, longest prefix first
}

// NewConfiguration makes a configuration.
func NewConfiguration(version uint64, routes []Route, services []Service, limits Limits) *Configuration {
	c := &Configuration{Version: version, Services: map[string]Service{}, Limits: limits, hosts: map[string][]Route{}}
	for _, service := range services {
		c.Services[service.Name] = service
	}
	for _, route := range routes {
		c.hosts[route.Host] = append(c.hosts[route.Host], route)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return c
}

// Match returns the route of a host whose prefix is the longest at the start
// of path.
func (c *Configuration) Match(host, path string) (Route, bool) {
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Executor is one life of an executor as it publishes itself.
type Executor struct {
	ID        string // its row's key; another life may have it later, see Incarnation
	StartedAt int64  // Unix millisecond at which this life began; 0 when not told
	Service   string
	Address   string // IP:port
	Domain    string
	Draining  bool
	Remains   time.Duration // least time left during a drain; 0 when not told
	Capacity  job.Resources
	Labels    []string
	Clock     time.Duration // its own clock when it published; 0 when not told
}

// HasLabel reports whether the executor carries a label.
func (e *Executor) HasLabel(label string) bool {
	return slices.Contains(e.Labels, label)
}

// sameButClock reports whether two readings of an executor differ in nothing but its
// clock, which runs all the time.
func (e *Executor) sameButClock(other Executor) bool {
	return e.ID == other.ID && e.StartedAt == other.StartedAt && e.Service == other.Service && e.Address == other.Address && e.Domain == other.Domain &&
		e.Draining == other.Draining && e.Capacity == other.Capacity && slices.Equal(e.Labels, other.Labels)
}
