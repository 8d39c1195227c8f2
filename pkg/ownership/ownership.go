// Package ownership decides which host owns a cell of executors (ShouldClaim), which cell a
// job is sent to (Choose), and among which cells a wide job is divided (Split). It does no
// I/O, writes nothing to a store and takes no votes: a host claims a cell by fencing its
// executors with a token above all that it has seen, and from then on the executors refuse
// the former owner. A needless claim delays jobs; it is pkg/cell that prevents a task from
// running twice at once when the owner changes. The rules below keep needless claims rare.
package ownership

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/foxcroft/foxcroft/pkg/member"
)

// Claim is a host's announcement that it owns a cell.
type Claim struct {
	Cell  string // see cellName
	Token int64  // see NextToken
	Owner string // peer address of the host
	Load  Load
}

// Load is the state of a cell as reported by its owner.
type Load struct {
	CapacityCPU int64    // of the usable executors, in thousandths of a core
	FreeCPU     int64    // the part of CapacityCPU that no task uses
	QueuedWork  int64    // of the waiting tasks, in thousandths of a core x milliseconds
	Ready       bool     // the cell has a usable executor
	Services    []string // of the usable executors, sorted
}

// Serves reports whether the cell has usable executors of a service.
func (l Load) Serves(service string) bool {
	return slices.Contains(l.Services, service)
}

// Host is the state of a host on which the choice of owners depends.
type Host struct {
	Address     string
	Domain      string
	Leaving     bool // it is shutting down as planned, and hands over its cells
	Weight      int  // thousandths of a core that it may use; 0 when unknown
	HasReported bool // it has reported which cells it owns
	TellsOwners bool // it tells which owners it hears, if it is asked
}

// View is the state of the hosts as seen by the host that decides. Expected counts this
// host, the reachable ones, and those that member.Table.Expected returns. The rows of a
// system that starts for the first time may still be incomplete, so that Expected is too
// low; after a restart (Restarted) the rows from before are there.
type View struct {
	Self      Host
	Up        []Host // other hosts whose links are up
	Heard     []Host // owners of cells of this host's domain that it doesn't reach, and others do (Table.HeardOwners)
	Expected  int    // number of hosts that should be running, this one included
	Restarted bool   // this host had a row in the store before it started, so the other hosts have theirs too
	// RowsRead reports whether this host has read the store's rows, and so knows which hosts
	// it should reach.
	RowsRead bool
	Ended    int // expected hosts that aren't reached, and whose processes are known to have ended
	// LostDomains are the other domains of which no host has answered this one in the store (member.Table.LostDomains).
	LostDomains map[string]bool
}

// ReachesFew reports whether the host reaches less than half of the expected hosts, without those that have ended.
// It may be cut off, or have outlived them.
func (v *View) ReachesFew() bool { return 2*(len(v.Up)+1+v.Ended) < v.Expected }

// ReachesMost reports whether the host reaches more than half of the expected hosts, without those that have ended.
func (v *View) ReachesMost() bool { return 2*(len(v.Up)+1+v.Ended) > v.Expected }

// Limits are the waits before a claim. A host that has restarted (View.Restarted) and has
// the reports of all expected hosts does not wait after its start.
type Limits struct {
	AfterStart       time.Duration // after the start of the process, to receive the claims of other hosts
	MajorityReported time.Duration // the same for a host that has restarted, if most expected hosts are reachable and all reachable ones have reported
	AllReported      time.Duration // the same for a host that has not restarted, if all expected hosts have reported: rows of other new hosts may be missing
	Isolated         time.Duration // without an owner, for a host that reaches less than half of the expected hosts
	OtherDomain      time.Duration // without a reachable host of the domain, for hosts of other domains
	HalfReached      time.Duration // since a host reaches half of the hosts again, before it claims cells of other domains: links to these come up meanwhile
	Fenced           time.Duration // after an executor refused a claim because of a higher token; a multiple after consecutive refusals
	PeersUnknown     time.Duration // after the start, for a host that has not read the rows and reaches no host of its domain
	Answers          time.Duration // after the loss of an owner, for other hosts to tell whether they hear it
	Denied           time.Duration // while most other hosts don't hear an owner that a few hear
	SuspectAfter     time.Duration // silence after which the link to an owner goes down
	Heartbeat        time.Duration // the time between two signs of life of an owner
	Retry            time.Duration // the same as Fenced soon after a restart, if no running host can hold the higher token (hasNoLiveHolder)
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{
		AfterStart:       700 * time.Millisecond,
		MajorityReported: 400 * time.Millisecond,
		AllReported:      350 * time.Millisecond,
		Isolated:         2 * time.Second,
		OtherDomain:      3 * time.Second,
		HalfReached:      2 * time.Second,
		Fenced:           2 * time.Second,
		PeersUnknown:     4 * time.Second,
		Answers:          400 * time.Millisecond,
		Denied:           2 * time.Second,
		SuspectAfter:     600 * time.Millisecond,
		Heartbeat:        150 * time.Millisecond,
		Retry:            50 * time.Millisecond,
	}
}

