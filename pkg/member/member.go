// Package member decides which entry hosts a host keeps links to, which of
// them count as live, which one is its backup, and which one reads the
// platform for its failure domain. It does no I/O. Nothing that must be safe
// rests on its judgements: a host taken for dead may well be alive.
package member

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// gossipLife is how long an address that peers told of stays a candidate
// unless it is told again or a link to it is up.
const gossipLife = 30 * time.Second

// A host that has stopped as planned may start again, and may then know nobody:
// its row is gone, and it may not reach the platform. So some hosts of its domain
// keep dialling it for a while.
const (
	leftLife     = 30 * time.Second
	leftDiallers = 4 // of a domain, for each host that has left
)

// Listed is a host in the platform's list, which may be old or wrong.
type Listed struct {
	Name    string
	Domain  string
	Address string // for peers, IP:port
	Leaving bool
	Weight  int // thousandths of a core that the host may use; 0 when not told
}

// Peer is what is known of another entry host.
type Peer struct {
	Name        string
	Domain      string
	Address     string
	Incarnation once.Incarnation
	Leaving     bool
	Version     uint64 // of the configuration in force there
	Waiting     int    // tasks waiting for a slot there
	Free        int    // idle slots there
	Weight      int    // thousandths of a core that the host may use; 0 when not told
	Usable      int    // slots that it may fill at once; 1 before it has told
}

// Table is a host's view of the others. It is not safe for concurrent use.
type Table struct {
	self      Peer
	seeds     []string
	perDomain int
	listed    map[string]Listed        // by address
	gossip    map[string]time.Duration // by address: when last told
	up        map[string]Peer          // by address: links that are up
	left      map[string]time.Duration // by address: when hosts have stopped as planned
	missing   map[string]time.Duration // by address: since when hubs have been out of sight
	domains   map[string]domainHosts   // the listed hosts of each domain
	far       []string                 // hosts of other domains to hold links to
}

// NewTable makes a table. seeds are addresses to dial before others are known;
// perDomain is the number of links to keep to each other domain.
func NewTable(self Peer, seeds []string, perDomain int) *Table {
	return &Table{
		self:      self,
		seeds:     seeds,
		perDomain: perDomain,
		listed:    map[string]Listed{},
		gossip:    map[string]time.Duration{},
		up:        map[string]Peer{},
		left:      map[string]time.Duration{},
		missing:   map[string]time.Duration{},
	}
}

// ForgetSeeds ends the links to seeds that nothing else tells of. All hosts have
// the same few seeds, so that these would hold links to all.
func (t *Table) ForgetSeeds() { t.seeds = nil }

// SetListed takes a new reading of the platform's list.
func (t *Table) SetListed(hosts []Listed) {
	t.listed = make(map[string]Listed, len(hosts))
	for _, host := range hosts {
		t.listed[host.Address] = host
	}
	t.rankDomains()
	t.far = t.chooseFar()
}

// LinkAccepted takes the news that a host has opened a link to this one, and reports
// whether that changes which links are wanted. Listed hosts of a large domain get
// no link back.
func (t *Table) LinkAccepted(address string, now time.Duration) bool {
	left := t.hasLeft(address)
	delete(t.left, address)
	if _, listed := t.listed[address]; listed && t.IsLarge() {
		return left
	}
	_, known := t.gossip[address]
	t.gossip[address] = now
	return left || !known
}

// AddDomainAddresses is AddAddresses for all hosts of the own domain that a peer sees. In a
// large domain the list says which of those that it names a link is wanted to.
func (t *Table) AddDomainAddresses(addresses []string, now time.Duration) bool {
	if !t.IsLarge() {
		return t.AddAddresses(addresses, now)
	}
	var unlisted []string
	for _, address := range addresses {
		if _, listed := t.listed[address]; !listed {
			unlisted = append(unlisted, address)
		}
	}
	return t.AddAddresses(unlisted, now)
}

// AddAddresses takes addresses of hosts to hold links to that a peer told of, and reports
// whether one of them is new. A peer may not know yet that a host has left.
func (t *Table) AddAddresses(addresses []string, now time.Duration) bool {
	news := false
	for _, address := range addresses {
		if t.hasLeft(address) {
			continue
		}
		_, known := t.gossip[address]
		news = news || !known
		t.gossip[address] = now
	}
	return news
}

// Up takes the news that a link is up, or that its peer told something new.
func (t *Table) Up(peer Peer) {
	delete(t.left, peer.Address)
	delete(t.missing, peer.Address)
	t.up[peer.Address] = peer
}

// UpAt returns the peer at an address whose link is up.
func (t *Table) UpAt(address string) (Peer, bool) {
	peer, up := t.up[address]
	return peer, up
}

// Refresh takes what a peer told, unless its link has gone down or leads to
// another incarnation by now.
func (t *Table) Refresh(peer Peer) {
	if known, ok := t.up[peer.Address]; ok && known.Incarnation == peer.Incarnation {
		t.up[peer.Address] = peer
	}
}

// Down takes the news that a link went down. A peer that was leaving is gone,
// and not one that is out of sight.
func (t *Table) Down(address string, now time.Duration) {
	if t.up[address].Leaving {
		t.left[address] = now
		delete(t.gossip, address)
	}
	delete(t.up, address)
}

func (t *Table) hasLeft(address string) bool {
	_, left := t.left[address]
	return left
}

