package config

import (
	"time"

	"github.com/foxcroft/foxcroft/pkg/admit"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/inifile"
	"github.com/foxcroft/foxcroft/pkg/route"
)

// Limits of the values in a document.
const (
	maxSlots       = 4096
	maxConnections = 65536
	maxWeight      = 1000
	maxJobTasks    = 100_000
	maxQueueTasks  = 10_000_000
	maxQuota       = 1_000_000
	longest        = 4 * time.Minute // the memory of ids is sized for it
)

type parser struct {
	file      *inifile.File
	doc       *Document
	domains   map[string]bool
	addresses map[string]bool
}

// Parse reads and checks a document. name stands in messages. The error lists
// every problem with its file, line and remedy.
func Parse(name string, data []byte) (*Document, error) {
	file, err := inifile.Parse(name, data, errkind.BadConfig)
	if err != nil {
		return nil, err
	}
	p := &parser{
		file:      file,
		domains:   map[string]bool{},
		addresses: map[string]bool{},
		doc:       &Document{Regions: map[string]*Region{}, Services: map[string]*Service{}, Pools: map[string]*Pool{}, Teams: map[string]*Team{}},
	}
	file.Known("region", "service", "pool", "executors", "team", "rule")
	p.parseRegions()
	p.parsePools()
	p.parseExecutors()
	p.parseServices()
	p.parseTeams()
	p.parseRules()
	if err := file.Err(); err != nil {
		return nil, err
	}
	return p.doc, nil
}

func (p *parser) parseRegions() {
	for _, s := range p.file.Sections("region") {
		region := &Region{Name: s.Arg(0, "region"), Domains: s.List("domains")}
		if len(region.Domains) == 0 {
			s.Problem("", "region %s has no failure domain; add domains = name, name", region.Name)
		}
		for _, domain := range region.Domains {
			if p.domains[domain] {
				s.Problem("domains", "failure domain %s stands in two places; keep one", domain)
			}
			p.domains[domain] = true
		}
		p.doc.Regions[region.Name] = region
	}
}

func (p *parser) parsePools() {
	for _, s := range p.file.Sections("pool") {
		pool := &Pool{
			Name:        s.Arg(0, "pool"),
			Slots:       s.Int("slots", 8, 1, maxSlots),
			Connections: s.Int("connections", 64, 1, maxConnections),
		}
		if pool.Connections < pool.Slots {
			s.Problem("connections", "pool %s has fewer connections than slots; raise connections to %d at least", pool.Name, pool.Slots)
		}
		p.doc.Pools[pool.Name] = pool
	}
}

func (p *parser) parseExecutors() {
	for _, s := range p.file.Sections("executors") {
		poolName, domain := s.Arg(0, "pool"), s.Arg(1, "failure domain")
		addresses := s.Addresses("addresses")
		pool := p.doc.Pools[poolName]
		if pool == nil {
			s.Problem("", "executors of pool %q, which is not defined; add [pool %s]", poolName, poolName)
			continue
		}
		if !p.domains[domain] {
			s.Problem("", "failure domain %q stands in no region; add it to the domains of a [region]", domain)
		}
		for _, address := range addresses {
			p.addExecutor(s, pool, Executor{Address: address, Domain: domain})
		}
	}
}

func (p *parser) addExecutor(s *inifile.Section, pool *Pool, executor Executor) {
	if p.addresses[executor.Address] {
		s.Problem("addresses", "address %s is used twice; give each executor its own", executor.Address)
		return
	}
	p.addresses[executor.Address] = true
	pool.Executors = append(pool.Executors, executor)
}

func (p *parser) parseServices() {
	for _, s := range p.file.Sections("service") {
		service := p.parseService(s)
		if p.doc.Pools[service.Pool] == nil && service.Pool != "" {
			s.Problem("pool", "service %s names pool %q, which is not defined; add [pool %s]", service.Name, service.Pool, service.Pool)
		}
		if service.DefaultDeadline > service.MaxDeadline {
			s.Problem("default_deadline", "default_deadline is longer than max_deadline; lower it to %s at most", service.MaxDeadline)
		}
		p.doc.Services[service.Name] = service
	}
	if len(p.doc.Services) == 0 {
		p.file.Only("service").Problem("", "there is no service; add a section [service NAME] with pool = NAME")
	}
}

