// Package catalog holds what operators and executors publish: routes,
// services, limits and the list of executors. Values are immutable snapshots.
package catalog

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/foxcroft/foxcroft/pkg/job"
)

// Route maps requests by host and path prefix to a service, and sets the
// priority, retries and objective of their jobs.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     string
	Priority    int
	MaxAttempts int
	Timeout     time.Duration
	Stretch     float64       // factor on a job's critical path in its objective
	Target      time.Duration // added to the objective
	Advised     bool          // tasks run only on executors that the platform's advice service names
}

// Service is a pool of executors.
type Service struct {
	Name           string
	Guarded        bool // its executors refuse tasks that exceed their capacity
	MaxConnections int  // connections to one executor, over all hosts
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]Route // by host, longest prefix first
}

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

// Match returns the route of a host with the longest prefix of path.
func (c *Configuration) Match(host, path string) (Route, bool) {
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Executor is one incarnation of an executor as it publishes itself.
type Executor struct {
	ID        string // the key of its row; a later incarnation may reuse it
	StartedAt int64  // start of this incarnation in Unix milliseconds; 0 when unknown
	Service   string
	Address   string // IP:port
	Domain    string
	Draining  bool
	Remains   time.Duration // least time left during a drain; 0 when unknown
	Capacity  job.Resources
	Labels    []string
	Clock     time.Duration // its own clock when it published; 0 when unknown
}

func (e *Executor) HasLabel(label string) bool {
	return slices.Contains(e.Labels, label)
}

// sameButClock reports whether two readings of an executor are equal except for
// Clock, which differs in every reading.
func (e *Executor) sameButClock(other Executor) bool {
	return e.ID == other.ID && e.StartedAt == other.StartedAt && e.Service == other.Service && e.Address == other.Address && e.Domain == other.Domain &&
		e.Draining == other.Draining && e.Capacity == other.Capacity && slices.Equal(e.Labels, other.Labels)
}
