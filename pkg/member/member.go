// Package member decides to which entry hosts a host keeps links, which hosts count as
// live, which one is its backup, and which one reads the platform for its failure domain.
// It does no I/O. Safety must not depend on its decisions: a host that it considers dead
// may be running.
package member

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/foxcroft/foxcroft/pkg/once"
)

// gossipTTL is how long an address announced by peers stays a candidate after its last
// announcement. It stays for longer while a link to it is up.
const gossipTTL = 30 * time.Second

// A host that stopped as planned may start again and then know no other host: its row was
// removed, and it may not reach the platform. So some hosts of each domain that had links
// to it keep dialling it for a while.
const (
	redialPeriod = 30 * time.Second
	redialers    = 4 // hosts of a domain that dial each host that has left (leftAt)
)

// ListedHost is a host in the platform's list, which may be outdated or wrong.
type ListedHost struct {
	Name    string
	Domain  string
	Address string // for peers, IP:port
	Leaving bool
	Weight  int // thousandths of a core that the host may use; 0 when unknown
}

// Peer is the known state of another entry host.
type Peer struct {
	Name        string
	Domain      string
	Address     string
	Incarnation once.Incarnation
	Leaving     bool
	Version     uint64 // of the configuration in force there
	Waiting     int    // tasks waiting for a slot there
	Free        int    // idle slots there
	Weight      int    // thousandths of a core that the host may use; 0 when unknown
	Usable      int    // slots that it may fill at once; 1 until it reports them

	ConfirmsOpenJobs bool // it replies to announcements of open jobs
	TellsOwners      bool // it tells which owners it hears, if it is asked
	LimitsKeptRuns   bool // as an owner that is cut off, it ends the runs of kept jobs in time
}

// Table is a host's view of the others. It is not safe for concurrent use.
type Table struct {
	self             Peer
	seeds            []string
	perDomain        int
	listed           map[string]ListedHost    // by address
	gossip           map[string]time.Duration // by address: time of the last announcement
	up               map[string]Peer          // by address: links that are up
	leftAt           map[string]time.Duration // by address: when hosts that have not come back stopped as planned
	unreachableSince map[string]time.Duration // by address: since when hubs are unreachable
	aloneSince       time.Duration            // when the last link to a host of the own domain went down, if none is up; 0 until one was up
	confirmedAt      time.Duration            // when a mark last showed that another host of the own domain lives, while this one was alone
	inquiry          inquiry                  // whether others live, while this host is alone
	domainInquiry    domainInquiry            // whether hosts of domains live of which this host reaches none
	refusedAt        map[string]time.Duration // by address: when a connection was refused last, until the link is up
	domains          map[string]rankedHosts   // listed hosts by domain
	remoteLinks      []string                 // hosts of other domains to keep links to
}

// NewTable makes a table. seeds are addresses to dial before other hosts are known;
// perDomain is the number of links to keep to each other domain.
func NewTable(self Peer, seeds []string, perDomain int) *Table {
	return &Table{
		self:             self,
		seeds:            seeds,
		perDomain:        perDomain,
		listed:           map[string]ListedHost{},
		gossip:           map[string]time.Duration{},
		up:               map[string]Peer{},
		leftAt:           map[string]time.Duration{},
		unreachableSince: map[string]time.Duration{},
		refusedAt:        map[string]time.Duration{},
	}
}

// ForgetSeeds drops the seeds, so that links to them are kept only for other reasons. All
// hosts have the same few seeds, which would otherwise hold links to all hosts.
func (t *Table) ForgetSeeds() { t.seeds = nil }

// SetListed replaces the hosts by a new reading of the platform's list.
func (t *Table) SetListed(hosts []ListedHost) {
	t.listed = make(map[string]ListedHost, len(hosts))
	for _, host := range hosts {
		t.listed[host.Address] = host
	}
	t.rankDomains()
	t.remoteLinks = t.chooseRemote()
}

// LinkAccepted records that a host has opened a link to this one, and reports whether that
// changes the wanted links. In a large domain, a listed host gets no link in return.
func (t *Table) LinkAccepted(address string, now time.Duration) bool {
	left := t.hasLeft(address)
	delete(t.leftAt, address)
	if _, listed := t.listed[address]; listed && t.IsLarge() {
		return left
	}
	_, known := t.gossip[address]
	t.gossip[address] = now
	return left || !known
}

// AddDomainAddresses is AddAddresses for all hosts of the own domain that a peer reaches.
// In a large domain the wanted links to listed hosts follow from the list, so their
// addresses are ignored.
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

// AddAddresses records addresses of hosts to keep links to, as announced by a peer, and
// reports whether any is new. Addresses of hosts that have left are ignored: the peer may
// not know yet that they have.
func (t *Table) AddAddresses(addresses []string, now time.Duration) bool {
	isNew := false
	for _, address := range addresses {
		if t.hasLeft(address) {
			continue
		}
		_, known := t.gossip[address]
		isNew = isNew || !known
		t.gossip[address] = now
	}
	return isNew
}

// LinkUp records that a link is up, or a change of its peer's state.
func (t *Table) LinkUp(peer Peer) {
	delete(t.leftAt, peer.Address)
	delete(t.unreachableSince, peer.Address)
	delete(t.refusedAt, peer.Address)
	t.up[peer.Address] = peer
}

// ListedAt returns the listed host at an address.
func (t *Table) ListedAt(address string) (ListedHost, bool) {
	host, listed := t.listed[address]
	return host, listed
}

