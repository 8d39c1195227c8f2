// Package ownership decides which host owns a cell of executors. It does no
// I/O, writes nothing to a store and holds no vote: a host claims a cell by
// fencing its executors with a token above all that it has seen, and the
// executors refuse the former owner from then on. A wrong judgement here costs
// time; pkg/cell keeps it from running a task twice. The rules below keep such
// judgements few.
package ownership

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
)

// Claim is a host's word that it owns a cell.
type Claim struct {
	Cell  string
	Token int64
	Owner string // address of the host for its peers
	Load  Load
}

// Load is what an owner tells of a cell.
type Load struct {
	CapacityCPU int64
	FreeCPU     int64
	QueuedWork  int64
	Ready       bool
	Services    []string
}

// Serves reports whether the cell has usable executors of a service.
func (l Load) Serves(service string) bool {
	return slices.Contains(l.Services, service)
}

// Host is what the decision needs to know of a host.
type Host struct {
	Address     string
	Domain      string
	Leaving     bool
	Weight      int  // thousandths of a core that it may use; 0 when not told
	HasReported bool // it has told which cells it owns
}

// View is what a host sees when it decides.
type View struct {
	Self      Host
	Up        []Host // other hosts whose links are up
	Expected  int    // hosts that should be there, this one included
	Restarted bool   // this host had a row before it started, so the others have theirs too
	// Listed tells that this host has read the rows, so that it knows whom it
	// should see.
	Listed bool
}

// Limits are the waits before claims.
type Limits struct {
	Start    time.Duration // after the start of the process, to hear of owners
	Most     time.Duration // after the start, when most hosts have told, and all that are seen
	Rows     time.Duration // after the start, until which the store's rows may lack hosts that start too
	Isolated time.Duration // without an owner, for a host that sees under half of the others
	Outside  time.Duration // without any host of the domain, for hosts of other domains
	Fenced   time.Duration // after a higher token from a host that isn't seen
	Alone    time.Duration // after the start, for a host that knows no other of its domain and can't tell whether there are any
	Retry    time.Duration // after one that none of the hosts can have made now: all are seen, and none claims the cell
}

// DefaultLimits returns the waits used in production.
func DefaultLimits() Limits {
	return Limits{
		Start:    700 * time.Millisecond,
		Most:     400 * time.Millisecond,
		Rows:     350 * time.Millisecond,
		Isolated: 2 * time.Second,
		Outside:  3 * time.Second,
		Fenced:   2 * time.Second,
		Alone:    4 * time.Second,
		Retry:    50 * time.Millisecond,
	}
}

// Table holds the claims that a host knows of. It isn't safe for concurrent
// use.
type Table struct {
	limits   Limits
	started  time.Duration
	claims   map[string]map[string]Claim // by cell and owner's address
	heard    map[string]bool             // by host's address
	highest  int64                       // token seen anywhere
	standing *standing                   // worked out from claims; nil when these have changed
	cells    map[string]*cellState
}

type cellState struct {
	ownerless   time.Duration // since when no owner has been seen; 0 while there is one
	domainEmpty time.Duration // since when no host of the domain has been seen
	noClaim     time.Duration // no claim before
	fenced      int           // times in a row that we were fenced before a claim held
}

// NewTable makes a table for a process that started at now.
func NewTable(limits Limits, now time.Duration) *Table {
	return &Table{limits: limits, started: now, claims: map[string]map[string]Claim{}, heard: map[string]bool{}, cells: map[string]*cellState{}}
}

// HasReported reports whether a host that is seen has told its claims.
func (t *Table) HasReported(owner string) bool { return t.heard[owner] }

// SetClaims takes all claims of a host, and reports whether it claims other
// cells than before or has become able or unable to serve one.
func (t *Table) SetClaims(owner string, claims []Claim) bool {
	t.heard[owner] = true
	if len(claims) == 0 && !t.Owns(owner) {
		return false // as of most hosts, with each heartbeat
	}
	changed := t.differs(owner, claims)
	t.Forget(owner)
	t.heard[owner] = true
	for _, claim := range claims {
		claim.Owner = owner
		if t.claims[claim.Cell] == nil {
			t.claims[claim.Cell] = map[string]Claim{}
		}
		t.claims[claim.Cell][owner] = claim
		t.highest = max(t.highest, claim.Token)
	}
	return changed
}

