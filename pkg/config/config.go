// Package config is the declarative configuration that operators apply as a
// whole: regions, services, pools with their executors, teams with quotas, and
// the rules by which work flows to pools.
package config

import (
	"slices"
	"time"
)

// Weigh says what a service gives up first under its policy.
type Weigh string

// What a service weighs more.
const (
	WeighResponseTime Weigh = "response-time"
	WeighMessages     Weigh = "messages"
)

// CopyAnswers says which answers the primary copies to its backup.
type CopyAnswers string

// The choices of copying answers.
const (
	CopyAll   CopyAnswers = "all"
	CopySmall CopyAnswers = "small"
	CopyNone  CopyAnswers = "none"
)

// SmallAnswerBytes is the largest answer that CopySmall copies.
const SmallAnswerBytes = 1024

// Document is one whole configuration. It is never changed once parsed, so
// request paths share it without locks.
type Document struct {
	Regions  map[string]*Region
	Services map[string]*Service
	Pools    map[string]*Pool
	Teams    map[string]*Team
	Rules    []*Rule // in file order; the first match decides
}

// Region is a set of failure domains.
type Region struct {
	Name    string
	Domains []string
}

// Service is what callers submit jobs to.
type Service struct {
	Name            string
	Pool            string // where its tasks run unless a rule says otherwise
	Weigh           Weigh
	DefaultDeadline time.Duration // for jobs that state none
	MaxDeadline     time.Duration
	MaxTasks        int // tasks in a job
	MaxQueue        int // tasks waiting at an entry host
	CopyAnswers     CopyAnswers
	BatchWindow     time.Duration // how long records and answer copies wait for company
	BorrowAfter     time.Duration // how long a task waits before slots are borrowed
	Routing         string        // name of a routing policy
	Order           string        // name of an ordering inside a team
}

// Pool is a set of like executors.
type Pool struct {
	Name        string
	Slots       int // tasks an executor runs at once
	Connections int // connections an executor takes in all
	Executors   []Executor
}

// Executor runs tasks. As seen from an entry host it is a target.
type Executor struct {
	Address string // IP:port
	Domain  string // failure domain
}

// Team is a group of callers with a share and a quota.
type Team struct {
	Name       string
	Services   []string // the services it may use; empty for all
	Weight     int      // share under contention
	QuotaSlots int      // slots it may hold at once in a domain; 0 for no limit
}

// Rule sends matching work to a pool. Empty matchers match everything.
type Rule struct {
	Name    string
	Service string
	Team    string
	Class   string
	Pool    string
}

// PoolFor returns the pool for work of a service, team and class.
func (d *Document) PoolFor(service *Service, team, class string) *Pool {
	for _, rule := range d.Rules {
		if rule.matches(service.Name, team, class) {
			return d.Pools[rule.Pool]
		}
	}
	return d.Pools[service.Pool]
}

func (r *Rule) matches(service, team, class string) bool {
	return matches(r.Service, service) && matches(r.Team, team) && matches(r.Class, class)
}

func matches(pattern, value string) bool { return pattern == "" || pattern == value }

// Allows reports whether the team may use a service.
func (t *Team) Allows(service string) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, service)
}

// ExecutorsIn returns the pool's executors in a failure domain.
func (p *Pool) ExecutorsIn(domain string) []Executor {
	var found []Executor
	for _, executor := range p.Executors {
		if executor.Domain == domain {
			found = append(found, executor)
		}
	}
	return found
}

// Domains returns the names of all failure domains.
func (d *Document) Domains() []string {
	var domains []string
	for _, region := range d.Regions {
		domains = append(domains, region.Domains...)
	}
	return domains
}