// Table holds the claims that a host knows of. It is not safe for concurrent use.
type Table struct {
	limits       Limits
	started      time.Duration
	claims       map[string]map[string]Claim // by cell and owner's address
	reported     map[string]bool             // by the host's address
	highestToken int64                       // among all tokens seen or made
	newestTokens map[string]int64            // the highest token of any claim seen, by cell
	effective    *effectiveClaims            // computed from claims; nil after these have changed
	cells        map[string]*cellState
	answers      map[string]map[string]answer // of other hosts, by address and cell
	heardCells   map[string]map[string]bool   // cells by owner, as of the last check of a cell
	reachedFewAt time.Duration                // when this host last reached less than half of the hosts, as of the checks of cells; 0 for never
}

type cellState struct {
	ownerlessSince    time.Duration // when the cell first lacked an owner, or had one to replace; 0 while it has another one
	domainEmptySince  time.Duration // when this host, of another domain, first reached no host of the cell's domain; reset only if it reaches one while the cell lacks an owner
	noClaimBefore     time.Duration // earliest time of the next claim
	consecutiveFences int           // refusals since the last accepted claim
	ownerLostAt       time.Duration // when this host, or the hosts that it asks, lost the cell's owner last; 0 at first
	deniedSince       time.Duration // since when most hosts that have told don't hear an owner that others hear; 0 while they do
	isHeard           bool          // as of the last check, others hear an owner that this host doesn't reach
}

// NewTable returns a table for a process that started at now.
func NewTable(limits Limits, now time.Duration) *Table {
	return &Table{limits: limits, started: now, claims: map[string]map[string]Claim{}, reported: map[string]bool{}, newestTokens: map[string]int64{}, cells: map[string]*cellState{}, answers: map[string]map[string]answer{}}
}

// HasReported reports whether a reachable host has reported its claims.
func (t *Table) HasReported(owner string) bool { return t.reported[owner] }

// SetClaims replaces the claims of a host. It reports whether the host claims other cells
// or with other tokens than before, or whether one of the cells has become ready or unready
// (Load.Ready).
func (t *Table) SetClaims(owner string, claims []Claim) bool {
	t.reported[owner] = true
	if len(claims) == 0 && !t.Owns(owner) {
		return false // the usual case: most hosts own no cell
	}
	changed := t.claimsDiffer(owner, claims)
	t.Forget(owner)
	t.reported[owner] = true
	for _, claim := range claims {
		claim.Owner = owner
		if t.claims[claim.Cell] == nil {
			t.claims[claim.Cell] = map[string]Claim{}
		}
		t.claims[claim.Cell][owner] = claim
		t.highestToken = max(t.highestToken, claim.Token)
		t.newestTokens[claim.Cell] = max(t.newestTokens[claim.Cell], claim.Token)
	}
	return changed
}