// differs reports whether a host's claims are news, but for their loads.
func (t *Table) differs(owner string, claims []Claim) bool {
	known := 0
	for _, byOwner := range t.claims {
		if _, ok := byOwner[owner]; ok {
			known++
		}
	}
	if known != len(claims) {
		return true
	}
	for _, claim := range claims {
		before, ok := t.claims[claim.Cell][owner]
		if !ok || before.Token != claim.Token || before.Load.Ready != claim.Load.Ready {
			return true
		}
	}
	return false
}

// Forget forgets the claims of a host that isn't seen any more.
func (t *Table) Forget(owner string) {
	delete(t.heard, owner)
	t.standing = nil
	for _, byOwner := range t.claims {
		delete(byOwner, owner)
	}
}

// Owner returns the claim with the highest token on a cell.
func (t *Table) Owner(cell string) (Claim, bool) {
	claim, owned := t.standingClaims().owners[cell]
	return claim, owned
}

// Owns reports whether a host claims any cell.
func (t *Table) Owns(owner string) bool {
	for _, byOwner := range t.claims {
		if _, ok := byOwner[owner]; ok {
			return true
		}
	}
	return false
}

// OwnsIn reports whether a host claims any cell of a domain.
func (t *Table) OwnsIn(owner, domain string) bool {
	for cell, byOwner := range t.claims {
		if _, ok := byOwner[owner]; ok && DomainOf(cell) == domain {
			return true
		}
	}
	return false
}

// AllOwned reports whether each of the cells has an owner.
func (t *Table) AllOwned(cells []string) bool {
	for _, cell := range cells {
		if _, owned := t.Owner(cell); !owned {
			return false
		}
	}
	return true
}

// FollowedCells picks the cells whose owners a host keeps links to: all of its
// own domain, and perDomain of each other, spread over the hosts by rendezvous
// hashing. Links to all owners would grow with the square of the hosts.
func FollowedCells(cells []string, self, domain string, perDomain int) map[string]bool {
	followed := map[string]bool{}
	others := map[string][]string{}
	for _, cell := range cells {
		if cellDomain := DomainOf(cell); cellDomain != domain {
			others[cellDomain] = append(others[cellDomain], cell)
			continue
		}
		followed[cell] = true
	}
	for _, candidates := range others {
		slices.SortFunc(candidates, func(a, b string) int {
			return cmp.Compare(member.Score(self, b), member.Score(self, a))
		})
		for _, cell := range candidates[:min(perDomain, len(candidates))] {
			followed[cell] = true
		}
	}
	return followed
}

// Owned returns the standing claims, one for each cell, sorted by cell.
func (t *Table) Owned() []Claim {
	var claims []Claim
	for cell := range t.claims {
		if claim, ok := t.Owner(cell); ok {
			claims = append(claims, claim)
		}
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].Cell < claims[j].Cell })
	return claims
}

func (t *Table) state(cell string) *cellState {
	state := t.cells[cell]
	if state == nil {
		state = &cellState{}
		t.cells[cell] = state
	}
	return state
}

// ShouldClaim reports whether this host should claim a cell of a domain now.
func (t *Table) ShouldClaim(cell, domain string, view View, now time.Duration) bool {
	state := t.state(cell)
	domainHosts := hostsOf(view, domain)
	inside := view.Self.Domain == domain
	owner, owned := t.Owner(cell)
	if owned && !t.yields(owner, cell, domain, view, inside) {
		state.ownerless = 0
		return false
	}
	if state.ownerless == 0 {
		state.ownerless = now
	}
	if len(domainHosts) > 0 && !inside {
		state.domainEmpty = 0
		return false
	}
	if !inside && state.domainEmpty == 0 {
		state.domainEmpty = now
	}
	if view.Self.Leaving || t.tooEarly(view, now) || now < state.noClaim {
		return false
	}
	isolated := 2*(len(view.Up)+1) < view.Expected
	if inside {
		return t.first(cell, view.Self, domainHosts) && (!isolated || now >= state.ownerless+t.limits.Isolated)
	}
	return !isolated && now >= state.domainEmpty+t.limits.Outside && t.first(cell, view.Self, view.Up)
}

