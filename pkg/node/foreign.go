package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/catalog"
	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// A domain whose nodes are all unreachable may have lost them, or be cut off by the
// network and serve by itself. Only in the first case should a node of another domain
// claim its executors. Such a node first probes whether the executors are reachable, by
// a hold request without a token, which changes nothing. It claims them only after they
// have been reachable for minReachable: after a network partition, the links to the
// domain's nodes come back within that time. A node that reaches less than half of the
// nodes also asks in the store whether those of the domain live (member.Table.AskAbout).
// Both begin when the links are lost, and run beside ownership.Limits.OtherDomain.
const (
	probeInterval      = 300 * time.Millisecond
	reprobeInterval    = time.Second // of a domain that may be claimed, while the node waits for other evidence
	probeTimeout       = 250 * time.Millisecond
	maxProbedExecutors = 2
	minReachable       = 2 * time.Second // before a claim
)

// foreignDomains records since when the executors of other domains have been reachable.
type foreignDomains struct {
	mu      sync.Mutex
	domains map[string]*foreignDomain
}

type foreignDomain struct {
	reachableSince time.Duration // 0 while the executors are unreachable
	nextProbe      time.Duration
	executors      map[catalog.Incarnation]bool // those that were listed when its nodes were found to be unreachable
}

func newForeignDomains() *foreignDomains {
	return &foreignDomains{domains: map[string]*foreignDomain{}}
}

// retainOnly discards the state of all domains but those of the given cells, which need
// an owner from another domain.
func (f *foreignDomains) retainOnly(cells []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for domain := range f.domains {
		needed := slices.ContainsFunc(cells, func(cell string) bool { return ownership.DomainOf(cell) == domain })
		if !needed {
			delete(f.domains, domain)
		}
	}
}

// due reports whether a domain may be claimed, and whether its executors are to be probed now.
func (f *foreignDomains) due(domain string, now time.Duration) (mayClaim, probeDue bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.domains[domain]
	if state == nil {
		state = &foreignDomain{}
		f.domains[domain] = state
	}
	mayClaim = state.reachableSince > 0 && now >= state.reachableSince+minReachable
	probeDue = now >= state.nextProbe
	switch {
	case probeDue && mayClaim:
		state.nextProbe = now + reprobeInterval
	case probeDue:
		state.nextProbe = now + probeInterval
	}
	return mayClaim, probeDue
}

// observe records which executors of a domain are listed, when its nodes are first found to be unreachable. Listings
// retain those that have left the store's list a few seconds before.
func (f *foreignDomains) observe(domain string, listing *listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.domains[domain] != nil {
		return
	}
	f.domains[domain] = &foreignDomain{executors: incarnationsOf(listing.inDomain(domain))}
}

// lacksExecutors reports whether executors of a domain have left the list since its nodes were found to be
// unreachable.
func (f *foreignDomains) lacksExecutors(domain string, listing *listing) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.domains[domain]
	if state == nil {
		return true // unknown
	}
	listed := incarnationsOf(listing.inDomain(domain))
	for incarnation := range state.executors {
		if !listed[incarnation] {
			return true
		}
	}
	return false
}

func incarnationsOf(executors []catalog.Executor) map[catalog.Incarnation]bool {
	incarnations := make(map[catalog.Incarnation]bool, len(executors))
	for _, executor := range executors {
		incarnations[executor.Incarnation()] = true
	}
	return incarnations
}

// recordProbe records the result of a probe.
func (f *foreignDomains) recordProbe(domain string, reached bool, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.domains[domain]
	if state == nil {
		return
	}
	if !reached {
		state.reachableSince = 0
	} else if state.reachableSince == 0 {
		state.reachableSince = now
	}
}

// gatherEvidenceOfLoss looks for evidence that the nodes of other domains are lost, while this node is the one
// that should claim their cells.
func (n *Node) gatherEvidenceOfLoss(cells []string, listing *listing, now time.Duration) {
	n.foreignDomains.retainOnly(cells)
	domains := map[string]bool{}
	for _, name := range cells {
		if domain := ownership.DomainOf(name); domain != n.settings.Domain && !domains[domain] {
			domains[domain] = true
			n.foreignDomains.observe(domain, listing)
			n.mayClaimForeign(domain, now)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(domains) > 0 && !n.reachesFew() {
		clear(domains)
	}
	maps.DeleteFunc(domains, func(domain string, _ bool) bool { return !n.answersDomains(domain) })
	n.members.AskAbout(slices.Collect(maps.Keys(domains)), n.membersPosition, now)
}

// answersDomains reports whether all nodes of another domain answer questions of this one in the store. Those of
// earlier builds don't. n.mu is held.
func (n *Node) answersDomains(domain string) bool {
	for _, row := range n.memberRows {
		if row.Domain == domain && !row.AnswersDomains {
			return false
		}
	}
	return true
}

// mayClaimForeign reports whether this node may claim cells of another domain that has no
// reachable nodes. It probes the domain's executors periodically.
func (n *Node) mayClaimForeign(domain string, now time.Duration) bool {
	mayClaim, probeDue := n.foreignDomains.due(domain, now)
	if probeDue {
		go n.probe(domain)
	}
	return mayClaim
}

func (n *Node) probe(domain string) {
	listing := n.executors.Load()
	if listing == nil {
		return
	}
	reached := false
	for i, executor := range listing.inDomain(domain) {
		if i == maxProbedExecutors || reached {
			break
		}
		verdict := n.front.calls.executors.Hold(&executor, HoldRequest{}, probeTimeout).Verdict
		reached = !verdict.IsUnresolved() && verdict != cell.Unreached
	}
	n.foreignDomains.recordProbe(domain, reached, n.Clock.Now())
}