// Expected returns the addresses of the hosts that should be there, as far as
// links to them are wanted. Seeds count only while no list has been read: they
// may name hosts that are gone for good.
func (t *Table) Expected(now time.Duration) []string {
	var expected []string
	for _, address := range t.Wanted(now) {
		_, listed := t.listed[address]
		_, told := t.gossip[address]
		_, isUp := t.up[address]
		seed := len(t.listed) == 0 && !t.hasLeft(address)
		if seed || told || isUp || (listed && !t.hasLeft(address)) {
			expected = append(expected, address)
		}
	}
	return expected
}

// Wanted returns the sorted addresses to keep links to: the hosts of the own
// domain, of a large one only some, a few of each other domain, and hosts that may
// come back.
func (t *Table) Wanted(now time.Duration) []string {
	wanted := map[string]bool{}
	for _, seed := range t.seeds {
		wanted[seed] = true
	}
	for address, at := range t.gossip {
		_, isUp := t.up[address]
		if isUp || now-at <= gossipLife {
			wanted[address] = true
			continue
		}
		delete(t.gossip, address)
	}
	for address, at := range t.left {
		if now-at <= leftLife && t.dials(address) {
			wanted[address] = true
		}
	}
	for _, address := range slices.Concat(t.wantedNear(now), t.far) {
		wanted[address] = true
	}
	delete(wanted, t.self.Address)
	return slices.Sorted(maps.Keys(wanted))
}

// dials reports whether this host is among those of its domain that dial one
// that has left.
func (t *Table) dials(address string) bool {
	own := Score(address, t.self.Address)
	before := 0
	for _, peer := range t.up {
		if peer.Domain == t.self.Domain && Score(address, peer.Address) > own {
			before++
		}
	}
	return before < leftDiallers
}

// chooseFar picks the hosts of the other domains to hold links to.
func (t *Table) chooseFar() []string {
	var far []string
	for domain, hosts := range t.domains {
		if domain == t.self.Domain {
			continue
		}
		addresses := make([]string, 0, len(hosts))
		for _, host := range hosts {
			addresses = append(addresses, host.Address)
		}
		far = append(far, t.nearest(addresses)...)
	}
	return far
}

// nearest picks the links to another domain by rendezvous hashing, so that
// the hosts of a domain spread over those of the other.
func (t *Table) nearest(addresses []string) []string {
	sort.Slice(addresses, func(i, j int) bool {
		return Score(t.self.Name, addresses[i]) > Score(t.self.Name, addresses[j])
	})
	return addresses[:min(len(addresses), t.perDomain)]
}

// Score is the rendezvous weight of a pair; the pair with the highest wins.
func Score(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// View is a snapshot of the table for request paths. It is never changed.
type View struct {
	Self     Peer
	Peers    []Peer // links that are up, by address
	Backup   once.Incarnation
	IsReader bool // this host reads the platform for its domain
}

// View makes a snapshot. It keeps the backup of the one before, if that host
// is still up and staying.
func (t *Table) View(backup once.Incarnation) *View {
	v := &View{Self: t.self, IsReader: true}
	seen := map[once.Incarnation]bool{t.self.Incarnation: true}
	for _, address := range slices.Sorted(maps.Keys(t.up)) {
		peer := t.up[address]
		if seen[peer.Incarnation] {
			continue // two addresses lead to it
		}
		seen[peer.Incarnation] = true
		v.Peers = append(v.Peers, peer)
		if peer.Domain == t.self.Domain && !peer.Leaving && peer.Name < t.self.Name {
			v.IsReader = false
		}
	}
	v.Backup = chooseBackup(v.Domain(), t.self.Name, backup)
	return v
}

// chooseBackup spreads the primaries of a domain over its hosts.
func chooseBackup(peers []Peer, self string, before once.Incarnation) once.Incarnation {
	var best once.Incarnation
	var bestScore uint64
	for _, peer := range peers {
		if peer.Incarnation == before {
			return before
		}
		if score := Score(self, peer.Name); best.IsZero() || score > bestScore {
			best, bestScore = peer.Incarnation, score
		}
	}
	return best
}

// Domain returns the peers of the own domain that are up and staying.
func (v *View) Domain() []Peer {
	var peers []Peer
	for _, peer := range v.Peers {
		if peer.Domain == v.Self.Domain && !peer.Leaving {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Owners returns the names of the hosts among which the slots of the own
// domain are divided, this one included unless it is leaving.
func (v *View) Owners() []string {
	var names []string
	for _, peer := range v.Domain() {
		names = append(names, peer.Name)
	}
	if !v.Self.Leaving {
		names = append(names, v.Self.Name)
	}
	sort.Strings(names)
	return names
}

// ByIncarnation returns the peer of an incarnation.
func (v *View) ByIncarnation(inc once.Incarnation) (Peer, bool) {
	for _, peer := range v.Peers {
		if peer.Incarnation == inc {
			return peer, true
		}
	}
	return Peer{}, false
}

// InDomain returns a peer of a domain to relay through, spread by key.
func (v *View) InDomain(domain, key string) (Peer, bool) {
	var best Peer
	var bestScore uint64
	for _, peer := range v.Peers {
		if peer.Domain != domain || peer.Leaving {
			continue
		}
		if score := Score(key, peer.Name); best.Address == "" || score > bestScore {
			best, bestScore = peer, score
		}
	}
	return best, best.Address != ""
}

// SetLeaving marks this host as leaving.
func (t *Table) SetLeaving() { t.self.Leaving = true }