// UpAt returns the peer at an address whose link is up.
func (t *Table) UpAt(address string) (Peer, bool) {
	peer, up := t.up[address]
	return peer, up
}

// UpdateIfUp updates the state of a peer, unless its link has gone down or leads to another
// incarnation by now.
func (t *Table) UpdateIfUp(peer Peer) {
	if known, ok := t.up[peer.Address]; ok && known.Incarnation == peer.Incarnation {
		t.up[peer.Address] = peer
	}
}

// LinkDown records that a link went down. A peer that was leaving counts as stopped, any other
// one as unreachable.
func (t *Table) LinkDown(address string, now time.Duration) {
	if t.up[address].Leaving {
		t.leftAt[address] = now
		delete(t.gossip, address)
	}
	reached := t.ReachesDomainHost("")
	delete(t.up, address)
	if reached && !t.ReachesDomainHost("") {
		t.aloneSince = now
	}
}

// hasLeft reports whether a host has stopped as planned and not come back since.
func (t *Table) hasLeft(address string) bool {
	_, left := t.leftAt[address]
	return left
}

// Expected returns the wanted addresses at which a host should be running. Seeds count only
// until a list has been read, since they may name hosts that were removed for good.
func (t *Table) Expected(now time.Duration) []string {
	var expected []string
	for _, address := range t.Wanted(now) {
		_, listed := t.listed[address]
		_, announced := t.gossip[address]
		_, isUp := t.up[address]
		seed := len(t.listed) == 0 && !t.hasLeft(address)
		if seed || announced || isUp || (listed && !t.hasLeft(address)) {
			expected = append(expected, address)
		}
	}
	return expected
}

// Wanted returns the sorted addresses to keep links to: the hosts of the own domain, or
// some of them in a large domain, a few hosts of each other domain, and hosts that may
// start again.
func (t *Table) Wanted(now time.Duration) []string {
	wanted := map[string]bool{}
	for _, seed := range t.seeds {
		wanted[seed] = true
	}
	for address, at := range t.gossip {
		_, isUp := t.up[address]
		if isUp || now-at <= gossipTTL {
			wanted[address] = true
			continue
		}
		delete(t.gossip, address)
	}
	for address, at := range t.leftAt {
		if now-at <= redialPeriod && t.shouldRedial(address) {
			wanted[address] = true
		}
	}
	for _, address := range slices.Concat(t.wantedInDomain(now), t.remoteLinks) {
		wanted[address] = true
	}
	delete(wanted, t.self.Address)
	return slices.Sorted(maps.Keys(wanted))
}

// shouldRedial reports whether this host is among the redialers of its own domain for a host
// that has left, which may be of any domain.
func (t *Table) shouldRedial(address string) bool {
	own := Score(address, t.self.Address)
	before := 0
	for _, peer := range t.up {
		if peer.Domain == t.self.Domain && Score(address, peer.Address) > own {
			before++
		}
	}
	return before < redialers
}

// chooseRemote returns the hosts of other domains to keep links to.
func (t *Table) chooseRemote() []string {
	var chosen []string
	for domain, hosts := range t.domains {
		if domain == t.self.Domain {
			continue
		}
		addresses := make([]string, 0, len(hosts))
		for _, host := range hosts {
			addresses = append(addresses, host.Address)
		}
		chosen = append(chosen, t.topRanked(addresses)...)
	}
	return chosen
}

// topRanked returns the hosts of another domain to keep links to. It ranks them by
// rendezvous hashing, so that the links of a domain's hosts spread over the hosts of the
// other.
func (t *Table) topRanked(addresses []string) []string {
	sort.Slice(addresses, func(i, j int) bool {
		return Score(t.self.Name, addresses[i]) > Score(t.self.Name, addresses[j])
	})
	return addresses[:min(len(addresses), t.perDomain)]
}

// Score returns the rendezvous score of a key and a candidate; the candidate with the
// highest score is chosen.
func Score(key, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// View is an immutable snapshot of the table for request paths.
type View struct {
	Self     Peer
	Peers    []Peer // links that are up, sorted by address
	Backup   once.Incarnation
	IsReader bool // this host reads the platform for its domain
}

// View returns a snapshot. It keeps the given backup of the snapshot before, if that host
// is up and not leaving.
func (t *Table) View(backup once.Incarnation) *View {
	v := &View{Self: t.self, IsReader: true}
	seen := map[once.Incarnation]bool{t.self.Incarnation: true}
	for _, address := range slices.Sorted(maps.Keys(t.up)) {
		peer := t.up[address]
		if seen[peer.Incarnation] {
			continue // two addresses lead to the same host
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

// chooseBackup keeps the former backup if it is among the peers, and otherwise picks one by
// rendezvous hashing, so that the hosts of a domain spread over each other as backups.
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

// Domain returns the peers of the own domain that are up and not leaving.
func (v *View) Domain() []Peer {
	var peers []Peer
	for _, peer := range v.Peers {
		if peer.Domain == v.Self.Domain && !peer.Leaving {
			peers = append(peers, peer)
		}
	}
	return peers
}

// Owners returns the names of the hosts among which the slots of the own domain are
// divided, this one included unless it is leaving.
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

func (v *View) ByIncarnation(inc once.Incarnation) (Peer, bool) {
	for _, peer := range v.Peers {
		if peer.Incarnation == inc {
			return peer, true
		}
	}
	return Peer{}, false
}

// RelayPeer returns a peer of a domain to relay through, chosen by rendezvous hashing of the
// key.
func (v *View) RelayPeer(domain, key string) (Peer, bool) {
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

func (t *Table) SetLeaving() { t.self.Leaving = true }