// claimsDiffer reports whether a host's claims differ from the known ones in more than the
// load.
func (t *Table) claimsDiffer(owner string, claims []Claim) bool {
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

// Forget removes the claims of a host that is unreachable.
func (t *Table) Forget(owner string) {
	delete(t.reported, owner)
	t.effective = nil
	for _, byOwner := range t.claims {
		delete(byOwner, owner)
	}
}

// Owner returns the claim with the highest token on a cell.
func (t *Table) Owner(cell string) (Claim, bool) {
	claim, owned := t.claimsInEffect().owners[cell]
	return claim, owned
}

// IsSuperseded reports whether a newer claim on the cell has been seen. If its owner is
// unreachable, the older claim is in effect again, although executors may obey the newer one.
func (t *Table) IsSuperseded(claim Claim) bool { return claim.Token < t.newestTokens[claim.Cell] }

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
func (t *Table) AllOwned(cells []string) bool { return len(t.Unowned(cells)) == 0 }

// Unowned returns those of the cells that have no owner.
func (t *Table) Unowned(cells []string) []string {
	var unowned []string
	for _, cell := range cells {
		if _, owned := t.Owner(cell); !owned {
			unowned = append(unowned, cell)
		}
	}
	return unowned
}

// FollowedCells returns the cells to whose owners a host keeps links: all cells of its own
// domain, and perDomain of each other domain, spread over the hosts by rendezvous hashing.
// With links to all owners the number of links would grow with the square of the number of
// hosts.
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

// Owned returns the effective claims, one for each cell, sorted by cell.
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

// Readiness is whether a host should claim a cell.
type Readiness uint8

const (
	NotCandidate Readiness = iota
	// AwaitsLoss: it is the host that should claim a cell of another domain once the hosts of that one count as
	// lost. Meanwhile it may look for evidence.
	AwaitsLoss
	MayClaim
)

// ShouldClaim reports whether this host should claim a cell of a domain now.
func (t *Table) ShouldClaim(cell, domain string, view View, now time.Duration) bool {
	return t.ReadinessFor(cell, domain, view, now) == MayClaim
}

// ReadinessFor returns whether this host should claim a cell of a domain.
func (t *Table) ReadinessFor(cell, domain string, view View, now time.Duration) Readiness {
	if view.ReachesFew() {
		t.reachedFewAt = now
	}
	state := t.state(cell)
	domainHosts := hostsOf(view, domain)
	inDomain := view.Self.Domain == domain
	owner, owned := t.Owner(cell)
	known := view
	if inDomain && (!owned || !isUp(view, owner.Owner)) {
		heard, isHeard := t.HeardOwnerOf(cell, now)
		candidates := view.Heard
		if t.isOverruled(cell, isHeard, now) {
			isHeard = false
			candidates = slices.DeleteFunc(slices.Clone(view.Heard), func(host Host) bool { return host.Address == heard.Owner })
		}
		if state.isHeard && !isHeard {
			state.ownerLostAt = now
		}
		if state.isHeard = isHeard; isHeard {
			owner, owned = Claim{Cell: cell, Owner: heard.Owner}, true
		}
		t.heardCells = t.cellsHeard(now)
		known.Up = slices.Concat(view.Up, candidates)
		domainHosts = hostsOf(known, domain)
	} else if inDomain {
		state.isHeard, state.deniedSince = false, 0
	}
	if owned && !t.shouldReplace(owner, cell, domain, known, inDomain) {
		state.ownerlessSince = 0
		return NotCandidate
	}
	if state.ownerlessSince == 0 {
		state.ownerlessSince = now
	}
	if len(domainHosts) > 0 && !inDomain {
		state.domainEmptySince = 0
		return NotCandidate
	}
	if !inDomain && state.domainEmptySince == 0 {
		state.domainEmptySince = now
	}
	if view.Self.Leaving || t.tooEarly(view, now) || now < state.noClaimBefore {
		return NotCandidate
	}
	if inDomain {
		mayBeCutOff := view.ReachesFew() && now < state.ownerlessSince+t.limits.Isolated
		if mayBeCutOff || t.awaitsAnswers(cell, view, domainHosts, now) || !t.ranksFirst(cell, view.Self, domainHosts) {
			return NotCandidate
		}
		return MayClaim
	}
	switch {
	case !t.ranksFirst(cell, view.Self, view.Up):
		return NotCandidate
	case now < state.domainEmptySince+t.limits.OtherDomain:
		return AwaitsLoss
	case t.hasReachedFewLately(now) && !view.LostDomains[domain]:
		return AwaitsLoss
	}
	return MayClaim
}

// hasReachedFewLately reports whether this host reached less than half of the hosts a moment ago, or does so now.
func (t *Table) hasReachedFewLately(now time.Duration) bool {
	return t.reachedFewAt > 0 && now < t.reachedFewAt+t.limits.HalfReached
}

// tooEarly reports whether this host may have started too recently to know the current
// owners. It waits for the reports of all expected hosts at most until AfterStart, since
// the store may still have rows of hosts that were removed for good.
func (t *Table) tooEarly(view View, now time.Duration) bool {
	age := now - t.started
	switch {
	case age >= t.limits.AfterStart:
		return domainPeersUnknown(view) && age < t.limits.PeersUnknown
	case allReported(view):
		return !view.Restarted && age < t.limits.AllReported
	}
	return !view.Restarted || age < t.limits.MajorityReported || !mostReported(view)
}

// domainPeersUnknown reports whether a host can't tell if its domain has other hosts: it
// has not read the rows, and reaches no other host of the domain.
func domainPeersUnknown(view View) bool {
	return !view.RowsRead && len(hostsOf(view, view.Self.Domain)) == 0
}

// weakOwnerRatio decides which owners are far weaker than this host: those whose processor
// time for the cell (weightFor) is at most this share of this host's.
const weakOwnerRatio = 0.5

// weightFor returns the processor time, in thousandths of a core, that a host has for a cell
// when it divides its time equally among this cell and the others that it owns.
func (t *Table) weightFor(cell string, host Host) float64 {
	return float64(host.Weight) / float64(1+t.otherCellsOwned(cell, host.Address))
}

// shouldReplace reports whether this host should replace the owner of a cell: the owner is
// unreachable or leaving, or this host is of the cell's domain while the owner is of
// another domain, or is far weaker and this host ranks first among the domain's hosts.
// Cells are sized for one host each, so an owner of two cells counts as weaker than an
// equally strong host that owns none.
func (t *Table) shouldReplace(owner Claim, cell, domain string, view View, inDomain bool) bool {
	if owner.Owner == view.Self.Address {
		return false
	}
	for _, host := range view.Up {
		if host.Address == owner.Owner {
			weak := t.weightFor(cell, host) <= weakOwnerRatio*t.weightFor(cell, view.Self) && t.ranksFirst(cell, view.Self, hostsOf(view, domain))
			return host.Leaving || (inDomain && (host.Domain != domain || weak))
		}
	}
	return true // unreachable
}

// isUp reports whether the link to a host is up, or the host is this one.
func isUp(view View, address string) bool {
	return address == view.Self.Address || slices.ContainsFunc(view.Up, func(host Host) bool { return host.Address == address })
}

// allReported reports whether every expected host is reachable and has reported which cells
// it owns. It is false when this host expects no other one.
func allReported(view View) bool {
	return reachableReported(view) && view.Expected > 1 && len(view.Up)+1 >= view.Expected
}

// mostReported reports whether more than half of the expected hosts are reachable, and all
// reachable hosts have reported which cells they own.
func mostReported(view View) bool {
	return reachableReported(view) && len(view.Up) > 0 && 2*(len(view.Up)+1) > view.Expected
}

// reachableReported reports whether all reachable hosts have reported which cells they own.
func reachableReported(view View) bool {
	return !slices.ContainsFunc(view.Up, func(host Host) bool { return !host.HasReported })
}

// hostsOf returns the reachable hosts of a domain that are not leaving.
func hostsOf(view View, domain string) []Host {
	var hosts []Host
	for _, host := range view.Up {
		if host.Domain == domain && !host.Leaving {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// ranksFirst reports whether a host ranks before all others for a cell by rendezvous
// hashing (weightedScore). Hosts that are weak, or that own other cells already, rarely rank
// first, as an owner has far more work than other hosts.
func (t *Table) ranksFirst(cell string, self Host, others []Host) bool {
	own := weightedScore(cell, self, t.otherCellsOwned(cell, self.Address))
	for _, other := range others {
		if !other.Leaving && weightedScore(cell, other, t.otherCellsOwned(cell, other.Address)) > own {
			return false
		}
	}
	return true
}

// otherCellsOwned returns the number of cells that a host owns besides the given one.
func (t *Table) otherCellsOwned(cell, owner string) int {
	count := t.claimsInEffect().counts[owner]
	if claim, owned := t.Owner(cell); owned && claim.Owner == owner {
		count--
	}
	for heard := range t.heardCells[owner] {
		if heard != cell && !t.reported[owner] {
			count++
		}
	}
	return count
}

// weightExponent makes the choice of an owner depend far more than proportionally on a
// host's processor time, so that weak hosts hardly ever own a cell: 14 hosts with 0.192 cores
// own one cell in a thousand beside 2 hosts with 0.8.
const weightExponent = 6

// weightedScore returns the rendezvous score of a key, such as a cell, and a host that owns
// the given number of other cells. The chance of the host to get the highest score is
// proportional to its share for one more cell, Weight / (1 + owned), to the power of
// weightExponent.
func weightedScore(cell string, host Host, owned int) float64 {
	unit := (float64(member.Score(cell, host.Address)>>11) + 0.5) / (1 << 53)
	weight := math.Pow(float64(max(host.Weight, 1))/float64(1+owned), weightExponent)
	return -weight / math.Log(unit)
}
