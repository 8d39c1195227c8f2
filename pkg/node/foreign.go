package node

import (
	"slices"
	"sync"
	"time"

	"github.com/foxcroft/foxcroft/pkg/cell"
	"github.com/foxcroft/foxcroft/pkg/ownership"
)

// A domain whose nodes are all out of sight may have lost them, or be cut off
// and serve by itself. Only in the first case should a node of another domain
// claim its executors. So it first looks whether they can be reached, by a
// hold without a token, which changes nothing; and as the links to the domain's
// nodes come back within moments of a cut's end, it then waits a while.
const (
	probeInterval  = 300 * time.Millisecond
	probeTimeout   = 250 * time.Millisecond
	probedAtOnce   = 2
	reachableLimit = 2 * time.Second // of being reachable, before a claim
)

// foreignDomains remembers since when the executors of other domains could be
// reached.
type foreignDomains struct {
	mu      sync.Mutex
	domains map[string]*foreignDomain
}

type foreignDomain struct {
	since    time.Duration // reachable; 0 while not
	nextLook time.Duration
}

func newForeignDomains() *foreignDomains {
	return &foreignDomains{domains: map[string]*foreignDomain{}}
}

// keepOnly ends the looks at all domains but those of the given cells, which
// need an owner from elsewhere. A later look begins anew.
func (f *foreignDomains) keepOnly(cells []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for domain := range f.domains {
		needed := slices.ContainsFunc(cells, func(cell string) bool { return ownership.DomainOf(cell) == domain })
		if !needed {
			delete(f.domains, domain)
		}
	}
}

// due reports whether a domain may be claimed, and whether a look is due.
func (f *foreignDomains) due(domain string, now time.Duration) (claim, look bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.domains[domain]
	if state == nil {
		state = &foreignDomain{}
		f.domains[domain] = state
	}
	claim = state.since > 0 && now >= state.since+reachableLimit
	look = now >= state.nextLook
	if look {
		state.nextLook = now + probeInterval
	}
	return claim, look
}

// looked takes the result of a look.
func (f *foreignDomains) looked(domain string, reached bool, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.domains[domain]
	if state == nil {
		return
	}
	if !reached {
		state.since = 0
	} else if state.since == 0 {
		state.since = now
	}
}

// mayClaimForeign reports whether cells of a domain without nodes may be claimed by this
// node of another domain, and looks at its executors now and then.
func (n *Node) mayClaimForeign(domain string, now time.Duration) bool {
	claim, look := n.foreign.due(domain, now)
	if look && !claim {
		go n.lookAt(domain)
	}
	return claim
}

func (n *Node) lookAt(domain string) {
	listing := n.executors.Load()
	if listing == nil {
		return
	}
	reached := false
	for i, executor := range listing.inDomain(domain) {
		if i == probedAtOnce || reached {
			break
		}
		verdict := n.front.calls.executors.Hold(&executor, HoldOrder{}, probeTimeout).Verdict
		reached = !verdict.MayBeDone() && verdict != cell.Unreached
	}
	n.foreign.looked(domain, reached, n.Clock.Now())
}