// tooEarly reports whether this host may have started too short a time ago to
// have heard of owners. Rows of hosts that are gone for good may stand yet, so
// that not all can be heard.
func (t *Table) tooEarly(view View, now time.Duration) bool {
	age := now - t.started
	switch {
	case age >= t.limits.Start:
		return knowsNobody(view) && age < t.limits.Alone
	case allHeard(view):
		return !view.Restarted && age < t.limits.Rows
	}
	return !view.Restarted || age < t.limits.Most || !mostHeard(view)
}

// knowsNobody reports whether a host can't tell if its domain has other hosts: it
// hasn't read the rows, and sees none.
func knowsNobody(view View) bool {
	return !view.Listed && len(hostsOf(view, view.Self.Domain)) == 0
}

// weakShare is the part of this host's processor time for a cell at or below
// which an owner of the domain should give its cell to this host.
const weakShare = 0.5

// shareOf returns the processor time that a host has for a cell, when it shares
// its time among all that it owns.
func (t *Table) shareOf(cell string, host Host) float64 {
	return float64(host.Weight) / float64(1+t.ownedBeside(cell, host.Address))
}

// yields reports whether the owner of a cell should be replaced: it leaves, or
// it is of another domain, or far weaker, while this host is of the cell's own.
// Cells are made for a host each, so one that owns two is weaker than its like
// that owns none.
func (t *Table) yields(owner Claim, cell, domain string, view View, inside bool) bool {
	if owner.Owner == view.Self.Address {
		return false
	}
	for _, host := range view.Up {
		if host.Address == owner.Owner {
			weak := t.shareOf(cell, host) <= weakShare*t.shareOf(cell, view.Self) && t.first(cell, view.Self, hostsOf(view, domain))
			return host.Leaving || (inside && (host.Domain != domain || weak))
		}
	}
	return true // not seen any more
}

// allHeard reports whether every host that should be there has told which
// cells it owns.
func allHeard(view View) bool {
	return seenHeard(view) && view.Expected > 1 && len(view.Up)+1 >= view.Expected
}

// mostHeard reports whether more than half of the hosts that should be there
// are seen, and all that are seen have told which cells they own.
func mostHeard(view View) bool {
	return seenHeard(view) && len(view.Up) > 0 && 2*(len(view.Up)+1) > view.Expected
}

// seenHeard reports whether all hosts that are seen have told their cells.
func seenHeard(view View) bool {
	return !slices.ContainsFunc(view.Up, func(host Host) bool { return !host.HasReported })
}

func hostsOf(view View, domain string) []Host {
	var hosts []Host
	for _, host := range view.Up {
		if host.Domain == domain && !host.Leaving {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// first reports whether a host comes first among others for a cell, by
// rendezvous hashing. An owner does far more than the other hosts, so those
// with little processor time come last, and a host that owns other cells counts
// with a part of its time for each.
func (t *Table) first(cell string, self Host, others []Host) bool {
	own := weightedScore(cell, self, t.ownedBeside(cell, self.Address))
	for _, other := range others {
		if !other.Leaving && weightedScore(cell, other, t.ownedBeside(cell, other.Address)) > own {
			return false
		}
	}
	return true
}

// ownedBeside returns how many other cells a host owns beside one.
func (t *Table) ownedBeside(cell, owner string) int {
	count := t.standingClaims().counts[owner]
	if claim, owned := t.Owner(cell); owned && claim.Owner == owner {
		count--
	}
	return count
}

// weightPower makes a host's processor time count far more than its share: of
// 14 hosts of 0.192 cores beside 2 of 0.8, one owns a cell in a thousand.
const weightPower = 6

// weightedScore is the rendezvous weight of a pair in which a host that owns
// some cells already is chosen with a chance in proportion to a power of the
// weight that it has for one more.
func weightedScore(cell string, host Host, owned int) float64 {
	unit := (float64(member.Score(cell, host.Address)>>11) + 0.5) / (1 << 53)
	weight := math.Pow(float64(max(host.Weight, 1))/float64(1+owned), weightPower)
	return -weight / math.Log(unit)
}