func (p *parser) parseService(s *inifile.Section) *Service {
	weigh := Weigh(s.OneOf("weigh", string(WeighResponseTime), string(WeighResponseTime), string(WeighMessages)))
	defaults := policyDefaults[weigh]
	return &Service{
		Name:            s.Arg(0, "service"),
		Pool:            s.Required("pool", "name a pool"),
		Weigh:           weigh,
		DefaultDeadline: s.Duration("default_deadline", 10*time.Second, time.Millisecond, longest),
		MaxDeadline:     s.Duration("max_deadline", time.Minute, time.Millisecond, longest),
		MaxTasks:        s.Int("max_tasks", 960, 1, maxJobTasks),
		MaxQueue:        s.Int("max_queue", 20_000, 1, maxQueueTasks),
		CopyAnswers:     CopyAnswers(s.OneOf("copy_answers", string(defaults.copyAnswers), string(CopyAll), string(CopySmall), string(CopyNone))),
		BatchWindow:     s.Duration("batch_window", defaults.batchWindow, 0, time.Second),
		BorrowAfter:     s.Duration("borrow_after", defaults.borrowAfter, 0, time.Minute),
		Routing:         s.OneOf("routing", "shares", route.Policies.Names()...),
		Order:           s.OneOf("order", "fewest", admit.Orderings.Names()...),
	}
}

// policyDefaults are the knobs that follow from what a service weighs; see
// docs/POLICY.md.
var policyDefaults = map[Weigh]struct {
	copyAnswers CopyAnswers
	batchWindow time.Duration
	borrowAfter time.Duration
}{
	WeighResponseTime: {copyAnswers: CopySmall},
	WeighMessages:     {copyAnswers: CopyNone, batchWindow: 5 * time.Millisecond, borrowAfter: 20 * time.Millisecond},
}

func (p *parser) parseTeams() {
	for _, s := range p.file.Sections("team") {
		team := &Team{
			Name:       s.Arg(0, "team"),
			Services:   s.List("services"),
			Weight:     s.Int("weight", 1, 1, maxWeight),
			QuotaSlots: s.Int("quota_slots", 0, 0, maxQuota),
		}
		for _, name := range team.Services {
			p.checkService(s, "services", name)
		}
		p.checkQuota(s, team)
		p.doc.Teams[team.Name] = team
	}
	if len(p.doc.Teams) == 0 {
		p.file.Only("team").Problem("", "there is no team; add a section [team NAME]")
	}
}

func (p *parser) checkService(s *inifile.Section, key, name string) {
	if p.doc.Services[name] == nil {
		s.Problem(key, "service %q is not defined; add [service %s]", name, name)
	}
}

func (p *parser) checkQuota(s *inifile.Section, team *Team) {
	slots := 0
	for _, pool := range p.doc.Pools {
		slots += pool.Slots * len(pool.Executors)
	}
	if team.QuotaSlots > slots {
		s.Problem("quota_slots", "quota_slots = %d exceeds the %d slots there are; lower it", team.QuotaSlots, slots)
	}
}

func (p *parser) parseRules() {
	for _, s := range p.file.Sections("rule") {
		rule := &Rule{
			Name:    s.Arg(0, "rule"),
			Service: s.String("service", ""),
			Team:    s.String("team", ""),
			Class:   s.String("class", ""),
			Pool:    s.Required("pool", "name the pool that matching work goes to"),
		}
		if rule.Service != "" {
			p.checkService(s, "service", rule.Service)
		}
		if rule.Team != "" && p.doc.Teams[rule.Team] == nil {
			s.Problem("team", "rule %s names team %q, which is not defined; add [team %s]", rule.Name, rule.Team, rule.Team)
		}
		if rule.Pool != "" && p.doc.Pools[rule.Pool] == nil {
			s.Problem("pool", "rule %s names pool %q, which is not defined; add [pool %s]", rule.Name, rule.Pool, rule.Pool)
		}
		p.doc.Rules = append(p.doc.Rules, rule)
	}
}
